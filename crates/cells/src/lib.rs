//! A fleet that changes while it runs, in cells: a log that a majority of some replicas agrees on, how what it says gets
//! to every process, and rights that add up to the whole in any partition. No I/O: time comes as an argument, datagrams
//! and what is to be stored go out through [`Environment`], chance is drawn from the given seed.
//!
//! `docs/cells.md` says why it holds and what was measured.

mod apply;
mod follow;
mod mates;
mod packet;
mod paxos;
mod process;
mod rate;
mod record;
mod replica;
mod rights;
mod roster;
mod state;
mod submit;
mod swim;
mod vote;

pub use apply::HORIZON;
pub use follow::Follower;
pub use packet::{fleet, read, write, Ballot, Message, PacketError, Paxos, LONGEST, ROOM};
pub use process::{Kept, Process, Start};
pub use record::{
    Action, Batch, Cell, CellId, Change, ChangeError, Key, Member, Record, Scope, Value, Version,
    LONGEST_KEY, LONGEST_NAME, LONGEST_VALUE, MOST_ENTRIES, MOST_PLACES, WHOLE,
};
pub use replica::{Replica, Stored, Vote};
pub use roster::{Peer, Peers, RosterError};
pub use state::{Delta, DeltaError, Merged, State};

use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a core asks of whoever carries it out, and tells.
pub trait Environment {
    fn send(&mut self, to: SocketAddr, datagram: Vec<u8>);
    /// To be on disk before anything that is sent after it. All stored before a [`Stored::Checkpoint`] may go.
    fn store(&mut self, stored: Stored);
    /// A record is new, or has changed, or is gone.
    fn record_changed(&mut self, record: &Record);
    /// What a change that was submitted here came to.
    fn change_decided(&mut self, id: u64, outcome: Result<(), ChangeError>);
    /// A datagram, or a part of one, or of what was stored, was refused.
    fn datagram_rejected(&mut self, why: &'static str);
}

/// A member's rank in its cell, by rendezvous hash: the greatest of those alive speak for it.
pub fn rank(cell: CellId, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(cell.0) + 1)
}
