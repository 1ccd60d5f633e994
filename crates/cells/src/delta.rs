//! Differences between the states of two holders.

use crate::record::{Record, Version};
use serde::{Deserialize, Serialize};

/// All records of a scope with versions after one and up to another, in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The records have later versions.
    pub after: Version,
    /// No record up to this version is left out.
    pub to: Version,
    /// The latest version that the sender knows to exist. Up to there a record may be left out that the sender holds
    /// in a later version.
    pub head: Version,
    /// Records deleted up to this version are left out.
    pub horizon: Version,
    /// Hash of all records of the sender, or 0 where it is not complete or has another scope.
    pub digest: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Why a delta is not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It starts after the last version that is complete here.
    #[error("a gap before it: what lies between is asked for")]
    Gap,
    /// Its records are not sorted, or not of its versions and scope.
    #[error("a record that is not in its span or out of order: see that all processes run one version")]
    OutOfOrder,
    /// It is of another log.
    #[error(
        "two values for one version: a process or acceptor holds another log; start it with an empty state"
    )]
    Fork,
}

/// What a delta has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Records that are new here.
    pub new_records: Vec<Record>,
    /// The state is complete up to a later version than before.
    pub is_advanced: bool,
}
