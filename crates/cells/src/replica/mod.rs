//! A replica of the log, on a dedicated machine. It accepts changes, takes part in choosing the batch of each slot,
//! applies chosen batches, and responds to pulls.

mod consensus;
mod storage;

pub use storage::Stored;

use crate::acceptor::Acceptor;
use crate::apply::{compaction_interval, DEFAULT_HORIZON_SLOTS};
use crate::change::{Batch, Change, ChangeError};
use crate::change_queue::ChangeQueue;
use crate::delta::{Delta, DeltaError};
use crate::log_follower::LogFollower;
use crate::packet::{self, Message, Paxos};
use crate::proposal::Proposal;
use crate::record::{Key, Scope, Version};
use crate::replica_set::ReplicaSet;
use crate::state::State;
use crate::token_bucket::TokenBucket;
use crate::Environment;
use nanorand::{Rng, WyRand};
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Rate limit of responses; high enough for all members of a zone that start at the same time to get their snapshots
/// within seconds.
const RESPONSE_RATE_BYTES_PER_S: f64 = 1024.0 * 1024.0;
const RESPONSE_BURST_BYTES: f64 = 4.0 * RESPONSE_RATE_BYTES_PER_S;
const PULL_PERIOD: Duration = Duration::from_millis(200);
/// Number of chosen batches kept for replicas that are slightly behind, and to detect forks.
const RECENT_SLOTS: u64 = 256;
const MIN_HORIZON_SLOTS: u64 = 8;

/// Another replica that is currently proposing.
struct ActiveProposer {
    id: u8,
    /// Time from which it no longer counts as active.
    until: Timestamp,
}

/// A replica of the log.
pub struct Replica {
    fleet: u64,
    id: u8,
    replicas: ReplicaSet,
    horizon_slots: u64,
    follower: LogFollower,
    acceptor: Acceptor,
    /// The replica that was last observed as proposing, if any.
    active_proposer: Option<ActiveProposer>,
    /// Last message of each other replica for the slot after the open one.
    next_slot_messages: BTreeMap<u8, Paxos>,
    recent_batches: BTreeMap<u64, Batch>,
    queue: ChangeQueue,
    proposal: Option<Proposal>,
    /// Highest known round of any ballot.
    highest_round: u32,
    /// When this replica may start its next proposal.
    next_proposal_at: Timestamp,
    next_pull_at: Timestamp,
    response_budget: TokenBucket,
    rng: WyRand,
}

impl Replica {
    /// Creates a replica of a new fleet. Must only be called at the operator's request: an empty disk may also be that
    /// of a replica that has lost its storage.
    pub fn initialize(
        fleet: &str,
        replicas: ReplicaSet,
        id: u8,
        seed: u64,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) -> Self {
        environment.store(Stored::Initialized);
        let mut replica = Self::empty(fleet, replicas, id, seed, now);
        replica.acceptor.first_voting_slot = Some(0);
        replica
    }

    /// Restarts a replica from its stored items, in the order in which they were stored. If there are none or one is
    /// missing, the storage counts as lost, and the replica recovers from the others before it votes.
    pub fn restore(
        fleet: &str,
        replicas: ReplicaSet,
        id: u8,
        seed: u64,
        now: Timestamp,
        stored: Vec<Stored>,
        environment: &mut dyn Environment,
    ) -> Self {
        let mut replica = Self::empty(fleet, replicas.clone(), id, seed, now);
        if !stored.is_empty() && stored.into_iter().all(|stored| replica.replay(stored)) {
            if replica.acceptor.first_voting_slot.is_some() {
                return replica;
            }
        } else {
            environment.datagram_rejected("cells storage lost, empty or with a gap");
            replica = Self::empty(fleet, replicas, id, seed, now);
        }
        environment.store(Stored::Recovering);
        replica
    }

