//! A token bucket that limits the rate of sent bytes.

use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

const ONE_SECOND: Duration = Duration::from_millis(1000);

/// Number of bytes that may be sent, refilled at a constant rate up to a maximum burst.
pub struct TokenBucket {
    bytes_per_s: f64,
    burst_bytes: f64,
    available_bytes: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(bytes_per_s: f64, burst_bytes: f64, now: Timestamp) -> Self {
        TokenBucket { bytes_per_s, burst_bytes, available_bytes: burst_bytes, refilled_at: now }
    }

    fn refill(&mut self, now: Timestamp) {
        let refilled_bytes = now.since(self.refilled_at).ratio_to(ONE_SECOND) * self.bytes_per_s;
        self.available_bytes = (self.available_bytes + refilled_bytes).min(self.burst_bytes);
        self.refilled_at = now;
    }

    /// Takes bytes if at least `reserve_bytes` remain available afterwards. Returns whether they were taken.
    pub fn try_take(&mut self, bytes: usize, reserve_bytes: usize, now: Timestamp) -> bool {
        self.refill(now);
        let is_sufficient = self.available_bytes >= (bytes + reserve_bytes) as f64;
        if is_sufficient {
            self.available_bytes -= bytes as f64;
        }
        is_sufficient
    }

    /// Takes bytes unconditionally. The balance may become negative; later sends then wait until it is refilled.
    pub fn take(&mut self, bytes: usize, now: Timestamp) {
        self.refill(now);
        self.available_bytes -= bytes as f64;
    }

    /// The available bytes as a fraction of the burst.
    pub fn available_fraction(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.available_bytes / self.burst_bytes
    }
}
