//! What the stand-ins saw, each thing with its moment; the checks go by nothing else.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One try of a client: a connection with its first line.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub at: Duration,
    pub process: usize,
    pub class: usize,
    pub customer: usize,
    pub request_timeout: Duration,
    /// The client's first try since it last stood, or since it came.
    pub first: bool,
    /// Every line that came back before the client was up, and after a final answer.
    pub answers: Vec<(Duration, String)>,
    /// The connection broke, or the client left.
    pub over: Option<Duration>,
}

/// A first line that came to a server, and what it did with it.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    pub at: Duration,
    pub server: usize,
    pub id: u64,
    pub class: usize,
    pub ran: bool,
}

/// A server that was sent more than it could bear while it was cold.
#[derive(Clone, Debug)]
pub struct ServerOverload {
    pub at: Duration,
    pub server: usize,
    pub sent: usize,
    pub bound: f64,
}

#[derive(Default)]
pub struct Observations {
    pub requests: BTreeMap<u64, RequestRecord>,
    pub sent: Vec<ForwardedRequest>,
    pub overloads: Vec<ServerOverload>,
    /// Calls to discovery, each with whether it began a new watch.
    pub calls: Vec<(Duration, bool)>,
    /// Servers that drain, from when discovery has it; and until when that held.
    pub drains: Vec<(usize, Duration, Option<Duration>)>,
    /// Processes that were killed or stopped, from when and until when they were back.
    pub away: Vec<(usize, Duration, Duration)>,
    /// How many clients stood, over time.
    pub standing: Vec<(Duration, usize)>,
    pub stand_now: usize,
    /// Most first lines that came to a cold server in its window, with the bound then.
    pub coldest: Vec<(usize, f64)>,
}

#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    observations: Arc<Mutex<Observations>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { began: Instant::now(), observations: Arc::default() }
    }
}

impl Recorder {
    /// Time since the trial began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn stands(&self, more: bool) {
        let now = self.now();
        let mut observations = self.observations();
        observations.stand_now =
            if more { observations.stand_now + 1 } else { observations.stand_now.saturating_sub(1) };
        let stand = observations.stand_now;
        observations.standing.push((now, stand));
    }
}
