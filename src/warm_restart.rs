//! State that a host keeps across a restart, and the quota that it assigns to this proxy.

use crate::balancer::LoadBalancer;
use crate::state::Server;
use crate::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// The server that holds, or recently held, the connection of a client key.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowEntry {
    /// Hash of the client key.
    pub key: u64,
    /// The server's id.
    pub server: String,
    /// When that server had started; `None` if it started long ago.
    pub started: Option<Timestamp>,
}

impl LoadBalancer {
    /// Sets this proxy's quota of the total capacity as a multiple of an even share among the proxies; initially 1.
    pub fn set_quota_fraction(&self, fraction: f64) {
        self.state.quota_fraction.set(fraction);
    }

    /// Returns the number of proxies in the settings, including this one.
    pub fn proxy_count(&self) -> f64 {
        self.state.proxy_count
    }

    /// Returns the entries of the flow table, sorted by the hash of the key.
    pub fn flow_entries(&self) -> Vec<FlowEntry> {
        self.state.flows.entries()
    }

    /// Restores a flow table entry of an earlier incarnation for `lifetime`. Returns whether it was restored, which
    /// requires that its server is active and has not restarted since.
    pub fn restore_flow(&mut self, entry: &FlowEntry, lifetime: Duration, now: Timestamp) -> bool {
        let is_unchanged = |server: &Rc<Server>| server.started.get() == entry.started && server.is_active();
        let Some(server) = self.state.servers.find(&entry.server).filter(is_unchanged) else { return false };
        self.state.flows.restore(entry.key, &server, now + lifetime);
        true
    }
}
