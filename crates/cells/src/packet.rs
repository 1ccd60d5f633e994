//! Datagrams between processes and replicas: messages, their encoding and decoding errors.

use crate::change::{Batch, Change, ChangeError};
use crate::delta::Delta;
use crate::proposal::AcceptedBatch;
use crate::record::{CellId, Scope, Version};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum length of a datagram; below the usual MTU to avoid fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum size of the records or changes in a datagram, without the rest of the message and the header.
pub const MAX_PAYLOAD_BYTES: usize = 1150;
/// Version of the encoding.
const FORMAT: u8 = 1;
/// Length of the format version, the fleet ID and the checksum.
const HEADER_BYTES: usize = 13;

/// Number of a proposal; ballots of a slot are unique and totally ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than any round known to the proposer.
    pub round: u32,
    /// Replica ID of the proposer.
    pub proposer: u8,
}

/// A message between replicas, which choose the batch of a slot by single-decree Paxos.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Paxos {
    /// Requests a promise not to vote for any lower ballot.
    Prepare {
        /// The slot.
        slot: u64,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Response to `Prepare`.
    Promise {
        /// The slot.
        slot: u64,
        /// The promised ballot.
        ballot: Ballot,
        /// The last vote of the acceptor in this slot.
        accepted: Option<AcceptedBatch>,
    },
    /// Requests a vote for a batch.
    Accept {
        /// The slot.
        slot: u64,
        /// The proposer's ballot.
        ballot: Ballot,
        /// The proposed batch.
        batch: Batch,
    },
    /// Response to `Accept`: the acceptor has voted for the batch.
    Accepted {
        /// The slot.
        slot: u64,
        /// The accepted ballot.
        ballot: Ballot,
    },
    /// Rejects `Prepare` or `Accept` because a higher ballot was promised.
    Conflict {
        /// The slot.
        slot: u64,
        /// The ballot promised before.
        promised: Ballot,
    },
    /// Announces the chosen batch of a slot.
    Chosen {
        /// The slot.
        slot: u64,
        /// The chosen batch.
        batch: Batch,
    },
    /// Sent by a replica that has lost its storage; requests the highest slot that the receiver has learned or voted
    /// in.
    QueryHighestSlot {
        /// Number of the recovery.
        recovery: u64,
    },
    /// Response to `QueryHighestSlot`.
    HighestSlot {
        /// Number of the recovery.
        recovery: u64,
        /// The slot.
        slot: u64,
    },
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the SWIM failure detector, encoded.
    Swim(Vec<u8>),
    /// Requests the records after a version.
    Pull {
        /// Scope of the sender's state.
        scope: Scope,
        /// The sender holds all records of the scope up to this version.
        after: Version,
        /// Whether the sender is receiving a snapshot into an empty state.
        snapshot: bool,
    },
    /// Response to `Pull`.
    Delta(Delta),
    /// A delta that is sent without a request.
    Push(Delta),
    /// Sent to a delegate: the sender uses this version of its cell's record, and no earlier one.
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
    /// Response to `Submit`, sent when the change is decided.
    Outcome {
        /// ID of the change.
        id: u64,
        /// Outcome of the change.
        outcome: Result<(), ChangeError>,
    },
    /// A message between replicas.
    Paxos(Paxos),
}

/// Reason why a datagram is rejected as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The datagram belongs to a different fleet.
    #[error("datagram of a different fleet: check which process sends to this address")]
    OtherFleet,
    /// The datagram has a different format version.
    #[error("datagram format not supported: check that all processes run the same release")]
    OtherFormat,
    /// The checksum does not match.
    #[error("datagram checksum mismatch: check the network between the processes")]
    Damaged,
    /// The content cannot be decoded, or is too short or too long.
    #[error("datagram cannot be decoded: check that all processes run the same release")]
    Unreadable,
}

impl PacketError {
    /// Name of the counter to increment for this error.
    pub fn counter(self) -> &'static str {
        match self {
            PacketError::OtherFleet => "cells datagrams of others",
            PacketError::OtherFormat => "cells datagrams of another format",
            PacketError::Damaged => "cells datagrams damaged",
            PacketError::Unreadable => "cells datagrams not to be read",
        }
    }
}

/// ID of the fleet with this name; part of every datagram.
pub fn fleet_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Encodes a datagram of a fleet.
pub fn encode(fleet: u64, message: &Message) -> Vec<u8> {
    // Messages contain only numbers, strings and lists; encoding them cannot fail.
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
/// [`PacketError`] if the datagram is not a valid one of this fleet and format.
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
        return Err(PacketError::OtherFleet);
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
