//! Timestamps on the host's clock, and what [`Duration`] lacks for them.
//!
//! All times count in whole microseconds: whatever is computed from a fraction is rounded to one here, so that a run
//! gives the same decisions on every machine.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A moment on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Later than every other timestamp.
    pub const NEVER: Timestamp = Timestamp(u64::MAX);

    /// A timestamp from milliseconds, rounded to whole microseconds.
    pub fn from_ms(ms: f64) -> Self {
        Timestamp(micros_from_ms(ms))
    }

    /// This timestamp in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// How many whole periods of this length lie before this timestamp.
    pub fn periods(self, period: Duration) -> u64 {
        self.0 / whole_micros(period).max(1)
    }

    /// The time elapsed since `earlier`; zero if that is still to come.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_micros(duration)))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(duration)))
    }
}

/// Conversions and arithmetic in whole microseconds.
pub trait DurationExt {
    /// A duration from milliseconds, rounded to whole microseconds; negative values give zero.
    fn from_ms(ms: f64) -> Self;
    /// This duration in milliseconds.
    fn as_ms(&self) -> f64;
    /// This duration multiplied by a factor, cut to whole microseconds.
    fn scaled(self, factor: f64) -> Self;
    /// This duration as a fraction of `whole`.
    fn ratio_to(self, whole: Self) -> f64;
}

impl DurationExt for Duration {
    fn from_ms(ms: f64) -> Self {
        Duration::from_micros(micros_from_ms(ms))
    }

    fn as_ms(&self) -> f64 {
        whole_micros(*self) as f64 / 1000.0
    }

    fn scaled(self, factor: f64) -> Self {
        Duration::from_micros((whole_micros(self) as f64 * factor) as u64)
    }

    fn ratio_to(self, whole: Self) -> f64 {
        whole_micros(self) as f64 / whole_micros(whole).max(1) as f64
    }
}

fn micros_from_ms(ms: f64) -> u64 {
    (ms * 1000.0).round() as u64
}

fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
