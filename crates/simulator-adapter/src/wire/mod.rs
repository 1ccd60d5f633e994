//! The simulator's line protocol, mapped to the types of the load balancer: lines in `line.rs`, the events that they
//! encode in `event.rs`, and the lines written for decisions in `reply.rs`.

pub mod event;
pub mod line;
pub mod reply;
