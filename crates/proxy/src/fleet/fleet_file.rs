//! The fleet file, which makes this process a member of a fleet: `SHELFGRADE_FLEET` names it, and `deploy/fleet.toml` is
//! one with every key explained. It is checked completely, and read again at `SIGHUP`.

use crate::net::transient::is_transient;
use serde::Deserialize;
use shelfgrade_fleet::{Roster, RosterError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that holds the file's path.
pub const PATH_VARIABLE: &str = "SHELFGRADE_FLEET";

/// Why a fleet file cannot be used, or the fleet not be joined; each text says where the error is and what to do.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The file cannot be read.
    #[error("{path}: cannot be read ({source}): see that the file is there and may be read by this user")]
    Unreadable { path: String, source: std::io::Error },
    /// The text is not TOML of this form.
    #[error("{path}, line {line}, column {column}: {what}: correct it there; deploy/fleet.toml explains every key")]
    Form { path: String, line: usize, column: usize, what: String },
    /// The names of the processes cannot be a roster.
    #[error("{path}, [fellows]: {source}")]
    Roster { path: String, source: RosterError },
    /// A number is out of its bounds.
    #[error("{path}, {key}: {value} where {min} to {max} is wanted: correct it there")]
    Bound { path: String, key: &'static str, value: u64, min: u64, max: u64 },
    /// Two processes have the same address.
    #[error("{path}, [fellows]: {first} and {second} have one address: give each process one of its own")]
    DuplicateAddress { path: String, first: String, second: String },
    /// The socket between peers cannot be opened.
    #[error("cannot receive from peers at {at} ({source}): see that the address is this machine's and that nobody has it")]
    Bind { at: SocketAddr, source: std::io::Error },
    /// A reload changes what is fixed while processes run.
    #[error("{path}: {key} differs from the start: it counts when all processes are started anew")]
    Fixed { path: String, key: &'static str },
}

impl FleetError {
    /// Whether the same call may succeed a moment later without an operator's help.
    pub fn is_transient(&self) -> bool {
        match self {
            FleetError::Unreadable { source, .. } | FleetError::Bind { source, .. } => is_transient(source),
            _ => false,
        }
    }
}

/// The file's keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
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

/// A fleet file that was read and checked.
#[derive(Clone)]
pub struct FleetFile {
    pub path: String,
    pub roster: Roster,
    /// The processes' UDP addresses, in the order of the roster.
    pub addresses: Vec<SocketAddr>,
    /// Where snapshots are kept; without it none are.
    pub state_dir: Option<PathBuf>,
    /// The folder of the tenants' namespaces.
    pub namespaces_dir: Option<PathBuf>,
    /// The file of the maintenance windows.
    pub maintenance: Option<PathBuf>,
    /// How long a start waits for the endpoint list before it uses the servers known from before.
    pub list_wait: Duration,
    /// The shortest interval between two snapshots.
    pub save_every: Duration,
}

impl FleetFile {
    /// Reads the file that the environment names; none if it names none. `me` is this process's name.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if the file cannot be read or used.
    pub fn from_environment(me: &str) -> Result<Option<Self>, FleetError> {
        std::env::var(PATH_VARIABLE).ok().map(|path| Self::read(Path::new(&path), me)).transpose()
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if the file cannot be read or used.
    pub fn read(path: &Path, me: &str) -> Result<Self, FleetError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| FleetError::Unreadable { path: shown.clone(), source })?;
        Self::parse(&shown, &text, me)
    }

    /// Checks the file's text; `path` is for errors.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if any part of it cannot be used.
    pub fn parse(path: &str, text: &str, me: &str) -> Result<Self, FleetError> {
        let path = path.to_owned();
        let file: File = toml::from_str(text).map_err(|error| form_error(&path, text, &error))?;
        let list_wait = duration_within(&path, "list_wait_ms", file.list_wait_ms, 100, 10_000)?;
        let save_every = duration_within(&path, "save_every_ms", file.save_every_ms, 100, 60_000)?;
        let roster = Roster::new(&file.fleet, file.peers.keys().cloned(), me)
            .map_err(|source| FleetError::Roster { path: path.clone(), source })?;
        check_addresses_differ(&path, &file.peers)?;
        // The roster sorts its names, as this map does.
        let addresses = file.peers.values().copied().collect();
        let File { state_dir, namespaces_dir, maintenance, .. } = file;
        Ok(FleetFile {
            path,
            roster,
            addresses,
            state_dir,
            namespaces_dir,
            maintenance,
            list_wait,
            save_every,
        })
    }

    /// Checks that `next` changes nothing that is fixed while processes run: the quota leases go by the roster.
    ///
    /// # Errors
    ///
    /// [`FleetError::Fixed`] with the key that differs.
    pub fn may_follow(&self, next: &Self) -> Result<(), FleetError> {
        let fixed = |key| Err(FleetError::Fixed { path: next.path.clone(), key });
        if self.roster != next.roster {
            return fixed("fleet, or a name under [fellows],");
        }
        if self.state_dir != next.state_dir {
            return fixed("state_dir");
        }
        Ok(())
    }
}

/// A TOML error with its line and column, which count from 1.
fn form_error(path: &str, text: &str, error: &toml::de::Error) -> FleetError {
    let before = &text[..error.span().map_or(0, |span| span.start.min(text.len()))];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    FleetError::Form { path: path.to_owned(), line, column, what: error.message().replace('\n', ", ") }
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
        Err(FleetError::Bound { path: path.to_owned(), key, value, min, max })
    }
}

fn check_addresses_differ(path: &str, peers: &BTreeMap<String, SocketAddr>) -> Result<(), FleetError> {
    let mut taken: BTreeMap<SocketAddr, &String> = BTreeMap::new();
    for (name, address) in peers {
        if let Some(first) = taken.insert(*address, name) {
            let (path, first, second) = (path.to_owned(), first.clone(), name.clone());
            return Err(FleetError::DuplicateAddress { path, first, second });
        }
    }
    Ok(())
}

#[cfg(test)]
#[path = "../../tests/unit/fleet_file.rs"]
mod tests;
