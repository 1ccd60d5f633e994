//! Sessions that wait for something no event comes for. Guards against a walk over all that are at rest, which are
//! tens of thousands where few of them wait.

use crate::session::Session;
use shelfgrade::host::SessionId;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// In the order in which sessions came; who no longer waits is dropped with the next look.
#[derive(Default)]
pub struct PendingSessions(BTreeMap<SessionId, Weak<Session>>);

impl PendingSessions {
    pub fn add(&mut self, session: &Session) {
        self.0.insert(session.id, session.me.clone());
    }

    /// Those that still wait.
    pub fn look(&mut self, waits: impl Fn(&Session) -> bool) -> Vec<Rc<Session>> {
        let mut due = Vec::with_capacity(self.0.len());
        self.0.retain(|_, session| {
            let session = session.upgrade().filter(|session| waits(session));
            due.extend(session.clone());
            session.is_some()
        });
        due
    }
}
