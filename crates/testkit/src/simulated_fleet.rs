//! Many cores of a fleet in virtual time, over a network that delays, loses, doubles, reorders and cuts as it is told.

use nanorand::{Rng, WyRand};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Environment, Fleet, MemberId, Roster};
use shelfgrade_recovery::{
    ClassPriority, ClockReading, EndpointAddress, Node, RecoveryEnvironment, RecoverySettings, RecoveryState,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// A datagram is under way for any time between these: the wider, the more it reorders.
    pub delay_ms: (u64, u64),
    /// Of a hundred, how many are lost, and how many come twice.
    pub lost: u32,
    pub doubled: u32,
}

pub const CALM: Network = Network { delay_ms: (1, 5), lost: 0, doubled: 0 };
pub const ROUGH: Network = Network { delay_ms: (1, 400), lost: 33, doubled: 20 };

/// What runs in a process: the fleet's core alone, or the return over it.
pub trait Core {
    fn begin(roster: Roster, started_at: u64, seed: u64, now: Timestamp, wall_ms: u64) -> Self;
    fn fleet(&self) -> &Fleet;
    fn next_wakeup(&self) -> Timestamp;
    fn on_timer(&mut self, now: Timestamp, wall_ms: u64, calls: &mut RecordedCalls);
    fn on_datagram(&mut self, datagram: &[u8], now: Timestamp, wall_ms: u64, calls: &mut RecordedCalls);
}

