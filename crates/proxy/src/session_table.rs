//! The table of all sessions of the process.

use shelfgrade::host::SessionId;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};

/// What a table needs to know about the sessions that it contains.
pub trait SessionEntry {
    /// The session's id in this process.
    fn id(&self) -> SessionId;
    /// The request id that the client sent.
    fn request_id(&self) -> u64;
    /// A reference that does not keep the session alive.
    fn downgrade(&self) -> Weak<Self>;
}

/// All sessions that are not closed yet, by id, and their request ids.
pub struct SessionTable<S> {
    sessions: BTreeMap<SessionId, Rc<S>>,
    request_ids: BTreeSet<u64>,
    last_id: u64,
}

impl<S> Default for SessionTable<S> {
    fn default() -> Self {
        SessionTable { sessions: BTreeMap::new(), request_ids: BTreeSet::new(), last_id: 0 }
    }
}

impl<S: SessionEntry> SessionTable<S> {
    /// Allocates a session id that has not been used in this process.
    pub fn allocate_id(&mut self) -> SessionId {
        self.last_id += 1;
        SessionId(self.last_id)
    }

    pub fn insert(&mut self, session: &Rc<S>) {
        self.sessions.insert(session.id(), session.clone());
        self.request_ids.insert(session.request_id());
    }

    /// Removes a session and its request id.
    pub fn remove(&mut self, session: &S) {
        self.sessions.remove(&session.id());
        self.request_ids.remove(&session.request_id());
    }

    pub fn get(&self, id: SessionId) -> Option<&Rc<S>> {
        self.sessions.get(&id)
    }

    pub fn contains(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    pub fn has_request_id(&self, request_id: u64) -> bool {
        self.request_ids.contains(&request_id)
    }

    /// All sessions in the order of their arrival.
    pub fn values(&self) -> impl Iterator<Item = &Rc<S>> {
        self.sessions.values()
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }
}
