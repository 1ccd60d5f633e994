//! Applies log batches to a state, deterministically at each replica.

use crate::change::{Action, Batch, Change, ChangeError, MAX_BATCH_CHANGES, MAX_ENTRIES};
use crate::rank;
use crate::record::{Cell, CellId, Key, Member, Record, Value, Version};
use crate::state::State;

/// Number of slots for which deleted records and change IDs are kept: about a day at the expected rate of changes, with
/// one change per slot.
pub const DEFAULT_HORIZON_SLOTS: u64 = 4096;
/// Number of member addresses in a cell's record.
const CONTACTS: usize = 2;
/// Versions reserved for each change: up to three records, then the record of the change ID.
const VERSIONS_PER_CHANGE: u64 = 4;
/// Index of the record of the change ID among the versions of a change.
const ID_VERSION: u64 = VERSIONS_PER_CHANGE - 1;

/// Number of slots between two compactions; must be the same at each replica.
pub(crate) fn compaction_interval(horizon_slots: u64) -> u64 {
    (horizon_slots / 4).max(1)
}

impl State {
    /// Applies the batch that was chosen for the next slot. Returns the ID and outcome of each change.
    pub fn apply(
        &mut self,
        slot: u64,
        batch: &Batch,
        horizon_slots: u64,
    ) -> Vec<(u64, Result<(), ChangeError>)> {
        let mut outcomes = Vec::new();
        for (index, change) in (0..).zip(batch.iter().take(MAX_BATCH_CHANGES)) {
            let first_version = Version::at(slot, VERSIONS_PER_CHANGE * index);
            let id_version = Version::at(slot, VERSIONS_PER_CHANGE * index + ID_VERSION);
            outcomes.push((change.id, self.apply_once(change, first_version, id_version)));
        }
        self.set_complete_to(Version::end_of(slot));
        if slot.is_multiple_of(compaction_interval(horizon_slots)) && slot > horizon_slots {
            self.compact(Version::end_of(slot - horizon_slots));
        }
        outcomes
    }

    fn apply_once(
        &mut self,
        change: &Change,
        version: Version,
        id_version: Version,
    ) -> Result<(), ChangeError> {
        let key = Key::Applied(change.id);
        if self.get(&key).is_some() {
            return Err(ChangeError::AlreadyApplied);
        }
        let outcome = self.apply_change(change, version);
        self.insert(Record { key, version: id_version, value: Some(Value::Applied) });
        outcome
    }

    fn apply_change(&mut self, change: &Change, version: Version) -> Result<(), ChangeError> {
        if !change.is_within_bounds() {
            return Err(ChangeError::OutOfBounds);
        }
        match &change.action {
            Action::AddCell { cell, region, capacity, quota } => {
                let new = Cell {
                    region: *region,
                    quota: *quota,
                    escrow: 0,
                    shrink_version: Version(0),
                    capacity: *capacity,
                    members: 0,
                    contacts: Vec::new(),
                };
                self.add_cell(*cell, new, version)
            }
            Action::AddMember { cell, name, address, incarnation } => {
                let new = Member { address: *address, incarnation: *incarnation, index: 0, removed: false };
                self.add_member(*cell, name, new, version)
            }
            Action::ReplaceMember { cell, name, address, incarnation } => {
                let new = Member { address: *address, incarnation: *incarnation, index: 0, removed: false };
                self.replace_member(*cell, name, new, version)
            }
            Action::RemoveMember { cell, name } => self.remove_member(*cell, name, version),
            Action::RecordMemberEnd { cell, name, incarnation } => {
                self.end_member(*cell, name, *incarnation, version)
            }
            Action::PutEntry { key, value } => self.put_entry(key, value, version),
            Action::DeleteEntry { key } => self.delete_entry(key, version),
            Action::GrowQuota { cell, units } => self.grow_quota(*cell, *units, version),
            Action::ShrinkQuota { cell, units } => self.shrink_quota(*cell, *units, version),
            Action::ReleaseEscrow { cell, shrink_version } => {
                self.release_escrow(*cell, *shrink_version, version)
            }
        }
    }

    fn add_cell(&mut self, cell: CellId, new: Cell, version: Version) -> Result<(), ChangeError> {
        if self.cell(cell).is_some() {
            return Err(ChangeError::CellExists);
        }
        if new.quota > self.free_quota() {
            return Err(ChangeError::QuotaNotFree);
        }
        self.insert(Record { key: Key::Cell(cell), version, value: Some(Value::Cell(new)) });
        Ok(())
    }

