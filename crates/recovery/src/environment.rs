//! The interface between [`Node`](crate::Node) and the process that runs it.

use crate::admission::RecoveryState;
use shelfgrade::host::Endpoint;
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Environment, MemberId};
use std::net::SocketAddr;

/// The two clocks of a process, read at the same moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The clock of the event loop, which timers go by.
    pub now: Timestamp,
    /// This machine's Unix time in milliseconds, uncorrected.
    pub wall_ms: u64,
}

/// An endpoint with the address to connect to.
#[derive(Clone, Debug)]
pub struct EndpointAddress {
    /// The endpoint as the balancer takes it.
    pub endpoint: Endpoint,
    /// None where the endpoint list does not state it.
    pub address: Option<SocketAddr>,
}

/// Effects of [`Node`](crate::Node), in addition to those of the fleet below it.
pub trait RecoveryEnvironment: Environment {
    /// Balances over these endpoints from now on. A complete list replaces the previous one, otherwise the endpoints
    /// are an update to it.
    fn apply_endpoints(&mut self, endpoints: Vec<EndpointAddress>, is_complete: bool);
    /// Starts or stops polling discovery on behalf of all members.
    fn set_polling(&mut self, is_poller: bool);
    /// The recovery state has changed or been confirmed; `reason` is for the log.
    fn state_changed(&mut self, state: RecoveryState, reason: &str);
    /// The flow with this key hash was on `server`, which started at `started_ms` (Unix time in milliseconds) and has
    /// not been restarted since: its entry in the flow table may be restored.
    fn restore_flow(&mut self, key: u64, server: &str, started_ms: f64);
    /// An endpoint list was not accepted, or part of it could not be shared; `reason` is for the log.
    fn list_rejected(&mut self, reason: &str);
}

/// Passes the effects of one call of the fleet on, and records the entries that it changed.
pub(crate) struct EnvironmentRecorder<'a> {
    pub(crate) environment: &'a mut dyn RecoveryEnvironment,
    pub(crate) changed_entries: Vec<Entry>,
}

impl<'a> EnvironmentRecorder<'a> {
    pub(crate) fn new(environment: &'a mut dyn RecoveryEnvironment) -> Self {
        EnvironmentRecorder { environment, changed_entries: Vec::new() }
    }
}

impl Environment for EnvironmentRecorder<'_> {
    fn send(&mut self, to: MemberId, datagram: Vec<u8>) {
        self.environment.send(to, datagram);
    }
    fn entry_changed(&mut self, entry: &Entry) {
        self.environment.entry_changed(entry);
        self.changed_entries.push(entry.clone());
    }
    fn member_joined(&mut self, member: MemberId) {
        self.environment.member_joined(member);
    }
    fn member_left(&mut self, member: MemberId) {
        self.environment.member_left(member);
    }
    fn datagram_rejected(&mut self, reason: &'static str) {
        self.environment.datagram_rejected(reason);
    }
}
