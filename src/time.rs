//! Timestamps on the host's clock, and what [`Duration`] lacks for them.
//!
//! All times are integral numbers of microseconds: what is computed from a fraction is rounded here, so that a run gives
//! the same decisions on every machine.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A moment on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Later than every other timestamp.
    pub const NEVER: Timestamp = Timestamp(u64::MAX);

    /// A timestamp from milliseconds, rounded to microseconds.
    pub fn from_ms(ms: f64) -> Self {
        Timestamp(micros_from_ms(ms))
    }

    /// This timestamp in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// How many complete periods of this length lie before this timestamp.
    pub fn periods(self, period: Duration) -> u64 {
        self.0 / as_micros_u64(period).max(1)
    }

    /// The time elapsed since `earlier`; zero if that is still to come.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(as_micros_u64(duration)))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(as_micros_u64(duration)))
    }
}

/// Conversions and arithmetic of durations in integral microseconds.
pub trait DurationExt {
    /// A duration from milliseconds, rounded to microseconds; negative values give zero.
    fn from_ms(ms: f64) -> Self;
    /// This duration in milliseconds.
    fn as_ms(&self) -> f64;
    /// This duration multiplied by a factor, truncated to microseconds.
    fn scaled(self, factor: f64) -> Self;
    /// This duration as a fraction of `total`, which counts as one microsecond at least.
    fn ratio_to(self, total: Self) -> f64;
}

impl DurationExt for Duration {
    fn from_ms(ms: f64) -> Self {
        Duration::from_micros(micros_from_ms(ms))
    }

    fn as_ms(&self) -> f64 {
        as_micros_u64(*self) as f64 / 1000.0
    }

    fn scaled(self, factor: f64) -> Self {
        Duration::from_micros((as_micros_u64(self) as f64 * factor) as u64)
    }

    fn ratio_to(self, total: Self) -> f64 {
        as_micros_u64(self) as f64 / as_micros_u64(total).max(1) as f64
    }
}

fn micros_from_ms(ms: f64) -> u64 {
    (ms * 1000.0).round() as u64
}

fn as_micros_u64(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
