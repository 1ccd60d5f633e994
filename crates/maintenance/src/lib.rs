//! Maintenance windows: traffic is gone from a site before they begin. [`schedule`] is what is written and what is wrong
//! with it, [`plan`] what it means at a moment. No I/O: times are Unix milliseconds, given by whoever asks.

pub mod plan;
pub mod schedule;
