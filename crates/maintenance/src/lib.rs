//! Maintenance windows: a site has no traffic during its window, and is drained before it.
//!
//! - [`schedule`]: the operator's schedule of windows, and its validation;
//! - [`occurrence`]: the times at which a window occurs, computed in its time zone;
//! - [`plan`]: the phase of each site at a given time;
//! - [`drain`]: which servers of a draining site do not accept sessions any more.
//!
//! The crate performs no I/O and does not read the clock: all times are passed in as Unix time in milliseconds.

#![warn(missing_docs)]
#![deny(unsafe_code)]

pub mod drain;
pub mod error;
pub mod occurrence;
pub mod plan;
pub mod schedule;
