//! The changes that the log consists of.

use crate::record::{CellId, Version, TOTAL_QUOTA};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Changes in one batch at most, so that a version has an index for each of their records.
pub(crate) const MAX_BATCH_CHANGES: usize = 255;
/// Longest name of a member.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest key of an entry.
pub const MAX_KEY_BYTES: usize = 96;
/// Longest value of an entry.
pub const MAX_VALUE_BYTES: usize = 900;
/// Places of a cell at most.
pub const MAX_CELL_CAPACITY: u16 = 1024;
/// Entries with a value at most: some thousands of servers, and what customers and sites need.
pub const MAX_ENTRIES: usize = 16_384;

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Adds a cell, with quota that no cell has.
    AddCell {
        /// Number of the new cell.
        cell: CellId,
        /// Its region.
        region: u8,
        /// Equal parts that its quota is divided into.
        capacity: u16,
        /// Its quota, in units.
        quota: u32,
    },
    /// Adds a member to a cell.
    AddMember {
        /// The cell.
        cell: CellId,
        /// Name of the member, unique in the fleet.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// Its incarnation.
        incarnation: u32,
    },
    /// A member was restarted: its process before has ended.
    ReplaceMember {
        /// The cell.
        cell: CellId,
        /// Name of the member.
        name: String,
        /// Its new address.
        address: SocketAddr,
        /// Its new incarnation, greater than the one before.
        incarnation: u32,
    },
    /// Removes a member. It keeps its place until it is known to have ended.
    RemoveMember {
        /// The cell.
        cell: CellId,
        /// Name of the member.
        name: String,
    },
    /// The process of a member has ended and no other replaces it: its place is free.
    RecordMemberEnd {
        /// The cell.
        cell: CellId,
        /// Name of the member.
        name: String,
        /// Incarnation that ended.
        incarnation: u32,
    },
    /// Sets an entry.
    PutEntry {
        /// Key of the entry.
        key: String,
        /// Its value.
        value: Vec<u8>,
    },
    /// Deletes an entry.
    DeleteEntry {
        /// Key of the entry.
        key: String,
    },
    /// Gives a cell quota that no cell has.
    GrowQuota {
        /// The cell.
        cell: CellId,
        /// Units of quota.
        by: u32,
    },
    /// Takes quota from a cell into escrow.
    ShrinkQuota {
        /// The cell.
        cell: CellId,
        /// Units of quota.
        by: u32,
    },
    /// No member uses the escrow of a cell any more: it is free.
    ReleaseEscrow {
        /// The cell.
        cell: CellId,
        /// [`crate::Cell::shrunk_at`] of the shrink.
        at: Version,
    },
}

/// A change of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Idempotency key: a change that is submitted again is applied once.
    pub id: u64,
    /// What it does.
    pub action: Action,
}

/// The value of one slot of the log.
pub type Batch = Vec<Change>;

/// Why a change has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ChangeError {
    /// Its id was applied before.
    #[error("counted already: nothing to do")]
    AlreadyApplied,
    /// A member has this name.
    #[error("a member of this name is there already: give each process a name of its own, or replace it")]
    MemberExists,
    /// A cell has this number.
    #[error("a cell of this number is there already: shrink or grow it instead")]
    CellExists,
    /// No cell has this number.
    #[error("no such cell: add the cell first")]
    UnknownCell,
    /// No member has this name and incarnation.
    #[error("no such member, or another incarnation of it: read who is there, then write the change anew")]
    UnknownMember,
    /// Every place of the cell has a member.
    #[error("all places of the cell are taken: say which processes ended, or add a second cell in the zone")]
    CellFull,
    /// Less quota is free.
    #[error("more quota than is free: shrink another cell, and wait until it has released")]
    QuotaNotFree,
    /// The cell has quota in escrow.
    #[error("a shrink of this cell is not released yet: wait for it, or say which of its processes ended")]
    ShrinkPending,
    /// The cell has no quota of this version in escrow.
    #[error("nothing that was given up at this version: see which version the cell's record has")]
    NothingToRelease,
    /// A value is out of its bounds.
    #[error("longer or more than the bounds: shorten it, or delete what is no longer used")]
    OutOfBounds,
}

impl Change {
    /// Whether its values are within their bounds, whatever the state is.
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
            Action::GrowQuota { by, .. } | Action::ShrinkQuota { by, .. } => *by <= TOTAL_QUOTA,
            Action::ReleaseEscrow { .. } => true,
        }
    }

    /// Estimated bytes in a datagram.
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