    /// Adds a member with the lowest free index.
    fn add_member(
        &mut self,
        cell: CellId,
        name: &str,
        new: Member,
        version: Version,
    ) -> Result<(), ChangeError> {
        let capacity = self.cell(cell).ok_or(ChangeError::UnknownCell)?.capacity;
        if self.cells().any(|(cell, _)| self.member(cell, name).is_some()) {
            return Err(ChangeError::MemberExists);
        }
        let mut is_taken = vec![false; usize::from(capacity)];
        for (_, member) in self.index_holders(cell) {
            if let Some(is_taken) = is_taken.get_mut(usize::from(member.index)) {
                *is_taken = true;
            }
        }
        let index = is_taken.iter().position(|is_taken| !is_taken).ok_or(ChangeError::CellFull)? as u16;
        self.write_member(cell, name, Some(Member { index, ..new }), version);
        Ok(())
    }

    fn replace_member(
        &mut self,
        cell: CellId,
        name: &str,
        new: Member,
        version: Version,
    ) -> Result<(), ChangeError> {
        let previous = self.member(cell, name).filter(|previous| previous.incarnation < new.incarnation);
        let index = previous.ok_or(ChangeError::UnknownMember)?.index;
        self.write_member(cell, name, Some(Member { index, ..new }), version);
        Ok(())
    }

    fn remove_member(&mut self, cell: CellId, name: &str, version: Version) -> Result<(), ChangeError> {
        let current = self.member(cell, name).filter(|current| !current.removed);
        let member = Member { removed: true, ..current.ok_or(ChangeError::UnknownMember)?.clone() };
        self.write_member(cell, name, Some(member), version);
        Ok(())
    }

    fn end_member(
        &mut self,
        cell: CellId,
        name: &str,
        incarnation: u32,
        version: Version,
    ) -> Result<(), ChangeError> {
        let current = self.member(cell, name).filter(|current| current.incarnation == incarnation);
        current.ok_or(ChangeError::UnknownMember)?;
        self.write_member(cell, name, None, version);
        Ok(())
    }

    fn put_entry(&mut self, key: &str, value: &[u8], version: Version) -> Result<(), ChangeError> {
        let is_new = self.entry(key).is_none();
        if is_new && self.entry_count() >= MAX_ENTRIES {
            return Err(ChangeError::OutOfBounds);
        }
        let value = Some(Value::Entry(value.to_vec()));
        self.insert(Record { key: Key::Entry(key.to_owned()), version, value });
        Ok(())
    }

    fn delete_entry(&mut self, key: &str, version: Version) -> Result<(), ChangeError> {
        if self.entry(key).is_some() {
            self.insert(Record { key: Key::Entry(key.to_owned()), version, value: None });
        }
        Ok(())
    }

    fn grow_quota(&mut self, cell: CellId, units: u32, version: Version) -> Result<(), ChangeError> {
        if units > self.free_quota() {
            return Err(ChangeError::QuotaNotFree);
        }
        self.update_cell(cell, version, |cell| {
            cell.quota += units;
            Ok(())
        })
    }

    fn shrink_quota(&mut self, cell: CellId, units: u32, version: Version) -> Result<(), ChangeError> {
        self.update_cell(cell, version, |cell| {
            if cell.escrow > 0 {
                return Err(ChangeError::ShrinkPending);
            }
            let units = units.min(cell.quota);
            cell.quota -= units;
            cell.escrow = units;
            cell.shrink_version = version;
            Ok(())
        })
    }

    fn release_escrow(
        &mut self,
        cell: CellId,
        shrink_version: Version,
        version: Version,
    ) -> Result<(), ChangeError> {
        self.update_cell(cell, version, |cell| {
            if cell.escrow == 0 || cell.shrink_version != shrink_version {
                return Err(ChangeError::NothingToRelease);
            }
            cell.escrow = 0;
            Ok(())
        })
    }

    /// Writes a member's record, and also the cell's record if its member count or contacts change.
    fn write_member(&mut self, cell: CellId, name: &str, member: Option<Member>, version: Version) {
        let key = Key::Member(cell, name.to_owned());
        self.insert(Record { key, version, value: member.map(Value::Member) });
        let mut ranked: Vec<_> =
            self.members(cell).map(|(name, member)| (rank(cell, name), member.address)).collect();
        ranked.sort_unstable();
        let contacts: Vec<_> = ranked.iter().rev().take(CONTACTS).map(|(_, address)| *address).collect();
        let members = ranked.len() as u16;
        let is_unchanged =
            self.cell(cell).is_some_and(|cell| cell.members == members && cell.contacts == contacts);
        if is_unchanged {
            return;
        }
        // Fails only if the cell was never added; there is no cell record to update then.
        let _ = self.update_cell(cell, version.next(), |cell| {
            cell.members = members;
            cell.contacts = contacts;
            Ok(())
        });
    }

    fn update_cell(
        &mut self,
        cell: CellId,
        version: Version,
        update: impl FnOnce(&mut Cell) -> Result<(), ChangeError>,
    ) -> Result<(), ChangeError> {
        let mut value = self.cell(cell).ok_or(ChangeError::UnknownCell)?.clone();
        update(&mut value)?;
        self.insert(Record { key: Key::Cell(cell), version, value: Some(Value::Cell(value)) });
        Ok(())
    }
}
