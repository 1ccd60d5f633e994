//! The connections that have yet to send their first line.

use crate::downstream::pending_connection::PendingConnection;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Connections in the order of their last sign of activity, the least recent first.
#[derive(Default)]
pub struct PendingConnectionTable {
    connections: BTreeMap<u64, Rc<PendingConnection>>,
    last_number: u64,
}

impl PendingConnectionTable {
    /// A number after all that were given out.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a connection under its number.
    pub fn insert(&mut self, connection: Rc<PendingConnection>) {
        self.connections.insert(connection.number.get(), connection);
    }

    /// Removes a connection, and gives it back if it was there.
    pub fn remove(&mut self, connection: &PendingConnection) -> Option<Rc<PendingConnection>> {
        self.connections.remove(&connection.number.get())
    }

    /// Whether a connection is here.
    pub fn contains(&self, connection: &PendingConnection) -> bool {
        self.connections.contains_key(&connection.number.get())
    }

    /// All connections, the least recently active first.
    pub fn values(&self) -> impl Iterator<Item = &Rc<PendingConnection>> {
        self.connections.values()
    }

    /// The least recently active connection.
    pub fn oldest(&self) -> Option<Rc<PendingConnection>> {
        self.connections.values().next().cloned()
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}
