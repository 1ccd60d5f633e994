//! Client connections: accepting them, reading their first line, and sending final responses.

mod client_side;
pub mod lingering;
pub mod listener;
mod owner_impls;
pub mod pending_connection;
mod pending_connection_table;
