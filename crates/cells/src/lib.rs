//! A fleet that changes while it runs, divided into cells: a replicated log that a majority of some replicas agrees on,
//! its dissemination to every process, and quotas that add up to the total in any partition.
//!
//! - [`Replica`]: proposer, acceptor and learner of the log, on a machine set aside for it;
//! - [`Process`]: a member of a cell, which follows the log and uses a part of its cell's quota;
//! - [`State`]: the records that the log has left, and [`LogFollower`], which keeps them up to date.
//!
//! The crate does no I/O: time comes as an argument, datagrams and what is to be stored go out through [`Environment`],
//! and random numbers come from the given seed. `docs/cells.md` describes the protocols and why they are safe.

#![warn(missing_docs)]
#![deny(unsafe_code)]

mod acceptor;
mod apply;
mod cell_members;
mod change;
mod change_queue;
mod delta;
mod log_follower;
mod lookups;
mod packet;
mod pending_changes;
mod process;
mod proposal;
mod quota;
mod record;
mod replica;
mod replica_set;
mod state;
mod swim;
mod token_bucket;

pub use acceptor::Vote;
pub use apply::DEFAULT_HORIZON_SLOTS;
pub use change::{
    Action, Batch, Change, ChangeError, MAX_CELL_CAPACITY, MAX_ENTRIES, MAX_KEY_BYTES, MAX_NAME_BYTES,
    MAX_VALUE_BYTES,
};
pub use delta::{Delta, DeltaError, Merged};
pub use log_follower::LogFollower;
pub use packet::{
    decode, encode, fleet_id, Ballot, Message, PacketError, Paxos, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES,
};
pub use process::{Process, ProcessConfig, ProcessSnapshot};
pub use record::{Cell, CellId, Key, Member, Record, Scope, Value, Version, TOTAL_QUOTA};
pub use replica::{Replica, Stored};
pub use replica_set::{ReplicaAddress, ReplicaSet, ReplicaSetError};
pub use state::State;

use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a [`Process`] or a [`Replica`] asks of the program that embeds it, and reports to it.
pub trait Environment {
    /// Sends a datagram.
    fn send(&mut self, to: SocketAddr, datagram: Vec<u8>);
    /// Stores on disk before anything that is sent after this call. All stored before a [`Stored::Checkpoint`] may be
    /// deleted.
    fn store(&mut self, stored: Stored);
    /// A record is new, has changed or has lost its value.
    fn record_changed(&mut self, record: &Record);
    /// The outcome of a change that was submitted here.
    fn change_decided(&mut self, id: u64, outcome: Result<(), ChangeError>);
    /// A datagram, a part of one, or something stored was refused. `counter` is the name of the counter to increase.
    fn datagram_rejected(&mut self, counter: &'static str);
}

/// Rank of a member in its cell, by rendezvous hash: the highest ranks of those alive are the cell's delegates.
pub fn rank(cell: CellId, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(cell.0) + 1)
}
