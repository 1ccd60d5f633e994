//! The schedule of a graceful shutdown.

use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

/// The process is killed this long after the signal, plus the longest request timeout of any client.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The most of a request timeout that counts for this, and what counts where the settings give none.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long before the kill the last sessions have been migrated: enough for final lines to be read, and for one more
/// tick.
const STOP_ACCEPTING_BEFORE_KILL: Duration = Duration::from_millis(500);
/// How long before the kill those that sent nothing are answered: one more tick follows, for answers still being written.
const FINAL_ANSWERS_BEFORE_KILL: Duration = Duration::from_millis(350);
/// How long before the kill the process exits.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(200);
/// The fraction of the time for accepting after which sessions are migrated: the rest is enough to migrate them one after
/// the other.
const KEEP_SESSIONS_FRACTION: f64 = 0.6;

/// When each step of a graceful shutdown comes, from the signal on. It follows from the settings: a process must not be
/// killed while clients, whose request timeouts may be short, are owed answers and moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Established sessions go on for this long and are migrated after it: where proxies are restarted in turn, the one
    /// before may take two seconds to be back.
    pub keep_sessions_for: Duration,
    /// New sessions are accepted for this long; those without a server by then are failed.
    pub accept_for: Duration,
    /// After this, connections that sent no first line are rejected.
    pub final_answers_after: Duration,
    /// The process exits by then, whatever is left.
    pub exit_after: Duration,
}

impl ShutdownSchedule {
    /// The schedule for the longest request timeout of any client, if the settings give one.
    pub fn new(longest_request_timeout: Option<Duration>) -> Self {
        let request_timeout = longest_request_timeout.unwrap_or(MAX_REQUEST_TIMEOUT).min(MAX_REQUEST_TIMEOUT);
        let killed_at = Timestamp::default() + (request_timeout + KILL_GRACE);
        let before_kill = |duration: Duration| (killed_at - duration).since(Timestamp::default());
        ShutdownSchedule {
            keep_sessions_for: before_kill(STOP_ACCEPTING_BEFORE_KILL).scaled(KEEP_SESSIONS_FRACTION),
            accept_for: before_kill(STOP_ACCEPTING_BEFORE_KILL),
            final_answers_after: before_kill(FINAL_ANSWERS_BEFORE_KILL),
            exit_after: before_kill(EXIT_BEFORE_KILL),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shutdown_schedule.rs"]
mod tests;
