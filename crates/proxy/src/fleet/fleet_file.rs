//! The fleet file, which makes this process a member of a fleet. `SHELFGRADE_FLEET` is its path, and
//! `deploy/fleet.toml` is an example that explains every key. The file is read again on `SIGHUP`.

use crate::net::transient::is_transient;
use serde::Deserialize;
use shelfgrade_fleet::{Roster, RosterError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that contains the path of the fleet file.
pub const FLEET_FILE_VARIABLE: &str = "SHELFGRADE_FLEET";

/// Why the fleet file cannot be loaded or the fleet cannot be joined. Each message says where the error is and how to
/// correct it.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The file cannot be read.
    #[error("{path}: cannot be read ({source}): check that the file exists and that this user may read it")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not valid TOML, or does not have the expected structure.
    #[error("{path}, line {line}, column {column}: {message}: correct it there; deploy/fleet.toml explains every key")]
    Format {
        /// The file's path.
        path: String,
        /// Line of the error, starting at 1.
        line: usize,
        /// Column of the error, starting at 1.
        column: usize,
        /// The message of the TOML parser.
        message: String,
    },
    /// The names of the processes do not form a valid roster.
    #[error("{path}, [fellows]: {source}")]
    Roster {
        /// The file's path.
        path: String,
        /// The cause.
        source: RosterError,
    },
    /// A number is out of range.
    #[error("{path}, {key}: {value} is not between {min} and {max}: correct it there")]
    OutOfRange {
        /// The file's path.
        path: String,
        /// The key in the file.
        key: &'static str,
        /// The value in the file.
        value: u64,
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
    /// Two processes have the same address.
    #[error("{path}, [fellows]: {first} and {second} have the same address: give each process its own")]
    DuplicateAddress {
        /// The file's path.
        path: String,
        /// Name of one process.
        first: String,
        /// Name of the other process.
        second: String,
    },
    /// The socket for peer traffic cannot be opened.
    #[error("cannot receive from peers at {at} ({source}): check that the address is local and not in use")]
    Bind {
        /// The address to bind to.
        at: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A reload changes a value that cannot change while processes run.
    #[error("{path}: {key} cannot change at runtime: restart all processes to apply the change")]
    ImmutableKey {
        /// The file's path.
        path: String,
        /// The key in the file.
        key: &'static str,
    },
}

impl FleetError {
    /// Whether the same call may succeed later without an operator's intervention.
    pub fn is_transient(&self) -> bool {
        match self {
            FleetError::Unreadable { source, .. } | FleetError::Bind { source, .. } => is_transient(source),
            _ => false,
        }
    }
}

/// The TOML structure of the fleet file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFleetFile {
    fleet: String,
    #[serde(rename = "fellows")]
    peers: BTreeMap<String, SocketAddr>,
    state_dir: Option<PathBuf>,
    namespaces_dir: Option<PathBuf>,
    maintenance: Option<PathBuf>,
    #[serde(default = "default_list_wait_ms")]
    list_wait_ms: u64,
    #[serde(default = "default_save_every_ms")]
    save_every_ms: u64,
}

fn default_list_wait_ms() -> u64 {
    2000
}

fn default_save_every_ms() -> u64 {
    1000
}

/// A validated fleet file.
#[derive(Clone)]
pub struct FleetFile {
    /// The file's path, used in error messages.
    pub path: String,
    /// The names of all processes of the fleet, and which of them is this process.
    pub roster: Roster,
    /// The processes' UDP addresses, in the order of the roster.
    pub addresses: Vec<SocketAddr>,
    /// The directory for snapshots; if none, no snapshots are written.
    pub state_dir: Option<PathBuf>,
    /// The directory of the tenants' namespaces.
    pub namespaces_dir: Option<PathBuf>,
    /// The file with the maintenance schedule.
    pub maintenance_file: Option<PathBuf>,
    /// How long a starting process waits for the endpoint list before it uses the servers known from earlier.
    pub list_wait: Duration,
    /// The minimum interval between two snapshots.
    pub save_interval: Duration,
}

impl FleetFile {
    /// Reads the file that the environment names; none if the variable is not set. `own_name` is the name of this
    /// process.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if the file cannot be read or is invalid.
    pub fn from_environment(own_name: &str) -> Result<Option<Self>, FleetError> {
        std::env::var(FLEET_FILE_VARIABLE).ok().map(|path| Self::read(Path::new(&path), own_name)).transpose()
    }

    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if the file cannot be read or is invalid.
    pub fn read(path: &Path, own_name: &str) -> Result<Self, FleetError> {
        let display_path = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| FleetError::Unreadable { path: display_path.clone(), source })?;
        Self::parse(&display_path, &text, own_name)
    }

    /// Parses and validates the text of the file; `path` is used in error messages.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if any part of the file is invalid.
    pub fn parse(path: &str, text: &str, own_name: &str) -> Result<Self, FleetError> {
        let path = path.to_owned();
        let file: RawFleetFile = toml::from_str(text).map_err(|error| format_error(&path, text, &error))?;
        let list_wait = duration_within(&path, "list_wait_ms", file.list_wait_ms, 100, 10_000)?;
        let save_interval = duration_within(&path, "save_every_ms", file.save_every_ms, 100, 60_000)?;
        let roster = Roster::new(&file.fleet, file.peers.keys().cloned(), own_name)
            .map_err(|source| FleetError::Roster { path: path.clone(), source })?;
        check_unique_addresses(&path, &file.peers)?;
        // The roster is sorted by name, as this map is.
        let addresses = file.peers.values().copied().collect();
        let RawFleetFile { state_dir, namespaces_dir, maintenance, .. } = file;
        Ok(FleetFile {
            path,
            roster,
            addresses,
            state_dir,
            namespaces_dir,
            maintenance_file: maintenance,
            list_wait,
            save_interval,
        })
    }

    /// Checks that `next` may replace this file at runtime. The roster must not change, because the quota leases depend
    /// on it, and neither must the state directory.
    ///
    /// # Errors
    ///
    /// [`FleetError::ImmutableKey`] with the key that differs.
    pub fn check_reload(&self, next: &Self) -> Result<(), FleetError> {
        let immutable = |key| Err(FleetError::ImmutableKey { path: next.path.clone(), key });
        if self.roster != next.roster {
            return immutable("fleet, or a name under [fellows],");
        }
        if self.state_dir != next.state_dir {
            return immutable("state_dir");
        }
        Ok(())
    }
}

/// Converts a TOML error into one with line and column, starting at 1.
fn format_error(path: &str, text: &str, error: &toml::de::Error) -> FleetError {
    let before = &text[..error.span().map_or(0, |span| span.start.min(text.len()))];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    FleetError::Format { path: path.to_owned(), line, column, message: error.message().replace('\n', ", ") }
}

fn duration_within(
    path: &str,
    key: &'static str,
    value: u64,
    min: u64,
    max: u64,
) -> Result<Duration, FleetError> {
    if (min..=max).contains(&value) {
        Ok(Duration::from_millis(value))
    } else {
        Err(FleetError::OutOfRange { path: path.to_owned(), key, value, min, max })
    }
}

fn check_unique_addresses(path: &str, peers: &BTreeMap<String, SocketAddr>) -> Result<(), FleetError> {
    let mut owners: BTreeMap<SocketAddr, &String> = BTreeMap::new();
    for (name, address) in peers {
        if let Some(first) = owners.insert(*address, name) {
            let (path, first, second) = (path.to_owned(), first.clone(), name.clone());
            return Err(FleetError::DuplicateAddress { path, first, second });
        }
    }
    Ok(())
}

#[cfg(test)]
#[path = "../../tests/unit/fleet_file.rs"]
mod tests;
