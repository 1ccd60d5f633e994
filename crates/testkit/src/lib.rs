//! What the fleet is tried with. Nothing here is part of the program.
//!
//! [`simulated_fleet`] has many cores in virtual time over a drawn network, in one thread and the same for the same seed,
//! [`simulation`] thousands of them over regions and zones ([`topology`]), on some threads, and [`cells`] a fleet in
//! cells with the replicas of its log. The rest
//! starts real processes on loopback: [`process`] the program itself, [`server`], [`discovery`], [`clients`] and
//! [`fault_proxy`] stand-ins for what is round it, [`recorder`] what they saw, [`checks`] what must hold of that, [`misbehaving_proxy`] a
//! proxy that is wrong on purpose, and [`trial`] all of it together. What a size costs is measured by [`standing`], one
//! real process with many sessions, and [`decisions`], the decisions alone.

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
pub mod server;
pub mod simulated_fleet;
pub mod simulation;
pub mod sockets;
pub mod standing;
pub mod topology;
pub mod trial;

use std::net::SocketAddr;

/// Some port at an address of loopback that only this process uses. Guards against two trials at once on one machine:
/// a port that is chosen for a process, and free until that starts, was taken by the other's.
pub fn own_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 64 | (high & 63), middle, low], 0))
}
