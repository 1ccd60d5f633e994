//! A replica of the log, on a machine that is set aside: takes changes, votes, learns what was chosen, answers pulls.

use crate::apply::HORIZON;
use crate::follow::Follower;
use crate::packet::{self, Ballot, Message, Paxos};
use crate::paxos::{Proposal, Queue};
use crate::rate::Rate;
use crate::record::{Batch, Change, ChangeError, Key, Record, Scope, Version};
use crate::roster::Peers;
use crate::state::{DeltaError, State};
use crate::Environment;
use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a replica sends in answers: a release of a zone's members, each taking all anew, is through in seconds.
const ANSWERS: f64 = 1024.0 * 1024.0;
const PULL: Duration = Duration::from_millis(200);
/// Batches that are kept as they were chosen, for those just behind and to tell forks.
const RECENT: u64 = 256;

/// The vote in the one slot that is open.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub slot: u64,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Batch)>,
}

/// What is to be on disk; given back in its order at the next start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stored {
    /// The operator founded a fleet with this replica.
    Founded,
    /// The storage was lost: no vote until it is known from which slot on.
    Recovering,
    VotesFrom(u64),
    Vote(Vote),
    Chosen {
        slot: u64,
        batch: Batch,
    },
    /// All there is; whatever was stored before it may go.
    Checkpoint {
        records: Vec<Record>,
        to: Version,
        horizon: Version,
        votes_from: Option<u64>,
        vote: Vote,
    },
}

pub struct Replica {
    pub(crate) fleet: u64,
    pub(crate) id: u8,
    pub(crate) peers: Peers,
    horizon: u64,
    pub(crate) follower: Follower,
    pub(crate) vote: Vote,
    /// The first slot that it may vote in; none while that isn't known.
    pub(crate) votes_from: Option<u64>,
    pub(crate) parts: BTreeMap<u8, u64>,
    pub(crate) number: u64,
    /// Who else was heard proposing, and until when that counts.
    pub(crate) busy: Option<(u8, Timestamp)>,
    /// What was asked about the slot after the open one, by who asked.
    pub(crate) early: BTreeMap<u8, Paxos>,
    recent: BTreeMap<u64, Batch>,
    pub(crate) queue: Queue,
    pub(crate) proposal: Option<Proposal>,
    pub(crate) highest: u32,
    pub(crate) retry: Timestamp,
    pulls: Timestamp,
    rate: Rate,
    pub(crate) chance: WyRand,
}

impl Replica {
    /// The first start of a fleet's replica, on the operator's word alone: an empty disk may be a lost one.
    pub fn found(
        name: &str,
        peers: Peers,
        id: u8,
        seed: u64,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) -> Self {
        environment.store(Stored::Founded);
        Replica { votes_from: Some(0), ..Self::empty(name, peers, id, seed, now) }
    }

    /// A further start, with what was stored. Nothing, or something that has a gap, is a lost disk.
    pub fn restore(
        name: &str,
        peers: Peers,
        id: u8,
        seed: u64,
        now: Timestamp,
        stored: Vec<Stored>,
        environment: &mut dyn Environment,
    ) -> Self {
        let mut replica = Self::empty(name, peers.clone(), id, seed, now);
        if !stored.is_empty() && stored.into_iter().all(|stored| replica.remember(stored)) {
            if replica.votes_from.is_some() {
                return replica;
            }
        } else {
            environment.datagram_rejected("cells storage lost, empty or with a gap");
            replica = Self::empty(name, peers, id, seed, now);
        }
        environment.store(Stored::Recovering);
        replica
    }

    fn empty(name: &str, peers: Peers, id: u8, seed: u64, now: Timestamp) -> Self {
        let mut chance = WyRand::new_seed(seed ^ 0x9a05);
        Replica {
            fleet: packet::fleet(name),
            id,
            peers,
            horizon: HORIZON,
            follower: Follower::new(State::new(Scope::All)),
            vote: Vote::default(),
            votes_from: None,
            parts: BTreeMap::new(),
            number: chance.generate(),
            busy: None,
            early: BTreeMap::new(),
            recent: BTreeMap::new(),
            queue: Queue::default(),
            proposal: None,
            highest: 0,
            retry: now,
            pulls: now,
            rate: Rate::new(ANSWERS, 4.0 * ANSWERS, now),
            chance,
        }
    }

