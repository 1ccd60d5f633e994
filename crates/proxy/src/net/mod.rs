//! Sockets, buffers, lines, HTTP and the clock. Nothing here decides where a session goes.

pub mod clock;
pub mod event_loop;
pub mod http;
pub mod line;
pub mod open_request;
pub mod ring_buffer;
pub mod socket;
pub mod transient;
