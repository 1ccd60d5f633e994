//! Many cores of a fleet in virtual time, over a network with configurable delay, loss, duplication, reordering and
//! partitions.

use nanorand::{Rng, WyRand};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Environment, Fleet, MemberId, Roster};
use shelfgrade_recovery::{
    ClassPriority, ClockReading, DiscoveryUse, EndpointAddress, Node, RecoveryEnvironment, RecoverySettings,
    RecoveryState,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The conditions of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Least and greatest delay; a wider range reorders more datagrams.
    pub delay_ms: (u64, u64),
    /// Percentages of datagrams that are lost and duplicated.
    pub lost_percent: u32,
    pub duplicated_percent: u32,
}

pub const GOOD_NETWORK: Network = Network { delay_ms: (1, 5), lost_percent: 0, duplicated_percent: 0 };
pub const POOR_NETWORK: Network = Network { delay_ms: (1, 400), lost_percent: 33, duplicated_percent: 20 };

/// What runs in a process: the fleet's core alone, or the recovery node built on it.
pub trait Core {
    fn create(roster: Roster, started_at: u64, seed: u64, now: Timestamp, wall_ms: u64) -> Self;
    fn fleet(&self) -> &Fleet;
    fn next_wakeup(&self) -> Timestamp;
    fn on_timer(&mut self, now: Timestamp, wall_ms: u64, calls: &mut RecordedCalls);
    fn on_datagram(&mut self, datagram: &[u8], now: Timestamp, wall_ms: u64, calls: &mut RecordedCalls);
}

impl Core for Fleet {
    fn create(roster: Roster, started_at: u64, seed: u64, now: Timestamp, _: u64) -> Self {
        Fleet::new(roster, started_at, seed, now)
    }
    fn fleet(&self) -> &Fleet {
        self
    }
    fn next_wakeup(&self) -> Timestamp {
        Fleet::next_wakeup(self)
    }
    fn on_timer(&mut self, now: Timestamp, wall_ms: u64, calls: &mut RecordedCalls) {
        Fleet::on_timer(self, now, wall_ms, calls);
    }
    fn on_datagram(&mut self, datagram: &[u8], now: Timestamp, wall_ms: u64, calls: &mut RecordedCalls) {
        Fleet::on_datagram(self, datagram, now, wall_ms, calls);
    }
}

impl Core for Node {
    fn create(roster: Roster, _: u64, seed: u64, now: Timestamp, wall_ms: u64) -> Self {
        let class = |ms, priority_weight| ClassPriority {
            connect_latency_objective: Some(Duration::from_millis(ms)),
            priority_weight,
        };
        let settings = RecoverySettings {
            classes: vec![class(300, 3.0), class(500, 5.0), class(800, 1.0)],
            customer_shares: vec![0.5, 0.3, 0.2],
            list_wait: Duration::from_millis(2000),
            slow_start: Duration::from_millis(8600),
            max_retry_after: Duration::from_millis(2000),
        };
        Node::new(roster, settings, None, seed, ClockReading { now, wall_ms })
    }
    fn fleet(&self) -> &Fleet {
        Node::fleet(self)
    }
    fn next_wakeup(&self) -> Timestamp {
        Node::next_wakeup(self)
    }
    fn on_timer(&mut self, now: Timestamp, wall_ms: u64, calls: &mut RecordedCalls) {
        Node::on_timer(self, ClockReading { now, wall_ms }, calls);
    }
    fn on_datagram(&mut self, datagram: &[u8], now: Timestamp, wall_ms: u64, calls: &mut RecordedCalls) {
        Node::on_datagram(self, datagram, ClockReading { now, wall_ms }, calls);
    }
}

/// One process: its core while it runs, and what it reported.
pub struct Process<C> {
    pub core: Option<C>,
    /// Whether it polls discovery.
    pub is_polling: bool,
    /// The recovery states that it has entered, with the time of each.
    pub recovery_states: Vec<(Timestamp, RecoveryState)>,
    /// Whether it is suspended: it receives no datagrams and runs no timers, while its clock goes on.
    suspended: bool,
    /// How far its wall clock is ahead, in milliseconds.
    pub clock_ahead_ms: i64,
    pub entries_changed: Vec<Entry>,
    pub rejected: BTreeMap<&'static str, u64>,
    /// Counts of datagrams and bytes sent.
    pub sent: (u64, u64),
}

/// What a core requested of its environment in one call.
#[derive(Default)]
pub struct RecordedCalls {
    sent: Vec<(MemberId, Vec<u8>)>,
    entries_changed: Vec<Entry>,
    rejected: Vec<&'static str>,
    is_polling: Option<bool>,
    state: Option<RecoveryState>,
}

