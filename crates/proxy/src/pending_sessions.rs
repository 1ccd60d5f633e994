//! Sessions that wait for something that no socket event comes for. Keeping them apart saves a walk over all sessions,
//! most of which are idle.

use crate::session_table::SessionEntry;
use shelfgrade::host::SessionId;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// A set of waiting sessions, in the order in which they came.
pub struct PendingSessions<S>(BTreeMap<SessionId, Weak<S>>);

impl<S> Default for PendingSessions<S> {
    fn default() -> Self {
        PendingSessions(BTreeMap::new())
    }
}

impl<S: SessionEntry> PendingSessions<S> {
    /// Adds a session.
    pub fn add(&mut self, session: &S) {
        self.0.insert(session.id(), session.downgrade());
    }

    /// The sessions for which `is_pending` holds; all others are removed.
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
