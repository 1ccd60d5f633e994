//! Recent latencies of attempts.

use super::push_bounded;
use crate::time::DurationExt;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

/// The times that the most recent attempts took to be established.
#[derive(Default)]
pub(crate) struct LatencySamples(RefCell<VecDeque<Duration>>);

impl LatencySamples {
    /// Records the time that an attempt took to be established.
    pub(crate) fn record(&self, latency: Duration) {
        // Enough for a stable mean, and few enough that a bad minute is soon forgotten.
        const MAX_SAMPLES: usize = 16;
        push_bounded(&mut self.0.borrow_mut(), latency, MAX_SAMPLES);
    }

    pub(crate) fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns the mean in milliseconds, or zero if there are no samples.
    pub(crate) fn mean_ms(&self) -> f64 {
        let samples = self.0.borrow();
        samples.iter().map(|latency| latency.as_ms()).sum::<f64>() / samples.len().max(1) as f64
    }
}
