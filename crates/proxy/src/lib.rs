//! A balancer for long-lived connections on real sockets, round the decisions of the crate `shelfgrade`.
//!
//! [`lifecycle::startup::Start`] holds what a proxy is told at its start; [`proxy::serve`] runs it on one thread and one
//! loop until it is told to end. The decisions are the module's; this crate carries them out.

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
