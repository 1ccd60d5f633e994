//! The endpoint list in the JSON format of the discovery service.

use serde::Deserialize;
use shelfgrade::host::{Endpoint, EndpointState};
use shelfgrade::time::Timestamp;
use std::net::SocketAddr;
use std::time::SystemTime;

/// Why an endpoint list is rejected. No part of it is applied, and the previous list stays in use.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The text is not valid JSON, or does not have the expected structure.
    #[error("invalid endpoint list ({0}): check what generates it; every entry needs `host` and `health`")]
    Format(#[from] serde_json::Error),
    /// A server that is not terminated has no address.
    #[error("invalid endpoint list: {host} has no address: give it a `dial`, or mark it `terminated`")]
    NoAddress {
        /// The server's name.
        host: String,
    },
}

/// One version of the endpoint list: either the complete list, or the servers that have changed.
#[derive(Deserialize, Default)]
pub struct EndpointList {
    /// Version number assigned by discovery; it starts again from the beginning when discovery is restarted.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether the list contains all servers, so that an absent server has been removed. Otherwise it contains only
    /// servers that have changed.
    #[serde(default, rename = "whole")]
    pub is_complete: bool,
    /// The servers, in the order of the JSON text.
    #[serde(default, rename = "hosts")]
    pub records: Vec<EndpointRecord>,
    /// Time on discovery's clock when it sent the response, if the response has a date.
    #[serde(skip)]
    pub sent_at: Option<SystemTime>,
}

/// One server on the list.
#[derive(Deserialize)]
pub struct EndpointRecord {
    /// The server's name.
    pub host: String,
    /// The address to connect to; may be absent for a terminated server.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// The zone that the server is in; may be empty.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// The kind of machine that the server runs on; may be empty.
    #[serde(default, rename = "class")]
    pub kind: String,
    /// The number of the cell that the server is in.
    #[serde(default, rename = "block")]
    pub cell: u64,
    /// The server's state.
    pub health: Health,
    /// When the server started, in Unix milliseconds; 0 if that was long ago or is unknown.
    #[serde(default, rename = "born_ms")]
    pub started_ms: f64,
}

/// A server's state as reported by discovery.
#[derive(Deserialize, PartialEq, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Accepts new sessions.
    InService,
    /// Draining: accepts no new sessions.
    Terminating,
    /// Removed.
    Terminated,
}

impl EndpointList {
    /// Parses and validates the JSON text of a list.
    ///
    /// # Errors
    ///
    /// [`ListError`] if any part of the list is invalid.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        let list: EndpointList = serde_json::from_slice(text)?;
        for record in &list.records {
            if record.address.is_none() && record.health != Health::Terminated {
                return Err(ListError::NoAddress { host: record.host.clone() });
            }
        }
        Ok(list)
    }

    /// The servers in the load balancer's format, in the order of the records.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.records.iter().map(EndpointRecord::endpoint).collect()
    }

    /// The servers' addresses, in the order of the records.
    pub fn addresses(&self) -> impl Iterator<Item = Option<SocketAddr>> + Clone + '_ {
        self.records.iter().map(|record| record.address)
    }
}

impl EndpointRecord {
    fn endpoint(&self) -> Endpoint {
        Endpoint {
            server: self.host.as_str().into(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            started: (self.started_ms > 0.0).then(|| Timestamp::from_ms(self.started_ms)),
            state: match self.health {
                Health::InService => EndpointState::Active,
                Health::Terminating => EndpointState::Draining,
                Health::Terminated => EndpointState::Removed,
            },
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_list.rs"]
mod tests;
