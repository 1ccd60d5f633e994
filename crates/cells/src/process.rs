//! A process of the fleet: its own cell whole, all entries, and one record of each other cell.

use crate::follow::Follower;
use crate::mates::Mate;
use crate::packet::{self, Message};
use crate::rate::Rate;
use crate::record::{CellId, Change, Key, Record, Scope, Version};
use crate::rights::Acks;
use crate::roster::Peers;
use crate::state::{Delta, DeltaError, Merged, State};
use crate::swim::Swim;
use crate::{rank, Environment};
use nanorand::{Rng, WyRand};
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What it sends, in bytes a second and at once: in any second they come to less than 4 KB.
const SENDS: f64 = 2450.0;
const AT_ONCE: f64 = 1600.0;
/// What answers and pushes leave to the membership.
const MEMBERSHIP: usize = 300;
/// To how many of the cell what is new is pushed on, once.
const FANOUT: usize = 2;
/// How many speak for a cell.
pub(crate) const SPEAKERS: usize = 3;
/// How often who speaks pulls from a replica.
const SPEAK: Duration = Duration::from_millis(500);
const COMPARE: Duration = Duration::from_millis(1000);
/// How often one pulls that knows it lacks something.
const BEHIND: Duration = Duration::from_millis(300);
const START: Duration = Duration::from_millis(150);
/// When a pull that was not answered goes to another; one of the cell answers at once or has sent its part.
const SILENCE: Duration = Duration::from_millis(400);
/// How long after the nearest replica was left for another it is asked again.
const NEAREST: Duration = Duration::from_millis(10_000);
const MATE_SILENCE: Duration = Duration::from_millis(100);
/// One in so many pulls of those who lack something goes to a replica, which gives all: the more of a cell hold all,
/// the more give it on.
const TO_REPLICA: u32 = 24;

/// What a process starts with.
pub struct Start {
    pub fleet: String,
    pub cell: CellId,
    pub region: u8,
    pub name: String,
    /// Greater at each start: microseconds would do, seconds of Unix time do too.
    pub incarnation: u32,
    pub replicas: Peers,
    /// What an earlier life had kept; it gives no right.
    pub kept: Option<Kept>,
    pub seed: u64,
}

/// What a process may keep on disk for its next start.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Kept {
    pub records: Vec<Record>,
    pub to: Version,
    pub horizon: Version,
}

pub struct Process {
    pub(crate) fleet: u64,
    pub(crate) cell: CellId,
    pub(crate) name: String,
    pub(crate) incarnation: u32,
    /// In the order in which they are asked.
    pub(crate) replicas: Vec<SocketAddr>,
    pub(crate) follower: Follower,
    /// Since it started it held the log whole with its own record in it.
    pub(crate) active: bool,
    pub(crate) swim: Option<Swim>,
    pub(crate) mates: Vec<Mate>,
    pub(crate) speakers: Vec<SocketAddr>,
    pub(crate) speaks: bool,
    pub(crate) pulls: Timestamp,
    pub(crate) waits: Option<(SocketAddr, Timestamp)>,
    pub(crate) source: usize,
    pub(crate) silences: u32,
    /// When the nearest replica is asked again.
    pub(crate) nearest: Timestamp,
    pub(crate) invites: Timestamp,
    pub(crate) began: Timestamp,
    pub(crate) rate: Rate,
    pub(crate) pending: BTreeMap<u64, (Change, Timestamp, usize)>,
    pub(crate) acks: Acks,
    pub(crate) chance: WyRand,
    pub(crate) seed: u64,
}

impl Process {
    pub fn new(start: Start, now: Timestamp) -> Self {
        let mut order: Vec<_> = start.replicas.iter().map(|(_, peer)| *peer).collect();
        let far = |region: u8| region != start.region;
        order.sort_by_key(|peer| (far(peer.region), rank(start.cell, &peer.address.to_string())));
        let mut state = State::new(Scope::Cell(start.cell));
        if let Some(kept) = start.kept {
            for record in kept.records {
                if record.version <= kept.to && state.scope().has(&record.key) {
                    state.set(record);
                }
            }
            state.reach(kept.to);
            state.forget(kept.horizon);
        }
        let mut process = Process {
            fleet: packet::fleet(&start.fleet),
            cell: start.cell,
            name: start.name,
            incarnation: start.incarnation,
            replicas: order.iter().map(|peer| peer.address).collect(),
            follower: Follower::new(state),
            active: false,
            swim: None,
            mates: Vec::new(),
            speakers: Vec::new(),
            speaks: false,
            pulls: now,
            waits: None,
            source: 0,
            silences: 0,
            nearest: now,
            invites: now,
            began: now,
            rate: Rate::new(SENDS, AT_ONCE, now),
            pending: BTreeMap::new(),
            acks: Acks::default(),
            chance: WyRand::new_seed(start.seed ^ 0xce11),
            seed: start.seed,
        };
        process.know_mates();
        process
    }

