//! Who may be part of the fleet: the same names in the same order at every process, for as long as the fleet runs.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A process's place in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// One life of the process in a member; a later one has a greater number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    pub member: MemberId,
    /// Microseconds of Unix time at its start, or more.
    pub started_at: u64,
}

/// Why names make no roster.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RosterError {
    #[error("no fellow is named: name every process of the fleet, this one included")]
    Empty,
    #[error("{0} fellows: a fleet has {MAX_MEMBERS} at most; split it in two")]
    TooMany(usize),
    #[error("{0} is named twice: give each process a name of its own")]
    DuplicateName(String),
    #[error("this process, {0}, is not among the fellows: add it, at every process")]
    LocalNameMissing(String),
}

/// As many as members of two bytes and the trials at size go up to. Each costs a process about 150 bytes of memory, measured
/// from 100 to 3,800 with nothing shared but who is there; what it sends at rest is bounded (`docs/fleet.md`, Figures).
pub const MAX_MEMBERS: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    shared: Arc<Shared>,
    me: MemberId,
}

/// What is the same at every process.
#[derive(Debug, PartialEq, Eq)]
struct Shared {
    fleet: String,
    names: Vec<String>,
    /// Guards against hashing all names for each datagram: it was half of what a fleet of a thousand cost at rest.
    tag: u64,
}

impl Roster {
    pub fn new(fleet: &str, names: impl IntoIterator<Item = String>, me: &str) -> Result<Self, RosterError> {
        let mut names: Vec<_> = names.into_iter().collect();
        names.sort();
        if names.is_empty() {
            return Err(RosterError::Empty);
        }
        if names.len() > MAX_MEMBERS {
            return Err(RosterError::TooMany(names.len()));
        }
        if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(RosterError::DuplicateName(twice[0].clone()));
        }
        let tag =
            names.iter().fold(xxh3_64(fleet.as_bytes()), |tag, name| xxh3_64_with_seed(name.as_bytes(), tag));
        let shared = Shared { fleet: fleet.to_owned(), names, tag };
        Roster { shared: Arc::new(shared), me: MemberId(0) }.with_local_member(me)
    }

    /// The same roster at another of its processes, in one copy where both are in one program.
    pub fn with_local_member(&self, me: &str) -> Result<Self, RosterError> {
        let member = self.shared.names.binary_search_by(|name| name.as_str().cmp(me));
        let member = member.map_err(|_| RosterError::LocalNameMissing(me.to_owned()))?;
        Ok(Roster { shared: self.shared.clone(), me: MemberId(member as u16) })
    }

    pub fn me(&self) -> MemberId {
        self.me
    }

    pub fn size(&self) -> usize {
        self.shared.names.len()
    }

    pub fn fleet(&self) -> &str {
        &self.shared.fleet
    }

    pub fn name(&self, member: MemberId) -> Option<&str> {
        self.shared.names.get(usize::from(member.0)).map(String::as_str)
    }

    pub fn members(&self) -> impl Iterator<Item = MemberId> {
        (0..self.shared.names.len() as u16).map(MemberId)
    }

    /// What tells this fleet from others, and from itself with another roster.
    pub fn tag(&self) -> u64 {
        self.shared.tag
    }
}

/// The members of a roster of so many that are not among those `alive`, which are in order; both in one walk.
pub fn missing(alive: &[MemberId], size: usize) -> impl Iterator<Item = MemberId> + '_ {
    let mut there = alive.iter().peekable();
    let all = if alive.len() < size { 0..size as u16 } else { 0..0 };
    all.map(MemberId).filter(move |member| there.next_if_eq(&member).is_none())
}

/// Where a member stands in the order of something: the same at every process.
pub fn rank(of: u64, member: MemberId) -> u64 {
    xxh3_64_with_seed(&member.0.to_le_bytes(), of)
}

#[cfg(test)]
#[path = "../tests/unit/roster.rs"]
mod tests;
