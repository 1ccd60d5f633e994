//! A token bucket that bounds the bytes that are sent.

use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

const ONE_SECOND: Duration = Duration::from_millis(1000);

/// Bytes that may be sent: refilled at a rate, up to a burst.
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
        let gained = now.since(self.refilled_at).ratio_to(ONE_SECOND) * self.bytes_per_s;
        self.available_bytes = (self.available_bytes + gained).min(self.burst_bytes);
        self.refilled_at = now;
    }

    /// Takes bytes where so many are available and a reserve is left besides. Returns whether they were taken.
    pub fn try_take(&mut self, bytes: usize, reserve_bytes: usize, now: Timestamp) -> bool {
        self.refill(now);
        let is_enough = self.available_bytes >= (bytes + reserve_bytes) as f64;
        if is_enough {
            self.available_bytes -= bytes as f64;
        }
        is_enough
    }

    /// Takes bytes in any case; later sends have to wait until they are refilled.
    pub fn take(&mut self, bytes: usize, now: Timestamp) {
        self.refill(now);
        self.available_bytes -= bytes as f64;
    }

    /// The available fraction of the burst.
    pub fn available_fraction(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.available_bytes / self.burst_bytes
    }
}