    fn empty(fleet: &str, replicas: ReplicaSet, id: u8, seed: u64, now: Timestamp) -> Self {
        let mut rng = WyRand::new_seed(seed ^ 0x9a05);
        Replica {
            fleet: packet::fleet_id(fleet),
            id,
            replicas,
            horizon_slots: DEFAULT_HORIZON_SLOTS,
            follower: LogFollower::new(State::new(Scope::All)),
            acceptor: Acceptor::new(rng.generate()),
            active_proposer: None,
            next_slot_messages: BTreeMap::new(),
            recent_batches: BTreeMap::new(),
            queue: ChangeQueue::default(),
            proposal: None,
            highest_round: 0,
            next_proposal_at: now,
            next_pull_at: now,
            response_budget: TokenBucket::new(RESPONSE_RATE_BYTES_PER_S, RESPONSE_BURST_BYTES, now),
            rng,
        }
    }

    /// Sets the number of slots for which deleted records are kept; must be the same at every replica of the fleet.
    pub fn with_horizon(self, slots: u64) -> Self {
        Replica { horizon_slots: slots.max(MIN_HORIZON_SLOTS), ..self }
    }

    /// The replicated state.
    pub fn state(&self) -> &State {
        self.follower.state()
    }

    /// The last slot up to which all batches have been applied.
    pub fn slot(&self) -> u64 {
        self.state().complete_to().next().slot().saturating_sub(1)
    }

    /// Whether the state is complete up to the end of a slot, so that the next batch can be applied.
    fn is_caught_up(&self) -> bool {
        let state = self.state();
        let complete_to = state.complete_to();
        let is_at_slot_end = complete_to == Version(0) || complete_to == Version::end_of(self.slot());
        state.is_complete() && is_at_slot_end
    }

    /// The chosen batch of a recent slot.
    pub fn chosen_batch(&self, slot: u64) -> Option<&Batch> {
        self.recent_batches.get(&slot)
    }

    /// Whether this replica may vote; it may not while it recovers from the loss of its storage.
    pub fn can_vote(&self) -> bool {
        self.acceptor.can_vote_after(self.slot())
    }

    fn other_replicas(&self) -> Vec<u8> {
        self.replicas.iter().map(|(id, _)| id).filter(|id| *id != self.id).collect()
    }

    fn random_replica(&mut self) -> Option<u8> {
        let others = self.other_replicas();
        (!others.is_empty()).then(|| others[self.rng.generate_range(0..others.len())])
    }

    fn send_to_replica(&self, to: u8, message: &Message, environment: &mut dyn Environment) {
        if let Some(replica) = self.replicas.get(to) {
            environment.send(replica.address, packet::encode(self.fleet, message));
        }
    }

    /// Sends a response if the budget allows it; drops it otherwise.
    fn respond(
        &mut self,
        to: SocketAddr,
        message: &Message,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let datagram = packet::encode(self.fleet, message);
        if self.response_budget.try_take(datagram.len(), 0, now) {
            environment.send(to, datagram);
        }
    }

    /// Submits a change locally. The outcome is reported to [`Environment::change_decided`].
    pub fn submit(&mut self, change: Change, now: Timestamp, environment: &mut dyn Environment) {
        self.enqueue(change, None, now, environment);
    }

    fn enqueue(
        &mut self,
        change: Change,
        submitter: Option<SocketAddr>,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let id = change.id;
        let is_forwarded = submitter.is_some_and(|submitter| self.replicas.id(submitter).is_some());
        if self.state().get(&Key::Applied(id)).is_some() {
            self.notify_submitter(id, Err(ChangeError::AlreadyApplied), submitter, now, environment);
        } else if !change.is_within_bounds() {
            environment.datagram_rejected("cells changes over a bound");
            self.notify_submitter(id, Err(ChangeError::OutOfBounds), submitter, now, environment);
        } else if !self.queue.push(change, submitter, is_forwarded) {
            environment.datagram_rejected("cells changes over the queue");
        } else {
            self.propose(now, environment);
        }
    }

    fn notify_submitter(
        &mut self,
        id: u64,
        outcome: Result<(), ChangeError>,
        submitter: Option<SocketAddr>,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        match submitter {
            Some(submitter) => self.respond(submitter, &Message::Outcome { id, outcome }, now, environment),
            None => environment.change_decided(id, outcome),
        }
    }

    /// Removes a decided change from the queue and notifies its submitter.
    fn finish_change(
        &mut self,
        id: u64,
        outcome: Result<(), ChangeError>,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        if let Some(submitter) = self.queue.remove(id) {
            self.notify_submitter(id, outcome, submitter, now, environment);
        }
    }

