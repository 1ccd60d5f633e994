//! The connections that have yet to send their first line.

use crate::downstream::pending_connection::{PendingConnection, PendingConnectionOwner};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Connections in the order of their last sign of activity, the least recent first.
pub struct PendingConnectionTable<T: PendingConnectionOwner> {
    connections: BTreeMap<u64, Rc<PendingConnection<T>>>,
    last_number: u64,
}

impl<T: PendingConnectionOwner> Default for PendingConnectionTable<T> {
    fn default() -> Self {
        PendingConnectionTable { connections: BTreeMap::new(), last_number: 0 }
    }
}

impl<T: PendingConnectionOwner> PendingConnectionTable<T> {
    /// A number after all that were given out.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a connection under its number.
    pub fn insert(&mut self, connection: Rc<PendingConnection<T>>) {
        self.connections.insert(connection.number.get(), connection);
    }

    /// Removes a connection, and gives it back if it was there.
    pub fn remove(&mut self, connection: &PendingConnection<T>) -> Option<Rc<PendingConnection<T>>> {
        self.connections.remove(&connection.number.get())
    }

    /// Whether a connection is here.
    pub fn contains(&self, connection: &PendingConnection<T>) -> bool {
        self.connections.contains_key(&connection.number.get())
    }

    /// All connections, the least recently active first.
    pub fn values(&self) -> impl Iterator<Item = &Rc<PendingConnection<T>>> {
        self.connections.values()
    }

    /// The least recently active connection.
    pub fn oldest(&self) -> Option<Rc<PendingConnection<T>>> {
        self.connections.values().next().cloned()
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}
