//! What a replica stores, and how it starts again with it.

use super::Replica;
use crate::acceptor::Vote;
use crate::change::Batch;
use crate::log_follower::LogFollower;
use crate::record::{Record, Scope, Version};
use crate::state::State;
use crate::Environment;
use serde::{Deserialize, Serialize};

/// What is to be on disk. All of it is given to [`Replica::restore`] in the order in which it was stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stored {
    /// The operator founded a fleet with this replica.
    Initialized,
    /// The storage was lost: no vote until it is known from which slot on.
    Recovering,
    /// The first slot in which a replica that lost its storage may vote.
    VotesFrom(u64),
    /// The promise and the vote in the open slot.
    Vote(Vote),
    /// The batch that was chosen for a slot.
    Chosen {
        /// The slot.
        slot: u64,
        /// The batch.
        batch: Batch,
    },
    /// All that the replica holds. Whatever was stored before may be deleted.
    Checkpoint {
        /// All records.
        records: Vec<Record>,
        /// No record up to this version is missing.
        to: Version,
        /// Records deleted up to this version were dropped.
        horizon: Version,
        /// The first slot that it may vote in.
        votes_from: Option<u64>,
        /// The promise and the vote in the open slot.
        vote: Vote,
    },
}

impl Replica {
    /// Applies one thing that was stored. Returns false where there is a gap before it.
    pub(super) fn replay(&mut self, stored: Stored) -> bool {
        match stored {
            Stored::Initialized => self.acceptor.votes_from = Some(0),
            Stored::Recovering => self.acceptor.votes_from = None,
            Stored::VotesFrom(slot) => self.acceptor.votes_from = Some(slot),
            Stored::Vote(vote) => self.acceptor.vote = vote,
            Stored::Chosen { slot, batch } => {
                if slot != self.slot() + 1 {
                    return false;
                }
                self.follower.state_mut().apply(slot, &batch, self.horizon_slots);
                self.recent_batches.insert(slot, batch);
            }
            Stored::Checkpoint { records, to, horizon, votes_from, vote } => {
                self.follower = LogFollower::new(checkpointed_state(records, to, horizon));
                self.acceptor.votes_from = votes_from;
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
            votes_from: self.acceptor.votes_from,
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
