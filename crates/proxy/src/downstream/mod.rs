//! Connections from clients: accepting them, their first line, and their final answers.

pub mod client;
pub mod lingering;
pub mod listener;
pub mod pending_connection;
