//! Many cores of a fleet in virtual time, over a network that delays, loses, doubles, reorders and cuts as it is told.

use nanorand::{Rng, WyRand};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Fleet, Roster, Seat, Surroundings};
use shelfgrade_recovery::around::{Around, Line, RecoverySettings};
use shelfgrade_recovery::comeback::Comeback;
use shelfgrade_recovery::order::{Owed, State};
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
    fn begin(roster: Roster, born: u64, seed: u64, now: Timestamp, wall_ms: u64) -> Self;
    fn fleet(&self) -> &Fleet;
    fn next(&self) -> Timestamp;
    fn on_timer(&mut self, now: Timestamp, wall_ms: u64, asked: &mut Asked);
    fn heard(&mut self, datagram: &[u8], now: Timestamp, wall_ms: u64, asked: &mut Asked);
}

impl Core for Fleet {
    fn begin(roster: Roster, born: u64, seed: u64, now: Timestamp, _: u64) -> Self {
        Fleet::new(roster, born, seed, now)
    }
    fn fleet(&self) -> &Fleet {
        self
    }
    fn next(&self) -> Timestamp {
        Fleet::next(self)
    }
    fn on_timer(&mut self, now: Timestamp, wall_ms: u64, asked: &mut Asked) {
        Fleet::on_timer(self, now, wall_ms, asked);
    }
    fn heard(&mut self, datagram: &[u8], now: Timestamp, wall_ms: u64, asked: &mut Asked) {
        Fleet::heard(self, datagram, now, wall_ms, asked);
    }
}

impl Core for Comeback {
    fn begin(roster: Roster, _: u64, seed: u64, now: Timestamp, wall_ms: u64) -> Self {
        let owed = |ms, priority_weight| Owed {
            connect_latency_objective: Some(Duration::from_millis(ms)),
            priority_weight,
        };
        let settings = RecoverySettings {
            classes: vec![owed(300, 3.0), owed(500, 5.0), owed(800, 1.0)],
            shares: vec![0.5, 0.3, 0.2],
            wait: Duration::from_millis(2000),
            slow_start: Duration::from_millis(8600),
            most_pause: Duration::from_millis(2000),
        };
        Comeback::new(roster, settings, None, seed, (now, wall_ms))
    }
    fn fleet(&self) -> &Fleet {
        Comeback::fleet(self)
    }
    fn next(&self) -> Timestamp {
        Comeback::next(self)
    }
    fn on_timer(&mut self, now: Timestamp, wall_ms: u64, asked: &mut Asked) {
        Comeback::on_timer(self, (now, wall_ms), asked);
    }
    fn heard(&mut self, datagram: &[u8], now: Timestamp, wall_ms: u64, asked: &mut Asked) {
        Comeback::heard(self, datagram, (now, wall_ms), asked);
    }
}

/// One process: its core while it runs, and what it told.
pub struct Process<C> {
    pub core: Option<C>,
    /// It watches discovery, and the states of its return with their moments.
    pub watches: bool,
    pub states: Vec<(Timestamp, State)>,
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
pub struct Asked {
    sent: Vec<(Seat, Vec<u8>)>,
    entries: Vec<Entry>,
    refused: Vec<&'static str>,
    watches: Option<bool>,
    state: Option<State>,
}

impl Around for Asked {
    fn follow(&mut self, _: Vec<Line>, _: bool) {}
    fn watch(&mut self, watches: bool) {
        self.watches = Some(watches);
    }
    fn enters(&mut self, state: State, _: &str) {
        self.state = Some(state);
    }
    fn held_before(&mut self, _: u64, _: &str, _: f64) {}
    fn refused_list(&mut self, _: &str) {}
}

impl Surroundings for Asked {
    fn send(&mut self, to: Seat, datagram: Vec<u8>) {
        assert!(datagram.len() <= shelfgrade_fleet::LONGEST, "{} bytes in one datagram", datagram.len());
        self.sent.push((to, datagram));
    }
    fn entry(&mut self, entry: &Entry) {
        self.entries.push(entry.clone());
    }
    fn came(&mut self, _: Seat) {}
    fn went(&mut self, _: Seat) {}
    fn refused(&mut self, why: &'static str) {
        self.refused.push(why);
    }
}

/// A whole fleet. Time begins at an hour, so that clocks can be an hour back.
pub struct Drawn<C = Fleet> {
    pub now: Timestamp,
    pub processes: Vec<Process<C>>,
    pub network: Network,
    /// Pairs whose first one cannot reach the second.
    pub cut: BTreeSet<(Seat, Seat)>,
    names: Vec<String>,
    /// When who wakes next.
    alarms: BTreeSet<(Timestamp, usize)>,
    wakes: Vec<Timestamp>,
    /// What is under way, in the order of arrival; a number tells apart what comes at once.
    under_way: BTreeMap<(Timestamp, u64), (Seat, Vec<u8>)>,
    number: u64,
    chance: WyRand,
    seed: u64,
    lives: u64,
}

const HOUR_MS: f64 = 3_600_000.0;

impl<C: Core> Drawn<C> {
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
        Drawn {
            now: Timestamp::from_ms(HOUR_MS),
            processes: (0..size).map(|_| process()).collect(),
            network,
            cut: BTreeSet::new(),
            names: (0..size).map(|i| format!("n{i:03}")).collect(),
            alarms: BTreeSet::new(),
            wakes: vec![Timestamp::NEVER; size],
            under_way: BTreeMap::new(),
            number: 0,
            chance: WyRand::new_seed(seed),
            seed,
            lives: 0,
        }
    }

