//! Counts of open attempts and sessions, by which a host can check that none are leaked.

use crate::balancer::LoadBalancer;

/// Counts of the open attempts and sessions of one load balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Attempts that are neither established nor ended.
    pub pending_attempts: usize,
    /// Sessions whose connection to a server is established.
    pub established_sessions: usize,
    /// Sessions that have neither been given a final answer nor ended, including the established ones.
    pub open_sessions: usize,
}

impl LoadBalancer {
    /// Counts the open attempts and sessions.
    pub fn outstanding(&self) -> Outstanding {
        let servers = self.state.servers.all();
        Outstanding {
            pending_attempts: servers.iter().map(|server| server.pending_attempts.get() as usize).sum(),
            established_sessions: servers.iter().map(|server| server.sessions.borrow().len()).sum(),
            open_sessions: self.sessions.len(),
        }
    }
}
