//! The recovery state machine of a fleet member: holds its state, runs its timers and dispatches to the components.

mod agreement;
mod discovery;
mod list_acceptance;
mod persistence;
mod polling;
mod shared_entries;
mod startup;

use crate::admission::{RecoveryRamp, RecoveryState, Requester};
use crate::environment::{
    ClockReading, DiscoveryUse, EndpointAddress, EnvironmentRecorder, RecoveryEnvironment,
};
use crate::list_history::ListHistory;
use crate::local_addresses::LocalAddresses;
use crate::poller_election::PollerElection;
use crate::server_record::{list_digest, ServerHealth, ServerRecord};
use crate::snapshot::SessionRecord;
use nanorand::{Rng, WyRand};
use shelfgrade::host::{AdmissionTurn, Endpoint, EndpointState};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::Fleet;
use std::collections::BTreeMap;
use std::time::Duration;

/// Timer interval during recovery, while clients may be waiting.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// Timer interval in normal operation; equal to the probe interval of the membership protocol.
const SERVING_INTERVAL: Duration = Duration::from_millis(1000);
/// Changes of the clock correction up to this many milliseconds are ignored: network latency can cause them.
const CLOCK_CORRECTION_TOLERANCE_MS: u64 = 1000;

/// The recovery state machine of a fleet member: restores its snapshot, agrees with its peers on the endpoint list, and
/// decides when to admit traffic.
pub struct Node {
    fleet: Fleet,
    election: PollerElection,
    list_history: ListHistory,
    ramp: RecoveryRamp,
    /// The endpoint list that the members share, including terminated servers.
    records: BTreeMap<String, ServerRecord>,
    /// The addresses at which this process reaches the servers of the list.
    addresses: LocalAddresses,
    /// Records that this process has received from discovery and that are later in the life of a server than the shared
    /// ones, although the version of those is higher.
    received_later: BTreeMap<String, ServerRecord>,
    restored: RestoredRecords,
    /// The endpoints to use if no endpoint list is received in time.
    fallback_endpoints: Vec<Endpoint>,
    /// Sessions of the previous incarnation, kept until the endpoint list shows which of them are still valid.
    restored_sessions: Vec<SessionRecord>,
    /// Whether the endpoint list was received from discovery or matches the one that the pollers report.
    is_list_agreed: bool,
    discovery_use: DiscoveryUse,
    /// The epoch of the last list that this process received from discovery; `None` if it does not poll. Updates that
    /// follow that list can be applied only to a list of the same epoch.
    received_epoch: Option<u64>,
    last_discovery_answer: Option<Timestamp>,
    next_heartbeat: Timestamp,
    /// The clock correction used for the start times of the applied endpoints, in milliseconds.
    applied_correction_ms: i64,
    /// The sequence number of the last snapshot.
    snapshot_sequence: u64,
    rng: WyRand,
}

/// Server records of the previous incarnation, which are not shared with the peers.
#[derive(Default)]
struct RestoredRecords {
    epoch: u64,
    records: BTreeMap<String, ServerRecord>,
}

impl Node {
    /// The fleet state machine of this node.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The fleet state machine, for writing other entries to its replicated map.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// The current stage of the recovery.
    pub fn state(&self) -> RecoveryState {
        self.ramp.state()
    }

    /// Whether this node polls discovery, and for whom.
    pub fn discovery_use(&self) -> DiscoveryUse {
        self.discovery_use
    }

    /// The fraction of the fleet's quota that this node may currently use, from 0 to 1.
    pub fn quota_fraction(&self, now: Timestamp) -> f64 {
        self.fleet.quota_fraction(now)
    }

    /// Returns the admission turn of an arriving request; `None` in normal operation. `key` is a hash of the client's
    /// key.
    pub fn admission_turn(
        &mut self,
        requester: Requester,
        key: u64,
        now: Timestamp,
    ) -> Option<AdmissionTurn> {
        let random_unit = f64::from(self.rng.generate::<f32>());
        self.ramp.admission_turn(requester, key, random_unit, now)
    }

    /// Records that the request of the last call to [`Node::admission_turn`] was admitted.
    pub fn record_admission(&mut self) {
        self.ramp.record_admission();
    }