    /// One with all its processes running.
    pub fn running(size: usize, network: Network, seed: u64) -> Self {
        let mut fleet = Self::new(size, network, seed);
        (0..size).for_each(|seat| fleet.start(seat));
        fleet
    }

    pub fn size(&self) -> usize {
        self.processes.len()
    }

    /// Starts a process with nothing known.
    pub fn start(&mut self, seat: usize) {
        self.lives += 1;
        let roster = Roster::new("trial", self.names.iter().cloned(), &self.names[seat]).expect("a roster");
        let born = (self.wall_ms(seat) * 1000) + self.lives;
        let seed = self.seed.wrapping_add(self.lives * 0x9e37);
        let core = C::begin(roster, born, seed, self.now, self.wall_ms(seat));
        (self.processes[seat].watches, self.processes[seat].states) = (false, Vec::new());
        self.processes[seat].core = Some(core);
        self.processes[seat].stopped = false;
        self.set_alarm(seat);
    }

    pub fn kill(&mut self, seat: usize) {
        self.processes[seat].core = None;
        self.set_alarm(seat);
    }

    /// Stops a process, or has it go on.
    pub fn stop(&mut self, seat: usize, stopped: bool) {
        self.processes[seat].stopped = stopped;
        self.set_alarm(seat);
    }

    fn set_alarm(&mut self, seat: usize) {
        let process = &self.processes[seat];
        let next = process.core.as_ref().filter(|_| !process.stopped).map_or(Timestamp::NEVER, C::next);
        let before = std::mem::replace(&mut self.wakes[seat], next);
        self.alarms.remove(&(before, seat));
        if next < Timestamp::NEVER {
            self.alarms.insert((next, seat));
        }
    }

    pub fn core(&self, seat: usize) -> &Fleet {
        self.processes[seat].core.as_ref().expect("a process that runs").fleet()
    }

    pub fn running_seats(&self) -> Vec<usize> {
        (0..self.size()).filter(|seat| self.processes[*seat].core.is_some()).collect()
    }

    fn wall_ms(&self, seat: usize) -> u64 {
        (self.now.as_ms() as i64 + self.processes[seat].ahead_ms) as u64
    }

    /// Cuts the fleet in two that cannot reach each other.
    pub fn halve(&mut self, first: impl Fn(usize) -> bool) {
        for from in 0..self.size() {
            for to in 0..self.size() {
                if first(from) != first(to) {
                    self.cut.insert((Seat(from as u16), Seat(to as u16)));
                }
            }
        }
    }

    /// Has a process's core do something.
    pub fn with<T>(&mut self, seat: usize, act: impl FnOnce(&mut C, &mut Asked) -> T) -> T {
        let mut asked = Asked::default();
        let core = self.processes[seat].core.as_mut().expect("a process that runs");
        let done = act(core, &mut asked);
        self.carry_out(seat, asked);
        self.set_alarm(seat);
        done
    }

    fn carry_out(&mut self, seat: usize, asked: Asked) {
        let process = &mut self.processes[seat];
        process.watches = asked.watches.unwrap_or(process.watches);
        process.states.extend(asked.state.map(|state| (self.now, state)));
        process.heard.extend(asked.entries);
        asked.refused.into_iter().for_each(|why| *process.refused.entry(why).or_default() += 1);
        process.sent.0 += asked.sent.len() as u64;
        process.sent.1 += asked.sent.iter().map(|(_, datagram)| datagram.len() as u64).sum::<u64>();
        for (to, datagram) in asked.sent {
            let times = match self.chance.generate_range(0..100u32) {
                draw if draw < self.network.lost => 0,
                draw if draw < self.network.lost + self.network.doubled => 2,
                _ => 1,
            };
            if self.cut.contains(&(Seat(seat as u16), to)) {
                continue;
            }
            for _ in 0..times {
                let (least, most) = self.network.delay_ms;
                let at = self.now + Duration::from_millis(self.chance.generate_range(least..=most));
                self.number += 1;
                self.under_way.insert((at, self.number), (to, datagram.clone()));
            }
        }
    }

    /// Puts a datagram of somebody else's in its way.
    pub fn inject(&mut self, to: usize, datagram: Vec<u8>) {
        self.number += 1;
        self.under_way.insert((self.now, self.number), (Seat(to as u16), datagram));
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
            } else if let Some((_, seat)) = alarm {
                let (now, wall) = (self.now, self.wall_ms(seat));
                self.with(seat, |core, around| core.on_timer(now, wall, around));
            }
        }
        self.now = end;
    }

    fn hand_over(&mut self, to: usize, datagram: &[u8]) {
        if self.processes[to].core.is_some() && !self.processes[to].stopped {
            let (now, wall) = (self.now, self.wall_ms(to));
            self.with(to, |core, around| core.heard(datagram, now, wall, around));
        }
    }

    /// What all that run may do together now.
    pub fn sum_of_parts(&self) -> f64 {
        self.running_seats().iter().map(|seat| self.core(*seat).part(self.now)).sum()
    }

    /// Whether all that run know the same.
    pub fn agree(&self) -> bool {
        let states: BTreeSet<u64> =
            self.running_seats().iter().map(|seat| self.core(*seat).state()).collect();
        states.len() <= 1
    }
}
