//! State that the members of one fleet share: membership, a replicated map, and leases on the fleet's quota.
//!
//! [`Fleet`] is the state machine of one member. It combines the parts:
//!
//! - roster: the members that may join, fixed while the fleet runs;
//! - SWIM: failure detection and gossip, by the library `foca`;
//! - replicated map: a bounded last-writer-wins map, repaired by anti-entropy;
//! - quota leases: the fraction of the fleet's quota that each member may use;
//! - clock skew: the deviation of the local clock from those of the peers.
//!
//! The crate does no I/O: time and datagrams are arguments, effects go through [`Environment`], and random numbers are
//! drawn from a given seed. What a member sends per second does not grow with the fleet; `docs/fleet.md` has figures.

#![deny(unsafe_code)]
#![warn(missing_docs)]

mod anti_entropy;
mod clock_skew;
mod entry;
mod environment;
mod fleet;
mod membership_filter;
mod outbox;
mod packet;
mod quota_leases;
mod replica;
mod replicated_map;
mod reply_limit;
mod roster;
mod swim;

pub use entry::{Entry, Version, MAX_KEY_BYTES, MAX_VALUE_BYTES};
pub use environment::Environment;
pub use fleet::{Fleet, PutError, MAX_ENTRIES};
pub use packet::MAX_DATAGRAM_BYTES;
pub use quota_leases::LEASE_DURATION;
pub use replicated_map::{MergeOutcome, ReplicatedMap};
pub use roster::{rank, Incarnation, MemberId, Roster, RosterError, MAX_MEMBERS};
