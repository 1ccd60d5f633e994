//! How long messages take at a server, as seen on the sessions established there.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// The samples kept for each server, the latest ones.
const MAX_SAMPLES: usize = 64;

struct Sample<S> {
    latency: Duration,
    session: Weak<S>,
}

/// The latest latencies of one server, with the sessions that they were seen on.
pub struct MessageLatency<S> {
    samples: RefCell<VecDeque<Sample<S>>>,
}

impl<S> Default for MessageLatency<S> {
    fn default() -> Self {
        MessageLatency { samples: RefCell::default() }
    }
}

impl<S> MessageLatency<S> {
    /// A message of this session was answered after `latency`.
    pub fn record(&self, session: Weak<S>, latency: Duration) {
        let mut samples = self.samples.borrow_mut();
        samples.push_back(Sample { latency, session });
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// The median of what was recorded since the last call, with the session that it was seen on. Samples of closed
    /// sessions do not count.
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
