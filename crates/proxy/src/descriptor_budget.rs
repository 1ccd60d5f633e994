//! Splits the process's descriptor limit between sessions, health checks and connections without a first line.

/// One connection to the client and one to the server.
const DESCRIPTORS_PER_SESSION: usize = 2;
/// For the listener, discovery, the event loop and the log.
const DESCRIPTORS_OF_THE_PROCESS: usize = 24;

/// The descriptor limit, and what each kind of connection may take of it.
#[derive(Clone, Copy)]
pub struct DescriptorBudget {
    limit: usize,
}

impl DescriptorBudget {
    /// `limit`: descriptors that the process may open.
    pub fn new(limit: usize) -> Self {
        DescriptorBudget { limit }
    }

    /// Kept free for connections without a first line, whatever else is held: clients are accepted even then.
    fn reserved_for_pending_connections(&self) -> usize {
        self.limit / 16
    }

    fn committed(&self, sessions: usize, health_checks: usize) -> usize {
        DESCRIPTORS_PER_SESSION * sessions + health_checks + DESCRIPTORS_OF_THE_PROCESS
    }

    /// How many connections without a first line may be held: what is left over, a quarter of the limit at most, which
    /// is far more than come at once where all clients send their first line.
    pub fn max_pending_connections(&self, sessions: usize, health_checks: usize) -> usize {
        let left = self.limit.saturating_sub(self.committed(sessions, health_checks));
        left.clamp(self.reserved_for_pending_connections(), self.limit / 4)
    }

    /// Whether one more session is sure to find descriptors.
    pub fn has_capacity_for_session(&self, sessions: usize, health_checks: usize) -> bool {
        let committed = self.committed(sessions, health_checks);
        committed + DESCRIPTORS_PER_SESSION + self.reserved_for_pending_connections() <= self.limit
    }

    /// How many health check connections may be held next to so many sessions.
    pub fn max_health_checks(&self, sessions: usize) -> usize {
        let others = self.committed(sessions, 0) + self.reserved_for_pending_connections();
        self.limit.saturating_sub(others)
    }
}
