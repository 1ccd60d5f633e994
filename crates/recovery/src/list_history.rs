//! Decides whether a received endpoint list is newer than the current one.
//!
//! Discovery numbers its lists in ascending order, but starts over when it is restarted, and repeats old numbers when
//! it is restored from a backup. Therefore version numbers are only compared within an epoch, and the digests of the
//! most recent lists of the epoch are kept. A complete list whose number is not higher than the current one is outdated
//! only if its digest matches the one recorded for that number. Otherwise it begins a new epoch, which is newer than
//! all earlier ones.

use serde::{Deserialize, Serialize};

/// The key of the list history in the replicated map.
pub const LIST_KEY: &str = "list";

/// Maximum number of versions that are kept, limited by the size of a replicated map entry.
const MAX_VERSIONS: usize = 64;

/// Number of list versions per epoch. The version of a replicated map entry combines the epoch and the list version.
const VERSIONS_PER_EPOCH: u64 = 1 << 40;

/// The current version of the endpoint list and the most recent ones before it. Stored by field position.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListHistory {
    /// Incremented each time discovery restarts its numbering; 0 before the first list.
    pub epoch: u64,
    /// The version number of the current list.
    pub seq: u64,
    /// The most recent versions of this epoch, oldest first.
    pub past: Vec<ListVersion>,
}

/// The digest of one version of the endpoint list. Stored by field position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Discovery's version number.
    pub seq: u64,
    /// [`list_digest`](crate::list_digest) of the list.
    pub digest: u32,
}

/// The age of a received list relative to the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListFreshness {
    /// The list is of the current epoch, and not older than the current list.
    Current,
    /// The list is an earlier one of the current epoch, and is rejected.
    Outdated,
    /// The list is the first one of a new epoch.
    NewEpoch,
}

impl ListHistory {
    /// Classifies a complete list by its version number and digest.
    pub(crate) fn classify(&self, seq: u64, digest: u32) -> ListFreshness {
        if self.epoch == 0 {
            return ListFreshness::NewEpoch;
        }
        if seq > self.seq {
            return ListFreshness::Current;
        }
        let recorded = self.past.iter().find(|version| version.seq == seq).map(|version| version.digest);
        match recorded {
            Some(recorded) if recorded == digest && seq == self.seq => ListFreshness::Current,
            Some(recorded) if recorded == digest => ListFreshness::Outdated,
            _ => ListFreshness::NewEpoch,
        }
    }

    /// Records an accepted list.
    pub(crate) fn record(&mut self, freshness: ListFreshness, seq: u64, digest: u32) {
        if freshness == ListFreshness::NewEpoch {
            self.epoch += 1;
            self.past.clear();
        }
        self.seq = seq;
        self.past.retain(|version| version.seq != seq);
        self.past.push(ListVersion { seq, digest });
        self.past.drain(..self.past.len().saturating_sub(MAX_VERSIONS));
    }

    /// The version of a replicated map entry for list `seq` of the current epoch. Higher than all versions of earlier
    /// epochs.
    pub(crate) fn entry_version(&self, seq: u64) -> u64 {
        self.epoch * VERSIONS_PER_EPOCH + seq.min(VERSIONS_PER_EPOCH - 1)
    }

    /// Whether this history is at least as new as `other`.
    pub(crate) fn is_at_least_as_new_as(&self, other: &ListHistory) -> bool {
        self.entry_version(self.seq) >= other.entry_version(other.seq)
    }

    /// The epoch of a replicated map entry with this version.
    pub(crate) fn epoch_of(entry_version: u64) -> u64 {
        entry_version / VERSIONS_PER_EPOCH
    }
}

#[cfg(test)]
#[path = "../tests/unit/list_history.rs"]
mod tests;
