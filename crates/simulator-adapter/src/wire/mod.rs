//! The simulator's wire, mapped to the terms of the decisions: lines in `line.rs`, what they mean in `event.rs`, and the
//! lines written for decisions in `reply.rs`.

pub mod event;
pub mod line;
pub mod reply;
