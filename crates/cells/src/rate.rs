//! A bound on what is sent: so many bytes a second, and some at once.

use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

pub struct Rate {
    per_second: f64,
    burst: f64,
    left: f64,
    at: Timestamp,
}

impl Rate {
    pub fn new(per_second: f64, burst: f64, now: Timestamp) -> Self {
        Rate { per_second, burst, left: burst, at: now }
    }

    fn fill(&mut self, now: Timestamp) {
        let gained = now.since(self.at).ratio_to(Duration::from_millis(1000)) * self.per_second;
        self.left = (self.left + gained).min(self.burst);
        self.at = now;
    }

    /// Takes so many bytes, where there are that many and so many more are left for others.
    pub fn take(&mut self, bytes: usize, leaves: usize, now: Timestamp) -> bool {
        self.fill(now);
        let enough = self.left >= (bytes + leaves) as f64;
        if enough {
            self.left -= bytes as f64;
        }
        enough
    }

    /// What goes in any case; others make up for it.
    pub fn spend(&mut self, bytes: usize, now: Timestamp) {
        self.fill(now);
        self.left -= bytes as f64;
    }

    /// The part of what may be sent at once that is left.
    pub fn left(&mut self, now: Timestamp) -> f64 {
        self.fill(now);
        self.left / self.burst
    }
}
