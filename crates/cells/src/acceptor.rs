//! The acceptor's part of Paxos: promises and votes, which are stored before they are sent. An acceptor that has lost
//! its storage votes only in slots that it cannot have taken part in (`docs/cells.md`, "Lost disk").

use crate::change::Batch;
use crate::packet::{Ballot, Paxos};
use crate::proposal::AcceptedBatch;
use crate::replica::Stored;
use crate::Environment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The promise and the vote in the one slot that is open.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The slot.
    pub slot: u64,
    /// The highest ballot that was promised.
    pub promised: Ballot,
    /// The last batch that was voted for.
    pub accepted: Option<AcceptedBatch>,
}

/// The acceptor of one replica.
pub(crate) struct Acceptor {
    pub vote: Vote,
    /// First slot that it may vote in; none while a recovery has not found it.
    pub votes_from: Option<u64>,
    /// Tells answers to this recovery from those to earlier ones.
    recovery: u64,
    /// Highest slot that each other replica took part in.
    highest_slots: BTreeMap<u8, u64>,
}

impl Acceptor {
    /// An acceptor that does not know from which slot on it may vote.
    pub fn new(recovery: u64) -> Self {
        Acceptor { vote: Vote::default(), votes_from: None, recovery, highest_slots: BTreeMap::new() }
    }

    /// Whether it may vote in the slot after this one.
    pub fn can_vote_after(&self, last_slot: u64) -> bool {
        self.votes_from.is_some_and(|from| last_slot + 1 >= from)
    }

    /// The vote in a slot; an empty one where it is of another slot.
    pub fn vote_in(&self, slot: u64) -> Vote {
        if self.vote.slot == slot {
            self.vote.clone()
        } else {
            Vote { slot, ..Vote::default() }
        }
    }

    /// Answers `Prepare`.
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

    /// Answers `Accept`; none where a proposer has sent two batches under one ballot.
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
        if vote.accepted.as_ref().is_some_and(|(held, value)| *held == ballot && *value != batch) {
            environment.datagram_rejected("cells ballots with two values");
            return None;
        }
        self.vote = Vote { slot, promised: ballot, accepted: Some((ballot, batch)) };
        environment.store(Stored::Vote(self.vote.clone()));
        Some(Paxos::Accepted { slot, ballot })
    }

    /// The question of a recovery, while it is under way.
    pub fn recovery_query(&self) -> Option<Paxos> {
        self.votes_from.is_none().then_some(Paxos::AskHighestSlot { recovery: self.recovery })
    }

    /// An answer to the recovery. Once a majority has answered, it is known from which slot on this acceptor may vote.
    pub fn on_highest_slot(
        &mut self,
        from: u8,
        recovery: u64,
        slot: u64,
        majority: usize,
        environment: &mut dyn Environment,
    ) {
        if recovery != self.recovery || self.votes_from.is_some() {
            return;
        }
        self.highest_slots.insert(from, slot);
        if self.highest_slots.len() < majority {
            return;
        }
        let highest = self.highest_slots.values().copied().max().unwrap_or_default();
        let votes_from = highest + 2;
        self.votes_from = Some(votes_from);
        environment.store(Stored::VotesFrom(votes_from));
    }
}
