//! What goes in one datagram, and what is refused unread.

use crate::record::{Batch, CellId, Change, ChangeError, Scope, Version};
use crate::state::Delta;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The longest datagram, in bytes: under what any network carries whole.
pub const LONGEST: usize = 1400;
/// What one datagram of records or changes may hold; what is round it takes the rest.
pub const ROOM: usize = 1150;
/// The format's number: datagrams of an older one are told apart from strangers'.
const FORMAT: u8 = 1;
const HEAD: usize = 13;

/// The order of proposals at a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u32,
    pub by: u8,
}

/// Between replicas only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Paxos {
    Prepare {
        slot: u64,
        ballot: Ballot,
    },
    Promise {
        slot: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, Batch)>,
    },
    Accept {
        slot: u64,
        ballot: Ballot,
        batch: Batch,
    },
    Accepted {
        slot: u64,
        ballot: Ballot,
    },
    /// Another ballot was promised, this one at the least.
    Conflict {
        slot: u64,
        promised: Ballot,
    },
    Chosen {
        slot: u64,
        batch: Batch,
    },
    /// From one whose storage is lost: the highest slot that you took any part in?
    AskPart {
        number: u64,
    },
    TookPart {
        number: u64,
        slot: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The membership's own.
    Swim(Vec<u8>),
    /// The sender has all of this scope up to there; `anew` where it takes all of it into an empty state.
    Pull {
        scope: Scope,
        after: Version,
        anew: bool,
    },
    Delta(Delta),
    /// The same, unasked.
    Push(Delta),
    /// To a speaker: the sender uses its cell's record of this version, and none before it any more.
    Ack {
        cell: CellId,
        name: String,
        incarnation: u32,
        version: Version,
    },
    Submit(Change),
    Outcome {
        id: u64,
        outcome: Result<(), ChangeError>,
    },
    Paxos(Paxos),
}

/// Why a datagram is refused; nothing of it is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    #[error("of another fleet: see who sends to this address")]
    Foreign,
    #[error("of another format: see that all processes run one version")]
    OtherFormat,
    #[error("damaged on its way: see the network between the processes")]
    Damaged,
    #[error("not to be read: see that all processes run one version")]
    Unreadable,
}

impl PacketError {
    /// The name it is counted under.
    pub fn name(self) -> &'static str {
        match self {
            PacketError::Foreign => "cells datagrams of others",
            PacketError::OtherFormat => "cells datagrams of another format",
            PacketError::Damaged => "cells datagrams damaged",
            PacketError::Unreadable => "cells datagrams not to be read",
        }
    }
}

/// A fleet's name as a number, in every datagram of it.
pub fn fleet(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

pub fn write(fleet: u64, message: &Message) -> Vec<u8> {
    // What is written here is made of numbers, texts and lists: it has no way to fail.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let check = xxh3_64_with_seed(&body, fleet) as u32;
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.push(FORMAT);
    bytes.extend_from_slice(&fleet.to_le_bytes());
    bytes.extend_from_slice(&check.to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

pub fn read(fleet: u64, bytes: &[u8]) -> Result<Message, PacketError> {
    let (Some(format), Some(of), Some(check)) = (bytes.first(), bytes.get(1..9), bytes.get(9..HEAD)) else {
        return Err(PacketError::Unreadable);
    };
    if bytes.len() > LONGEST {
        return Err(PacketError::Unreadable);
    }
    if of != fleet.to_le_bytes() {
        return Err(PacketError::Foreign);
    }
    if *format != FORMAT {
        return Err(PacketError::OtherFormat);
    }
    let body = &bytes[HEAD..];
    if check != (xxh3_64_with_seed(body, fleet) as u32).to_le_bytes() {
        return Err(PacketError::Damaged);
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(PacketError::Unreadable),
    }
}
