//! Consensus: replicas choose the batches of consecutive slots, each by single-decree Paxos.

use super::{ActiveProposer, Replica};
use crate::change::Batch;
use crate::packet::{Ballot, Message, Paxos};
use crate::proposal::{AcceptedBatch, Proposal};
use crate::Environment;
use nanorand::Rng;
use shelfgrade::time::Timestamp;
use std::time::Duration;

/// Twice the longest round-trip time between replicas.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Bounds of the random delay before the next proposal, which keeps two proposers from repeatedly conflicting.
const MIN_BACKOFF_MS: u64 = 10;
const MAX_BACKOFF_MS: u64 = 600;
/// Time for which another replica counts as an active proposer after its last message: two proposal timeouts.
const ACTIVE_PROPOSER_TIMEOUT: Duration = Duration::from_millis(1600);

impl Replica {
    pub(super) fn on_paxos(
        &mut self,
        from: u8,
        message: Paxos,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        match message {
            Paxos::Prepare { slot, .. } | Paxos::Accept { slot, .. } if slot == self.slot() + 2 => {
                // Arrived before the chosen batch of the open slot; handled once that batch is learned.
                self.yield_to(from, now);
                self.next_slot_messages.insert(from, message);
            }
            Paxos::Prepare { slot, ballot } => {
                if self.may_vote_in(from, slot, ballot, environment) {
                    self.yield_to(from, now);
                    let response = self.acceptor.prepare(slot, ballot, environment);
                    self.send_paxos(from, response, environment);
                }
            }
            Paxos::Accept { slot, ballot, batch } => {
                if self.may_vote_in(from, slot, ballot, environment) {
                    if let Some(response) = self.acceptor.accept(slot, ballot, batch, environment) {
                        self.send_paxos(from, response, environment);
                    }
                }
            }
            Paxos::Promise { slot, ballot, accepted } => {
                self.on_promise(from, slot, ballot, accepted, now, environment);
            }
            Paxos::Accepted { slot, ballot } => self.on_vote(from, slot, ballot, now, environment),
            Paxos::Conflict { slot, promised } => self.on_conflict(slot, promised, now),
            Paxos::Chosen { slot, batch } => self.on_chosen(from, slot, batch, now, environment),
            Paxos::QueryHighestSlot { recovery } => {
                if self.can_vote() {
                    let slot = self.slot().max(self.acceptor.vote.slot);
                    self.send_paxos(from, Paxos::HighestSlot { recovery, slot }, environment);
                }
            }
            Paxos::HighestSlot { recovery, slot } => {
                let majority = self.replicas.majority();
                self.acceptor.on_highest_slot(from, recovery, slot, majority, environment);
            }
        }
    }

    /// Whether this replica may vote in a slot for the ballot of a proposer. If the proposer is behind, sends it the
    /// chosen batch; if this replica is behind, pulls from the proposer.
    fn may_vote_in(
        &mut self,
        from: u8,
        slot: u64,
        ballot: Ballot,
        environment: &mut dyn Environment,
    ) -> bool {
        if ballot.proposer != from {
            environment.datagram_rejected("cells ballots of others");
            return false;
        }
        let last_slot = self.slot();
        if slot <= last_slot {
            if let Some(batch) = self.chosen_batch(slot).cloned() {
                self.send_paxos(from, Paxos::Chosen { slot, batch }, environment);
            }
            return false;
        }
        if slot > last_slot + 1 || !self.is_caught_up() {
            self.pull_from(from, environment);
            return false;
        }
        // If a vote in a later slot is stored, this replica has lost batches since and must not vote in their slots.
        self.can_vote() && slot >= self.acceptor.vote.slot
    }

    fn on_conflict(&mut self, slot: u64, promised: Ballot, now: Timestamp) {
        self.highest_round = self.highest_round.max(promised.round);
        let is_superseded = self
            .proposal
            .as_ref()
            .is_some_and(|proposal| proposal.slot == slot && promised > proposal.ballot);
        if is_superseded {
            self.abandon_proposal(now);
            self.yield_to(promised.proposer, now);
        }
    }

    fn on_chosen(
        &mut self,
        from: u8,
        slot: u64,
        batch: Batch,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        if let Some(known) = self.chosen_batch(slot) {
            if *known != batch {
                environment.datagram_rejected("cells log with a fork");
            }
        } else if self.is_caught_up() && slot == self.slot() + 1 {
            self.learn(slot, batch, now, environment);
            for (from, message) in std::mem::take(&mut self.next_slot_messages) {
                self.on_paxos(from, message, now, environment);
            }
            self.propose(now, environment);
        } else if slot > self.slot() {
            environment.datagram_rejected("cells log with a gap");
            self.pull_from(from, environment);
        }
    }

