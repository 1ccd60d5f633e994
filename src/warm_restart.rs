//! What a host may hand over from an earlier life of the proxy, and take from this one; nothing is decided here.

use crate::balancer::LoadBalancer;
use crate::host::EndpointState;
use crate::record::Known;
use crate::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// A client key's hash, the server where its connection stands or stood, and when that server started.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowEntry {
    pub key: u64,
    pub server: String,
    pub started: Option<Timestamp>,
}

impl LoadBalancer {
    /// What this proxy may do of what the fleet may, in parts of one proxy's: 1 is as ever.
    pub fn set_quota_fraction(&self, parts: f64) {
        self.shelf.parts.set(parts);
    }

    /// How many proxies the settings tell of, this one included.
    pub fn proxies(&self) -> f64 {
        self.shelf.proxies
    }

    /// Where clients' connections stand or stood a short while ago, in the order of the keys' hashes.
    pub fn flow_entries(&self) -> Vec<FlowEntry> {
        let table = self.shelf.table.borrow();
        let there = table.iter().filter_map(|(key, known)| Some((*key, known.server()?)));
        let line = |(key, server): (u64, Rc<crate::record::Server>)| FlowEntry {
            key,
            server: server.id.to_string(),
            started: server.started.get(),
        };
        there.map(line).collect()
    }

    /// Takes in what an earlier life remembered, for so long; true where the server is there and has not started since.
    pub fn restore_flow(&mut self, remembered: &FlowEntry, within: Duration, now: Timestamp) -> bool {
        let server = self.shelf.find(&remembered.server).filter(|server| {
            server.started.get() == remembered.started && server.state.get() == EndpointState::Active
        });
        let Some(server) = server else { return false };
        let mut table = self.shelf.table.borrow_mut();
        table.entry(remembered.key).or_insert_with(|| Known::at(&server, now + within));
        true
    }
}
