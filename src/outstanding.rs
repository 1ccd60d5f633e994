//! Counts of what is outstanding, by which a host can check that nothing is left over.

use crate::balancer::LoadBalancer;

/// What is outstanding in the decisions of one proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Attempts that are neither established nor ended.
    pub pending_attempts: usize,
    /// Sessions whose connections are established at some server.
    pub established_sessions: usize,
    /// Sessions that are neither answered nor over, established ones included.
    pub open_sessions: usize,
}

impl LoadBalancer {
    /// Counts what is outstanding.
    pub fn outstanding(&self) -> Outstanding {
        let servers = self.state.servers.all();
        Outstanding {
            pending_attempts: servers.iter().map(|server| server.pending_attempts.get() as usize).sum(),
            established_sessions: servers.iter().map(|server| server.sessions.borrow().len()).sum(),
            open_sessions: self.sessions.len(),
        }
    }
}
