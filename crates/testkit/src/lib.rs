//! The testkit: simulations, stand-ins and measuring programs. Nothing here is part of the program itself.
//!
//! Simulations in virtual time; the same seed gives the same run:
//!
//! - [`simulated_fleet`]: many cores over a simulated network, on one thread.
//! - [`simulation`]: thousands of cores over regions and zones ([`topology`]), on several threads; [`hollow_node`] is
//!   the core that runs there.
//! - [`cells`]: a fleet in cells, with the replicas of its log.
//!
//! Trials with real processes on loopback:
//!
//! - [`process`] runs the program; [`server`], [`discovery`], [`clients`], [`fault_proxy`] and [`relays`] are
//!   stand-ins for its environment, and [`trial`] puts all of them together.
//! - [`recorder`] keeps what the stand-ins observed, and [`checks`] finds violations of the invariants in it;
//!   [`misbehaving_proxy`] breaks the invariants on purpose, to test the checks.
//! - [`sockets`] runs hollow nodes on real sockets, in one fleet with real processes.
//!
//! Costs at scale are measured by [`session_load`], one real process with many sessions, and [`decisions`], the
//! balancer's decisions alone.

pub mod cells;
pub mod checks;
pub mod clients;
pub mod decisions;
pub mod discovery;
pub mod fault_proxy;
pub mod hollow_node;
pub mod misbehaving_proxy;
pub mod process;
pub mod recorder;
mod region;
pub mod relays;
pub mod server;
pub mod session_load;
pub mod simulated_fleet;
pub mod simulation;
pub mod sockets;
pub mod topology;
pub mod trial;

use std::net::SocketAddr;

/// A loopback address that only this process uses, with port 0. Guards against two trials on one machine at the same
/// time: a port that one had picked for a process was taken by the other before that process started.
pub fn loopback_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 64 | (high & 63), middle, low], 0))
}
