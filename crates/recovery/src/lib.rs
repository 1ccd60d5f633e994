//! Recovery of a fleet member: what it restores after a restart, how it agrees with its peers on the endpoint list, and
//! when it admits traffic.
//!
//! [`Node`] is the state machine. It runs on top of [`shelfgrade_fleet::Fleet`] and combines these components:
//!
//! - [`snapshot`]: the file format of the state that survives a restart;
//! - restore: decides which parts of a snapshot are trusted;
//! - poller election: decides which members poll discovery on behalf of the fleet;
//! - list history: decides whether a received endpoint list is newer than the current one;
//! - admission: the recovery ramp, which admits requests in order of priority while servers warm up.
//!
//! The crate performs no I/O: time, datagrams, snapshots and endpoint lists are passed in, and effects go through
//! [`RecoveryEnvironment`]. `docs/recovery.md` lists every restored item and why it is trusted or not.

#![deny(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod environment;
mod list_history;
mod local_addresses;
mod node;
mod poller_election;
mod recent_arrivals;
mod restore;
mod server_record;
mod settings;
pub mod snapshot;

pub use admission::{RecoveryState, Requester};
pub use environment::{ClockReading, DiscoveryUse, EndpointAddress, RecoveryEnvironment};
pub use list_history::{ListHistory, ListVersion, LIST_KEY};
pub use node::Node;
pub use poller_election::{Heartbeat, HEARTBEAT_PREFIX};
pub use server_record::{list_digest, ServerHealth, ServerRecord, SERVER_PREFIX};
pub use settings::{ClassPriority, RecoverySettings};
