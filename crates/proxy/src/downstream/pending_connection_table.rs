//! The table of pending connections: those that have not sent their first line yet.

use crate::downstream::pending_connection::{PendingConnection, PendingConnectionOwner};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Pending connections, ordered from the least to the most recently active.
pub struct PendingConnectionTable<T: PendingConnectionOwner> {
    connections: BTreeMap<u64, Rc<PendingConnection<T>>>,
    last_sequence: u64,
}
impl<T: PendingConnectionOwner> Default for PendingConnectionTable<T> {
    fn default() -> Self {
        PendingConnectionTable { connections: BTreeMap::new(), last_sequence: 0 }
    }
}

impl<T: PendingConnectionOwner> PendingConnectionTable<T> {
    /// Allocates a sequence number higher than all before.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Adds a connection under its sequence number.
    pub fn insert(&mut self, connection: Rc<PendingConnection<T>>) {
        self.connections.insert(connection.activity_sequence.get(), connection);
    }

    /// Removes a connection. Returns it if the table contained it.
    pub fn remove(&mut self, connection: &PendingConnection<T>) -> Option<Rc<PendingConnection<T>>> {
        self.connections.remove(&connection.activity_sequence.get())
    }

    pub fn contains(&self, connection: &PendingConnection<T>) -> bool {
        self.connections.contains_key(&connection.activity_sequence.get())
    }

    /// All connections, from the least to the most recently active.
    pub fn values(&self) -> impl Iterator<Item = &Rc<PendingConnection<T>>> {
        self.connections.values()
    }

    pub fn least_recently_active(&self) -> Option<Rc<PendingConnection<T>>> {
        self.connections.values().next().cloned()
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }
}
