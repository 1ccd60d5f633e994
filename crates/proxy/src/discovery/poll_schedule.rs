//! Chooses the next request to discovery and its time limits.

use nanorand::{Rng, WyRand};
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::RefCell;
use std::time::Duration;

/// Request path of the endpoint list.
const MEMBERS_PATH: &str = "/catalog/members";

/// A change must be applied within this time after it was made, even if a call missed it. A missed change is assumed to
/// have been made when the call started.
const REFRESH_WITHIN: Duration = Duration::from_millis(6000);
/// The same limit counted from the end of a watch's wait; the later of the two applies.
const REFRESH_AFTER_WAIT: Duration = Duration::from_millis(2000);
/// A new watch asks for this fraction of the drawn wait, because discovery may delay it before the wait begins.
const NEW_WATCH_WAIT_FRACTION: f64 = 0.4;

/// Time limits of calls to one kind of discovery service.
pub struct CallTimeouts {
    /// Lower bound of the wait that a watch asks for. The wait is random, because watches that all end with the same
    /// change must not all be repeated at the same moment.
    pub min_watch_wait: Duration,
    /// Upper bound of the wait that a watch asks for.
    pub max_watch_wait: Duration,
    /// Time that the response to a watch may take beyond its wait, if the watch directly follows a response.
    pub continued_watch_grace: Duration,
    /// The same for any other watch; discovery may serve other clients before it.
    pub new_watch_grace: Duration,
    /// Time limit of a request for the complete list, which has no wait.
    pub response_timeout: Duration,
    /// Time limit for establishing the connection.
    pub connect_timeout: Duration,
}

/// Time limits for a discovery service shared by all proxies. A watch without a response is detected within 2.8 s. A
/// refused connection or a request without a response is retried within 4 s, the time that a proxy has to apply the
/// list of a new discovery service.
pub const SHARED_DISCOVERY_TIMEOUTS: CallTimeouts = CallTimeouts {
    min_watch_wait: Duration::from_millis(800),
    max_watch_wait: Duration::from_millis(2000),
    continued_watch_grace: Duration::from_millis(300),
    new_watch_grace: Duration::from_millis(2000),
    response_timeout: Duration::from_millis(2500),
    connect_timeout: Duration::from_millis(1000),
};

/// Time limits for an agent on the same machine, which responds within milliseconds. Its list must be applied as soon
/// as the agent has it, so a call must not hang for long when the agent fails.
pub const LOCAL_AGENT_TIMEOUTS: CallTimeouts = CallTimeouts {
    min_watch_wait: Duration::from_millis(150),
    max_watch_wait: Duration::from_millis(300),
    continued_watch_grace: Duration::from_millis(150),
    new_watch_grace: Duration::from_millis(150),
    response_timeout: Duration::from_millis(1000),
    connect_timeout: Duration::from_millis(250),
};

/// A request to be sent, with its time limits.
pub struct PollRequest {
    /// Path and query of the request.
    pub path: String,
    /// How long discovery may delay the response until there is a newer version.
    wait: Duration,
    /// How long the response may take beyond the wait.
    grace: Duration,
}

impl PollRequest {
    /// When the request times out if it is sent at `started_at`.
    pub fn response_deadline(&self, started_at: Timestamp) -> Timestamp {
        started_at + self.wait + self.grace
    }

    /// When changes must be applied that the request misses if it is sent at `started_at`.
    pub fn refresh_deadline(&self, started_at: Timestamp) -> Timestamp {
        started_at + REFRESH_WITHIN.max(self.wait + REFRESH_AFTER_WAIT)
    }
}

/// Chooses the requests to one discovery service.
pub struct PollSchedule {
    timeouts: CallTimeouts,
    rng: RefCell<WyRand>,
}

impl PollSchedule {
    /// Creates a schedule whose random waits are generated from `seed`.
    pub fn new(timeouts: CallTimeouts, seed: u64) -> Self {
        PollSchedule { timeouts, rng: RefCell::new(WyRand::new_seed(seed)) }
    }

    /// Time limit for establishing the connection.
    pub fn connect_timeout(&self) -> Duration {
        self.timeouts.connect_timeout
    }

    /// The next request: for the complete list if there is no `version`, otherwise a watch for a newer version.
    /// `is_continuation` is true if the response to the previous request has just been received.
    pub fn next_request(&self, version: Option<u64>, is_continuation: bool) -> PollRequest {
        let Some(version) = version else {
            let (path, grace) = (MEMBERS_PATH.to_owned(), self.timeouts.response_timeout);
            return PollRequest { path, wait: Duration::ZERO, grace };
        };
        let (wait_fraction, grace) = if is_continuation {
            (1.0, self.timeouts.continued_watch_grace)
        } else {
            (NEW_WATCH_WAIT_FRACTION, self.timeouts.new_watch_grace)
        };
        let wait = self.draw_wait(wait_fraction);
        PollRequest { path: format!("{MEMBERS_PATH}?index={version}&wait={}", wait.as_ms()), wait, grace }
    }

    /// Draws a random wait in whole milliseconds.
    fn draw_wait(&self, fraction: f64) -> Duration {
        let (min, max) = (self.timeouts.min_watch_wait.as_ms(), self.timeouts.max_watch_wait.as_ms());
        let random_unit = f64::from(self.rng.borrow_mut().generate::<f32>());
        Duration::from_ms((fraction * (min + (max - min) * random_unit)).floor())
    }
}
