//! The datagram format: a tag that identifies the fleet, a checksum, and the packet encoded with postcard.

use crate::entry::{Entry, EntryDigest};
use crate::quota_leases::{LeaseGrant, LeaseRequest, Unit};
use crate::roster::{Incarnation, MemberId, Roster};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum length of a datagram in bytes, small enough to avoid IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The format version. It is part of the tag, so datagrams of another version are rejected as from another fleet.
const FORMAT: u64 = 1;
const CHECKSUM_AT: usize = size_of::<u64>();
const HEADER_BYTES: usize = CHECKSUM_AT + size_of::<u64>();

/// A message from one member to another. Encoded by variant and field position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A message of the membership protocol.
    Swim(Vec<u8>),
    /// The digests of all buckets of the sender's map. A reply is not answered with another `MapDigest`.
    MapDigest { buckets: Vec<u64>, is_reply: bool },
    /// The entry digests of one bucket of the sender's map.
    BucketSummary { bucket: u16, entries: Vec<EntryDigest> },
    /// Requests entries by their short key hashes.
    EntryRequest(Vec<u32>),
    /// Entries of the sender's map.
    Entries(Vec<Entry>),
    /// Requests leases on some units of the quota and releases others.
    LeaseRequest(LeaseRequest),
    /// Grants leases in reply to a request.
    LeaseGrant(LeaseGrant),
}

/// A message with its sender. Encoded by field position.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) from: Incarnation,
    /// The sender's Unix time in milliseconds.
    pub(crate) wall_ms: u64,
    pub(crate) message: Message,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PacketError {
    #[error(
        "datagram from another fleet, roster or format version: check which processes send to this address"
    )]
    OtherFleet,
    #[error("datagram damaged in transit: check the network between the members")]
    Damaged,
    #[error("malformed datagram: check that all members run the same version")]
    Malformed,
    #[error(
        "datagram from a member that is not in the roster: check that all members have the same fleet file"
    )]
    UnknownMember,
}

fn fleet_tag(roster: &Roster) -> u64 {
    roster.tag() ^ FORMAT.rotate_left(48)
}

/// Encodes a packet as a datagram.
pub(crate) fn encode(roster: &Roster, packet: &Packet) -> Vec<u8> {
    let tag = fleet_tag(roster);
    // Serializing numbers, strings and lists to memory cannot fail.
    let body = postcard::to_stdvec(packet).unwrap_or_default();
    let checksum = xxh3_64_with_seed(&body, tag);
    [&tag.to_le_bytes()[..], &checksum.to_le_bytes()[..], &body].concat()
}

/// Decodes a datagram after checking its tag and checksum.
pub(crate) fn decode(roster: &Roster, datagram: &[u8]) -> Result<Packet, PacketError> {
    let (header, body) = datagram.split_at_checked(HEADER_BYTES).ok_or(PacketError::Malformed)?;
    let header_field = |at: usize| header[at..at + 8].try_into().map(u64::from_le_bytes);
    let (Ok(tag), Ok(checksum)) = (header_field(0), header_field(CHECKSUM_AT)) else {
        return Err(PacketError::Malformed);
    };
    if tag != fleet_tag(roster) {
        return Err(PacketError::OtherFleet);
    }
    if checksum != xxh3_64_with_seed(body, tag) {
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
    /// Whether all members and units in the message exist in a roster of `size` members.
    pub(crate) fn is_within_roster(&self, size: usize) -> bool {
        let is_member = |member: &MemberId| usize::from(member.0) < size;
        let is_unit = |unit: &Unit| usize::from(*unit) < size;
        match self {
            Message::Entries(entries) => entries.iter().all(|entry| is_member(&entry.owner)),
            Message::LeaseRequest(request) => request.units.iter().chain(&request.releases).all(is_unit),
            Message::LeaseGrant(grant) => grant.units.iter().all(is_unit),
            Message::Swim(_)
            | Message::MapDigest { .. }
            | Message::BucketSummary { .. }
            | Message::EntryRequest(_) => true,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/packet.rs"]
mod tests;
