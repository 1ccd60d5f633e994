//! How this proxy's connections spread over the servers, and which servers have far more than the mean.

use crate::state::Server;
use std::rc::Rc;

/// A server is overfull from this many times the mean number of connections on.
const SKIP_FACTOR: f64 = 2.0;
/// An overfull server has at least this many connections more than the mean.
const SKIP_MARGIN: f64 = 3.0;

/// Connections of this proxy at the active servers that a session may go to.
#[derive(Clone, Copy, Default)]
pub(super) struct FleetLoad {
    servers: f64,
    pub(super) open: f64,
    pending: f64,
}

impl FleetLoad {
    pub(super) fn of(servers: &[Rc<Server>]) -> Self {
        let mut load = FleetLoad::default();
        for server in servers.iter().filter(|server| server.is_active()) {
            load.servers += 1.0;
            load.open += server.open_connections();
            load.pending += f64::from(server.pending_attempts.get());
        }
        load
    }

    /// Whether a server has far more connections than the mean. Pending ones count by themselves too, as they pile up
    /// at a slow server.
    pub(super) fn is_overfull(&self, server: &Server) -> bool {
        self.exceeds_mean(server.open_connections(), self.open)
            || self.exceeds_mean(f64::from(server.pending_attempts.get()), self.pending)
    }

    fn exceeds_mean(&self, count: f64, total: f64) -> bool {
        count * self.servers > SKIP_FACTOR * total && count >= total / self.servers + SKIP_MARGIN
    }
}
