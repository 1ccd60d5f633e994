//! The members of a fleet: the same names in the same order at every member, fixed while the fleet runs.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The index of a member in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// One run of a member's process. Encoded by field position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The member.
    pub member: MemberId,
    /// The Unix time in microseconds at which the process started, or a later time: greater than in every earlier
    /// incarnation of the member.
    pub started_at: u64,
}

/// Why a roster is invalid.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RosterError {
    /// The roster is empty.
    #[error("no members: list every process of the fleet, including this one")]
    Empty,
    /// There are more than [`MAX_MEMBERS`].
    #[error("{0} members exceed the limit of {MAX_MEMBERS}: split the fleet in two")]
    TooMany(usize),
    /// Two members have the same name.
    #[error("duplicate member {0}: give each process a unique name")]
    DuplicateName(String),
    /// The local member is not in the roster.
    #[error("this process, {0}, is not among the members: add it to the list of every process")]
    LocalNameMissing(String),
}

/// Maximum number of members in a fleet. `docs/fleet.md`, Figures, has the memory per member and the traffic at this
/// size.
pub const MAX_MEMBERS: usize = 4096;

/// The roster from the point of view of the local member. Cheap to clone, as clones share the names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    shared: Arc<SharedRoster>,
    me: MemberId,
}

/// The part of a roster that is the same at every member.
#[derive(Debug, PartialEq, Eq)]
struct SharedRoster {
    fleet: String,
    names: Vec<String>,
    /// A hash of the other fields, cached because every datagram contains it.
    tag: u64,
}

impl Roster {
    /// Creates a roster from member names in any order. `me` is the name of the local member.
    ///
    /// # Errors
    ///
    /// If there are no names, too many names or duplicate names, or if `me` is not among them.
    pub fn new(fleet: &str, names: impl IntoIterator<Item = String>, me: &str) -> Result<Self, RosterError> {
        let mut names: Vec<_> = names.into_iter().collect();
        names.sort();
        if names.is_empty() {
            return Err(RosterError::Empty);
        }
        if names.len() > MAX_MEMBERS {
            return Err(RosterError::TooMany(names.len()));
        }
        if let Some(equal) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(RosterError::DuplicateName(equal[0].clone()));
        }
        let fleet_tag = xxh3_64(fleet.as_bytes());
        let tag = names.iter().fold(fleet_tag, |tag, name| xxh3_64_with_seed(name.as_bytes(), tag));
        let shared = SharedRoster { fleet: fleet.to_owned(), names, tag };
        Roster { shared: Arc::new(shared), me: MemberId(0) }.with_local_member(me)
    }

    /// The same roster with another local member. Shares the names.
    ///
    /// # Errors
    ///
    /// If the name is not in the roster.
    pub fn with_local_member(&self, name: &str) -> Result<Self, RosterError> {
        let index = self.shared.names.binary_search_by(|other| other.as_str().cmp(name));
        let index = index.map_err(|_| RosterError::LocalNameMissing(name.to_owned()))?;
        Ok(Roster { shared: self.shared.clone(), me: MemberId(index as u16) })
    }

    /// The local member.
    pub fn local_member(&self) -> MemberId {
        self.me
    }

    /// The number of members, alive or not.
    pub fn size(&self) -> usize {
        self.shared.names.len()
    }

    /// The name of the fleet.
    pub fn fleet(&self) -> &str {
        &self.shared.fleet
    }

    /// The name of a member; `None` if the roster does not have it.
    pub fn name(&self, member: MemberId) -> Option<&str> {
        self.shared.names.get(usize::from(member.0)).map(String::as_str)
    }

    /// All members, in ascending order.
    pub fn members(&self) -> impl Iterator<Item = MemberId> {
        (0..self.shared.names.len() as u16).map(MemberId)
    }

    /// A hash that identifies the fleet and its roster.
    pub fn tag(&self) -> u64 {
        self.shared.tag
    }
}

/// The members of a roster of `size` members that are not in `alive`, which must be sorted.
pub(crate) fn missing(alive: &[MemberId], size: usize) -> impl Iterator<Item = MemberId> + '_ {
    let mut alive_members = alive.iter().peekable();
    let all = if alive.len() < size { 0..size as u16 } else { 0..0 };
    all.map(MemberId).filter(move |member| alive_members.next_if_eq(&member).is_none())
}

/// The rank of a member for a subject by rendezvous hashing, the same at every member. The lowest rank comes first.
pub fn rank(subject: u64, member: MemberId) -> u64 {
    xxh3_64_with_seed(&member.0.to_le_bytes(), subject)
}

#[cfg(test)]
#[path = "../tests/unit/roster.rs"]
mod tests;
