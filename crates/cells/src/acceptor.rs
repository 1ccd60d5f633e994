//! Paxos acceptor: promises and votes, which are stored before they are sent. An acceptor that has lost its storage
//! votes only in slots in which it cannot have voted before (`docs/cells.md`, "Lost disk").

use crate::change::Batch;
use crate::packet::{Ballot, Paxos};
use crate::proposal::AcceptedBatch;
use crate::replica::Stored;
use crate::Environment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The promise and the vote of an acceptor in the open slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The slot.
    pub slot: u64,
    /// The highest promised ballot.
    pub promised: Ballot,
    /// The last accepted batch, with its ballot.
    pub accepted: Option<AcceptedBatch>,
}

/// The acceptor of one replica.
pub(crate) struct Acceptor {
    pub vote: Vote,
    /// First slot in which the acceptor may vote; `None` while the recovery has not determined it.
    pub first_voting_slot: Option<u64>,
    /// ID of the current recovery; distinguishes its responses from those to earlier recoveries.
    recovery: u64,
    /// Highest slot in which each other replica has voted or learned, as reported for this recovery.
    highest_slots: BTreeMap<u8, u64>,
}

impl Acceptor {
    /// An acceptor whose first voting slot is not known yet.
    pub fn new(recovery: u64) -> Self {
        Acceptor { vote: Vote::default(), first_voting_slot: None, recovery, highest_slots: BTreeMap::new() }
    }

    /// Whether the acceptor may vote in the slot after `last_slot`.
    pub fn can_vote_after(&self, last_slot: u64) -> bool {
        self.first_voting_slot.is_some_and(|from| last_slot + 1 >= from)
    }

    /// The vote in a slot; empty if the stored vote is for another slot.
    pub fn vote_in(&self, slot: u64) -> Vote {
        if self.vote.slot == slot {
            self.vote.clone()
        } else {
            Vote { slot, ..Vote::default() }
        }
    }

    /// Handles `Prepare` and returns the response.
    pub fn prepare(&mut self, slot: u64, ballot: Ballot, environment: &mut dyn Environment) -> Paxos {
        let vote = self.vote_in(slot);
        if ballot < vote.promised {
            return Paxos::Conflict { slot, promised: vote.promised };
        }
        if ballot > vote.promised {
            self.vote = Vote { promised: ballot, ..vote };
            environment.store(Stored::Vote(self.vote.clone()));
        }
        Paxos::Promise { slot, ballot, accepted: self.vote.accepted.clone() }
    }

    /// Handles `Accept` and returns the response; `None` if the proposer has sent two batches under one ballot.
    pub fn accept(
        &mut self,
        slot: u64,
        ballot: Ballot,
        batch: Batch,
        environment: &mut dyn Environment,
    ) -> Option<Paxos> {
        let vote = self.vote_in(slot);
        if ballot < vote.promised {
            return Some(Paxos::Conflict { slot, promised: vote.promised });
        }
        if vote.accepted.as_ref().is_some_and(|(accepted, value)| *accepted == ballot && *value != batch) {
            environment.datagram_rejected("cells ballots with two values");
            return None;
        }
        self.vote = Vote { slot, promised: ballot, accepted: Some((ballot, batch)) };
        environment.store(Stored::Vote(self.vote.clone()));
        Some(Paxos::Accepted { slot, ballot })
    }

    /// The query to send to the other replicas while a recovery is in progress.
    pub fn recovery_query(&self) -> Option<Paxos> {
        self.first_voting_slot.is_none().then_some(Paxos::QueryHighestSlot { recovery: self.recovery })
    }

    /// Handles a response to the recovery query. A majority of responses determines the first slot in which this
    /// acceptor may vote.
    pub fn on_highest_slot(
        &mut self,
        from: u8,
        recovery: u64,
        slot: u64,
        majority: usize,
        environment: &mut dyn Environment,
    ) {
        if recovery != self.recovery || self.first_voting_slot.is_some() {
            return;
        }
        self.highest_slots.insert(from, slot);
        if self.highest_slots.len() < majority {
            return;
        }
        let highest = self.highest_slots.values().copied().max().unwrap_or_default();
        let first_voting_slot = highest + 2;
        self.first_voting_slot = Some(first_voting_slot);
        environment.store(Stored::FirstVotingSlot(first_voting_slot));
    }
}
