//! The file that switches on what processes share: `SHELFGRADE_FLEET` names it, `deploy/fleet.toml` is one with every
//! key explained. It is checked whole, and read again at `SIGHUP`.

use crate::net::transient::is_transient;
use serde::Deserialize;
use shelfgrade_fleet::{Roster, RosterError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The variable that names it.
pub const NAMED_BY: &str = "SHELFGRADE_FLEET";

#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("{path}: cannot be read ({source}): see that the file is there and may be read by this user")]
    Unreadable { path: String, source: std::io::Error },
    #[error("{path}, line {line}, column {column}: {what}: correct it there; deploy/fleet.toml explains every key")]
    Form { path: String, line: usize, column: usize, what: String },
    #[error("{path}, fellows: {source}")]
    Fellows { path: String, source: RosterError },
    #[error("{path}, {key}: {value} where {least} to {most} is wanted: correct it there")]
    Bound { path: String, key: &'static str, value: u64, least: u64, most: u64 },
    #[error("{path}, fellows: {first} and {second} have one address: give each process one of its own")]
    OneAddress { path: String, first: String, second: String },
    #[error("cannot hear fellows at {at} ({source}): see that the address is this machine's and that nobody has it")]
    Bind { at: SocketAddr, source: std::io::Error },
    #[error("{path}: {key} is another than at the start: it counts when all processes are started anew")]
    Fixed { path: String, key: &'static str },
}

impl FleetError {
    /// Whether the same may succeed a moment later.
    pub fn is_transient(&self) -> bool {
        match self {
            FleetError::Unreadable { source, .. } | FleetError::Bind { source, .. } => is_transient(source),
            _ => false,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: String,
    fellows: BTreeMap<String, SocketAddr>,
    state_dir: Option<PathBuf>,
    namespaces_dir: Option<PathBuf>,
    maintenance: Option<PathBuf>,
    #[serde(default = "list_wait_ms")]
    list_wait_ms: u64,
    #[serde(default = "save_every_ms")]
    save_every_ms: u64,
}

fn list_wait_ms() -> u64 {
    2000
}

fn save_every_ms() -> u64 {
    1000
}

/// The file, read and checked.
#[derive(Clone)]
pub struct FleetFile {
    pub path: String,
    pub roster: Roster,
    /// By the order of the roster.
    pub addresses: Vec<SocketAddr>,
    pub state_dir: Option<PathBuf>,
    pub namespaces_dir: Option<PathBuf>,
    pub maintenance: Option<PathBuf>,
    pub list_wait: Duration,
    pub save_every: Duration,
}

impl FleetFile {
    /// None where the environment names none: everything is as without it.
    pub fn from_environment(me: &str) -> Result<Option<Self>, FleetError> {
        std::env::var(NAMED_BY).ok().map(|path| Self::read(Path::new(&path), me)).transpose()
    }

    pub fn read(path: &Path, me: &str) -> Result<Self, FleetError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| FleetError::Unreadable { path: shown.clone(), source })?;
        Self::parse(&shown, &text, me)
    }

    pub fn parse(path: &str, text: &str, me: &str) -> Result<Self, FleetError> {
        let path = path.to_owned();
        let file: File = toml::from_str(text).map_err(|error| {
            let before = &text[..error.span().map_or(0, |span| span.start.min(text.len()))];
            let line = before.matches('\n').count() + 1;
            let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
            FleetError::Form { path: path.clone(), line, column, what: error.message().replace('\n', ", ") }
        })?;
        let within = |key, value, least, most| match (least..=most).contains(&value) {
            true => Ok(Duration::from_millis(value)),
            false => Err(FleetError::Bound { path: path.clone(), key, value, least, most }),
        };
        let list_wait = within("list_wait_ms", file.list_wait_ms, 100, 10_000)?;
        let save_every = within("save_every_ms", file.save_every_ms, 100, 60_000)?;
        let roster = Roster::new(&file.fleet, file.fellows.keys().cloned(), me)
            .map_err(|source| FleetError::Fellows { path: path.clone(), source })?;
        let mut taken: BTreeMap<SocketAddr, &String> = BTreeMap::new();
        for (name, address) in &file.fellows {
            if let Some(first) = taken.insert(*address, name) {
                let (first, second) = (first.clone(), name.clone());
                return Err(FleetError::OneAddress { path, first, second });
            }
        }
        // Both go by the order of the names.
        let addresses = file.fellows.values().copied().collect();
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

    /// What cannot change while processes run: parts of the fleet's rights are by the roster.
    pub fn may_follow(&self, next: &Self) -> Result<(), FleetError> {
        let fixed = |key| Err(FleetError::Fixed { path: next.path.clone(), key });
        if self.roster != next.roster {
            return fixed("fleet, or the names of the fellows,");
        }
        if self.state_dir != next.state_dir {
            return fixed("state_dir");
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/fleet_file.rs"]
mod tests;
