//! The host's clock: monotonic, and set by Unix time once, so that a server's start can be told on it.

use shelfgrade::time::{DurationExt, Timestamp};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    unix_then: Timestamp,
}

/// The variable that sets this process's clock ahead of the machine's, or back, in milliseconds: for trials of a fleet
/// whose clocks differ.
const AHEAD: &str = "SHELFGRADE_CLOCK_AHEAD_MS";

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let ahead: f64 = std::env::var(AHEAD).ok().and_then(|ms| ms.parse().ok()).unwrap_or(0.0);
        let then = (unix.as_secs_f64() * 1000.0 + ahead).max(0.0);
        Clock { began: Instant::now(), unix_then: Timestamp::from_ms(then) }
    }

    pub fn now(&self) -> Timestamp {
        self.unix_then + Duration::from_ms(self.began.elapsed().as_secs_f64() * 1000.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/clock.rs"]
mod tests;
