//! Divides the descriptor limit of the process between sessions, health checks, and pending connections, which have
//! not sent their first line yet.

/// A session has one connection to the client and one to the server.
const DESCRIPTORS_PER_SESSION: usize = 2;
/// Descriptors for the listener, discovery, the event loop and the log.
const PROCESS_DESCRIPTORS: usize = 24;

/// The descriptor limit, and how much of it each kind of connection may use.
#[derive(Clone, Copy)]
pub struct DescriptorBudget {
    limit: usize,
}

impl DescriptorBudget {
    /// Creates a budget for a process that may open `limit` descriptors.
    pub fn new(limit: usize) -> Self {
        DescriptorBudget { limit }
    }

    /// Descriptors reserved for pending connections, so that clients are accepted and get a response even if sessions
    /// use up the rest.
    fn reserved_for_pending_connections(&self) -> usize {
        self.limit / 16
    }

    fn committed(&self, sessions: usize, health_checks: usize) -> usize {
        DESCRIPTORS_PER_SESSION * sessions + health_checks + PROCESS_DESCRIPTORS
    }

    /// The maximum number of pending connections: the descriptors left over, but at most a quarter of the limit, which
    /// is far more than are pending at once if all clients send their first line.
    pub fn max_pending_connections(&self, sessions: usize, health_checks: usize) -> usize {
        let available = self.limit.saturating_sub(self.committed(sessions, health_checks));
        available.clamp(self.reserved_for_pending_connections(), self.limit / 4)
    }

    /// Whether there are descriptors for one more session.
    pub fn has_capacity_for_session(&self, sessions: usize, health_checks: usize) -> bool {
        let committed = self.committed(sessions, health_checks);
        committed + DESCRIPTORS_PER_SESSION + self.reserved_for_pending_connections() <= self.limit
    }

    /// The maximum number of health check connections besides the given number of sessions.
    pub fn max_health_checks(&self, sessions: usize) -> usize {
        let other_descriptors = self.committed(sessions, 0) + self.reserved_for_pending_connections();
        self.limit.saturating_sub(other_descriptors)
    }
}
