//! The sessions of the process by their ids.

use crate::session::Session;
use shelfgrade::host::SessionId;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// All sessions whose connections are not closed yet, and the request ids that their clients sent.
#[derive(Default)]
pub struct SessionTable {
    sessions: BTreeMap<SessionId, Rc<Session>>,
    request_ids: BTreeSet<u64>,
    last_id: u64,
}

impl SessionTable {
    /// An id that no session of this process has had.
    pub fn next_id(&mut self) -> SessionId {
        self.last_id += 1;
        SessionId(self.last_id)
    }

    /// Adds a session.
    pub fn insert(&mut self, session: &Rc<Session>) {
        self.sessions.insert(session.id, session.clone());
        self.request_ids.insert(session.opening.id);
    }

    /// Removes a session, and frees its request id.
    pub fn remove(&mut self, session: &Session) {
        self.sessions.remove(&session.id);
        self.request_ids.remove(&session.opening.id);
    }

    /// The session of this id.
    pub fn get(&self, id: SessionId) -> Option<&Rc<Session>> {
        self.sessions.get(&id)
    }

    /// Whether there is a session of this id.
    pub fn contains(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// Whether a session came with this request id.
    pub fn has_request_id(&self, request_id: u64) -> bool {
        self.request_ids.contains(&request_id)
    }

    /// All sessions, in the order in which they came.
    pub fn values(&self) -> impl Iterator<Item = &Rc<Session>> {
        self.sessions.values()
    }

    /// How many sessions there are.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }
}