    /// With another horizon, the same at every replica of the fleet.
    pub fn with_horizon(self, slots: u64) -> Self {
        Replica { horizon: slots.max(8), ..self }
    }

    /// False where what is stored cannot have been stored so.
    fn remember(&mut self, stored: Stored) -> bool {
        match stored {
            Stored::Founded => self.votes_from = Some(0),
            Stored::Recovering => self.votes_from = None,
            Stored::VotesFrom(slot) => self.votes_from = Some(slot),
            Stored::Vote(vote) => self.vote = vote,
            Stored::Chosen { slot, batch } => {
                if slot != self.slot() + 1 {
                    return false;
                }
                let horizon = self.horizon;
                self.follower.state_mut().apply(slot, &batch, horizon);
                self.recent.insert(slot, batch);
            }
            Stored::Checkpoint { records, to, horizon, votes_from, vote } => {
                let mut state = State::new(Scope::All);
                for record in records {
                    state.set(record);
                }
                state.reach(to);
                state.forget(horizon);
                self.follower = Follower::new(state);
                self.votes_from = votes_from;
                self.vote = vote;
            }
        }
        true
    }

    pub fn state(&self) -> &State {
        self.follower.state()
    }

    /// The last slot that is known, with all before it.
    pub fn slot(&self) -> u64 {
        self.state().to().next().slot().saturating_sub(1)
    }

    /// True where it holds all up to the end of a slot, so that it can apply the next.
    pub(crate) fn settled(&self) -> bool {
        let state = self.state();
        state.whole() && (state.to() == Version(0) || state.to() == Version::end_of(self.slot()))
    }

    /// What was chosen for a slot, where it is not long ago.
    pub fn chosen(&self, slot: u64) -> Option<&Batch> {
        self.recent.get(&slot)
    }

    /// True where it may vote again, or ever could.
    pub fn votes(&self) -> bool {
        self.votes_from.is_some_and(|from| self.slot() + 1 >= from)
    }

    pub(crate) fn send(&self, to: u8, message: Paxos, environment: &mut dyn Environment) {
        if let Some(peer) = self.peers.get(to) {
            environment.send(peer.address, packet::write(self.fleet, &Message::Paxos(message)));
        }
    }

    fn reply(
        &mut self,
        to: SocketAddr,
        message: &Message,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let datagram = packet::write(self.fleet, message);
        if self.rate.take(datagram.len(), 0, now) {
            environment.send(to, datagram);
        }
    }

    /// Takes a change of this machine's own.
    pub fn submit(&mut self, change: Change, now: Timestamp, environment: &mut dyn Environment) {
        self.take(change, None, now, environment);
    }

    fn take(
        &mut self,
        change: Change,
        from: Option<SocketAddr>,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        if self.state().get(&Key::Done(change.id)).is_some() {
            self.tell(change.id, Err(ChangeError::Again), from, now, environment);
        } else if !change.within_bounds() {
            environment.datagram_rejected("cells changes over a bound");
            self.tell(change.id, Err(ChangeError::OverBound), from, now, environment);
        } else if !self.queue.push(change, from, from.is_some_and(|from| self.peers.id(from).is_some())) {
            environment.datagram_rejected("cells changes over the queue");
        } else {
            self.propose(now, environment);
        }
    }

    fn tell(
        &mut self,
        id: u64,
        outcome: Result<(), ChangeError>,
        to: Option<SocketAddr>,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        match to {
            Some(to) => self.reply(to, &Message::Outcome { id, outcome }, now, environment),
            None => environment.change_decided(id, outcome),
        }
    }

