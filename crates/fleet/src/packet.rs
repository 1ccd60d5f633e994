//! What goes between two processes in one datagram, and what is refused unread.

use crate::replicated_map::Entry;
use crate::roster::{Incarnation, MemberId, Roster};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest datagram, in bytes: under what any network carries whole.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The format's number, part of the tag: other ones are another fleet's.
const FORMAT: u64 = 1;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The membership's own.
    Swim(Vec<u8>),
    /// What each part of the sender's map holds; an answer is not answered with another.
    Digest {
        parts: Vec<u64>,
        answer: bool,
    },
    /// The states of all entries in one part of it.
    Summary {
        part: u16,
        states: Vec<(u32, u32)>,
    },
    /// Keys, by their short hashes, whose entries are wanted.
    Want(Vec<u32>),
    Entries(Vec<Entry>),
    /// Units of the pool that the sender would hold, and some that it holds no longer.
    Ask {
        number: u32,
        units: Vec<u16>,
        releases: Vec<u16>,
    },
    /// Those that the witness grants.
    Grant {
        number: u32,
        units: Vec<u16>,
    },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    pub from: Incarnation,
    /// The sender's clock: Unix time in milliseconds.
    pub wall_ms: u64,
    pub message: Message,
}

/// Why a datagram is refused; nothing of it is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    #[error("of another fleet, another roster or another format: see who sends to this address")]
    Foreign,
    #[error("damaged on its way: see the network between the processes")]
    Damaged,
    #[error("not to be read: see that all processes run one version")]
    Malformed,
    #[error("from a seat that the roster does not have: see that all processes have one list of fellows")]
    UnknownMember,
}

fn tag(roster: &Roster) -> u64 {
    roster.tag() ^ FORMAT.rotate_left(48)
}

pub fn write(roster: &Roster, packet: &Packet) -> Vec<u8> {
    let tag = tag(roster);
    // What is written here is made of numbers, texts and lists: it has no way to fail.
    let body = postcard::to_stdvec(packet).unwrap_or_default();
    let check = xxh3_64_with_seed(&body, tag);
    [&tag.to_le_bytes()[..], &check.to_le_bytes()[..], &body].concat()
}

pub fn read(roster: &Roster, bytes: &[u8]) -> Result<Packet, PacketError> {
    let number = |at: usize| bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map(u64::from_le_bytes);
    let (Some(fleet), Some(check)) = (number(0), number(8)) else { return Err(PacketError::Malformed) };
    if fleet != tag(roster) {
        return Err(PacketError::Foreign);
    }
    let body = &bytes[16..];
    if check != xxh3_64_with_seed(body, fleet) {
        return Err(PacketError::Damaged);
    }
    let (packet, rest): (Packet, _) = postcard::take_from_bytes(body).map_err(|_| PacketError::Malformed)?;
    if !rest.is_empty() {
        return Err(PacketError::Malformed);
    }
    match roster.name(packet.from.member) {
        Some(_) => Ok(packet),
        None => Err(PacketError::UnknownMember),
    }
}

impl Message {
    /// Whom it may name at all.
    pub fn members_within(&self, size: usize) -> bool {
        let within = |member: &MemberId| usize::from(member.0) < size;
        match self {
            Message::Entries(entries) => entries.iter().all(|entry| within(&entry.owner)),
            Message::Ask { units, releases, .. } => {
                units.iter().chain(releases).all(|unit| usize::from(*unit) < size)
            }
            Message::Grant { units, .. } => units.iter().all(|unit| usize::from(*unit) < size),
            _ => true,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/packet.rs"]
mod tests;
