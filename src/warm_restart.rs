//! What a host carries over a restart, and the quota that it assigns.

use crate::balancer::LoadBalancer;
use crate::state::Server;
use crate::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// Which server holds, or recently held, a client key's connection.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowEntry {
    /// Hash of the client key.
    pub key: u64,
    /// The server's id.
    pub server: String,
    /// When that server had started; none for long ago.
    pub started: Option<Timestamp>,
}

impl LoadBalancer {
    /// Sets this proxy's quota of the fleet's capacity, as a multiple of an even share; 1 at the start.
    pub fn set_quota_fraction(&self, fraction: f64) {
        self.state.quota_fraction.set(fraction);
    }

    /// How many proxies the settings name, this one included.
    pub fn proxies(&self) -> f64 {
        self.state.proxies
    }

    /// The flow table, in the order of the keys' hashes.
    pub fn flow_entries(&self) -> Vec<FlowEntry> {
        self.state.flows.entries()
    }

    /// Restores a flow of an earlier incarnation, for `lifetime`. True where its server is active and has not restarted
    /// since.
    pub fn restore_flow(&mut self, entry: &FlowEntry, lifetime: Duration, now: Timestamp) -> bool {
        let is_same = |server: &Rc<Server>| server.started.get() == entry.started && server.is_active();
        let Some(server) = self.state.servers.find(&entry.server).filter(is_same) else { return false };
        self.state.flows.restore(entry.key, &server, now + lifetime);
        true
    }
}
