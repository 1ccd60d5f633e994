//! Sockets, buffers, lines, HTTP and the clock: no policy.

pub mod clock;
pub mod event_loop;
pub mod http;
pub mod line;
pub mod ring;
pub mod socket;
pub mod transient;
