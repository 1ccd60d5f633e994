//! What all share of servers, and what of it is believed by a process that has just begun.

use crate::snapshot::Snapshot;
use serde::{Deserialize, Serialize};
use shelfgrade::host::{Endpoint, EndpointState};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::Entry;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The keys of what all share here.
pub const SERVER_PREFIX: &str = "server/";
pub const HEARTBEAT_PREFIX: &str = "beat/";
pub const LIST_KEY: &str = "list";

/// A line of the server list as all share it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub health: ServerHealth,
    /// Unix time in milliseconds; 0 for long ago.
    pub started_ms: f64,
}

/// In the order in which a server goes through them in one life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerHealth {
    InService,
    Terminating,
    Terminated,
}

impl ServerHealth {
    pub fn state(self) -> EndpointState {
        match self {
            ServerHealth::InService => EndpointState::Active,
            ServerHealth::Terminating => EndpointState::Draining,
            ServerHealth::Terminated => EndpointState::Removed,
        }
    }
}

impl ServerRecord {
    /// Where a new count of discovery's begins: what was known of this life of the server is not taken back by it.
    /// Guards against a draining server that looks new because discovery has forgotten.
    pub fn after(mut self, known: Option<&ServerRecord>) -> Self {
        if let Some(known) = known.filter(|known| known.started_ms == self.started_ms) {
            self.health = self.health.max(known.health);
        }
        self
    }

    pub fn line(&self, host: &str, started: Option<Timestamp>) -> Endpoint {
        Endpoint {
            server: host.into(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            started,
            state: self.health.state(),
        }
    }
}

/// A server's line in what all share.
pub(crate) fn server(entry: &Entry) -> Option<(String, ServerRecord)> {
    let host = entry.key.strip_prefix(SERVER_PREFIX)?;
    Some((host.to_owned(), postcard::from_bytes(entry.value.as_deref()?).ok()?))
}

/// One number for a whole list: the same where all lines are, in whatever order. What is gone counts as not there.
pub fn list_digest<'a>(records: impl Iterator<Item = (&'a str, &'a ServerRecord)>) -> u32 {
    let there = records.filter(|(_, record)| record.health != ServerHealth::Terminated);
    let line = |(host, record): (&str, &ServerRecord)| {
        xxh3_64(&postcard::to_stdvec(&(host, record)).unwrap_or_default())
    };
    there.fold(0, |all, record| all ^ line(record) as u32)
}

/// What a process that begins takes from before, each item with what it is worth.
pub struct Restored {
    /// All that the fleet shared, with its versions: the newest wins when the fellows are heard.
    pub entries: Vec<Entry>,
    /// Servers as candidates. Guards against taking one for warm: what took the power from this process took it from
    /// them, so all count as started now, until discovery or a fellow that has heard it since says when they were.
    pub candidates: Vec<Endpoint>,
    /// Where clients' connections stood, by their keys' hashes, for servers whose start turns out unchanged.
    pub held: Vec<(u64, String, f64)>,
    /// The least that this life may be born at, so that it is later than the last one whatever the clock says.
    pub started_at: u64,
}

impl Restored {
    pub fn from(saved: Snapshot, now: Timestamp) -> Self {
        let record = |entry: &Entry| -> Option<Endpoint> {
            let (host, record) = server(entry)?;
            Some(record.line(&host, Some(now))).filter(|_| record.health != ServerHealth::Terminated)
        };
        Restored {
            candidates: saved.entries.iter().filter_map(record).collect(),
            held: saved.held.into_iter().map(|held| (held.key, held.server, held.started_ms)).collect(),
            entries: saved.entries,
            started_at: saved.started_at + 1,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/restore.rs"]
mod tests;