impl Core for Fleet {
    fn begin(roster: Roster, started_at: u64, seed: u64, now: Timestamp, _: u64) -> Self {
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
    fn begin(roster: Roster, _: u64, seed: u64, now: Timestamp, wall_ms: u64) -> Self {
        let owed = |ms, priority_weight| ClassPriority {
            connect_latency_objective: Some(Duration::from_millis(ms)),
            priority_weight,
        };
        let settings = RecoverySettings {
            classes: vec![owed(300, 3.0), owed(500, 5.0), owed(800, 1.0)],
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

/// One process: its core while it runs, and what it told.
pub struct Process<C> {
    pub core: Option<C>,
    /// It watches discovery, and the states of its return with their moments.
    pub watches: bool,
    pub states: Vec<(Timestamp, RecoveryState)>,
    /// It is stopped: nothing reaches it, and its clock goes on.
    stopped: bool,
    /// How far its wall clock is off, in milliseconds.
    pub ahead_ms: i64,
    pub heard: Vec<Entry>,
    pub refused: BTreeMap<&'static str, u64>,
    /// Datagrams and bytes that it sent.
    pub sent: (u64, u64),
}

/// What a core asked for in one call.
#[derive(Default)]
pub struct RecordedCalls {
    sent: Vec<(MemberId, Vec<u8>)>,
    entries: Vec<Entry>,
    refused: Vec<&'static str>,
    watches: Option<bool>,
    state: Option<RecoveryState>,
}

impl RecoveryEnvironment for RecordedCalls {
    fn apply_endpoints(&mut self, _: Vec<EndpointAddress>, _: bool) {}
    fn set_polling(&mut self, watches: bool) {
        self.watches = Some(watches);
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
            "{} bytes in one datagram",
            datagram.len()
        );
        self.sent.push((to, datagram));
    }
    fn entry_changed(&mut self, entry: &Entry) {
        self.entries.push(entry.clone());
    }
    fn member_joined(&mut self, _: MemberId) {}
    fn member_left(&mut self, _: MemberId) {}
    fn datagram_rejected(&mut self, why: &'static str) {
        self.refused.push(why);
    }
}

/// A whole fleet. Time begins at an hour, so that clocks can be an hour back.
pub struct SimulatedFleet<C = Fleet> {
    pub now: Timestamp,
    pub processes: Vec<Process<C>>,
    pub network: Network,
    /// Pairs whose first one cannot reach the second.
    pub cut: BTreeSet<(MemberId, MemberId)>,
    names: Vec<String>,
    /// When who wakes next.
    alarms: BTreeSet<(Timestamp, usize)>,
    wakes: Vec<Timestamp>,
    /// What is under way, in the order of arrival; a number tells apart what comes at once.
    under_way: BTreeMap<(Timestamp, u64), (MemberId, Vec<u8>)>,
    number: u64,
    rng: WyRand,
    seed: u64,
    lives: u64,
}

const HOUR_MS: f64 = 3_600_000.0;

impl<C: Core> SimulatedFleet<C> {
    /// A fleet of so many seats, none of which runs.
    pub fn new(size: usize, network: Network, seed: u64) -> Self {
        let process = || Process {
            core: None,
            watches: false,
            states: Vec::new(),
            stopped: false,
            ahead_ms: 0,
            heard: Vec::new(),
            refused: BTreeMap::new(),
            sent: (0, 0),
        };
        SimulatedFleet {
            now: Timestamp::from_ms(HOUR_MS),
            processes: (0..size).map(|_| process()).collect(),
            network,
            cut: BTreeSet::new(),
            names: (0..size).map(|i| format!("n{i:03}")).collect(),
            alarms: BTreeSet::new(),
            wakes: vec![Timestamp::NEVER; size],
            under_way: BTreeMap::new(),
            number: 0,
            rng: WyRand::new_seed(seed),
            seed,
            lives: 0,
        }
    }

    /// One with all its processes running.
    pub fn running(size: usize, network: Network, seed: u64) -> Self {
        let mut fleet = Self::new(size, network, seed);
        (0..size).for_each(|member| fleet.start(member));
        fleet
    }

    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// Starts a process with nothing known.
    pub fn start(&mut self, member: usize) {
        self.lives += 1;
        let roster = Roster::new("trial", self.names.iter().cloned(), &self.names[member]).expect("a roster");
        let started_at = (self.wall_ms(member) * 1000) + self.lives;
        let seed = self.seed.wrapping_add(self.lives * 0x9e37);
        let core = C::begin(roster, started_at, seed, self.now, self.wall_ms(member));
        (self.processes[member].watches, self.processes[member].states) = (false, Vec::new());
        self.processes[member].core = Some(core);
        self.processes[member].stopped = false;
        self.set_alarm(member);
    }

    pub fn kill(&mut self, member: usize) {
        self.processes[member].core = None;
        self.set_alarm(member);
    }

    /// Stops a process, or has it go on.
    pub fn stop(&mut self, member: usize, stopped: bool) {
        self.processes[member].stopped = stopped;
        self.set_alarm(member);
    }

    fn set_alarm(&mut self, member: usize) {
        let process = &self.processes[member];
        let next =
            process.core.as_ref().filter(|_| !process.stopped).map_or(Timestamp::NEVER, C::next_wakeup);
        let before = std::mem::replace(&mut self.wakes[member], next);
        self.alarms.remove(&(before, member));
        if next < Timestamp::NEVER {
            self.alarms.insert((next, member));
        }
    }

    pub fn core(&self, member: usize) -> &Fleet {
        self.processes[member].core.as_ref().expect("a process that runs").fleet()
    }

    pub fn running_members(&self) -> Vec<usize> {
        (0..self.size()).filter(|member| self.processes[*member].core.is_some()).collect()
    }

    fn wall_ms(&self, member: usize) -> u64 {
        (self.now.as_ms() as i64 + self.processes[member].ahead_ms) as u64
    }

    /// Cuts the fleet in two that cannot reach each other.
    pub fn halve(&mut self, first: impl Fn(usize) -> bool) {
        for from in 0..self.size() {
            for to in 0..self.size() {
                if first(from) != first(to) {
                    self.cut.insert((MemberId(from as u16), MemberId(to as u16)));
                }
            }
        }
    }

    /// Has a process's core do something.
    pub fn with<T>(&mut self, member: usize, act: impl FnOnce(&mut C, &mut RecordedCalls) -> T) -> T {
        let mut calls = RecordedCalls::default();
        let core = self.processes[member].core.as_mut().expect("a process that runs");
        let done = act(core, &mut calls);
        self.carry_out(member, calls);
        self.set_alarm(member);
        done
    }

    fn carry_out(&mut self, member: usize, calls: RecordedCalls) {
        let process = &mut self.processes[member];
        process.watches = calls.watches.unwrap_or(process.watches);
        process.states.extend(calls.state.map(|state| (self.now, state)));
        process.heard.extend(calls.entries);
        calls.refused.into_iter().for_each(|why| *process.refused.entry(why).or_default() += 1);
        process.sent.0 += calls.sent.len() as u64;
        process.sent.1 += calls.sent.iter().map(|(_, datagram)| datagram.len() as u64).sum::<u64>();
        for (to, datagram) in calls.sent {
            let times = match self.rng.generate_range(0..100u32) {
                draw if draw < self.network.lost => 0,
                draw if draw < self.network.lost + self.network.doubled => 2,
                _ => 1,
            };
            if self.cut.contains(&(MemberId(member as u16), to)) {
                continue;
            }
            for _ in 0..times {
                let (least, most) = self.network.delay_ms;
                let at = self.now + Duration::from_millis(self.rng.generate_range(least..=most));
                self.number += 1;
                self.under_way.insert((at, self.number), (to, datagram.clone()));
            }
        }
    }

    /// Puts a datagram of somebody else's in its way.
    pub fn inject(&mut self, to: usize, datagram: Vec<u8>) {
        self.number += 1;
        self.under_way.insert((self.now, self.number), (MemberId(to as u16), datagram));
    }

    /// Lets time pass.
    pub fn passes(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        loop {
            let arrival = self.under_way.first_key_value().map(|(at, _)| at.0);
            let alarm = self.alarms.first().copied();
            let at = [arrival, alarm.map(|alarm| alarm.0)].into_iter().flatten().min();
            let Some(at) = at.filter(|at| *at <= end) else { break };
            self.now = self.now.max(at);
            if arrival == Some(at) {
                let (_, (to, datagram)) = self.under_way.pop_first().expect("what arrives");
                self.hand_over(usize::from(to.0), &datagram);
            } else if let Some((_, member)) = alarm {
                let (now, wall) = (self.now, self.wall_ms(member));
                self.with(member, |core, environment| core.on_timer(now, wall, environment));
            }
        }
        self.now = end;
    }

    fn hand_over(&mut self, to: usize, datagram: &[u8]) {
        if self.processes[to].core.is_some() && !self.processes[to].stopped {
            let (now, wall) = (self.now, self.wall_ms(to));
            self.with(to, |core, environment| core.on_datagram(datagram, now, wall, environment));
        }
    }

    /// What all that run may do together now.
    pub fn sum_of_parts(&self) -> f64 {
        self.running_members().iter().map(|member| self.core(*member).quota_fraction(self.now)).sum()
    }

    /// Whether all that run know the same.
    pub fn agree(&self) -> bool {
        let states: BTreeSet<u64> =
            self.running_members().iter().map(|member| self.core(*member).state_digest()).collect();
        states.len() <= 1
    }
}
