//! The proposer's part of one Paxos instance: the promises of a majority, then its votes.

use crate::change::Batch;
use crate::packet::Ballot;
use shelfgrade::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// A batch that an acceptor has voted for.
pub type AcceptedBatch = (Ballot, Batch);

/// A ballot of this replica for one slot.
pub struct Proposal {
    /// The slot.
    pub slot: u64,
    /// The ballot.
    pub ballot: Ballot,
    /// When it is abandoned.
    pub deadline: Timestamp,
    own: Batch,
    promises: BTreeMap<u8, Option<AcceptedBatch>>,
    /// What is voted on, once a majority has promised.
    batch: Option<Batch>,
    votes: BTreeSet<u8>,
}

impl Proposal {
    /// A proposal to choose this batch.
    pub fn new(slot: u64, ballot: Ballot, own: Batch, deadline: Timestamp) -> Self {
        Proposal {
            slot,
            ballot,
            deadline,
            own,
            promises: BTreeMap::new(),
            batch: None,
            votes: BTreeSet::new(),
        }
    }

    /// Records a promise. Returns the batch to be voted on when this promise completes the majority: the accepted batch
    /// of the highest ballot, as it may have been chosen, before the proposal's own.
    pub fn on_promise(
        &mut self,
        from: u8,
        accepted: Option<AcceptedBatch>,
        majority: usize,
    ) -> Option<Batch> {
        if self.batch.is_some() {
            return None;
        }
        self.promises.insert(from, accepted);
        if self.promises.len() < majority {
            return None;
        }
        let latest = self.promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        self.batch = Some(latest.map_or_else(|| self.own.clone(), |(_, batch)| batch.clone()));
        self.batch.clone()
    }

    /// Records a vote. Returns the batch that is chosen when a majority has voted.
    pub fn on_vote(&mut self, from: u8, majority: usize) -> Option<Batch> {
        let batch = self.batch.as_ref()?;
        self.votes.insert(from);
        (self.votes.len() >= majority).then(|| batch.clone())
    }
}
