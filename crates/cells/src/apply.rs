//! The log's changes, applied in their order by each alike.

use crate::rank;
use crate::record::{
    Action, Batch, Cell, CellId, Change, ChangeError, Key, Member, Record, Value, Version, MOST_ENTRIES,
    MOST_IN_BATCH, WHOLE,
};
use crate::state::State;
use std::net::SocketAddr;

/// How many slots what is gone is remembered: about a day of the plan's changes, were each in a slot of its own.
pub const HORIZON: u64 = 4096;

impl State {
    /// Applies what was chosen for the slot after the last, and tells of each change what it came to.
    pub fn apply(&mut self, slot: u64, batch: &Batch, horizon: u64) -> Vec<(u64, Result<(), ChangeError>)> {
        let mut outcomes = Vec::new();
        for (index, change) in batch.iter().take(MOST_IN_BATCH).enumerate() {
            let at = |place: u64| Version::at(slot, 4 * index as u64 + place);
            let outcome = match self.get(&Key::Done(change.id)) {
                Some(_) => Err(ChangeError::Again),
                None => self.carry_out(change, at(0)),
            };
            if outcome != Err(ChangeError::Again) {
                let done = Record { key: Key::Done(change.id), version: at(3), value: Some(Value::Done) };
                self.set(done);
            }
            outcomes.push((change.id, outcome));
        }
        self.reach(Version::end_of(slot));
        let pause = (horizon / 4).max(1);
        if slot.is_multiple_of(pause) && slot > horizon {
            self.forget(Version::end_of(slot - horizon));
        }
        outcomes
    }

    pub fn cell(&self, cell: CellId) -> Option<&Cell> {
        match self.get(&Key::Cell(cell))?.value.as_ref()? {
            Value::Cell(cell) => Some(cell),
            _ => None,
        }
    }

    pub fn cells(&self) -> impl Iterator<Item = (CellId, &Cell)> {
        self.records().map_while(|record| match (&record.key, &record.value) {
            (Key::Cell(id), Some(Value::Cell(cell))) => Some((*id, cell)),
            _ => None,
        })
    }

    pub fn member(&self, cell: CellId, name: &str) -> Option<&Member> {
        match self.get(&Key::Member(cell, name.to_owned()))?.value.as_ref()? {
            Value::Member(member) => Some(member),
            _ => None,
        }
    }

    /// The members of a cell with a place, removed ones included, in the order of their names.
    pub fn holders(&self, cell: CellId) -> impl Iterator<Item = (&str, &Member)> {
        let records = self.from(&Key::Member(cell, String::new()));
        let own = records.map_while(move |record| match &record.key {
            Key::Member(of, name) if *of == cell => Some((name.as_str(), record.value.as_ref())),
            _ => None,
        });
        own.filter_map(|(name, value)| match value {
            Some(Value::Member(member)) => Some((name, member)),
            _ => None,
        })
    }

    /// The members of a cell that are to be reckoned with, in the order of their names.
    pub fn members(&self, cell: CellId) -> impl Iterator<Item = (&str, &Member)> {
        self.holders(cell).filter(|(_, member)| !member.removed)
    }

    /// The value of an entry.
    pub fn entry(&self, key: &str) -> Option<&[u8]> {
        match self.get(&Key::Entry(key.to_owned()))?.value.as_ref()? {
            Value::Entry(value) => Some(value),
            _ => None,
        }
    }

    /// What no cell has.
    pub fn free(&self) -> u32 {
        let given: u64 = self.cells().map(|(_, cell)| u64::from(cell.quota) + u64::from(cell.escrow)).sum();
        u64::from(WHOLE).saturating_sub(given) as u32
    }

