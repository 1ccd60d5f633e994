//! Records of the replicated state: the latest value of each key.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Total quota of the fleet, in units.
pub const TOTAL_QUOTA: u32 = 1_000_000;

/// ID of a cell. A cell contains the processes of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u16);

/// Version of a record: a log slot and the index of the record among those written in this slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(pub u64);

impl Version {
    /// Version indices reserved for each slot: four per change, for at most 255 changes in a batch.
    const RECORDS_PER_SLOT: u64 = 1024;

    /// The version with this index in a slot.
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

    /// The next version.
    pub fn next(self) -> Self {
        Version(self.0 + 1)
    }
}

/// Key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A cell.
    Cell(CellId),
    /// A change that was applied, by its ID.
    Applied(u64),
    /// A configuration entry.
    Entry(String),
    /// A member of a cell, by name.
    Member(CellId, String),
}

/// A cell. Its record is replicated to all processes of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Region of the cell.
    pub region: u8,
    /// Units of quota that its members may use.
    pub quota: u32,
    /// Units removed from the quota that members may still use until they have received this record.
    pub escrow: u32,
    /// Version of the record written by the last shrink.
    pub shrink_version: Version,
    /// Maximum number of members, fixed when the cell is added. The quota is divided into this many equal shares.
    pub capacity: u16,
    /// Number of members, without removed ones.
    pub members: u16,
    /// Addresses of the highest-ranked members, for processes of other cells.
    pub contacts: Vec<SocketAddr>,
}

/// A member of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address at which the member receives datagrams.
    pub address: SocketAddr,
    /// Increases with each start of the process.
    pub incarnation: u32,
    /// Index of the member in its cell, below the capacity; it entitles the member to one quota share.
    pub index: u16,
    /// Whether the member is removed. It keeps its index, as its process may still be running.
    pub removed: bool,
}

/// The value of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// Value of [`Key::Cell`].
    Cell(Cell),
    /// Value of [`Key::Applied`].
    Applied,
    /// Value of [`Key::Entry`].
    Entry(Vec<u8>),
    /// Value of [`Key::Member`].
    Member(Member),
}

/// The latest value of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key of the record.
    pub key: Key,
    /// Version of the record, unique in the log.
    pub version: Version,
    /// `None` if the record was deleted.
    pub value: Option<Value>,
}

impl Record {
    /// Hash of the record for the digest of a state; 0 for records that compaction drops.
    pub fn digest(&self) -> u64 {
        if self.is_dropped_by_compaction() {
            return 0;
        }
        xxh3_64(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Whether compaction drops the record: it is deleted, or marks a change as applied.
    pub(crate) fn is_dropped_by_compaction(&self) -> bool {
        matches!(self.value, None | Some(Value::Applied))
    }

    /// Estimated encoded size in a datagram.
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

/// The subset of records that a node stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All records; used by replicas.
    All,
    /// Records for a member of this cell: the members of the cell, all entries and all cells.
    Cell(CellId),
}

impl Scope {
    /// Whether the scope includes the record of this key.
    pub fn contains(self, key: &Key) -> bool {
        match (self, key) {
            (Scope::All, _) | (_, Key::Cell(_) | Key::Entry(_)) => true,
            (Scope::Cell(own), Key::Member(cell, _)) => own == *cell,
            (Scope::Cell(_), Key::Applied(_)) => false,
        }
    }

    /// Whether a node with this scope can respond to a pull with the `requested` scope.
    pub fn covers(self, requested: Scope) -> bool {
        self == Scope::All || self == requested
    }
}
