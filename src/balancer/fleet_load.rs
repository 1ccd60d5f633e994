//! How this proxy's connections are distributed over the servers, and which servers have far more than the mean.

use crate::state::Server;
use std::rc::Rc;

/// An overfull server has more than this many times the mean number of connections.
const OVERFULL_FACTOR: f64 = 2.0;
/// An overfull server also has at least this many connections more than the mean.
const OVERFULL_MARGIN: f64 = 3.0;

/// Totals of this proxy's connections to the active servers that a session may be sent to.
#[derive(Clone, Copy, Default)]
pub(super) struct ConnectionTotals {
    server_count: f64,
    pub(super) open: f64,
    pending: f64,
}

impl ConnectionTotals {
    pub(super) fn of(servers: &[Rc<Server>]) -> Self {
        let mut totals = ConnectionTotals::default();
        for server in servers.iter().filter(|server| server.is_active()) {
            totals.server_count += 1.0;
            totals.open += server.open_connections();
            totals.pending += f64::from(server.pending_attempts.get());
        }
        totals
    }

    /// Whether a server has far more connections than the mean. Pending connections are also compared on their own,
    /// because they accumulate at a slow server.
    pub(super) fn is_overfull(&self, server: &Server) -> bool {
        self.exceeds_mean(server.open_connections(), self.open)
            || self.exceeds_mean(f64::from(server.pending_attempts.get()), self.pending)
    }

    fn exceeds_mean(&self, count: f64, total: f64) -> bool {
        count * self.server_count > OVERFULL_FACTOR * total
            && count >= total / self.server_count + OVERFULL_MARGIN
    }
}
