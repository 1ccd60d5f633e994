//! The server records that the members of a fleet share.

use serde::{Deserialize, Serialize};
use shelfgrade::host::{Endpoint, EndpointState};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::Entry;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The key prefix of server records in the replicated map; the server's name follows.
pub const SERVER_PREFIX: &str = "server/";

/// A server of the endpoint list, as stored in the replicated map. Stored by field position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// The address to connect to.
    pub address: Option<SocketAddr>,
    /// The zone of the server.
    pub zone: String,
    /// The machine type.
    pub kind: String,
    /// The number of the server's cell.
    pub cell: u64,
    /// The server's stage in its life cycle.
    pub health: ServerHealth,
    /// The server's start time as Unix time in milliseconds; 0 if it started earlier than any member knows.
    pub started_ms: f64,
}

/// The life cycle of a server, in order of its stages. Stored by variant position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerHealth {
    /// The server accepts new sessions.
    InService,
    /// The server is draining.
    Terminating,
    /// The server no longer exists.
    Terminated,
}

impl ServerHealth {
    /// The corresponding endpoint state in the load balancer.
    pub fn state(self) -> EndpointState {
        match self {
            ServerHealth::InService => EndpointState::Active,
            ServerHealth::Terminating => EndpointState::Draining,
            ServerHealth::Terminated => EndpointState::Removed,
        }
    }
}

impl ServerRecord {
    /// Takes over the health of `known` if that is a later stage of the same server incarnation. Needed because a
    /// discovery service that has lost its state reports a draining server as in service.
    pub fn with_known_health(mut self, known: Option<&ServerRecord>) -> Self {
        if let Some(known) = known.filter(|known| known.started_ms == self.started_ms) {
            self.health = self.health.max(known.health);
        }
        self
    }

    /// Whether this is a later incarnation of the server than `other`, or a later stage of the same one.
    pub fn is_later_than(&self, other: &ServerRecord) -> bool {
        (self.started_ms, self.health) > (other.started_ms, other.health)
    }

    /// The endpoint of this server. `started` is its start time by the local clock.
    pub fn endpoint(&self, server: &str, started: Option<Timestamp>) -> Endpoint {
        Endpoint {
            server: server.into(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            started,
            state: self.health.state(),
        }
    }
}

/// Decodes a server record from an entry of the replicated map; `None` for other entries and deleted ones.
pub(crate) fn decode_server(entry: &Entry) -> Option<(String, ServerRecord)> {
    let server = entry.key.strip_prefix(SERVER_PREFIX)?;
    Some((server.to_owned(), postcard::from_bytes(entry.value.as_deref()?).ok()?))
}

/// A digest of an endpoint list, independent of the order of the records. Terminated servers are ignored.
pub fn list_digest<'a>(records: impl Iterator<Item = (&'a str, &'a ServerRecord)>) -> u32 {
    let present = records.filter(|(_, record)| record.health != ServerHealth::Terminated);
    let record_hash = |(server, record): (&str, &ServerRecord)| {
        xxh3_64(&postcard::to_stdvec(&(server, record)).unwrap_or_default())
    };
    present.fold(0, |digest, record| digest ^ record_hash(record) as u32)
}

#[cfg(test)]
#[path = "../tests/unit/server_record.rs"]
mod tests;
