//! Message latencies of a server, measured on the sessions that are established there.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Maximum number of samples that are kept for each server.
const MAX_SAMPLES: usize = 64;

struct Sample<S> {
    latency: Duration,
    session: Weak<S>,
}

/// The most recent message latencies of one server, each with the session on which it was measured.
pub struct MessageLatencySamples<S> {
    samples: RefCell<VecDeque<Sample<S>>>,
}

impl<S> Default for MessageLatencySamples<S> {
    fn default() -> Self {
        MessageLatencySamples { samples: RefCell::default() }
    }
}

impl<S> MessageLatencySamples<S> {
    /// Records that a message of this session received a reply after `latency`.
    pub fn record(&self, session: Weak<S>, latency: Duration) {
        let mut samples = self.samples.borrow_mut();
        samples.push_back(Sample { latency, session });
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// Returns the median of the samples since the last call, with the session on which it was measured, and removes
    /// them. Samples of closed sessions are ignored.
    pub fn take_median(&self) -> Option<(Duration, Rc<S>)> {
        let samples = std::mem::take(&mut *self.samples.borrow_mut());
        let mut live: Vec<_> = samples
            .into_iter()
            .filter_map(|sample| Some((sample.latency, sample.session.upgrade()?)))
            .collect();
        live.sort_by_key(|(latency, _)| *latency);
        let middle = live.len() / 2;
        (middle < live.len()).then(|| live.swap_remove(middle))
    }
}
