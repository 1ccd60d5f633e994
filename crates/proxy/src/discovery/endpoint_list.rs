//! The endpoint list in discovery's JSON form.

use serde::Deserialize;
use shelfgrade::host::{Endpoint, EndpointState};
use shelfgrade::time::Timestamp;
use std::net::SocketAddr;
use std::time::SystemTime;

/// Why a list is rejected. No part of it is applied, and the one held before stays in force.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The text is not JSON of this form.
    #[error("no list of servers ({0}): see what writes it, and that every entry has `host` and `health`")]
    Form(#[from] serde_json::Error),
    /// A server that is not terminated has no address.
    #[error("a list in which {host} has no address: give it a `dial`, or say that it is `terminated`")]
    NoAddress { host: String },
}

/// One version of the endpoint list, or the changes that lead to it.
#[derive(Deserialize, Default)]
pub struct EndpointList {
    /// Discovery's version number; it counts from the start again when discovery is restarted.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether all servers are here: one that is absent is gone. Otherwise the list holds changed servers only.
    #[serde(default, rename = "whole")]
    pub is_complete: bool,
    #[serde(default, rename = "hosts")]
    pub records: Vec<EndpointRecord>,
    /// Discovery's clock when it sent the response, where the response says so.
    #[serde(skip)]
    pub sent_at: Option<SystemTime>,
}

/// One server of the list.
#[derive(Deserialize)]
pub struct EndpointRecord {
    pub host: String,
    /// Where to connect; a terminated server may have none.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    #[serde(default, rename = "site")]
    pub zone: String,
    #[serde(default, rename = "class")]
    pub kind: String,
    #[serde(default, rename = "block")]
    pub cell: u64,
    pub health: Health,
    /// When the server started, in Unix milliseconds; 0 where that was long ago or is unknown.
    #[serde(default, rename = "born_ms")]
    pub started_ms: f64,
}

/// A server's state as discovery has it.
#[derive(Deserialize, PartialEq, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    InService,
    Terminating,
    Terminated,
}

impl EndpointList {
    /// Reads a response's body.
    ///
    /// # Errors
    ///
    /// [`ListError`] if any part of it cannot be used.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        let list: EndpointList = serde_json::from_slice(text)?;
        for record in &list.records {
            if record.address.is_none() && record.health != Health::Terminated {
                return Err(ListError::NoAddress { host: record.host.clone() });
            }
        }
        Ok(list)
    }

    /// The list as the load balancer takes it, in the order of the records.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.records.iter().map(EndpointRecord::endpoint).collect()
    }

    /// The addresses, in the order of the records.
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
