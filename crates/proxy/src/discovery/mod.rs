//! The endpoint list: polling and watching the discovery service, and parsing its responses.
//!
//! [`client`] sends the requests, [`poll_schedule`] decides their parameters and time limits, and the owner of the
//! client implements the callbacks in [`events`].

pub mod call_error;
pub mod client;
pub mod endpoint_list;
pub mod events;
pub mod poll_schedule;
pub mod start_times;
