//! A balancer for long-lived connections on real sockets, around the load balancer of the crate `shelfgrade`.
//!
//! [`lifecycle::startup::Start`] holds what a proxy is given at its start; [`lifecycle::serve::serve`] runs it on one thread
//! and one event loop until it is stopped. The load balancer decides, without I/O; this crate does the I/O and carries the
//! decisions out.

mod descriptor_budget;
mod discovery;
mod downstream;
mod executor;
pub mod fleet;
pub mod lifecycle;
mod metrics;
mod net;
mod pending_sessions;
pub mod proxy;
mod session;
mod session_table;
mod tenants;
mod upstream;