impl RecoveryEnvironment for RecordedCalls {
    fn apply_endpoints(&mut self, _: Vec<EndpointAddress>, _: bool) {}
    fn set_discovery_use(&mut self, discovery_use: DiscoveryUse) {
        self.is_polling = Some(discovery_use.is_polling());
    }
    fn state_changed(&mut self, state: RecoveryState, _: &str) {
        self.state = Some(state);
    }
    fn restore_flow(&mut self, _: u64, _: &str, _: f64) {}
    fn list_rejected(&mut self, _: &str) {}
}

impl Environment for RecordedCalls {
    fn send(&mut self, to: MemberId, datagram: Vec<u8>) {
        assert!(
            datagram.len() <= shelfgrade_fleet::MAX_DATAGRAM_BYTES,
            "datagram of {} bytes exceeds the limit",
            datagram.len()
        );
        self.sent.push((to, datagram));
    }
    fn entry_changed(&mut self, entry: &Entry) {
        self.entries_changed.push(entry.clone());
    }
    fn member_joined(&mut self, _: MemberId) {}
    fn member_left(&mut self, _: MemberId) {}
    fn datagram_rejected(&mut self, reason: &'static str) {
        self.rejected.push(reason);
    }
}

/// A simulated fleet. Time starts at one hour, so that clocks can be an hour behind.
pub struct SimulatedFleet<C = Fleet> {
    pub now: Timestamp,
    pub processes: Vec<Process<C>>,
    pub network: Network,
    /// Pairs of members; datagrams from the first to the second are dropped.
    pub blocked: BTreeSet<(MemberId, MemberId)>,
    names: Vec<String>,
    timers: BTreeSet<(Timestamp, usize)>,
    /// The next wakeup time of each member, `NEVER` if it has none; `timers` holds the others in order.
    wakeups: Vec<Timestamp>,
    /// Datagrams in flight, by arrival time; a sequence number orders those that arrive at the same time.
    in_flight: BTreeMap<(Timestamp, u64), (MemberId, Vec<u8>)>,
    last_sequence: u64,
    rng: WyRand,
    seed: u64,
    /// The number of processes started so far.
    starts: u64,
}

const START_MS: f64 = 3_600_000.0;

impl<C: Core> SimulatedFleet<C> {
    /// A fleet of `size` members, none of which runs.
    pub fn new(size: usize, network: Network, seed: u64) -> Self {
        let process = || Process {
            core: None,
            is_polling: false,
            recovery_states: Vec::new(),
            suspended: false,
            clock_ahead_ms: 0,
            entries_changed: Vec::new(),
            rejected: BTreeMap::new(),
            sent: (0, 0),
        };
        SimulatedFleet {
            now: Timestamp::from_ms(START_MS),
            processes: (0..size).map(|_| process()).collect(),
            network,
            blocked: BTreeSet::new(),
            names: (0..size).map(|i| format!("n{i:03}")).collect(),
            timers: BTreeSet::new(),
            wakeups: vec![Timestamp::NEVER; size],
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            rng: WyRand::new_seed(seed),
            seed,
            starts: 0,
        }
    }

    /// A fleet with all processes running.
    pub fn running(size: usize, network: Network, seed: u64) -> Self {
        let mut fleet = Self::new(size, network, seed);
        (0..size).for_each(|member| fleet.start(member));
        fleet
    }

    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// Starts a process with empty state.
    pub fn start(&mut self, member: usize) {
        self.starts += 1;
        let roster =
            Roster::new("trial", self.names.iter().cloned(), &self.names[member]).expect("roster is valid");
        let started_at = (self.wall_ms(member) * 1000) + self.starts;
        let seed = self.seed.wrapping_add(self.starts * 0x9e37);
        let core = C::create(roster, started_at, seed, self.now, self.wall_ms(member));
        (self.processes[member].is_polling, self.processes[member].recovery_states) = (false, Vec::new());
        self.processes[member].core = Some(core);
        self.processes[member].suspended = false;
        self.reschedule(member);
    }

    pub fn kill(&mut self, member: usize) {
        self.processes[member].core = None;
        self.reschedule(member);
    }

    /// Suspends or resumes a process.
    pub fn set_suspended(&mut self, member: usize, suspended: bool) {
        self.processes[member].suspended = suspended;
        self.reschedule(member);
    }

