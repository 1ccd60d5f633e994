//! Applies the changes of the log to a state, in the same way at each replica.

use crate::change::{Action, Batch, Change, ChangeError, MAX_BATCH_CHANGES, MAX_ENTRIES};
use crate::rank;
use crate::record::{Cell, CellId, Key, Member, Record, Value, Version};
use crate::state::State;

/// For how many slots deleted records and ids of changes are kept: about a day of the planned changes, one in a slot.
pub const DEFAULT_HORIZON_SLOTS: u64 = 4096;
/// Addresses of a cell's members in its record.
const CONTACTS: usize = 2;
/// A change leaves three records at most; the last version is that of its id.
const VERSIONS_PER_CHANGE: u64 = 4;
const ID_VERSION: u64 = VERSIONS_PER_CHANGE - 1;

/// Slots between two compactions, the same at each replica.
pub(crate) fn compaction_interval(horizon_slots: u64) -> u64 {
    (horizon_slots / 4).max(1)
}

impl State {
    /// Applies the batch that was chosen for the next slot. Returns the outcome of each change.
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
                    shrunk_at: Version(0),
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
            Action::GrowQuota { cell, by } => self.grow(*cell, *by, version),
            Action::ShrinkQuota { cell, by } => self.shrink(*cell, *by, version),
            Action::ReleaseEscrow { cell, at } => self.release(*cell, *at, version),
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

    /// Gives the new member the first place that is free.
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
        for (_, holder) in self.place_holders(cell) {
            if let Some(is_taken) = is_taken.get_mut(usize::from(holder.index)) {
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
        let held = self.member(cell, name).filter(|held| held.incarnation < new.incarnation);
        let index = held.ok_or(ChangeError::UnknownMember)?.index;
        self.write_member(cell, name, Some(Member { index, ..new }), version);
        Ok(())
    }

    fn remove_member(&mut self, cell: CellId, name: &str, version: Version) -> Result<(), ChangeError> {
        let held = self.member(cell, name).filter(|held| !held.removed);
        let member = Member { removed: true, ..held.ok_or(ChangeError::UnknownMember)?.clone() };
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
        let held = self.member(cell, name).filter(|held| held.incarnation == incarnation);
        held.ok_or(ChangeError::UnknownMember)?;
        self.write_member(cell, name, None, version);
        Ok(())
    }

    fn put_entry(&mut self, key: &str, value: &[u8], version: Version) -> Result<(), ChangeError> {
        let is_new = self.entry(key).is_none();
        if is_new && self.entries() >= MAX_ENTRIES {
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

    fn grow(&mut self, cell: CellId, by: u32, version: Version) -> Result<(), ChangeError> {
        if by > self.free_quota() {
            return Err(ChangeError::QuotaNotFree);
        }
        self.update_cell(cell, version, |cell| {
            cell.quota += by;
            Ok(())
        })
    }

    fn shrink(&mut self, cell: CellId, by: u32, version: Version) -> Result<(), ChangeError> {
        self.update_cell(cell, version, |cell| {
            if cell.escrow > 0 {
                return Err(ChangeError::ShrinkPending);
            }
            let by = by.min(cell.quota);
            cell.quota -= by;
            cell.escrow = by;
            cell.shrunk_at = version;
            Ok(())
        })
    }

    fn release(&mut self, cell: CellId, shrunk_at: Version, version: Version) -> Result<(), ChangeError> {
        self.update_cell(cell, version, |cell| {
            if cell.escrow == 0 || cell.shrunk_at != shrunk_at {
                return Err(ChangeError::NothingToRelease);
            }
            cell.escrow = 0;
            Ok(())
        })
    }

    /// Writes a member's record and, where it changes what the cell's record says of its members, that record too.
    fn write_member(&mut self, cell: CellId, name: &str, member: Option<Member>, version: Version) {
        let key = Key::Member(cell, name.to_owned());
        self.insert(Record { key, version, value: member.map(Value::Member) });
        let mut ranked: Vec<_> =
            self.members(cell).map(|(name, member)| (rank(cell, name), member.address)).collect();
        ranked.sort_unstable();
        let contacts: Vec<_> = ranked.iter().rev().take(CONTACTS).map(|(_, address)| *address).collect();
        let members = ranked.len() as u16;
        let is_unchanged =
            self.cell(cell).is_some_and(|held| held.members == members && held.contacts == contacts);
        if is_unchanged {
            return;
        }
        // A member of a cell that was never added has no cell record to follow it.
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
