//! Sockets, buffers, the line protocol, HTTP and the clock. Nothing in this module decides where a session is placed.

pub mod clock;
pub mod event_loop;
pub mod http;
pub mod line;
pub mod open_request;
pub mod ring_buffer;
pub mod socket;
pub mod transient;
