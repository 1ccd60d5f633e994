//! Membership, configuration and quotas of a fleet that is divided into cells: a log replicated by Paxos, its
//! dissemination to every process, and quotas whose sum never exceeds the total, even in network partitions.
//!
//! - [`Replica`]: proposer, acceptor and learner of the log, on a dedicated machine;
//! - [`Process`]: a member of a cell, which follows the log and uses one share of its cell's quota;
//! - [`State`]: the records that result from applying the log, and [`LogFollower`], which keeps them up to date.
//!
//! The crate does no I/O: time is passed as an argument, datagrams and data to be stored are handed to [`Environment`],
//! and random numbers are derived from a given seed. `docs/cells.md` describes the protocols and why they are safe.

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

/// Interface of a [`Process`] or [`Replica`] to the embedding program: I/O and notifications.
pub trait Environment {
    /// Sends a datagram.
    fn send(&mut self, to: SocketAddr, datagram: Vec<u8>);
    /// Stores data on disk. It must be durable before any datagram that is sent after this call. All data stored before
    /// a [`Stored::Checkpoint`] may be deleted.
    fn store(&mut self, stored: Stored);
    /// Reports a record that was added, changed or deleted.
    fn record_changed(&mut self, record: &Record);
    /// Reports the outcome of a change that was submitted to this node.
    fn change_decided(&mut self, id: u64, outcome: Result<(), ChangeError>);
    /// Reports that a datagram, a part of one, or stored data was rejected. `counter` names the counter to increment.
    fn datagram_rejected(&mut self, counter: &'static str);
}

/// Rank of a member in its cell, a rendezvous hash: the alive members with the highest ranks are the delegates.
pub fn rank(cell: CellId, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(cell.0) + 1)
}
