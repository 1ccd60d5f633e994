//! What the decisions have on their books: for a host that wants to see that nothing is left over.

use crate::choice::LoadBalancer;

/// Connects that wait for a word, connections that stand, and sessions that are neither answered nor over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    pub out: usize,
    pub held: usize,
    pub sessions: usize,
}

impl LoadBalancer {
    pub fn outstanding(&self) -> Outstanding {
        let servers = self.shelf.servers.borrow();
        Outstanding {
            out: servers.iter().map(|s| s.waiting.get() as usize).sum(),
            held: servers.iter().map(|s| s.held.borrow().len()).sum(),
            sessions: self.sessions.len(),
        }
    }
}
