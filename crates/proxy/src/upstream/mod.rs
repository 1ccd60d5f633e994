//! Connections to servers: attempts, health checks, and what servers report of their load.

pub mod attempt;
mod events;
pub mod health_check;
pub mod load_reports;
pub mod message_latency;
pub mod server;
pub mod server_pool;
mod server_side;
