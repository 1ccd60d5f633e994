//! State shared by the members of a fleet: membership, a replicated map, and leases on the fleet's quota.
//!
//! [`Fleet`] is the state machine of one member. It combines these components:
//!
//! - roster: the fixed set of members that may join;
//! - SWIM: failure detection and gossip, implemented with the `foca` library;
//! - replicated map: a bounded last-writer-wins map, repaired by anti-entropy;
//! - quota leases: the fraction of the fleet's quota that each member may use;
//! - clock skew: the offset between the local clock and the peers' clocks.
//!
//! The crate performs no I/O: time and datagrams are passed in, effects go through [`Environment`], and random numbers
//! come from a seeded generator. A member's send rate does not depend on the size of the fleet; `docs/fleet.md` has
//! measurements.

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
