//! The records that the log leaves: the latest value under each key.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// All quota, in units.
pub const TOTAL_QUOTA: u32 = 1_000_000;

/// Number of a cell, which is a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u16);

/// A position in the log: the slot, and the index of a record that the slot has left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(pub u64);

impl Version {
    /// Records that one slot can leave: four for each change of a batch.
    const RECORDS_PER_SLOT: u64 = 1024;

    /// The version of a record of a slot.
    pub fn at(slot: u64, index: u64) -> Self {
        Version(slot * Self::RECORDS_PER_SLOT + index.min(Self::RECORDS_PER_SLOT - 1))
    }

    /// The last version of a slot.
    pub fn end_of(slot: u64) -> Self {
        Self::at(slot, Self::RECORDS_PER_SLOT - 1)
    }

    /// The slot.
    pub fn slot(self) -> u64 {
        self.0 / Self::RECORDS_PER_SLOT
    }

    /// The version after this one.
    pub fn next(self) -> Self {
        Version(self.0 + 1)
    }
}

/// What a record is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A cell.
    Cell(CellId),
    /// The id of a change that was applied.
    Applied(u64),
    /// An entry of the configuration.
    Entry(String),
    /// A member of a cell, by its name.
    Member(CellId, String),
}

/// A cell, as all processes know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Region of the cell.
    pub region: u8,
    /// Units of quota that its members may use.
    pub quota: u32,
    /// Units that it has given up, but that members without this record may still use.
    pub escrow: u32,
    /// Version of the record by which it last gave up quota.
    pub shrunk_at: Version,
    /// Equal parts that the quota is divided into, fixed when the cell is added.
    pub capacity: u16,
    /// Members that are not removed.
    pub members: u16,
    /// Addresses of its highest ranked members, for processes of other cells.
    pub contacts: Vec<SocketAddr>,
}

/// A member of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address that it receives datagrams at.
    pub address: SocketAddr,
    /// Greater at each of its starts.
    pub incarnation: u32,
    /// Index of its part of the cell's quota.
    pub index: u16,
    /// Removed, but not known to have ended, so that it keeps its place.
    pub removed: bool,
}

/// The value of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// Under [`Key::Cell`].
    Cell(Cell),
    /// Under [`Key::Applied`].
    Applied,
    /// Under [`Key::Entry`].
    Entry(Vec<u8>),
    /// Under [`Key::Member`].
    Member(Member),
}

/// The latest value under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it is about.
    pub key: Key,
    /// Unique to this record.
    pub version: Version,
    /// None where it was deleted.
    pub value: Option<Value>,
}

impl Record {
    /// Hash for the digest of a state; 0 for records that compaction drops.
    pub fn digest(&self) -> u64 {
        if self.is_dropped_by_compaction() {
            return 0;
        }
        xxh3_64(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Whether compaction drops the record: it has no value, or remembers the id of a change.
    pub(crate) fn is_dropped_by_compaction(&self) -> bool {
        matches!(self.value, None | Some(Value::Applied))
    }

    /// Estimated bytes in a datagram.
    pub fn estimated_bytes(&self) -> usize {
        const VERSION_BYTES: usize = 7;
        let key = match &self.key {
            Key::Cell(_) => 4,
            Key::Applied(_) => 11,
            Key::Entry(key) => 2 + key.len(),
            Key::Member(_, name) => 5 + name.len(),
        };
        let value = match &self.value {
            None => 1,
            Some(Value::Applied) => 2,
            Some(Value::Entry(value)) => 4 + value.len(),
            Some(Value::Member(_)) => 32,
            Some(Value::Cell(cell)) => 24 + 20 * cell.contacts.len(),
        };
        VERSION_BYTES + key + value
    }
}

/// Which records a process or a replica holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All: a replica.
    All,
    /// Those of a member: the members of its own cell, all entries, and all cells.
    Cell(CellId),
}

impl Scope {
    /// Whether the record of a key is in the scope.
    pub fn contains(self, key: &Key) -> bool {
        match (self, key) {
            (Scope::All, _) | (_, Key::Cell(_) | Key::Entry(_)) => true,
            (Scope::Cell(own), Key::Member(cell, _)) => own == *cell,
            (Scope::Cell(_), Key::Applied(_)) => false,
        }
    }

    /// Whether a holder of this scope can answer a pull of another one.
    pub fn covers(self, wanted: Scope) -> bool {
        self == Scope::All || self == wanted
    }
}