    /// Processes a datagram received from a peer.
    pub fn on_datagram(
        &mut self,
        datagram: &[u8],
        clock: ClockReading,
        environment: &mut dyn RecoveryEnvironment,
    ) {
        let mut recorder = EnvironmentRecorder::new(environment);
        self.fleet.on_datagram(datagram, clock.now, clock.wall_ms, &mut recorder);
        let changed_entries = recorder.changed_entries;
        self.apply_entries(changed_entries, clock.now, environment);
    }

    /// The time at which [`Node::on_timer`] has to be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        self.fleet.next_wakeup().min(self.next_heartbeat)
    }

    /// Runs the timers that are due.
    pub fn on_timer(&mut self, clock: ClockReading, environment: &mut dyn RecoveryEnvironment) {
        let mut recorder = EnvironmentRecorder::new(environment);
        self.fleet.on_timer(clock.now, clock.wall_ms, &mut recorder);
        let changed_entries = recorder.changed_entries;
        self.apply_entries(changed_entries, clock.now, environment);
        if clock.now >= self.next_heartbeat {
            self.next_heartbeat = clock.now + self.heartbeat_interval();
            self.on_heartbeat_timer(clock.now, environment);
        }
    }

    fn heartbeat_interval(&self) -> Duration {
        match self.ramp.state() {
            RecoveryState::Serving => SERVING_INTERVAL,
            RecoveryState::AwaitingList | RecoveryState::RampingUp => RECOVERY_INTERVAL,
        }
    }

    fn on_heartbeat_timer(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        self.update_polling(now, environment);
        if self.ramp.is_list_overdue(now) {
            self.serve_fallback_endpoints(now, environment);
        }
        if self.ramp.on_timer(now) {
            environment.state_changed(RecoveryState::Serving, "all servers are warm");
        }
        self.follow_clock_correction(now, environment);
    }

    /// Reapplies the endpoints when the clock correction changes, since their start times are in local time.
    fn follow_clock_correction(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        let correction_ms = self.fleet.clock_correction_ms();
        let change_ms = correction_ms.abs_diff(self.applied_correction_ms);
        if self.is_list_agreed && change_ms > CLOCK_CORRECTION_TOLERANCE_MS {
            self.applied_correction_ms = correction_ms;
            environment.apply_endpoints(self.endpoints(now), true);
        }
    }

    /// Announces that this member leaves the fleet, so that peers do not have to detect its absence as a failure.
    pub fn leave(&mut self, clock: ClockReading, environment: &mut dyn RecoveryEnvironment) {
        self.fleet.leave(clock.now, clock.wall_ms, &mut EnvironmentRecorder::new(environment));
    }

    fn list_digest(&self) -> u32 {
        list_digest(self.records.iter().map(|(server, record)| (server.as_str(), record)))
    }

    /// The endpoints of the current list, without terminated servers.
    fn endpoints(&self, now: Timestamp) -> Vec<EndpointAddress> {
        let listed = self.records.keys().filter_map(|server| self.endpoint(server, now));
        listed.filter(|listed| listed.endpoint.state != EndpointState::Removed).collect()
    }

    /// The endpoint of a server, with its start time converted to the local clock. Without the conversion, a clock that
    /// is ahead of the fleet's would make a warming server appear warm, and one that is behind would make a warm server
    /// appear to be warming up. `None` if this process has not received an address of the server yet.
    fn endpoint(&self, server: &str, now: Timestamp) -> Option<EndpointAddress> {
        let shared = self.records.get(server)?;
        let received = self.received_later.get(server).filter(|received| received.is_later_than(shared));
        let record = received.unwrap_or(shared);
        let address = self.addresses.get(server);
        if address.is_none() && record.health != ServerHealth::Terminated {
            return None;
        }
        let local_ms = (record.started_ms - self.fleet.clock_correction_ms() as f64).max(1.0);
        let started = (record.started_ms > 0.0).then(|| Timestamp::from_ms(local_ms).min(now));
        Some(EndpointAddress { endpoint: record.endpoint(server, started), address })
    }
}
