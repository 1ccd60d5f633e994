//! The endpoint list: polling and watching discovery, and reading its responses.
//!
//! [`client`] makes the calls, [`poll_schedule`] plans them, and [`events`] is what the owner of the client implements.

pub mod call_error;
pub mod client;
pub mod endpoint_list;
pub mod events;
pub mod poll_schedule;
pub mod start_times;
