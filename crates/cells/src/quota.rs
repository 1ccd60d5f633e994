//! A member's part of its cell's quota, and the release of quota that a cell has given up. `docs/cells.md` shows why the
//! quotas in use never exceed the total.

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

/// The version of the cell's record that each member has said it uses.
#[derive(Default)]
pub struct AcknowledgedVersions(BTreeMap<String, Acknowledgement>);

impl AcknowledgedVersions {
    /// A member uses the record of this version, and none before it any more.
    pub fn observe(&mut self, name: String, incarnation: u32, version: Version) {
        let acknowledged = Acknowledgement { incarnation, version };
        let held = self.0.entry(name).or_insert(acknowledged);
        if incarnation > held.incarnation {
            *held = acknowledged;
        } else if incarnation == held.incarnation {
            held.version = held.version.max(version);
        }
    }

    /// Whether the holder of every place of the cell uses the record of this version or a later one.
    pub fn cover_all(&self, state: &State, cell: CellId, version: Version) -> bool {
        state.place_holders(cell).all(|(name, member)| {
            let held = self.0.get(name);
            held.is_some_and(|held| held.incarnation == member.incarnation && held.version >= version)
        })
    }
}

/// Quota that a cell has given up and that is not released.
pub struct PendingRelease {
    /// Version of the cell's record.
    pub cell_version: Version,
    /// Version by which the quota was given up.
    pub shrunk_at: Version,
}

/// The quota in escrow of a cell.
pub fn pending_release(state: &State, cell: CellId) -> Option<PendingRelease> {
    let cell_version = state.get(&Key::Cell(cell))?.version;
    let cell = state.cell(cell)?;
    (cell.escrow > 0).then_some(PendingRelease { cell_version, shrunk_at: cell.shrunk_at })
}

/// The change that releases the quota in escrow. Its id is the same whichever delegate submits it.
pub fn release_change(cell: CellId, shrunk_at: Version) -> Change {
    let id = xxh3_64(&postcard::to_stdvec(&("release", cell, shrunk_at)).unwrap_or_default());
    Change { id, action: Action::ReleaseEscrow { cell, at: shrunk_at } }
}

/// Units of quota that a member may use by the records of this state; 0 where they do not have this incarnation.
pub fn member_quota(state: &State, cell: CellId, name: &str, incarnation: u32) -> u32 {
    let is_member = state.member(cell, name).is_some_and(|member| member.incarnation == incarnation);
    let cell = state.cell(cell).filter(|_| is_member);
    cell.map_or(0, |cell| cell.quota / u32::from(cell.capacity.max(1)))
}
