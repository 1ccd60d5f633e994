//! The interface between [`Node`](crate::Node) and the process that embeds it.

use crate::admission::RecoveryState;
use shelfgrade::host::Endpoint;
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Environment, MemberId};
use std::net::SocketAddr;

/// The two clocks of a process, read at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The clock of the event loop, which timers use.
    pub now: Timestamp,
    /// The local Unix time in milliseconds, without clock correction.
    pub wall_ms: u64,
}

/// An endpoint and the address to connect to.
#[derive(Clone, Debug)]
pub struct EndpointAddress {
    /// The endpoint as passed to the load balancer.
    pub endpoint: Endpoint,
    /// The address at which this process reaches the server; `None` for a terminated server, or if neither discovery
    /// nor the start-up file has told it to this process.
    pub address: Option<SocketAddr>,
}

/// Whether a member calls discovery, and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryUse {
    /// The member does not call discovery: it receives the endpoint list from the pollers.
    Unused,
    /// The member polls for itself, as it reaches servers at other addresses than its peers, or does not know the
    /// addresses of all servers yet.
    OwnAddresses,
    /// The member polls on behalf of the fleet.
    Poller,
}

impl DiscoveryUse {
    /// Whether the member calls discovery.
    pub fn is_polling(self) -> bool {
        self != DiscoveryUse::Unused
    }
}

/// Receives the effects of [`Node`](crate::Node), in addition to those of the underlying fleet.
pub trait RecoveryEnvironment: Environment {
    /// Updates the endpoints to balance over. A complete list replaces the previous one; otherwise the given endpoints
    /// are changes to it.
    fn apply_endpoints(&mut self, endpoints: Vec<EndpointAddress>, is_complete: bool);
    /// Starts, continues or stops polling discovery. A member that starts has to request the complete list first: the
    /// version of the last list that it received itself says nothing about what its peers have shared since.
    fn set_discovery_use(&mut self, discovery_use: DiscoveryUse);
    /// Called when the recovery state has changed or was confirmed; `reason` is for the log.
    fn state_changed(&mut self, state: RecoveryState, reason: &str);
    /// Restores the flow table entry for a key hash. The connection was on `server`, which started at `started_ms`
    /// (Unix time in milliseconds) and has not been restarted since.
    fn restore_flow(&mut self, key: u64, server: &str, started_ms: f64);
    /// Called when an endpoint list was rejected, or part of it could not be shared with the peers; `reason` is for the
    /// log.
    fn list_rejected(&mut self, reason: &str);
}

/// Forwards the effects of a call to the fleet, and records the entries that the call changed.
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
