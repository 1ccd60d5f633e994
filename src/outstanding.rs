//! What the decisions have on their books: for a host that wants to see that nothing is left over.

use crate::balancer::LoadBalancer;

/// Connects that wait for a word, connections that stand, and sessions that are neither answered nor over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    pub pending_attempts: usize,
    pub established_sessions: usize,
    pub open_sessions: usize,
}

impl LoadBalancer {
    pub fn outstanding(&self) -> Outstanding {
        let servers = self.shelf.servers.borrow();
        Outstanding {
            pending_attempts: servers.iter().map(|s| s.waiting.get() as usize).sum(),
            established_sessions: servers.iter().map(|s| s.held.borrow().len()).sum(),
            open_sessions: self.sessions.len(),
        }
    }
}