    pub fn state(&self) -> &State {
        self.follower.state()
    }

    /// For the next start.
    pub fn kept(&self) -> Kept {
        let state = self.state();
        let records = state.records().filter(|record| record.version <= state.to()).cloned().collect();
        // Records that came ahead are left out; what they replaced is told again.
        let to = if state.whole() { state.to() } else { Version(0) };
        Kept { records, to, horizon: state.horizon().min(to) }
    }

    /// True where it holds the log whole with its own record in it.
    pub fn active(&self) -> bool {
        self.active
    }

    /// Names of those of the cell that are there, itself left out.
    pub fn alive(&self) -> impl Iterator<Item = &str> {
        self.mates.iter().filter(|mate| mate.alive).map(|mate| mate.name.as_str())
    }

    pub fn speaks(&self) -> bool {
        self.speaks
    }

    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: &Message,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let datagram = packet::write(self.fleet, message);
        self.rate.spend(datagram.len(), now);
        environment.send(to, datagram);
    }

    /// A message of the membership, which bears that some are lost.
    pub(crate) fn send_swim(
        &mut self,
        to: SocketAddr,
        bytes: Vec<u8>,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let datagram = packet::write(self.fleet, &Message::Swim(bytes));
        if self.rate.take(datagram.len(), 0, now) {
            environment.send(to, datagram);
        }
    }

    /// Sends where the rate has room; true where it went.
    fn send_within(
        &mut self,
        to: SocketAddr,
        message: &Message,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) -> bool {
        let datagram = packet::write(self.fleet, message);
        let room = self.rate.take(datagram.len(), MEMBERSHIP, now);
        if room {
            environment.send(to, datagram);
        }
        room
    }

    pub fn on_datagram(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let message = match packet::read(self.fleet, datagram) {
            Ok(message) => message,
            Err(error) => return environment.datagram_rejected(error.name()),
        };
        match message {
            Message::Swim(bytes) => self.on_swim_datagram(from, &bytes, now, environment),
            Message::Pull { scope, after, anew } => {
                if !self.state().scope().covers(scope) {
                    return environment.datagram_rejected("cells pulls of another cell");
                }
                if after > self.state().to() && self.knows(from) {
                    self.follower.state_mut().heard_of(after);
                    if self.waits.is_none() {
                        self.pull_from(from, now, environment);
                    }
                }
                let delta = self.state().answer(scope, after, anew);
                self.send_within(from, &Message::Delta(delta), now, environment);
            }
            Message::Delta(_) | Message::Push(_) | Message::Ack { .. } if !self.knows(from) => {
                environment.datagram_rejected("cells datagrams from strangers");
            }
            Message::Delta(delta) => {
                let answers = self.waits.is_some_and(|(asked, _)| asked == from);
                if answers {
                    self.waits = None;
                    self.silences = 0;
                }
                self.take(from, &delta, answers, now, environment);
            }
            Message::Push(delta) => {
                let whole = delta.after > Version(0);
                if whole {
                    self.take(from, &delta, false, now, environment);
                }
                if !self.state().whole() && self.waits.is_none() && self.active {
                    self.pull_from(from, now, environment);
                }
            }
            Message::Ack { cell, name, incarnation, version } => {
                if cell == self.cell {
                    self.acks.observe(name, incarnation, version);
                    self.release(now, environment);
                } else {
                    environment.datagram_rejected("cells acks of another cell");
                }
            }
            Message::Outcome { id, outcome } => {
                if self.replicas.contains(&from) && self.pending.remove(&id).is_some() {
                    environment.change_decided(id, outcome);
                }
            }
            Message::Submit(_) | Message::Paxos(_) => {
                environment.datagram_rejected("cells datagrams for replicas")
            }
        }
    }

    fn take(
        &mut self,
        from: SocketAddr,
        delta: &Delta,
        asked: bool,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let merged = match self.follower.take(delta) {
            Ok(merged) => merged,
            Err(DeltaError::Gap) => Merged::default(),
            Err(DeltaError::Disorder) => return environment.datagram_rejected("cells answers out of order"),
            Err(DeltaError::Fork) => return environment.datagram_rejected("cells answers with a fork"),
        };
        merged.news.iter().for_each(|record| environment.record_changed(record));
        let own = |record: &Record| matches!(&record.key, Key::Member(cell, _) if *cell == self.cell);
        if merged.news.iter().any(own) {
            self.know_mates();
        }
        if !self.active && self.state().whole() {
            self.begin(now);
        }
        if merged.further && asked && delta.to < delta.head {
            self.pull_from(from, now, environment);
        }
        // Once, and only what is all that is missing: the rest is found by comparing.
        let fresh = !merged.news.is_empty() && delta.after > Version(0) && self.state().whole();
        if fresh && self.active && self.rate.left(now) > 0.5 {
            let mates: Vec<_> = self.others(FANOUT);
            for mate in mates {
                self.send_within(mate, &Message::Push(delta.clone()), now, environment);
            }
        }
        if merged.further {
            self.release(now, environment);
        }
    }

    fn pull_from(&mut self, to: SocketAddr, now: Timestamp, environment: &mut dyn Environment) {
        let silence = if self.replicas.contains(&to) { SILENCE } else { MATE_SILENCE };
        self.waits = Some((to, now + silence));
        let pull = self.follower.pull();
        self.send(to, &pull, now, environment);
    }

    fn starts(&self) -> bool {
        !self.active || self.follower.renews()
    }

    /// Whom to ask next: replicas for one that starts or speaks, the cell for the others.
    fn source(&mut self) -> Option<SocketAddr> {
        let replica = self.replicas.get(self.source % self.replicas.len().max(1)).copied();
        let mate_too = self.starts() && self.source % 2 == 1 && !self.mates.is_empty();
        if (self.speaks || self.starts()) && !mate_too {
            return replica;
        }
        let behind = !self.state().whole();
        if behind && self.chance.generate_range(0..TO_REPLICA) == 0 {
            return replica;
        }
        if behind && !self.speakers.is_empty() && self.chance.generate_range(0..4u32) == 0 {
            return Some(self.speakers[self.chance.generate_range(0..self.speakers.len())]);
        }
        self.others(1).pop().or(replica)
    }

    /// To be called when [`Process::next_wakeup`] says so, or more often.
    pub fn on_timer(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        if let Some(swim) = &mut self.swim {
            let mut sends = Vec::new();
            swim.on_timer(now, &mut sends);
            self.carry(sends, now, environment);
        }
        if let Some((asked, until)) = self.waits {
            if now >= until {
                self.waits = None;
                self.silences += 1;
                // One datagram that was lost is no reason to go to another region.
                if self.silences >= 2 && (self.replicas.contains(&asked) || self.starts()) {
                    (self.source, self.silences) = (self.source + 1, 0);
                    self.nearest = now + NEAREST;
                }
                self.pulls = now;
            }
        }
        if self.source != 0 && now >= self.nearest {
            self.source = 0;
        }
        if now >= self.pulls {
            let behind = !self.state().whole();
            let pause = match (self.starts(), self.speaks, behind) {
                (true, ..) => START,
                (_, true, _) => SPEAK,
                (_, _, true) => BEHIND,
                _ => COMPARE,
            };
            // Not all at the same moment.
            let drawn = 0.9 + 0.2 * f64::from(self.chance.generate_range(0..1000u32)) / 1000.0;
            self.pulls = now + pause.scaled(drawn);
            if self.waits.is_none() {
                if let Some(to) = self.source() {
                    self.pull_from(to, now, environment);
                }
            }
            self.acknowledge(now, environment);
        }
        self.invite(now, environment);
        self.send_pending(now, environment);
    }

    pub fn next_wakeup(&self) -> Timestamp {
        let swim = self.swim.as_ref().map_or(Timestamp::NEVER, Swim::next_wakeup);
        let waits = self.waits.map_or(Timestamp::NEVER, |(_, until)| until);
        let pending = self.pending.values().map(|(_, at, _)| *at).min().unwrap_or(Timestamp::NEVER);
        let invites = if self.swim.is_some() { self.invites } else { Timestamp::NEVER };
        swim.min(waits).min(self.pulls).min(pending).min(invites)
    }

    /// Tells the cell that it goes.
    pub fn leave(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        let mut sends = Vec::new();
        if let Some(swim) = &mut self.swim {
            swim.leave(now, &mut sends);
        }
        self.carry(sends, now, environment);
    }
}
