//! Connections to servers: attempts, health checks, and what servers report of their load.

pub mod health_check;
pub mod load_reports;
pub mod message_latency;
pub mod server;
