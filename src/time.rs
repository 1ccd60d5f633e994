//! Timestamps on the host's clock, and extensions of [`Duration`].
//!
//! All times are whole microseconds. Results of floating-point arithmetic are rounded here, so that a run makes the
//! same decisions on every machine.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Later than every other timestamp.
    pub const NEVER: Timestamp = Timestamp(u64::MAX);

    /// Converts milliseconds to a timestamp, rounded to microseconds.
    pub fn from_ms(ms: f64) -> Self {
        Timestamp(micros_from_ms(ms))
    }

    /// Returns this timestamp in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the number of complete periods of this length since the clock's zero.
    pub fn elapsed_periods(self, period: Duration) -> u64 {
        self.0 / as_micros_u64(period).max(1)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
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

/// Conversions and arithmetic of durations in whole microseconds.
pub trait DurationExt {
    /// Converts milliseconds to a duration, rounded to microseconds; negative values give zero.
    fn from_ms(ms: f64) -> Self;
    /// Returns this duration in milliseconds.
    fn as_ms(&self) -> f64;
    /// Returns this duration multiplied by `factor`, truncated to microseconds.
    fn scaled(self, factor: f64) -> Self;
    /// Returns this duration as a fraction of `total`, which is taken to be at least one microsecond.
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
