//! Data that a replica stores, and how it is replayed at a restart.

use super::Replica;
use crate::acceptor::Vote;
use crate::change::Batch;
use crate::log_follower::LogFollower;
use crate::record::{Record, Scope, Version};
use crate::state::State;
use crate::Environment;
use serde::{Deserialize, Serialize};

/// An item of a replica's storage. All items are passed to [`Replica::restore`] in the order in which they were stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stored {
    /// The replica was initialized for a new fleet by the operator.
    Initialized,
    /// The storage was lost: the replica must not vote until its first voting slot is known.
    Recovering,
    /// The first slot in which a replica that lost its storage may vote.
    FirstVotingSlot(u64),
    /// The promise and the vote of the acceptor in the open slot.
    Vote(Vote),
    /// The chosen batch of a slot.
    Chosen {
        /// The slot.
        slot: u64,
        /// The chosen batch.
        batch: Batch,
    },
    /// The complete state of the replica. All items stored before may be deleted.
    Checkpoint {
        /// All records.
        records: Vec<Record>,
        /// Version up to which no record is missing.
        to: Version,
        /// Version up to which deleted records have been dropped.
        horizon: Version,
        /// The first slot in which the replica may vote; `None` while it recovers.
        first_voting_slot: Option<u64>,
        /// The promise and the vote of the acceptor in the open slot.
        vote: Vote,
    },
}

impl Replica {
    /// Replays a stored item. Returns false if there is a gap before it.
    pub(super) fn replay(&mut self, stored: Stored) -> bool {
        match stored {
            Stored::Initialized => self.acceptor.first_voting_slot = Some(0),
            Stored::Recovering => self.acceptor.first_voting_slot = None,
            Stored::FirstVotingSlot(slot) => self.acceptor.first_voting_slot = Some(slot),
            Stored::Vote(vote) => self.acceptor.vote = vote,
            Stored::Chosen { slot, batch } => {
                if slot != self.slot() + 1 {
                    return false;
                }
                self.follower.state_mut().apply(slot, &batch, self.horizon_slots);
                self.recent_batches.insert(slot, batch);
            }
            Stored::Checkpoint { records, to, horizon, first_voting_slot, vote } => {
                self.follower = LogFollower::new(checkpointed_state(records, to, horizon));
                self.acceptor.first_voting_slot = first_voting_slot;
                self.acceptor.vote = vote;
            }
        }
        true
    }

    pub(super) fn store_checkpoint(&self, environment: &mut dyn Environment) {
        let state = self.state();
        environment.store(Stored::Checkpoint {
            records: state.records().cloned().collect(),
            to: state.complete_to(),
            horizon: state.horizon(),
            first_voting_slot: self.acceptor.first_voting_slot,
            vote: self.acceptor.vote.clone(),
        });
    }
}

fn checkpointed_state(records: Vec<Record>, to: Version, horizon: Version) -> State {
    let mut state = State::new(Scope::All);
    for record in records {
        state.insert(record);
    }
    state.set_complete_to(to);
    state.compact(horizon);
    state
}
