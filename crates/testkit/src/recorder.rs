//! Records what the stand-ins observe, with times. The checks use nothing else.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One request of a client: a connection and its first line.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub at: Duration,
    pub process: usize,
    /// Index into `REQUEST_CLASSES`.
    pub class: usize,
    /// Index into `CUSTOMERS`.
    pub customer: usize,
    pub request_timeout: Duration,
    /// Whether this is the client's first request since its last session, or since it started.
    pub is_first: bool,
    /// The answer, and any line that follows a final answer, with the time at which each arrived.
    pub answers: Vec<(Duration, String)>,
    /// When the connection broke or the client left.
    pub ended_at: Option<Duration>,
}

/// A first line that a server received, and whether it accepted the request.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    pub at: Duration,
    pub server: usize,
    pub id: u64,
    pub class: usize,
    pub accepted: bool,
}

/// A server that received more requests during its slow start than its limit allows.
#[derive(Clone, Debug)]
pub struct ServerOverload {
    pub at: Duration,
    pub server: usize,
    pub requests: usize,
    pub limit: f64,
}

#[derive(Default)]
pub struct Observations {
    /// Client requests by ID.
    pub requests: BTreeMap<u64, RequestRecord>,
    pub forwarded: Vec<ForwardedRequest>,
    pub overloads: Vec<ServerOverload>,
    /// Calls to discovery, each with whether it was the first on its connection.
    pub discovery_calls: Vec<(Duration, bool)>,
    /// Draining servers, with when discovery published that and when it ended.
    pub drains: Vec<(usize, Duration, Option<Duration>)>,
    /// Processes that were killed or suspended, with the start and the end of the downtime.
    pub downtimes: Vec<(usize, Duration, Duration)>,
    /// The number of sessions after each change.
    pub session_counts: Vec<(Duration, usize)>,
    /// The present number of sessions.
    pub sessions: usize,
    /// For each first line to a server in slow start: the number of requests in its window, and the limit.
    pub cold_loads: Vec<(usize, f64)>,
}

#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    observations: Arc<Mutex<Observations>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { started: Instant::now(), observations: Arc::default() }
    }
}

impl Recorder {
    /// Time since the start of the trial.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a session was established or ended.
    pub fn session_changed(&self, established: bool) {
        let now = self.now();
        let mut observations = self.observations();
        observations.sessions =
            if established { observations.sessions + 1 } else { observations.sessions.saturating_sub(1) };
        let sessions = observations.sessions;
        observations.session_counts.push((now, sessions));
    }
}
