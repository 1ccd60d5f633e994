//! The return of a process, or of a whole fleet: what is trusted from before ([`snapshot`], [`restore`]), whom to ask for
//! the list ([`poller_election`]), what a list says of those before it ([`agreement`]), and in which order service comes back
//! ([`admission`]); [`node`] puts them together over what the fleet shares. No I/O: time, datagrams, bytes of a disk and
//! lists come in as arguments.
//!
//! `docs/recovery.md` has the table of every item and why it is trusted or not.

pub mod admission;
pub mod agreement;
pub mod environment;
pub mod node;
pub mod poller_election;
pub mod restore;
pub mod snapshot;
