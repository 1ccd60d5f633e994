//! Migrates this proxy's clients away before it shuts down.

use super::LoadBalancer;
use crate::host::Host;

impl LoadBalancer {
    /// Migrates an equal share of the established sessions with each call, where `calls_left` includes this call. If
    /// all sessions were migrated at once, their clients would reconnect at once.
    pub fn migrate_sessions(&mut self, calls_left: usize, host: &mut dyn Host) {
        let remaining = || {
            let sessions = self.sessions.values();
            sessions.filter(|session| session.established.get() && !session.closing.get())
        };
        for session in remaining().take(remaining().count().div_ceil(calls_left.max(1))) {
            session.closing.set(true);
            host.migrate(session.id);
        }
    }
}
