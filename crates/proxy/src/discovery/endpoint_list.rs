//! The server list in discovery's form.

use serde::Deserialize;
use shelfgrade::host::{Endpoint, EndpointState};
use shelfgrade::time::Timestamp;
use std::net::SocketAddr;
use std::time::SystemTime;

/// Why a list is refused, which is always whole: the one held before goes on.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    #[error("no list of servers ({0}): see what writes it, and that every entry has `host` and `health`")]
    Form(#[from] serde_json::Error),
    #[error("a list in which {host} has no address: give it a `dial`, or say that it is `terminated`")]
    NoAddress { host: String },
}

#[derive(Deserialize, Default)]
pub struct EndpointList {
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default, rename = "hosts")]
    pub entries: Vec<Entry>,
    /// Discovery's own time as it told this, where it says so.
    #[serde(skip)]
    pub told_at: Option<SystemTime>,
}

#[derive(Deserialize)]
pub struct Entry {
    pub host: String,
    /// Where to connect; one that is gone may have none.
    pub dial: Option<SocketAddr>,
    #[serde(default)]
    pub site: String,
    #[serde(default, rename = "class")]
    pub kind: String,
    #[serde(default)]
    pub block: u64,
    pub health: Health,
    #[serde(default)]
    pub born_ms: f64,
}

#[derive(Deserialize, PartialEq, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    InService,
    Terminating,
    Terminated,
}

impl EndpointList {
    /// Reads an answer; one with any part that makes no sense is refused whole.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        let list: EndpointList = serde_json::from_slice(text)?;
        for entry in &list.entries {
            if entry.dial.is_none() && entry.health != Health::Terminated {
                return Err(ListError::NoAddress { host: entry.host.clone() });
            }
        }
        Ok(list)
    }

    /// The list in the module's form, line by line as the entries stand here.
    pub fn lines(&self) -> Vec<Endpoint> {
        self.entries.iter().map(Entry::line).collect()
    }
}

impl Entry {
    fn line(&self) -> Endpoint {
        Endpoint {
            server: self.host.as_str().into(),
            zone: self.site.clone(),
            kind: self.kind.clone(),
            cell: self.block,
            started: (self.born_ms > 0.0).then(|| Timestamp::from_ms(self.born_ms)),
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