    /// Proposes the queued changes for the next slot, if this replica may propose and has no open proposal. Otherwise
    /// forwards them if another replica is proposing or this one cannot vote.
    pub(super) fn propose(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.deadline) {
            self.abandon_proposal(now);
        }
        if self.proposal.is_some() || self.queue.is_empty() || now < self.next_proposal_at {
            return;
        }
        let slot = self.slot() + 1;
        let can_vote = self.can_vote();
        if !self.is_caught_up() || !can_vote || self.acceptor.vote.slot > slot {
            self.next_proposal_at = now + Duration::from_millis(MAX_BACKOFF_MS);
            if !can_vote {
                self.forward_queue(None, environment);
            }
            return;
        }
        let active = self.active_proposer.as_ref();
        if let Some(active) = active.filter(|active| active.id != self.id && now < active.until) {
            let (id, until) = (active.id, active.until);
            self.next_proposal_at = until + self.backoff();
            return self.forward_queue(Some(id), environment);
        }
        self.start_proposal(slot, now, environment);
    }

    fn start_proposal(&mut self, slot: u64, now: Timestamp, environment: &mut dyn Environment) {
        let promised_round = self.acceptor.vote_in(slot).promised.round;
        let ballot = Ballot { round: promised_round.max(self.highest_round) + 1, proposer: self.id };
        let batch = self.queue.batch();
        self.proposal = Some(Proposal::new(slot, ballot, batch, now + PROPOSAL_TIMEOUT));
        // The promise is stored before the ballot is sent, so that the next ballot is higher also after a restart.
        let own_response = self.acceptor.prepare(slot, ballot, environment);
        self.broadcast(&Paxos::Prepare { slot, ballot }, environment);
        if let Paxos::Promise { accepted, .. } = own_response {
            self.on_promise(self.id, slot, ballot, accepted, now, environment);
        }
    }

    /// Lets another replica propose for some time, because competing proposers with ever higher ballots may livelock.
    fn yield_to(&mut self, id: u8, now: Timestamp) {
        self.active_proposer = Some(ActiveProposer { id, until: now + ACTIVE_PROPOSER_TIMEOUT });
    }

    /// Forwards queued changes to the replica `to`, or to a random one, as this replica cannot get them chosen now.
    fn forward_queue(&mut self, to: Option<u8>, environment: &mut dyn Environment) {
        if self.other_replicas().is_empty() {
            return;
        }
        let Some(to) = to.or_else(|| self.random_replica()) else { return };
        for change in self.queue.batch() {
            self.send_to_replica(to, &Message::Submit(change), environment);
        }
    }

    fn abandon_proposal(&mut self, now: Timestamp) {
        if let Some(proposal) = self.proposal.take() {
            self.highest_round = self.highest_round.max(proposal.ballot.round);
        }
        self.next_proposal_at = now + self.backoff();
    }

    fn backoff(&mut self) -> Duration {
        Duration::from_millis(self.rng.generate_range(MIN_BACKOFF_MS..MAX_BACKOFF_MS))
    }

    fn send_paxos(&self, to: u8, message: Paxos, environment: &mut dyn Environment) {
        self.send_to_replica(to, &Message::Paxos(message), environment);
    }

    pub(super) fn broadcast(&self, message: &Paxos, environment: &mut dyn Environment) {
        for id in self.other_replicas() {
            self.send_paxos(id, message.clone(), environment);
        }
    }

    fn on_promise(
        &mut self,
        from: u8,
        slot: u64,
        ballot: Ballot,
        accepted: Option<AcceptedBatch>,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let majority = self.replicas.majority();
        let Some(proposal) = self.matching_proposal(slot, ballot) else { return };
        let Some(batch) = proposal.on_promise(from, accepted, majority) else { return };
        self.broadcast(&Paxos::Accept { slot, ballot, batch: batch.clone() }, environment);
        let own_response = self.acceptor.accept(slot, ballot, batch, environment);
        if let Some(Paxos::Accepted { .. }) = own_response {
            self.on_vote(self.id, slot, ballot, now, environment);
        }
    }

    fn on_vote(
        &mut self,
        from: u8,
        slot: u64,
        ballot: Ballot,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let majority = self.replicas.majority();
        let Some(proposal) = self.matching_proposal(slot, ballot) else { return };
        let Some(batch) = proposal.on_vote(from, majority) else { return };
        if self.is_caught_up() && slot == self.slot() + 1 {
            self.learn(slot, batch.clone(), now, environment);
        } else {
            self.proposal = None;
        }
        self.broadcast(&Paxos::Chosen { slot, batch }, environment);
        self.propose(now, environment);
    }

    /// The open proposal, if it has this slot and ballot.
    fn matching_proposal(&mut self, slot: u64, ballot: Ballot) -> Option<&mut Proposal> {
        self.proposal.as_mut().filter(|proposal| proposal.slot == slot && proposal.ballot == ballot)
    }
}
