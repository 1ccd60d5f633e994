//! Sessions that have to be checked periodically, as they wait for something that no socket event reports. Tracking
//! them separately avoids iterating over all sessions, most of which are idle.

use crate::session_table::SessionEntry;
use shelfgrade::host::SessionId;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// A set of sessions to be checked, in the order of their arrival.
pub struct PendingSessions<S>(BTreeMap<SessionId, Weak<S>>);

impl<S> Default for PendingSessions<S> {
    fn default() -> Self {
        PendingSessions(BTreeMap::new())
    }
}

impl<S: SessionEntry> PendingSessions<S> {
    pub fn add(&mut self, session: &S) {
        self.0.insert(session.id(), session.downgrade());
    }

    /// Removes the sessions for which `is_pending` does not hold, and returns the others.
    pub fn retain_pending(&mut self, is_pending: impl Fn(&S) -> bool) -> Vec<Rc<S>> {
        let mut pending = Vec::with_capacity(self.0.len());
        self.0.retain(|_, session| {
            let session = session.upgrade().filter(|session| is_pending(session));
            pending.extend(session.clone());
            session.is_some()
        });
        pending
    }
}
