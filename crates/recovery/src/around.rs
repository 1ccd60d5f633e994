//! What a comeback is told at its start, and what it asks of the process round it.

use crate::order::{Owed, State};
use shelfgrade::host::Endpoint;
use shelfgrade_fleet::{Entry, Seat, Surroundings};
use std::net::SocketAddr;
use std::time::Duration;

/// A line of the list to go by.
pub struct Line {
    pub listed: Endpoint,
    pub dial: Option<SocketAddr>,
}

/// What the comeback asks of the process, beside what the fleet does.
pub trait Around: Surroundings {
    /// Goes by these lines of the list from now on.
    fn follow(&mut self, lines: Vec<Line>, whole: bool);
    /// Watches discovery for all, or does not any longer.
    fn watch(&mut self, watches: bool);
    /// Another state of the return, and why.
    fn enters(&mut self, state: State, why: &str);
    /// A client key's connection was at this server, which started then, in Unix milliseconds; it may be remembered.
    fn held_before(&mut self, key: u64, server: &str, started_ms: f64);
    /// A list was not taken, and why.
    fn refused_list(&mut self, why: &str);
}

/// What the settings say of a return.
pub struct RecoverySettings {
    pub classes: Vec<Owed>,
    /// Shares of the customers, by their places in the settings.
    pub shares: Vec<f64>,
    /// How long the list is waited for, how long a server warms up, and how long a client stays away at most.
    pub wait: Duration,
    pub slow_start: Duration,
    pub most_pause: Duration,
}

/// What the fleet told in one call.
pub(crate) struct Heard<'a> {
    pub(crate) around: &'a mut dyn Around,
    pub(crate) entries: Vec<Entry>,
}

impl Surroundings for Heard<'_> {
    fn send(&mut self, to: Seat, datagram: Vec<u8>) {
        self.around.send(to, datagram);
    }
    fn entry(&mut self, entry: &Entry) {
        self.around.entry(entry);
        self.entries.push(entry.clone());
    }
    fn came(&mut self, seat: Seat) {
        self.around.came(seat);
    }
    fn went(&mut self, seat: Seat) {
        self.around.went(seat);
    }
    fn refused(&mut self, why: &'static str) {
        self.around.refused(why);
    }
}