    fn reschedule(&mut self, member: usize) {
        let process = &self.processes[member];
        let next =
            process.core.as_ref().filter(|_| !process.suspended).map_or(Timestamp::NEVER, C::next_wakeup);
        let before = std::mem::replace(&mut self.wakeups[member], next);
        self.timers.remove(&(before, member));
        if next < Timestamp::NEVER {
            self.timers.insert((next, member));
        }
    }

    pub fn core(&self, member: usize) -> &Fleet {
        self.processes[member].core.as_ref().expect("process is running").fleet()
    }

    pub fn running_members(&self) -> Vec<usize> {
        (0..self.size()).filter(|member| self.processes[*member].core.is_some()).collect()
    }

    fn wall_ms(&self, member: usize) -> u64 {
        (self.now.as_ms() as i64 + self.processes[member].clock_ahead_ms) as u64
    }

    /// Partitions the fleet in two: the members for which `first` holds, and the others.
    pub fn partition(&mut self, first: impl Fn(usize) -> bool) {
        for from in 0..self.size() {
            for to in 0..self.size() {
                if first(from) != first(to) {
                    self.blocked.insert((MemberId(from as u16), MemberId(to as u16)));
                }
            }
        }
    }

    /// Runs `operation` on a process's core.
    pub fn with_core<T>(
        &mut self,
        member: usize,
        operation: impl FnOnce(&mut C, &mut RecordedCalls) -> T,
    ) -> T {
        let mut calls = RecordedCalls::default();
        let core = self.processes[member].core.as_mut().expect("process is running");
        let result = operation(core, &mut calls);
        self.apply_calls(member, calls);
        self.reschedule(member);
        result
    }

    fn apply_calls(&mut self, member: usize, calls: RecordedCalls) {
        let process = &mut self.processes[member];
        process.is_polling = calls.is_polling.unwrap_or(process.is_polling);
        process.recovery_states.extend(calls.state.map(|state| (self.now, state)));
        process.entries_changed.extend(calls.entries_changed);
        calls.rejected.into_iter().for_each(|reason| *process.rejected.entry(reason).or_default() += 1);
        process.sent.0 += calls.sent.len() as u64;
        process.sent.1 += calls.sent.iter().map(|(_, datagram)| datagram.len() as u64).sum::<u64>();
        for (to, datagram) in calls.sent {
            let copies = match self.rng.generate_range(0..100u32) {
                draw if draw < self.network.lost_percent => 0,
                draw if draw < self.network.lost_percent + self.network.duplicated_percent => 2,
                _ => 1,
            };
            if self.blocked.contains(&(MemberId(member as u16), to)) {
                continue;
            }
            for _ in 0..copies {
                let (min_ms, max_ms) = self.network.delay_ms;
                let at = self.now + Duration::from_millis(self.rng.generate_range(min_ms..=max_ms));
                self.last_sequence += 1;
                self.in_flight.insert((at, self.last_sequence), (to, datagram.clone()));
            }
        }
    }

    /// Delivers a datagram that no member has sent.
    pub fn inject(&mut self, to: usize, datagram: Vec<u8>) {
        self.last_sequence += 1;
        self.in_flight.insert((self.now, self.last_sequence), (MemberId(to as u16), datagram));
    }

    /// Advances virtual time.
    pub fn run_for_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        loop {
            let arrival = self.in_flight.first_key_value().map(|(at, _)| at.0);
            let timer = self.timers.first().copied();
            let at = [arrival, timer.map(|timer| timer.0)].into_iter().flatten().min();
            let Some(at) = at.filter(|at| *at <= end) else { break };
            self.now = self.now.max(at);
            if arrival == Some(at) {
                let (_, (to, datagram)) = self.in_flight.pop_first().expect("a datagram is in flight");
                self.deliver(usize::from(to.0), &datagram);
            } else if let Some((_, member)) = timer {
                let (now, wall) = (self.now, self.wall_ms(member));
                self.with_core(member, |core, environment| core.on_timer(now, wall, environment));
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, to: usize, datagram: &[u8]) {
        if self.processes[to].core.is_some() && !self.processes[to].suspended {
            let (now, wall) = (self.now, self.wall_ms(to));
            self.with_core(to, |core, environment| core.on_datagram(datagram, now, wall, environment));
        }
    }

    /// The sum of the quota fractions of all running members.
    pub fn total_quota_fraction(&self) -> f64 {
        self.running_members().iter().map(|member| self.core(*member).quota_fraction(self.now)).sum()
    }

    /// Whether all running members hold the same state.
    pub fn has_converged(&self) -> bool {
        let digests: BTreeSet<u64> =
            self.running_members().iter().map(|member| self.core(*member).state_digest()).collect();
        digests.len() <= 1
    }
}
