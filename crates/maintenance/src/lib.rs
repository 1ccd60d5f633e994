//! Maintenance windows: a site has no traffic while its window lasts, and drains before.
//!
//! - [`schedule`]: the windows as the operator writes them, and their validation;
//! - [`occurrence`]: the times at which a window comes, in its time zone;
//! - [`plan`]: the phase of each site at a moment;
//! - [`drain`]: which servers of a draining site take no sessions any more.
//!
//! The crate does no I/O and reads no clock: all times are Unix milliseconds that the embedding process passes in.

#![warn(missing_docs)]
#![deny(unsafe_code)]

pub mod drain;
pub mod error;
pub mod occurrence;
pub mod plan;
pub mod schedule;
