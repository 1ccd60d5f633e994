//! The local replica of the replicated map, and the results of merges from peers.

use crate::entry::Entry;
use crate::replicated_map::{MergeOutcome, ReplicatedMap};

/// The map, and the results of merges that have not been processed yet.
pub(crate) struct Replica {
    pub(crate) map: ReplicatedMap,
    pending: PendingMerges,
}

/// Results of merges since the last call of [`Replica::take_pending`].
#[derive(Default)]
pub(crate) struct PendingMerges {
    /// Entries that were applied.
    pub(crate) applied: Vec<Entry>,
    /// The number of rejected entries.
    pub(crate) rejected: u64,
}

impl Replica {
    pub(crate) fn new(max_entries: usize) -> Self {
        Replica { map: ReplicatedMap::new(max_entries), pending: PendingMerges::default() }
    }

    /// Merges an entry received from a peer. Returns whether it was applied.
    pub(crate) fn merge(&mut self, entry: Entry) -> bool {
        let outcome = self.map.merge(entry.clone());
        match outcome {
            MergeOutcome::Applied => self.pending.applied.push(entry),
            MergeOutcome::Rejected => self.pending.rejected += 1,
            MergeOutcome::Stale => {}
        }
        outcome == MergeOutcome::Applied
    }

    pub(crate) fn take_pending(&mut self) -> PendingMerges {
        std::mem::take(&mut self.pending)
    }
}
