//! Decides whether a received endpoint list is newer than the current one.
//!
//! Discovery numbers its lists in ascending order, but starts over when it is restarted, and repeats old numbers when
//! it is restored from a backup. Therefore a version number counts within an epoch, and the digests of the last lists
//! of the epoch are kept. A complete list whose number is not higher than the current one is outdated only if its
//! digest is the one recorded for that number; otherwise it begins a new epoch, which is newer than all earlier ones.

use serde::{Deserialize, Serialize};

/// The key of the list history in the replicated map.
pub const LIST_KEY: &str = "list";

/// How many versions are kept, bounded by the size of one entry of the replicated map.
const MAX_VERSIONS: usize = 64;

/// Version numbers per epoch in the combined version of an entry.
const VERSIONS_PER_EPOCH: u64 = 1 << 40;

/// The current version of the endpoint list and the last ones before it. Stored by the position of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListHistory {
    /// Goes up each time discovery starts its numbering over; 0 before the first list.
    pub epoch: u64,
    /// The version number of the current list.
    pub seq: u64,
    /// The last versions of this epoch, the oldest first.
    pub past: Vec<ListVersion>,
}

/// The digest of the endpoint list at one version. Stored by the position of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Discovery's version number.
    pub seq: u64,
    /// [`list_digest`](crate::list_digest) of the list.
    pub digest: u32,
}

/// How a received list relates to the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListVerdict {
    /// Of the current epoch, and not older than the current list.
    Current,
    /// An earlier list of the current epoch: it is rejected.
    Outdated,
    /// The first list of a new epoch.
    NewEpoch,
}

impl ListHistory {
    /// Judges a complete list by its version number and its digest.
    pub(crate) fn judge(&self, seq: u64, digest: u32) -> ListVerdict {
        if self.epoch == 0 {
            return ListVerdict::NewEpoch;
        }
        if seq > self.seq {
            return ListVerdict::Current;
        }
        let recorded = self.past.iter().find(|version| version.seq == seq).map(|version| version.digest);
        match recorded {
            Some(recorded) if recorded == digest && seq == self.seq => ListVerdict::Current,
            Some(recorded) if recorded == digest => ListVerdict::Outdated,
            _ => ListVerdict::NewEpoch,
        }
    }

    /// Records a list that was accepted with this verdict.
    pub(crate) fn record(&mut self, verdict: ListVerdict, seq: u64, digest: u32) {
        if verdict == ListVerdict::NewEpoch {
            self.epoch += 1;
            self.past.clear();
        }
        self.seq = seq;
        self.past.retain(|version| version.seq != seq);
        self.past.push(ListVersion { seq, digest });
        self.past.drain(..self.past.len().saturating_sub(MAX_VERSIONS));
    }

    /// The version of an entry that belongs to list `seq` of the current epoch: higher than any of an earlier epoch.
    pub(crate) fn entry_version(&self, seq: u64) -> u64 {
        self.epoch * VERSIONS_PER_EPOCH + seq.min(VERSIONS_PER_EPOCH - 1)
    }

    /// Whether this history is at least as new as `other`.
    pub(crate) fn is_at_least(&self, other: &ListHistory) -> bool {
        self.entry_version(self.seq) >= other.entry_version(other.seq)
    }

    /// The epoch of an entry with this version.
    pub(crate) fn epoch_of(entry_version: u64) -> u64 {
        entry_version / VERSIONS_PER_EPOCH
    }
}

#[cfg(test)]
#[path = "../tests/unit/list_history.rs"]
mod tests;
