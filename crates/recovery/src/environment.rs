//! What a comeback is told at its start, and what it asks of the process round it.

use crate::admission::{ClassPriority, RecoveryState};
use shelfgrade::host::Endpoint;
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Environment, MemberId};
use std::net::SocketAddr;
use std::time::Duration;

/// The two clocks of a process at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The event loop's clock, which timeouts go by.
    pub now: Timestamp,
    /// This machine's Unix time in milliseconds, uncorrected.
    pub wall_ms: u64,
}

/// A line of the list to go by.
pub struct EndpointAddress {
    pub endpoint: Endpoint,
    pub address: Option<SocketAddr>,
}

/// What the comeback asks of the process, beside what the fleet does.
pub trait RecoveryEnvironment: Environment {
    /// Goes by these lines of the list from now on.
    fn apply_endpoints(&mut self, lines: Vec<EndpointAddress>, whole: bool);
    /// Watches discovery for all, or does not any longer.
    fn set_polling(&mut self, watches: bool);
    /// Another state of the return, and why.
    fn state_changed(&mut self, state: RecoveryState, why: &str);
    /// A client key's connection was at this server, which started then, in Unix milliseconds; it may be remembered.
    fn restore_flow(&mut self, key: u64, server: &str, started_ms: f64);
    /// A list was not taken, and why.
    fn list_rejected(&mut self, why: &str);
}

/// What the settings say of a return.
pub struct RecoverySettings {
    pub classes: Vec<ClassPriority>,
    /// Shares of the customers, by their places in the settings.
    pub customer_shares: Vec<f64>,
    /// How long the list is waited for, how long a server warms up, and how long a client stays away at most.
    pub list_wait: Duration,
    pub slow_start: Duration,
    pub max_retry_after: Duration,
}

/// What the fleet told in one call.
pub(crate) struct EnvironmentRecorder<'a> {
    pub(crate) environment: &'a mut dyn RecoveryEnvironment,
    pub(crate) entries: Vec<Entry>,
}

impl Environment for EnvironmentRecorder<'_> {
    fn send(&mut self, to: MemberId, datagram: Vec<u8>) {
        self.environment.send(to, datagram);
    }
    fn entry_changed(&mut self, entry: &Entry) {
        self.environment.entry_changed(entry);
        self.entries.push(entry.clone());
    }
    fn member_joined(&mut self, member: MemberId) {
        self.environment.member_joined(member);
    }
    fn member_left(&mut self, member: MemberId) {
        self.environment.member_left(member);
    }
    fn datagram_rejected(&mut self, why: &'static str) {
        self.environment.datagram_rejected(why);
    }
}
