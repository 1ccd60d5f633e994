//! The return of a process, or of a whole fleet: what is trusted from before ([`snapshot`], [`restore`]), whom to ask for
//! the list ([`poller_election`]), what a list says of those before it ([`agreement`]), and in which order service comes back
//! ([`admission`]); [`node`] puts them together over what the fleet shares. No I/O: time, datagrams, bytes of a disk and
//! lists come in as arguments.
//!
//! `docs/recovery.md` has the table of every item and why it is trusted or not.

mod admission;
mod agreement;
mod environment;
mod node;
mod poller_election;
mod restore;
pub mod snapshot;

pub use admission::{ClassPriority, RecoveryState, Requester};
pub use agreement::{ListHistory, ListVersion};
pub use environment::{ClockReading, EndpointAddress, RecoveryEnvironment, RecoverySettings};
pub use node::Node;
pub use poller_election::Heartbeat;
pub use restore::{list_digest, ServerHealth, ServerRecord, HEARTBEAT_PREFIX, LIST_KEY, SERVER_PREFIX};
