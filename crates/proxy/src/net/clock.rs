//! The process clock: Unix time, read from the system once at the start and advanced by a monotonic clock. It never
//! goes back, and the start times of servers, which are Unix times, can be compared with it.

use shelfgrade::time::{DurationExt, Timestamp};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Environment variable with an offset in milliseconds, possibly negative, that is added to the system time. Used to
/// test fleets with clock skew.
const CLOCK_OFFSET_VARIABLE: &str = "SHELFGRADE_CLOCK_AHEAD_MS";

/// A monotonic clock that counts in Unix time.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix_at_start: Timestamp,
}

impl Clock {
    /// Starts a clock at the current Unix time of the system.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_ms: f64 =
            std::env::var(CLOCK_OFFSET_VARIABLE).ok().and_then(|ms| ms.parse().ok()).unwrap_or(0.0);
        let unix_ms = (unix.as_secs_f64() * 1000.0 + offset_ms).max(0.0);
        Clock { started_at: Instant::now(), unix_at_start: Timestamp::from_ms(unix_ms) }
    }

    /// The current Unix time according to this clock.
    pub fn now(&self) -> Timestamp {
        self.unix_at_start + Duration::from_ms(self.started_at.elapsed().as_secs_f64() * 1000.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/clock.rs"]
mod tests;