    fn carry_out(&mut self, change: &Change, at: Version) -> Result<(), ChangeError> {
        if !change.within_bounds() {
            return Err(ChangeError::OverBound);
        }
        match &change.action {
            Action::AddCell { cell, region, places, quota } => {
                self.add_cell(*cell, *region, *places, *quota, at)
            }
            Action::Add { cell, name, address, incarnation } => {
                self.add(*cell, name, *address, *incarnation, at)
            }
            Action::Replace { cell, name, address, incarnation } => {
                let held = self.member(*cell, name).ok_or(ChangeError::NoMember)?;
                if held.incarnation >= *incarnation {
                    return Err(ChangeError::NoMember);
                }
                let place = held.place;
                let member = Member { address: *address, incarnation: *incarnation, place, removed: false };
                self.write_member(*cell, name, Some(member), at);
                Ok(())
            }
            Action::Remove { cell, name } => {
                let held = self.member(*cell, name).filter(|held| !held.removed);
                let member = Member { removed: true, ..held.ok_or(ChangeError::NoMember)?.clone() };
                self.write_member(*cell, name, Some(member), at);
                Ok(())
            }
            Action::Ended { cell, name, incarnation } => {
                let held = self.member(*cell, name).filter(|held| held.incarnation == *incarnation);
                held.ok_or(ChangeError::NoMember)?;
                self.write_member(*cell, name, None, at);
                Ok(())
            }
            Action::Put { key, value } => {
                let key = Key::Entry(key.clone());
                let new = self.get(&key).is_none_or(|held| held.value.is_none());
                if new && self.entries() >= MOST_ENTRIES {
                    return Err(ChangeError::OverBound);
                }
                self.set(Record { key, version: at, value: Some(Value::Entry(value.clone())) });
                Ok(())
            }
            Action::Delete { key } => {
                let key = Key::Entry(key.clone());
                if self.get(&key).is_some_and(|held| held.value.is_some()) {
                    self.set(Record { key, version: at, value: None });
                }
                Ok(())
            }
            Action::Grow { cell, by } => {
                if *by > self.free() {
                    return Err(ChangeError::NotFree);
                }
                self.change_cell(*cell, at, |held| {
                    held.quota += by;
                    Ok(())
                })
            }
            Action::Shrink { cell, by } => self.change_cell(*cell, at, |held| {
                if held.escrow > 0 {
                    return Err(ChangeError::Pending);
                }
                let by = (*by).min(held.quota);
                held.quota -= by;
                held.escrow = by;
                held.shrunk = at;
                Ok(())
            }),
            Action::Release { cell, at: given_up } => self.change_cell(*cell, at, |held| {
                if held.escrow == 0 || held.shrunk != *given_up {
                    return Err(ChangeError::NothingGivenUp);
                }
                held.escrow = 0;
                Ok(())
            }),
        }
    }

    fn add_cell(
        &mut self,
        cell: CellId,
        region: u8,
        places: u16,
        quota: u32,
        at: Version,
    ) -> Result<(), ChangeError> {
        if self.cell(cell).is_some() {
            return Err(ChangeError::CellTwice);
        }
        if quota > self.free() {
            return Err(ChangeError::NotFree);
        }
        let value =
            Cell { region, quota, escrow: 0, shrunk: Version(0), places, members: 0, contacts: Vec::new() };
        self.set(Record { key: Key::Cell(cell), version: at, value: Some(Value::Cell(value)) });
        Ok(())
    }

    fn add(
        &mut self,
        cell: CellId,
        name: &str,
        address: SocketAddr,
        incarnation: u32,
        at: Version,
    ) -> Result<(), ChangeError> {
        let places = self.cell(cell).ok_or(ChangeError::NoCell)?.places;
        let cells: Vec<_> = self.cells().map(|(id, _)| id).collect();
        if cells.iter().any(|of| self.member(*of, name).is_some()) {
            return Err(ChangeError::Twice);
        }
        let mut taken = vec![false; usize::from(places)];
        for (_, holder) in self.holders(cell) {
            if let Some(place) = taken.get_mut(usize::from(holder.place)) {
                *place = true;
            }
        }
        let place = taken.iter().position(|taken| !taken).ok_or(ChangeError::NoPlace)? as u16;
        let member = Member { address, incarnation, place, removed: false };
        self.write_member(cell, name, Some(member), at);
        Ok(())
    }

    /// The cell's own record follows where what it says of its members changes.
    fn write_member(&mut self, cell: CellId, name: &str, member: Option<Member>, at: Version) {
        let key = Key::Member(cell, name.to_owned());
        self.set(Record { key, version: at, value: member.map(Value::Member) });
        let mut ranked: Vec<_> =
            self.members(cell).map(|(name, member)| (rank(cell, name), member.address)).collect();
        ranked.sort_unstable();
        let contacts: Vec<_> = ranked.iter().rev().take(2).map(|(_, address)| *address).collect();
        let members = ranked.len() as u16;
        let held = self.cell(cell).map(|held| (held.members, held.contacts.clone()));
        if held != Some((members, contacts.clone())) {
            let _ = self.change_cell(cell, at.next(), |held| {
                held.members = members;
                held.contacts = contacts;
                Ok(())
            });
        }
    }

    fn change_cell(
        &mut self,
        cell: CellId,
        at: Version,
        change: impl FnOnce(&mut Cell) -> Result<(), ChangeError>,
    ) -> Result<(), ChangeError> {
        let mut held = self.cell(cell).ok_or(ChangeError::NoCell)?.clone();
        change(&mut held)?;
        self.set(Record { key: Key::Cell(cell), version: at, value: Some(Value::Cell(held)) });
        Ok(())
    }
}
