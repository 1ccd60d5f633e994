//! Deltas, by which one node brings the state of another up to date.

use crate::record::{Record, Version};
use serde::{Deserialize, Serialize};

/// The records of a scope with versions in a range, in order of version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Exclusive lower bound of the versions.
    pub after: Version,
    /// Inclusive upper bound of the versions.
    pub to: Version,
    /// The latest version that the sender knows to exist. A record in the range is omitted if the sender
    /// holds a later version of it, which is at most `head`.
    pub head: Version,
    /// The sender's compaction horizon: records deleted up to this version are not in the delta.
    pub horizon: Version,
    /// Digest of the sender's state, or 0 if the state is incomplete or has a different scope.
    pub digest: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Reason why a delta is not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta starts after the version up to which the local state is complete.
    #[error("gap before the delta; the missing records are pulled")]
    Gap,
    /// The records are not sorted, or not within the version range and scope.
    #[error("records out of order or out of range: check that all processes run the same release")]
    OutOfOrder,
    /// The delta belongs to a different log.
    #[error(
        "two values for one version: a process or acceptor has a different log; restart it with an empty state"
    )]
    Fork,
}

/// Result of merging a delta into a state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Records that were added or replaced.
    pub new_records: Vec<Record>,
    /// Whether the version up to which the state is complete has increased.
    pub is_advanced: bool,
}
