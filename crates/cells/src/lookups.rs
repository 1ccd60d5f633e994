//! Typed access to the records of a state.

use crate::record::{Cell, CellId, Key, Member, Value, TOTAL_QUOTA};
use crate::state::State;

impl State {
    /// A cell.
    pub fn cell(&self, cell: CellId) -> Option<&Cell> {
        match self.get(&Key::Cell(cell))?.value.as_ref()? {
            Value::Cell(cell) => Some(cell),
            _ => None,
        }
    }

    /// All cells, in the order of their numbers.
    pub fn cells(&self) -> impl Iterator<Item = (CellId, &Cell)> {
        self.records().map_while(|record| match (&record.key, &record.value) {
            (Key::Cell(id), Some(Value::Cell(cell))) => Some((*id, cell)),
            _ => None,
        })
    }

    /// A member of a cell, removed or not.
    pub fn member(&self, cell: CellId, name: &str) -> Option<&Member> {
        match self.get(&Key::Member(cell, name.to_owned()))?.value.as_ref()? {
            Value::Member(member) => Some(member),
            _ => None,
        }
    }

    /// The members of a cell that have a place, removed ones included, in the order of their names.
    pub fn place_holders(&self, cell: CellId) -> impl Iterator<Item = (&str, &Member)> {
        let records = self.records_from(&Key::Member(cell, String::new()));
        let of_cell = records.map_while(move |record| match &record.key {
            Key::Member(member_cell, name) if *member_cell == cell => {
                Some((name.as_str(), record.value.as_ref()))
            }
            _ => None,
        });
        of_cell.filter_map(|(name, value)| match value {
            Some(Value::Member(member)) => Some((name, member)),
            _ => None,
        })
    }

    /// The members of a cell that are not removed, in the order of their names.
    pub fn members(&self, cell: CellId) -> impl Iterator<Item = (&str, &Member)> {
        self.place_holders(cell).filter(|(_, member)| !member.removed)
    }

    /// The value of an entry.
    pub fn entry(&self, key: &str) -> Option<&[u8]> {
        match self.get(&Key::Entry(key.to_owned()))?.value.as_ref()? {
            Value::Entry(value) => Some(value),
            _ => None,
        }
    }

    /// Units of quota that no cell has.
    pub fn free_quota(&self) -> u32 {
        let granted: u64 = self.cells().map(|(_, cell)| u64::from(cell.quota) + u64::from(cell.escrow)).sum();
        u64::from(TOTAL_QUOTA).saturating_sub(granted) as u32
    }
}
