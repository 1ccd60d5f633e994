//! Whether a list is newer than the one held: discovery counts its versions up, but one that was itself restarted may
//! count from 1 again, and one that was restored may tell an old list.
//!
//! Versions are kept with the count that they are of, and with what the list was at each of the last ones. A whole list
//! with a lower version, or with the same one and other lines, is an older one only where it is just what was told
//! under that version; else it is of another count, which is newer than all of the last. Of a new count the first list
//! takes nothing back that was known of a server since its start: one that drained then drains still, until a later
//! change says otherwise.

use serde::{Deserialize, Serialize};

/// How many versions' lists are remembered; with eight bytes each they fit in one entry.
pub const REMEMBERED: usize = 64;

/// Versions within one count, of which there are fewer.
const SEQS: u64 = 1 << 40;

/// What all know of the list: the count, the version reached, and what it was at the last ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListHistory {
    /// Counts up with each new count of discovery's.
    pub epoch: u64,
    pub seq: u64,
    /// Versions and a digest of the list at each, the oldest first.
    pub past: Vec<ListVersion>,
}

/// The digest of the list at one version of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Discovery's version number.
    pub seq: u64,
    /// [`list_digest`](crate::list_digest) of the list.
    pub digest: u32,
}

/// What a list is to the one held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListVerdict {
    /// Of the same count, and not older.
    Goes,
    /// One that was told before: it is not taken.
    Older,
    /// Of another count, which begins with it.
    Anew,
}

impl ListHistory {
    /// Judges a whole list by its version and its digest.
    pub fn judge(&self, seq: u64, digest: u32) -> ListVerdict {
        if self.epoch == 0 {
            return ListVerdict::Anew;
        }
        let then = self.past.iter().find(|past| past.seq == seq).map(|past| past.digest);
        match then {
            _ if seq > self.seq => ListVerdict::Goes,
            Some(then) if then == digest && seq == self.seq => ListVerdict::Goes,
            Some(then) if then == digest => ListVerdict::Older,
            _ => ListVerdict::Anew,
        }
    }

    /// A list was taken.
    pub fn took(&mut self, told: ListVerdict, seq: u64, digest: u32) {
        if told == ListVerdict::Anew {
            self.epoch += 1;
            self.past.clear();
        }
        self.seq = seq;
        self.past.retain(|past| past.seq != seq);
        self.past.push(ListVersion { seq, digest });
        self.past.drain(..self.past.len().saturating_sub(REMEMBERED));
    }

    /// The version of a server's line in what all share: any of a later count is newer than all of an earlier one.
    pub fn stamp(&self, seq: u64) -> u64 {
        self.epoch * SEQS + seq.min(SEQS - 1)
    }

    /// Which count such a version is of.
    pub fn epoch_of(stamp: u64) -> u64 {
        stamp / SEQS
    }
}

#[cfg(test)]
#[path = "../tests/unit/agreement.rs"]
mod tests;
