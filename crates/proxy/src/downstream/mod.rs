//! Connections from clients: accepting them, their first line, and their final answers.

mod client_side;
mod events;
pub mod lingering;
pub mod listener;
pub mod pending_connection;
mod pending_connection_table;
mod recent_request_ids;
