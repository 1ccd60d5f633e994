//! The schedule of a graceful shutdown.

use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

/// The process is killed this long plus the longest request timeout of any client after the signal.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Upper bound of the request timeout used for the schedule, and the default if the settings specify none.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time before the kill at which new sessions are no longer accepted and all sessions have been migrated. It leaves
/// clients time to read the final lines, and time for one more tick.
const STOP_ACCEPTING_BEFORE_KILL: Duration = Duration::from_millis(500);
/// Time before the kill at which connections without a first line are answered. One more tick follows for responses
/// that are still being written.
const FINAL_RESPONSES_BEFORE_KILL: Duration = Duration::from_millis(350);
/// Time before the kill at which the process exits.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(200);
/// Fraction of [`ShutdownSchedule::accept_for`] after which established sessions are migrated. The remaining time is
/// enough to migrate them gradually.
const MIGRATE_SESSIONS_FRACTION: f64 = 0.6;

/// The times of the steps of a graceful shutdown, counted from the signal. They depend on the request timeouts in the
/// settings, because the process must not be killed before it has answered or migrated all clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Established sessions are kept for this long and then migrated. When proxies are restarted one after the other,
    /// the previous one may take two seconds until it accepts connections again.
    pub migrate_sessions_after: Duration,
    /// New sessions are accepted for this long; sessions without an established server connection are then failed.
    pub accept_for: Duration,
    /// After this time, connections that have not sent a first line are rejected.
    pub final_responses_after: Duration,
    /// The process exits after this time, even if sessions are left.
    pub exit_after: Duration,
}

impl ShutdownSchedule {
    /// The schedule for the longest request timeout of any client, if the settings specify one.
    pub fn new(longest_request_timeout: Option<Duration>) -> Self {
        let request_timeout = longest_request_timeout.unwrap_or(MAX_REQUEST_TIMEOUT).min(MAX_REQUEST_TIMEOUT);
        let killed_at = Timestamp::default() + (request_timeout + KILL_GRACE);
        let before_kill = |duration: Duration| (killed_at - duration).since(Timestamp::default());
        ShutdownSchedule {
            migrate_sessions_after: before_kill(STOP_ACCEPTING_BEFORE_KILL).scaled(MIGRATE_SESSIONS_FRACTION),
            accept_for: before_kill(STOP_ACCEPTING_BEFORE_KILL),
            final_responses_after: before_kill(FINAL_RESPONSES_BEFORE_KILL),
            exit_after: before_kill(EXIT_BEFORE_KILL),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shutdown_schedule.rs"]
mod tests;