    /// Handles a datagram.
    pub fn on_datagram(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let message = match packet::decode(self.fleet, datagram) {
            Ok(message) => message,
            Err(error) => return environment.datagram_rejected(error.counter()),
        };
        let replica = self.replicas.id(from);
        match (message, replica) {
            (Message::Paxos(message), Some(replica)) => self.on_paxos(replica, message, now, environment),
            (Message::Paxos(_), None) => environment.datagram_rejected("cells votes from no replica"),
            (Message::Pull { scope, after, snapshot }, _) => {
                let delta = self.state().pull_response(scope, after, snapshot);
                self.respond(from, &Message::Delta(delta), now, environment);
            }
            (Message::Delta(delta), Some(replica)) => self.on_delta(replica, &delta, now, environment),
            (Message::Delta(_), None) => environment.datagram_rejected("cells answers from no replica"),
            (Message::Submit(change), _) => self.enqueue(change, Some(from), now, environment),
            (Message::Outcome { id, outcome }, Some(_)) => {
                self.finish_change(id, outcome, now, environment);
            }
            _ => environment.datagram_rejected("cells datagrams for members"),
        }
    }

    fn on_delta(&mut self, from: u8, delta: &Delta, now: Timestamp, environment: &mut dyn Environment) {
        match self.follower.on_delta(delta) {
            Ok(merged) => {
                if delta.to < delta.head && merged.is_advanced {
                    self.pull_from(from, environment);
                }
                if merged.is_advanced && self.is_caught_up() {
                    self.on_caught_up(environment);
                }
            }
            Err(DeltaError::Gap) => {}
            Err(DeltaError::OutOfOrder) => environment.datagram_rejected("cells answers out of order"),
            Err(DeltaError::Fork) => environment.datagram_rejected("cells answers with a fork"),
        }
        self.propose(now, environment);
    }

    fn pull_from(&self, id: u8, environment: &mut dyn Environment) {
        self.send_to_replica(id, &self.follower.next_pull(), environment);
    }

    /// Stores the pulled state before this replica votes in later slots.
    fn on_caught_up(&mut self, environment: &mut dyn Environment) {
        self.recent_batches.clear();
        self.store_checkpoint(environment);
        if self.proposal.as_ref().is_some_and(|proposal| proposal.slot <= self.slot()) {
            self.proposal = None;
        }
    }

    /// Stores and applies the chosen batch of the next slot, and notifies the submitters of its changes.
    fn learn(&mut self, slot: u64, batch: Batch, now: Timestamp, environment: &mut dyn Environment) {
        environment.store(Stored::Chosen { slot, batch: batch.clone() });
        let previous = self.state().complete_to();
        let outcomes = self.follower.state_mut().apply(slot, &batch, self.horizon_slots);
        let changed = self.state().delta_after(Scope::All, previous, usize::MAX);
        changed.records.iter().for_each(|record| environment.record_changed(record));
        for (id, outcome) in outcomes {
            self.finish_change(id, outcome, now, environment);
        }
        self.recent_batches.insert(slot, batch);
        self.recent_batches = self.recent_batches.split_off(&slot.saturating_sub(RECENT_SLOTS));
        if slot.is_multiple_of(compaction_interval(self.horizon_slots)) {
            self.store_checkpoint(environment);
        }
        self.proposal = None;
    }

    /// Performs due actions. Must be called at [`Replica::next_wakeup`]; additional calls are harmless.
    pub fn on_timer(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        if now >= self.next_pull_at {
            self.next_pull_at = now + PULL_PERIOD;
            if let Some(replica) = self.random_replica() {
                self.pull_from(replica, environment);
            }
            if let Some(query) = self.acceptor.recovery_query() {
                self.broadcast(&query, environment);
            }
        }
        self.propose(now, environment);
    }

    /// When [`Replica::on_timer`] must be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        let proposal_due_at = match &self.proposal {
            Some(proposal) => proposal.deadline,
            None if self.queue.is_empty() => Timestamp::NEVER,
            None => self.next_proposal_at,
        };
        self.next_pull_at.min(proposal_due_at)
    }
}
