//! Changes to the replicated state; the log is a sequence of batches of them.

use crate::record::{CellId, Version, TOTAL_QUOTA};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of changes in a batch. Bounded so that [`Version`] has an index for each
/// record that the changes write.
pub(crate) const MAX_BATCH_CHANGES: usize = 255;
/// Maximum length of a member name.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of an entry's key.
pub const MAX_KEY_BYTES: usize = 96;
/// Maximum length of an entry's value.
pub const MAX_VALUE_BYTES: usize = 900;
/// Maximum capacity of a cell.
pub const MAX_CELL_CAPACITY: u16 = 1024;
/// Maximum number of entries: enough for several thousand servers plus the settings of customers and sites.
pub const MAX_ENTRIES: usize = 16_384;

/// The operation of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Adds a cell and assigns it free quota.
    AddCell {
        /// ID of the new cell.
        cell: CellId,
        /// Region of the cell.
        region: u8,
        /// Maximum number of members; the quota is divided into this many equal shares.
        capacity: u16,
        /// Quota of the cell, in units.
        quota: u32,
    },
    /// Adds a member to a cell.
    AddMember {
        /// The cell.
        cell: CellId,
        /// Name of the member, unique in the fleet.
        name: String,
        /// Address of the member.
        address: SocketAddr,
        /// Incarnation of the member.
        incarnation: u32,
    },
    /// Replaces a member that has restarted. Its previous process must have ended.
    ReplaceMember {
        /// The cell.
        cell: CellId,
        /// Name of the member.
        name: String,
        /// New address of the member.
        address: SocketAddr,
        /// New incarnation, greater than the previous one.
        incarnation: u32,
    },
    /// Removes a member. It keeps its index and quota share until its process is recorded as ended.
    RemoveMember {
        /// The cell.
        cell: CellId,
        /// Name of the member.
        name: String,
    },
    /// Records that a member's process has ended without a replacement, which frees the member's index.
    RecordMemberEnd {
        /// The cell.
        cell: CellId,
        /// Name of the member.
        name: String,
        /// Incarnation of the ended process.
        incarnation: u32,
    },
    /// Sets an entry.
    PutEntry {
        /// Key of the entry.
        key: String,
        /// Value of the entry.
        value: Vec<u8>,
    },
    /// Deletes an entry.
    DeleteEntry {
        /// Key of the entry.
        key: String,
    },
    /// Assigns free quota to a cell.
    GrowQuota {
        /// The cell.
        cell: CellId,
        /// Units of quota.
        units: u32,
    },
    /// Moves quota of a cell into escrow.
    ShrinkQuota {
        /// The cell.
        cell: CellId,
        /// Units of quota.
        units: u32,
    },
    /// Frees the quota in escrow of a cell, once no member of the cell uses it any more.
    ReleaseEscrow {
        /// The cell.
        cell: CellId,
        /// [`crate::Cell::shrink_version`] of the shrink.
        shrink_version: Version,
    },
}

/// A change in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Idempotency key: a change that is submitted more than once is applied once.
    pub id: u64,
    /// The operation.
    pub action: Action,
}

/// The value of one slot of the log.
pub type Batch = Vec<Change>;

/// Reason why a change has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ChangeError {
    /// A change with this ID was applied before.
    #[error("change was already applied; no action needed")]
    AlreadyApplied,
    /// A member with this name exists.
    #[error("a member with this name already exists: use unique process names, or replace the member")]
    MemberExists,
    /// A cell with this ID exists.
    #[error("a cell with this ID already exists: grow or shrink it instead")]
    CellExists,
    /// No cell has this ID.
    #[error("unknown cell: add the cell first")]
    UnknownCell,
    /// No member has this name and incarnation.
    #[error("unknown member or different incarnation: read the current members, then submit a new change")]
    UnknownMember,
    /// The cell is at its capacity.
    #[error("cell is at its capacity: record which processes have ended, or add another cell in the zone")]
    CellFull,
    /// Not enough quota is free.
    #[error("not enough free quota: shrink another cell and wait until its escrow is released")]
    QuotaNotFree,
    /// The cell has quota in escrow.
    #[error("escrow of an earlier shrink is not released yet: wait, or record which processes have ended")]
    ShrinkPending,
    /// The cell has no quota in escrow from a shrink of this version.
    #[error("no escrow from a shrink of this version: read the shrink version in the cell's record")]
    NothingToRelease,
    /// A value or the number of entries exceeds its limit.
    #[error("length or count limit exceeded: shorten the value, or delete unused entries")]
    OutOfBounds,
}

impl Change {
    /// Whether all values are within their static limits; does not depend on the state.
    pub fn is_within_bounds(&self) -> bool {
        match &self.action {
            Action::AddMember { name, .. }
            | Action::ReplaceMember { name, .. }
            | Action::RemoveMember { name, .. }
            | Action::RecordMemberEnd { name, .. } => !name.is_empty() && name.len() <= MAX_NAME_BYTES,
            Action::PutEntry { key, value } => key.len() <= MAX_KEY_BYTES && value.len() <= MAX_VALUE_BYTES,
            Action::DeleteEntry { key } => key.len() <= MAX_KEY_BYTES,
            Action::AddCell { capacity, quota, .. } => {
                (1..=MAX_CELL_CAPACITY).contains(capacity) && *quota <= TOTAL_QUOTA
            }
            Action::GrowQuota { units, .. } | Action::ShrinkQuota { units, .. } => *units <= TOTAL_QUOTA,
            Action::ReleaseEscrow { .. } => true,
        }
    }

    /// Estimated encoded size in a datagram.
    pub fn estimated_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 16;
        let action = match &self.action {
            Action::AddMember { name, .. } | Action::ReplaceMember { name, .. } => name.len() + 30,
            Action::RemoveMember { name, .. } | Action::RecordMemberEnd { name, .. } => name.len() + 10,
            Action::PutEntry { key, value } => key.len() + value.len() + 4,
            Action::DeleteEntry { key } => key.len() + 2,
            Action::AddCell { .. } | Action::GrowQuota { .. } | Action::ShrinkQuota { .. } => 16,
            Action::ReleaseEscrow { .. } => 14,
        };
        OVERHEAD_BYTES + action
    }
}
