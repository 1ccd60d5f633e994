//! The process's clock: monotonic, and set by Unix time once, so that the start times of servers can be placed on it.

use shelfgrade::time::{DurationExt, Timestamp};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The environment variable that sets this process's clock ahead of the machine's, or behind it if negative, in
/// milliseconds: for tests of a fleet whose clocks differ.
const CLOCK_OFFSET_VARIABLE: &str = "SHELFGRADE_CLOCK_AHEAD_MS";

/// A clock that never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Timestamp,
}

impl Clock {
    /// Reads the machine's Unix time, which the clock counts on from.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_ms: f64 =
            std::env::var(CLOCK_OFFSET_VARIABLE).ok().and_then(|ms| ms.parse().ok()).unwrap_or(0.0);
        let unix_ms = (unix.as_secs_f64() * 1000.0 + offset_ms).max(0.0);
        Clock { started: Instant::now(), unix_at_start: Timestamp::from_ms(unix_ms) }
    }

    /// Unix time by this clock.
    pub fn now(&self) -> Timestamp {
        self.unix_at_start + Duration::from_ms(self.started.elapsed().as_secs_f64() * 1000.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/clock.rs"]
mod tests;
