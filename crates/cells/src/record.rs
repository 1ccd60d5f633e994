//! What the log is made of: changes, and the records that they leave.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A cell's number: a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u16);

/// A place in the log: the slot, and what within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(pub u64);

impl Version {
    /// Records that one slot can leave: four for each change of a batch.
    const IN_SLOT: u64 = 1024;

    pub fn at(slot: u64, place: u64) -> Self {
        Version(slot * Self::IN_SLOT + place.min(Self::IN_SLOT - 1))
    }

    pub fn end_of(slot: u64) -> Self {
        Self::at(slot, Self::IN_SLOT - 1)
    }

    pub fn slot(self) -> u64 {
        self.0 / Self::IN_SLOT
    }

    pub fn next(self) -> Self {
        Version(self.0 + 1)
    }
}

/// Units of quota in the whole.
pub const WHOLE: u32 = 1_000_000;
/// The most changes in one batch, by the places a version has.
pub const MOST_IN_BATCH: usize = 255;
pub const LONGEST_NAME: usize = 64;
pub const LONGEST_KEY: usize = 96;
pub const LONGEST_VALUE: usize = 900;
pub const MOST_PLACES: u16 = 1024;
/// Entries in the log: some thousands of servers, with room for what customers and sites have.
pub const MOST_ENTRIES: usize = 16_384;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    Cell(CellId),
    /// The id of a change that counted.
    Done(u64),
    Entry(String),
    Member(CellId, String),
}

/// A cell, as all know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    pub region: u8,
    pub quota: u32,
    /// Given up, and perhaps in use still by who has not heard so.
    pub escrow: u32,
    /// When it last gave up something.
    pub shrunk: Version,
    /// How many members the quota is dealt out to, for good.
    pub places: u16,
    pub members: u16,
    /// Members that can be asked from outside, by rendezvous hash.
    pub contacts: Vec<SocketAddr>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub address: SocketAddr,
    pub incarnation: u32,
    pub place: u16,
    /// Removed, but nobody has said that it ended: it has its place still.
    pub removed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    Cell(Cell),
    Done,
    Entry(Vec<u8>),
    Member(Member),
}

/// The latest that is known under a key; without a value it is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub key: Key,
    pub version: Version,
    pub value: Option<Value>,
}

impl Record {
    /// Its part of the digest of all that is there; what is gone or only counted has none.
    pub fn digest(&self) -> u64 {
        match self.value {
            None | Some(Value::Done) => 0,
            Some(_) => xxh3_64(&postcard::to_stdvec(self).unwrap_or_default()),
        }
    }

    /// Roughly what it takes in a datagram.
    pub fn size(&self) -> usize {
        const VERSION: usize = 7;
        let key = match &self.key {
            Key::Cell(_) => 4,
            Key::Done(_) => 11,
            Key::Entry(key) => 2 + key.len(),
            Key::Member(_, name) => 5 + name.len(),
        };
        let value = match &self.value {
            None => 1,
            Some(Value::Done) => 2,
            Some(Value::Entry(value)) => 4 + value.len(),
            Some(Value::Member(_)) => 32,
            Some(Value::Cell(cell)) => 24 + 20 * cell.contacts.len(),
        };
        VERSION + key + value
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// A new cell; its quota comes out of what is free.
    AddCell {
        cell: CellId,
        region: u8,
        places: u16,
        quota: u32,
    },
    Add {
        cell: CellId,
        name: String,
        address: SocketAddr,
        incarnation: u32,
    },
    /// The same member started anew, its former process ended.
    Replace {
        cell: CellId,
        name: String,
        address: SocketAddr,
        incarnation: u32,
    },
    /// Not to be reckoned with; it keeps its place.
    Remove {
        cell: CellId,
        name: String,
    },
    /// The process with this incarnation has ended, and none other is there: its place is free.
    Ended {
        cell: CellId,
        name: String,
        incarnation: u32,
    },
    Put {
        key: String,
        value: Vec<u8>,
    },
    Delete {
        key: String,
    },
    Grow {
        cell: CellId,
        by: u32,
    },
    Shrink {
        cell: CellId,
        by: u32,
    },
    /// What the cell gave up at this version is used by none of its members any more.
    Release {
        cell: CellId,
        at: Version,
    },
}

/// A change, with an id of its own by which one that is sent again counts once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub id: u64,
    pub action: Action,
}

/// What one slot of the log holds.
pub type Batch = Vec<Change>;

/// Why a change changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ChangeError {
    #[error("counted already: nothing to do")]
    Again,
    #[error("a member of this name is there already: give each process a name of its own, or replace it")]
    Twice,
    #[error("a cell of this number is there already: shrink or grow it instead")]
    CellTwice,
    #[error("no such cell: add the cell first")]
    NoCell,
    #[error("no such member, or another incarnation of it: read who is there, then write the change anew")]
    NoMember,
    #[error("all places of the cell are taken: say which processes ended, or add a second cell in the zone")]
    NoPlace,
    #[error("more quota than is free: shrink another cell, and wait until it has released")]
    NotFree,
    #[error("a shrink of this cell is not released yet: wait for it, or say which of its processes ended")]
    Pending,
    #[error("nothing that was given up at this version: see which version the cell's record has")]
    NothingGivenUp,
    #[error("longer or more than the bounds: shorten it, or delete what is no longer used")]
    OverBound,
}

impl Change {
    /// Whether its parts are within the bounds, whatever is there.
    pub fn within_bounds(&self) -> bool {
        match &self.action {
            Action::Add { name, .. }
            | Action::Replace { name, .. }
            | Action::Remove { name, .. }
            | Action::Ended { name, .. } => !name.is_empty() && name.len() <= LONGEST_NAME,
            Action::Put { key, value } => key.len() <= LONGEST_KEY && value.len() <= LONGEST_VALUE,
            Action::Delete { key } => key.len() <= LONGEST_KEY,
            Action::AddCell { places, quota, .. } => (1..=MOST_PLACES).contains(places) && *quota <= WHOLE,
            Action::Grow { by, .. } | Action::Shrink { by, .. } => *by <= WHOLE,
            Action::Release { .. } => true,
        }
    }

    /// Roughly what it takes in a datagram.
    pub fn size(&self) -> usize {
        const ROUND_IT: usize = 16;
        ROUND_IT
            + match &self.action {
                Action::Add { name, .. } | Action::Replace { name, .. } => name.len() + 30,
                Action::Remove { name, .. } | Action::Ended { name, .. } => name.len() + 10,
                Action::Put { key, value } => key.len() + value.len() + 4,
                Action::Delete { key } => key.len() + 2,
                Action::AddCell { .. } | Action::Grow { .. } | Action::Shrink { .. } => 16,
                Action::Release { .. } => 14,
            }
    }
}

/// Which records somebody holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    All,
    /// A member's: its own cell, the entries, and one record of each other cell.
    Cell(CellId),
}

impl Scope {
    pub fn has(self, key: &Key) -> bool {
        match (self, key) {
            (Scope::All, _) | (_, Key::Cell(_) | Key::Entry(_)) => true,
            (Scope::Cell(own), Key::Member(cell, _)) => own == *cell,
            (Scope::Cell(_), Key::Done(_)) => false,
        }
    }

    /// True where who holds these records can answer one who wants those.
    pub fn covers(self, wanted: Scope) -> bool {
        self == Scope::All || self == wanted
    }
}
