//! Typed access to the records of a state.

use crate::record::{Cell, CellId, Key, Member, Value, TOTAL_QUOTA};
use crate::state::State;

impl State {
    /// The cell with this ID.
    pub fn cell(&self, cell: CellId) -> Option<&Cell> {
        match self.get(&Key::Cell(cell))?.value.as_ref()? {
            Value::Cell(cell) => Some(cell),
            _ => None,
        }
    }

    /// All cells, ordered by ID.
    pub fn cells(&self) -> impl Iterator<Item = (CellId, &Cell)> {
        self.records().map_while(|record| match (&record.key, &record.value) {
            (Key::Cell(id), Some(Value::Cell(cell))) => Some((*id, cell)),
            _ => None,
        })
    }

    /// A member of a cell, including removed ones.
    pub fn member(&self, cell: CellId, name: &str) -> Option<&Member> {
        match self.get(&Key::Member(cell, name.to_owned()))?.value.as_ref()? {
            Value::Member(member) => Some(member),
            _ => None,
        }
    }

    /// The members of a cell that hold an index, including removed ones, ordered by name.
    pub fn index_holders(&self, cell: CellId) -> impl Iterator<Item = (&str, &Member)> {
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

    /// The members of a cell, without removed ones, ordered by name.
    pub fn members(&self, cell: CellId) -> impl Iterator<Item = (&str, &Member)> {
        self.index_holders(cell).filter(|(_, member)| !member.removed)
    }

    /// The value of the entry with this key.
    pub fn entry(&self, key: &str) -> Option<&[u8]> {
        match self.get(&Key::Entry(key.to_owned()))?.value.as_ref()? {
            Value::Entry(value) => Some(value),
            _ => None,
        }
    }

    /// Units of quota that are neither assigned to a cell nor in escrow.
    pub fn free_quota(&self) -> u32 {
        let assigned: u64 =
            self.cells().map(|(_, cell)| u64::from(cell.quota) + u64::from(cell.escrow)).sum();
        u64::from(TOTAL_QUOTA).saturating_sub(assigned) as u32
    }
}
