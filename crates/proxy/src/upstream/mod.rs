//! Connections to servers: attempts, health checks, and load reports.

pub mod attempt;
pub mod health_check;
pub mod load_reports;
pub mod message_latency;
mod owner_impls;
pub mod server;
pub mod server_pool;
mod server_side;
