//! The endpoint list: polling and watching discovery, and reading what it answers.

pub mod client;
pub mod endpoint_list;
pub mod start_times;
