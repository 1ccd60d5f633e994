//! Datagrams between processes and replicas: their encoding, and why one is refused.

use crate::change::{Batch, Change, ChangeError};
use crate::delta::Delta;
use crate::proposal::AcceptedBatch;
use crate::record::{CellId, Scope, Version};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Longest datagram, so that no network fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Records or changes in one datagram, without what surrounds them.
pub const MAX_PAYLOAD_BYTES: usize = 1150;
/// Version of the encoding.
const FORMAT: u8 = 1;
/// The format, the fleet's id and the checksum.
const HEADER_BYTES: usize = 13;

/// Number of a proposal, unique and ordered among all proposals of a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than all that the proposer has heard of.
    pub round: u32,
    /// Id of the proposer.
    pub proposer: u8,
}

/// A message between replicas, by which they choose the batch of one slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Paxos {
    /// Asks for a promise to vote for no lower ballot.
    Prepare {
        /// The slot.
        slot: u64,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Answers `Prepare`.
    Promise {
        /// The slot.
        slot: u64,
        /// The ballot that is promised.
        ballot: Ballot,
        /// The last vote in this slot.
        accepted: Option<AcceptedBatch>,
    },
    /// Asks for a vote.
    Accept {
        /// The slot.
        slot: u64,
        /// The proposer's ballot.
        ballot: Ballot,
        /// The batch that is voted on.
        batch: Batch,
    },
    /// Answers `Accept`: a vote.
    Accepted {
        /// The slot.
        slot: u64,
        /// The ballot that is voted for.
        ballot: Ballot,
    },
    /// Refuses `Prepare` or `Accept`, as a higher ballot was promised.
    Conflict {
        /// The slot.
        slot: u64,
        /// The ballot that was promised.
        promised: Ballot,
    },
    /// Announces the value of a slot.
    Chosen {
        /// The slot.
        slot: u64,
        /// Its value.
        batch: Batch,
    },
    /// Sent by a replica that lost its storage: asks for the highest slot that the receiver took part in.
    AskHighestSlot {
        /// Number of the recovery.
        recovery: u64,
    },
    /// Answers `AskHighestSlot`.
    HighestSlot {
        /// Number of the recovery.
        recovery: u64,
        /// The slot.
        slot: u64,
    },
}

/// Any datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the membership protocol.
    Swim(Vec<u8>),
    /// Asks for the records after a version.
    Pull {
        /// Records that the sender holds.
        scope: Scope,
        /// It holds all records of the scope up to this version.
        after: Version,
        /// It takes a snapshot into an empty state.
        snapshot: bool,
    },
    /// Answers `Pull`.
    Delta(Delta),
    /// A delta that was not asked for.
    Push(Delta),
    /// Sent to a delegate: the sender uses its cell's record of this version, and none before it any more.
    Ack {
        /// The sender's cell.
        cell: CellId,
        /// The sender's name.
        name: String,
        /// The sender's incarnation.
        incarnation: u32,
        /// Version of the cell's record.
        version: Version,
    },
    /// Submits a change to a replica.
    Submit(Change),
    /// Answers `Submit` once the change is decided.
    Outcome {
        /// Id of the change.
        id: u64,
        /// What came of it.
        outcome: Result<(), ChangeError>,
    },
    /// A message between replicas.
    Paxos(Paxos),
}

/// Why a datagram is refused. Nothing of it is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// It was sent in another fleet.
    #[error("of another fleet: see who sends to this address")]
    Foreign,
    /// It has another format.
    #[error("of another format: see that all processes run one version")]
    OtherFormat,
    /// Its checksum is wrong.
    #[error("damaged on its way: see the network between the processes")]
    Damaged,
    /// It holds no message, or is too long.
    #[error("not to be read: see that all processes run one version")]
    Unreadable,
}

impl PacketError {
    /// Name of the counter.
    pub fn counter(self) -> &'static str {
        match self {
            PacketError::Foreign => "cells datagrams of others",
            PacketError::OtherFormat => "cells datagrams of another format",
            PacketError::Damaged => "cells datagrams damaged",
            PacketError::Unreadable => "cells datagrams not to be read",
        }
    }
}

/// Id of the fleet of a name, which every datagram carries.
pub fn fleet_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Encodes a datagram of a fleet.
pub fn encode(fleet: u64, message: &Message) -> Vec<u8> {
    // Messages are made of numbers, strings and lists, whose encoding cannot fail.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let checksum = xxh3_64_with_seed(&body, fleet) as u32;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(FORMAT);
    bytes.extend_from_slice(&fleet.to_le_bytes());
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes a datagram of a fleet.
///
/// # Errors
///
/// [`PacketError`] where it is not one of this fleet and format.
pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Message, PacketError> {
    let (Some(format), Some(id), Some(checksum)) =
        (bytes.first(), bytes.get(1..9), bytes.get(9..HEADER_BYTES))
    else {
        return Err(PacketError::Unreadable);
    };
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(PacketError::Unreadable);
    }
    if id != fleet.to_le_bytes() {
        return Err(PacketError::Foreign);
    }
    if *format != FORMAT {
        return Err(PacketError::OtherFormat);
    }
    let body = &bytes[HEADER_BYTES..];
    if checksum != (xxh3_64_with_seed(body, fleet) as u32).to_le_bytes() {
        return Err(PacketError::Damaged);
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(PacketError::Unreadable),
    }
}
