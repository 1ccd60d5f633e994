//! Recent latencies of attempts.

use super::push_bounded;
use crate::time::DurationExt;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

/// How long the last attempts took to establish.
#[derive(Default)]
pub(crate) struct LatencySamples(RefCell<VecDeque<Duration>>);

impl LatencySamples {
    /// Records how long an attempt took to establish.
    pub(crate) fn record(&self, latency: Duration) {
        // Enough for a mean, few enough to forget a bad minute.
        const MAX_SAMPLES: usize = 16;
        push_bounded(&mut self.0.borrow_mut(), latency, MAX_SAMPLES);
    }

    /// How many samples there are.
    pub(crate) fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// The mean in milliseconds; zero without samples.
    pub(crate) fn mean_ms(&self) -> f64 {
        let samples = self.0.borrow();
        samples.iter().map(|latency| latency.as_ms()).sum::<f64>() / samples.len().max(1) as f64
    }
}
