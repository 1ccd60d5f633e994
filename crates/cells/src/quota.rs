//! A member's share of its cell's quota, and the release of quota in escrow. `docs/cells.md` explains why the quotas in
//! use never exceed the total.

use crate::change::{Action, Change};
use crate::record::{CellId, Key, Version};
use crate::state::State;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

#[derive(Clone, Copy)]
struct Acknowledgement {
    incarnation: u32,
    version: Version,
}

/// The version of the cell's record that each member has acknowledged.
#[derive(Default)]
pub struct AcknowledgedVersions(BTreeMap<String, Acknowledgement>);

impl AcknowledgedVersions {
    /// Records that a member uses this version of the cell's record, and no earlier one.
    pub fn observe(&mut self, name: String, incarnation: u32, version: Version) {
        let acknowledged = Acknowledgement { incarnation, version };
        let latest = self.0.entry(name).or_insert(acknowledged);
        if incarnation > latest.incarnation {
            *latest = acknowledged;
        } else if incarnation == latest.incarnation {
            latest.version = latest.version.max(version);
        }
    }

    /// Whether every member that holds an index in the cell has acknowledged this version or a later one.
    pub fn acknowledged_by_all(&self, state: &State, cell: CellId, version: Version) -> bool {
        state.index_holders(cell).all(|(name, member)| {
            let latest = self.0.get(name);
            latest.is_some_and(|latest| latest.incarnation == member.incarnation && latest.version >= version)
        })
    }
}

/// Quota in escrow that is not released yet.
pub struct PendingRelease {
    /// Version of the cell's current record.
    pub cell_version: Version,
    /// Version of the shrink that moved the quota into escrow.
    pub shrink_version: Version,
}

/// The release that is pending for a cell, if it has quota in escrow.
pub fn pending_release(state: &State, cell: CellId) -> Option<PendingRelease> {
    let cell_version = state.get(&Key::Cell(cell))?.version;
    let cell = state.cell(cell)?;
    (cell.escrow > 0).then_some(PendingRelease { cell_version, shrink_version: cell.shrink_version })
}

/// The change that releases the quota in escrow. Its ID does not depend on the delegate that submits it.
pub fn release_change(cell: CellId, shrink_version: Version) -> Change {
    let id = xxh3_64(&postcard::to_stdvec(&("release", cell, shrink_version)).unwrap_or_default());
    Change { id, action: Action::ReleaseEscrow { cell, shrink_version } }
}

/// Units of quota that a member may use according to this state; 0 if its record has a different incarnation.
pub fn member_quota(state: &State, cell: CellId, name: &str, incarnation: u32) -> u32 {
    let is_member = state.member(cell, name).is_some_and(|member| member.incarnation == incarnation);
    let cell = state.cell(cell).filter(|_| is_member);
    cell.map_or(0, |cell| cell.quota / u32::from(cell.capacity.max(1)))
}
