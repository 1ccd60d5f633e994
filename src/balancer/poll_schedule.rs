//! The schedule of endpoint list polls: the first at startup, and further ones after a poll or a watch has failed.
//!
//! The polls of all proxies are spread over a time proportional to the number of proxies, because proxies start and
//! lose their watches together. Every proxy polls once before any proxy polls a second time.

use crate::time::{DurationExt, Timestamp};
use std::time::Duration;

/// The shortest pause before a poll.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// The time over which first polls are spread, per proxy.
const SPREAD_PER_PROXY: Duration = Duration::from_millis(40);
/// The longest time over which first polls are spread. A change must be applied within six seconds: just under four
/// of them are for spreading the polls, and the rest is for a retry.
const MAX_SPREAD: Duration = Duration::from_millis(3800);
/// The longest pause between two polls.
const MAX_PAUSE: Duration = Duration::from_millis(1400);
/// The longest pause, as a fraction of the time that is left.
const MAX_PAUSE_FRACTION: f64 = 0.4;

/// When to poll next.
pub(super) enum NextPoll {
    /// The list is pushed: request it without a pause.
    Immediately,
    /// Poll at this time.
    At(Timestamp),
}

/// The schedule of one proxy's polls.
pub(super) struct PollSchedule {
    /// The longest time that a proxy may go without polling; `None` if an agent pushes the list to it.
    max_interval: Option<Duration>,
    next_poll: Option<Timestamp>,
    /// While polls fail: when every proxy will have polled once.
    all_polled_at: Option<Timestamp>,
    /// When changes that were missed through a lost watch must have been applied.
    changes_due: Timestamp,
}

impl PollSchedule {
    pub(super) fn new(max_interval: Option<Duration>) -> Self {
        PollSchedule { max_interval, next_poll: None, all_polled_at: None, changes_due: Timestamp::NEVER }
    }

    /// Handles the answer to a poll or a watch of this proxy.
    pub(super) fn on_answered(&mut self) {
        self.all_polled_at = None;
        self.changes_due = Timestamp::NEVER;
    }

    /// Handles the loss of the watch, when the list is polled immediately. Missed changes are due at `due`, or
    /// earlier if an earlier loss requires it.
    pub(super) fn on_watch_lost(&mut self, due: Timestamp) {
        self.all_polled_at = None;
        self.changes_due = due.min(self.changes_due);
    }

    /// Returns whether a poll is due, and if so clears it, so that no poll is due until the next one is scheduled.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        self.next_poll.take_if(|at| *at <= now).is_some()
    }

    /// Schedules the poll that follows a failed one, which was started at `poll_started_at`. Calls `random_unit` only
    /// if a random number is needed.
    pub(super) fn on_poll_failed(
        &mut self,
        poll_started_at: Timestamp,
        now: Timestamp,
        proxy_count: f64,
        random_unit: impl FnOnce() -> f64,
    ) -> NextPoll {
        let all_polled_at = self.all_polled_at;
        let max_pause = self.max_pause(now);
        let earliest = now + MIN_PAUSE.min(max_pause);
        let spread = SPREAD_PER_PROXY.scaled(proxy_count).min(max_pause);
        let remaining_spread = (poll_started_at + spread.min(MAX_SPREAD)).since(now);
        self.all_polled_at = all_polled_at.or(Some(earliest + remaining_spread));
        let backoff = spread.max(now.since(all_polled_at.unwrap_or(now)));
        let pause = (MIN_PAUSE + backoff).min(max_pause).min(MAX_PAUSE);
        let at = match all_polled_at {
            None if self.max_interval.is_none() => return NextPoll::Immediately,
            None => earliest + remaining_spread.scaled(random_unit()),
            Some(all_polled_at) if now < all_polled_at => {
                (all_polled_at + pause.scaled(random_unit())).min(now + max_pause)
            }
            Some(_) => earliest.max(poll_started_at + pause),
        };
        self.next_poll = Some(at);
        NextPoll::At(at)
    }

    /// Returns the longest pause that leaves time for another poll before missed changes are due; once they are
    /// overdue, a fixed pause.
    fn max_pause(&self, now: Timestamp) -> Duration {
        let max_interval = self.max_interval.unwrap_or(MIN_PAUSE.scaled(2.5));
        let time_left = self.changes_due.since(now).max(MIN_PAUSE.scaled(4.0));
        time_left.min(max_interval).scaled(MAX_PAUSE_FRACTION)
    }
}
