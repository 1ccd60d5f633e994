//! A load-balancing proxy for long-lived connections, built on the load balancer of the crate `shelfgrade`.
//!
//! [`lifecycle::startup::StartupConfig`] holds the configuration of a proxy, and [`lifecycle::serve::serve`] runs the
//! proxy on one thread with one event loop until it is stopped. The load balancer makes the decisions and performs no
//! I/O; this crate performs the I/O and carries out the decisions.

mod descriptor_budget;
mod discovery;
mod downstream;
mod executor;
mod fleet;
pub mod lifecycle;
mod metrics;
mod net;
mod pending_sessions;
pub mod proxy;
mod recent_request_ids;
mod session;
mod session_table;
mod tenants;
mod upstream;
