//! A phi accrual failure detector: suspects a server whose silence is improbable given recent latencies.

use crate::state::{LatencySamples, Server};
use crate::time::{DurationExt, Timestamp};
use std::time::Duration;

/// The number of samples from which on the usual latency can be estimated.
const MIN_SAMPLES: usize = 5;
/// The suspicion level phi. With exponentially distributed latencies, one silence in 10^4 lasts this long by chance.
const PHI_THRESHOLD: f64 = 4.0;

impl LatencySamples {
    /// Returns the duration of silence after which a server is suspected; `None` while there are too few samples.
    pub(super) fn suspicion_timeout(&self) -> Option<Duration> {
        let mean_ms = self.mean_ms();
        (self.len() >= MIN_SAMPLES)
            .then(|| Duration::from_ms(mean_ms * PHI_THRESHOLD * std::f64::consts::LN_10))
    }
}

impl Server {
    /// Whether the server has been silent for longer than the suspicion timeout.
    pub(super) fn is_suspected(&self, suspicion_timeout: Option<Duration>, now: Timestamp) -> bool {
        let silence = self.silent_since.get().zip(suspicion_timeout);
        silence.is_some_and(|(since, timeout)| now.since(since) > timeout)
    }
}
