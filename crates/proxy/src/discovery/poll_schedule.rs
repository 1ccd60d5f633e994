//! Which call comes next, and how long it may take.

use nanorand::{Rng, WyRand};
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::RefCell;
use std::time::Duration;

/// Discovery's path of the endpoint list.
const MEMBERS_PATH: &str = "/catalog/members";

/// A change has to be applied this long after it was made, however the call that missed it ended.
const REFRESH_WITHIN: Duration = Duration::from_millis(6000);
/// Or this long after the wait of the watch that missed it, whichever is later.
const REFRESH_AFTER_WAIT: Duration = Duration::from_millis(2000);
/// The fraction of a drawn wait that a new watch asks for, as discovery may hold it back before the wait begins.
const NEW_WATCH_WAIT_FRACTION: f64 = 0.4;

/// Time limits of calls to one kind of discovery.
pub struct CallTimeouts {
    /// Bounds of the wait that a watch asks for, drawn for each watch: watches that all end with one change must not all
    /// be repeated in the same instant.
    pub min_watch_wait: Duration,
    /// The upper bound.
    pub max_watch_wait: Duration,
    /// How long past its wait a response may take, for a watch that continues from a response.
    pub continued_watch_grace: Duration,
    /// The same for a new watch, before which discovery may have others to serve.
    pub new_watch_grace: Duration,
    /// A call without a wait.
    pub response_timeout: Duration,
    /// Until the connection is established.
    pub connect_timeout: Duration,
}

/// Discovery shared by all proxies. A silent watch is detected within 2.8 s, and a refused connection or silent call is
/// retried within the four seconds that a proxy has to apply the list of a new discovery.
pub const SHARED_DISCOVERY: CallTimeouts = CallTimeouts {
    min_watch_wait: Duration::from_millis(800),
    max_watch_wait: Duration::from_millis(2000),
    continued_watch_grace: Duration::from_millis(300),
    new_watch_grace: Duration::from_millis(2000),
    response_timeout: Duration::from_millis(2500),
    connect_timeout: Duration::from_millis(1000),
};

/// An agent on the same machine, which responds within milliseconds. Its list has to be applied as soon as the agent has
/// it, so an outage must not leave a call hanging.
pub const LOCAL_AGENT: CallTimeouts = CallTimeouts {
    min_watch_wait: Duration::from_millis(150),
    max_watch_wait: Duration::from_millis(300),
    continued_watch_grace: Duration::from_millis(150),
    new_watch_grace: Duration::from_millis(150),
    response_timeout: Duration::from_millis(1000),
    connect_timeout: Duration::from_millis(250),
};

/// A planned call.
pub struct PollRequest {
    /// Path and query of the request.
    pub path: String,
    /// How long discovery may hold the call back until there is a newer version.
    wait: Duration,
    /// How long the response may take beyond that.
    grace: Duration,
}

impl PollRequest {
    /// When a call that begins at `started_at` has timed out.
    pub fn response_deadline(&self, started_at: Timestamp) -> Timestamp {
        started_at + self.wait + self.grace
    }

    /// When changes that such a call missed have to be applied.
    pub fn refresh_deadline(&self, started_at: Timestamp) -> Timestamp {
        started_at + REFRESH_WITHIN.max(self.wait + REFRESH_AFTER_WAIT)
    }
}

/// Plans the calls to one discovery.
pub struct PollSchedule {
    timeouts: CallTimeouts,
    rng: RefCell<WyRand>,
}

impl PollSchedule {
    /// The plan of a client that has not called yet; waits are drawn from `seed`.
    pub fn new(timeouts: CallTimeouts, seed: u64) -> Self {
        PollSchedule { timeouts, rng: RefCell::new(WyRand::new_seed(seed)) }
    }

    /// How long establishing a connection may take.
    pub fn connect_timeout(&self) -> Duration {
        self.timeouts.connect_timeout
    }

    /// The next call: for the complete list where no `version` is held, else a watch for a newer one. `is_continuation`
    /// says that the call before has just been answered.
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

    /// A random wait in whole milliseconds.
    fn draw_wait(&self, fraction: f64) -> Duration {
        let (min, max) = (self.timeouts.min_watch_wait.as_ms(), self.timeouts.max_watch_wait.as_ms());
        let random_unit = f64::from(self.rng.borrow_mut().generate::<f32>());
        Duration::from_ms((fraction * (min + (max - min) * random_unit)).floor())
    }
}
