//! Paxos proposer of one slot: collects the promises of a majority, then its votes.

use crate::change::Batch;
use crate::packet::Ballot;
use shelfgrade::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// A batch that an acceptor has voted for, and its ballot.
pub type AcceptedBatch = (Ballot, Batch);

/// A proposal of this replica for a slot.
pub struct Proposal {
    /// The slot.
    pub slot: u64,
    /// The ballot.
    pub ballot: Ballot,
    /// When the proposal is abandoned.
    pub deadline: Timestamp,
    own_batch: Batch,
    promises: BTreeMap<u8, Option<AcceptedBatch>>,
    /// The batch to vote on, once a majority has promised.
    batch: Option<Batch>,
    votes: BTreeSet<u8>,
}

impl Proposal {
    /// A proposal of `own_batch`, which yields to a batch that an acceptor has voted for.
    pub fn new(slot: u64, ballot: Ballot, own_batch: Batch, deadline: Timestamp) -> Self {
        Proposal {
            slot,
            ballot,
            deadline,
            own_batch,
            promises: BTreeMap::new(),
            batch: None,
            votes: BTreeSet::new(),
        }
    }

    /// Records a promise. Returns the batch to vote on if this promise completes a majority: the accepted batch with
    /// the highest ballot, which may already be chosen, or else the proposal's own batch.
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
        self.batch = Some(latest.map_or_else(|| self.own_batch.clone(), |(_, batch)| batch.clone()));
        self.batch.clone()
    }

    /// Records a vote. Returns the batch, which is then chosen, if a majority has voted.
    pub fn on_vote(&mut self, from: u8, majority: usize) -> Option<Batch> {
        let batch = self.batch.as_ref()?;
        self.votes.insert(from);
        (self.votes.len() >= majority).then(|| batch.clone())
    }
}
