//! The recovery state machine of one fleet member: its state, its timers and what it passes to the parts.

mod agreement;
mod discovery;
mod persistence;
mod polling;
mod shared_entries;
mod startup;

use crate::admission::{RecoveryRamp, RecoveryState, Requester};
use crate::environment::{ClockReading, EndpointAddress, EnvironmentRecorder, RecoveryEnvironment};
use crate::list_history::ListHistory;
use crate::poller_election::PollerElection;
use crate::server_record::{list_digest, ServerHealth, ServerRecord};
use crate::snapshot::HeldSession;
use nanorand::{Rng, WyRand};
use shelfgrade::host::{AdmissionTurn, Endpoint, ServerId};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::Fleet;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How often timers run until the node serves, while clients may be waiting.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// How often timers run after that; as often as the membership probes.
const SERVING_INTERVAL: Duration = Duration::from_millis(1000);
/// A change of the clock correction by less, in milliseconds, may be due to network latency and is ignored.
const CLOCK_CORRECTION_TOLERANCE_MS: u64 = 1000;

/// Recovery state machine of one fleet member: restores its snapshot, agrees with its peers on the endpoint list, and
/// decides when to admit traffic.
pub struct Node {
    fleet: Fleet,
    election: PollerElection,
    list_history: ListHistory,
    ramp: RecoveryRamp,
    /// The current endpoint list, terminated servers included.
    records: BTreeMap<String, ServerRecord>,
    restored: RestoredRecords,
    /// Servers to use if no list is received in time.
    candidates: Vec<Endpoint>,
    /// The servers' addresses in the start-up file.
    startup_addresses: BTreeMap<ServerId, SocketAddr>,
    /// Sessions of the previous incarnation, until the list shows which of them are still valid.
    held_sessions: Vec<HeldSession>,
    /// The endpoint list is the one that discovery or a poller has.
    is_list_agreed: bool,
    is_poller: bool,
    last_discovery_answer: Option<Timestamp>,
    next_heartbeat: Timestamp,
    /// The clock correction that the applied endpoints were computed with, in milliseconds.
    applied_correction_ms: i64,
    /// The sequence number of the last snapshot.
    snapshot_sequence: u64,
    rng: WyRand,
}

/// Server records of the previous incarnation, not shared with the peers.
#[derive(Default)]
struct RestoredRecords {
    epoch: u64,
    records: BTreeMap<String, ServerRecord>,
}

impl Node {
    /// The fleet that this node is a member of.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The fleet, for writing entries of other modules to its replicated map.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// The stage of the recovery.
    pub fn state(&self) -> RecoveryState {
        self.ramp.state()
    }

    /// Whether this node polls discovery on behalf of all.
    pub fn is_poller(&self) -> bool {
        self.is_poller
    }

    /// The fraction of the fleet's quota that this node may use now, from 0 to 1.
    pub fn quota_fraction(&self, now: Timestamp) -> f64 {
        self.fleet.quota_fraction(now)
    }

    /// The turn of a request that has arrived; none in normal operation. `key` is a hash of the client's key.
    pub fn admission_turn(
        &mut self,
        requester: Requester,
        key: u64,
        now: Timestamp,
    ) -> Option<AdmissionTurn> {
        let random_unit = f64::from(self.rng.generate::<f32>());
        self.ramp.admission_turn(requester, key, random_unit, now)
    }

    /// The last request for which a turn was given has been admitted.
    pub fn record_admission(&mut self) {
        self.ramp.record_admission();
    }

    /// A datagram of a peer has been received.
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

    /// When [`Node::on_timer`] is to be called next.
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
            self.serve_candidates(now, environment);
        }
        if self.ramp.on_timer(now) {
            environment.state_changed(RecoveryState::Serving, "all servers are warm");
        }
        self.follow_clock_correction(now, environment);
    }

    /// Applies the endpoints anew when the clock correction changes, since their starts are in local time.
    fn follow_clock_correction(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        let correction_ms = self.fleet.clock_correction_ms();
        let change_ms = correction_ms.abs_diff(self.applied_correction_ms);
        if self.is_list_agreed && change_ms > CLOCK_CORRECTION_TOLERANCE_MS {
            self.applied_correction_ms = correction_ms;
            environment.apply_endpoints(self.endpoints(now), true);
        }
    }

    /// Leaves the fleet on shutdown, so that its peers need not detect the failure.
    pub fn leave(&mut self, clock: ClockReading, environment: &mut dyn RecoveryEnvironment) {
        self.fleet.leave(clock.now, clock.wall_ms, &mut EnvironmentRecorder::new(environment));
    }

    fn list_digest(&self) -> u32 {
        list_digest(self.records.iter().map(|(server, record)| (server.as_str(), record)))
    }

    /// The current endpoint list without the terminated servers.
    fn endpoints(&self, now: Timestamp) -> Vec<EndpointAddress> {
        let present = self.records.iter().filter(|(_, record)| record.health != ServerHealth::Terminated);
        present.filter_map(|(server, _)| self.endpoint(server, now)).collect()
    }

    /// The endpoint of a server, with its start converted to the local clock: with a clock that is ahead of the
    /// fleet's a warming server would seem warm, with one that is behind a warm server would seem to be warming up.
    fn endpoint(&self, server: &str, now: Timestamp) -> Option<EndpointAddress> {
        let record = self.records.get(server)?;
        let local_ms = (record.started_ms - self.fleet.clock_correction_ms() as f64).max(1.0);
        let started = (record.started_ms > 0.0).then(|| Timestamp::from_ms(local_ms).min(now));
        Some(EndpointAddress { endpoint: record.endpoint(server, started), address: record.address })
    }
}