    pub fn on_datagram(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        match packet::read(self.fleet, datagram) {
            Err(error) => environment.datagram_rejected(error.name()),
            Ok(Message::Paxos(message)) => match self.peers.id(from) {
                Some(from) => self.heard_paxos(from, message, now, environment),
                None => environment.datagram_rejected("cells votes from no replica"),
            },
            Ok(Message::Pull { scope, after, anew }) => {
                let delta = self.state().answer(scope, after, anew);
                self.reply(from, &Message::Delta(delta), now, environment);
            }
            Ok(Message::Delta(delta)) => {
                if self.peers.id(from).is_none() {
                    return environment.datagram_rejected("cells answers from no replica");
                }
                match self.follower.take(&delta) {
                    Ok(merged) => {
                        if delta.to < delta.head && merged.further {
                            self.pull(from, environment);
                        }
                        if merged.further && self.settled() {
                            self.caught_up(environment);
                        }
                    }
                    Err(DeltaError::Gap) => {}
                    Err(DeltaError::Disorder) => environment.datagram_rejected("cells answers out of order"),
                    Err(DeltaError::Fork) => environment.datagram_rejected("cells answers with a fork"),
                }
                self.propose(now, environment);
            }
            Ok(Message::Submit(change)) => self.take(change, Some(from), now, environment),
            Ok(Message::Outcome { id, outcome }) if self.peers.id(from).is_some() => {
                if let Some(from) = self.queue.chosen(id) {
                    self.tell(id, outcome, from, now, environment);
                }
            }
            Ok(_) => environment.datagram_rejected("cells datagrams for members"),
        }
    }

    fn pull(&self, to: SocketAddr, environment: &mut dyn Environment) {
        environment.send(to, packet::write(self.fleet, &self.follower.pull()));
    }

    pub(crate) fn pull_from(&self, id: u8, environment: &mut dyn Environment) {
        if let Some(peer) = self.peers.get(id) {
            self.pull(peer.address, environment);
        }
    }

    /// It holds more than by its own steps: all of it is stored before it votes on.
    fn caught_up(&mut self, environment: &mut dyn Environment) {
        self.recent.clear();
        self.checkpoint(environment);
        if self.proposal.as_ref().is_some_and(|proposal| proposal.slot <= self.slot()) {
            self.proposal = None;
        }
    }

    fn checkpoint(&self, environment: &mut dyn Environment) {
        let state = self.state();
        environment.store(Stored::Checkpoint {
            records: state.records().cloned().collect(),
            to: state.to(),
            horizon: state.horizon(),
            votes_from: self.votes_from,
            vote: self.vote.clone(),
        });
    }

    /// What was chosen for the next slot is stored, applied and told.
    pub(crate) fn learn(
        &mut self,
        slot: u64,
        batch: Batch,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        environment.store(Stored::Chosen { slot, batch: batch.clone() });
        let before = self.state().to();
        let horizon = self.horizon;
        let outcomes = self.follower.state_mut().apply(slot, &batch, horizon);
        let news = self.state().newer(Scope::All, before, Version(u64::MAX), usize::MAX);
        news.records.iter().for_each(|record| environment.record_changed(record));
        for (id, outcome) in outcomes {
            if let Some(from) = self.queue.chosen(id) {
                self.tell(id, outcome, from, now, environment);
            }
        }
        self.recent.insert(slot, batch);
        self.recent = self.recent.split_off(&slot.saturating_sub(RECENT));
        if slot.is_multiple_of((horizon / 4).max(1)) {
            self.checkpoint(environment);
        }
        self.proposal = None;
    }

    /// To be called when [`Replica::next_wakeup`] says so, or more often.
    pub fn on_timer(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        if now >= self.pulls {
            self.pulls = now + PULL;
            let others: Vec<u8> = self.peers.iter().map(|(id, _)| id).filter(|id| *id != self.id).collect();
            if !others.is_empty() {
                let to = others[self.chance.generate_range(0..others.len())];
                self.pull_from(to, environment);
            }
            self.ask_parts(environment);
        }
        self.propose(now, environment);
    }

    pub fn next_wakeup(&self) -> Timestamp {
        let proposal = self.proposal.as_ref().map_or(Timestamp::NEVER, |proposal| proposal.until);
        let waits = if self.queue.is_empty() { Timestamp::NEVER } else { self.retry };
        let own = if self.proposal.is_some() { proposal } else { waits };
        self.pulls.min(own)
    }
}
