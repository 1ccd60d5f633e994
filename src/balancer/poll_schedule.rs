//! When the endpoint list is polled: at the start, and again after a poll or a watch has failed.
//!
//! The polls of all proxies are spread over time by the number of proxies, as they start and fail together. Every proxy
//! polls once before any polls a second time.

use crate::time::{DurationExt, Timestamp};
use std::time::Duration;

/// The shortest pause before a poll.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// The time over which first polls are spread, for each proxy.
const SPREAD_PER_PROXY: Duration = Duration::from_millis(40);
/// The longest spread of first polls. A change has to be applied within six seconds: four to spread over, then a retry.
const MAX_SPREAD: Duration = Duration::from_millis(3800);
/// The longest pause between two polls.
const MAX_PAUSE: Duration = Duration::from_millis(1400);
/// A pause takes this part of the time that is left at most.
const MAX_PAUSE_FRACTION: f64 = 0.4;

/// When to poll next.
pub(super) enum NextPoll {
    /// The list is pushed: ask for it without a pause.
    Immediately,
    /// Poll at this time.
    At(Timestamp),
}

/// The schedule of one proxy's polls.
pub(super) struct PollSchedule {
    /// How long a proxy may go without polling; none where an agent pushes the list.
    max_interval: Option<Duration>,
    next_poll: Option<Timestamp>,
    /// While polls fail: when every proxy has polled once.
    all_polled_at: Option<Timestamp>,
    /// By when a change that a lost watch missed has to be applied.
    changes_due: Timestamp,
}

impl PollSchedule {
    pub(super) fn new(max_interval: Option<Duration>) -> Self {
        PollSchedule { max_interval, next_poll: None, all_polled_at: None, changes_due: Timestamp::NEVER }
    }

    /// The list has been received.
    pub(super) fn on_endpoints(&mut self) {
        self.all_polled_at = None;
        self.changes_due = Timestamp::NEVER;
    }

    /// The watch is lost and the list polled now; missed changes are due at `due`, or earlier from a loss before.
    pub(super) fn on_watch_lost(&mut self, due: Timestamp) {
        self.all_polled_at = None;
        self.changes_due = due.min(self.changes_due);
    }

    /// Whether a poll is due; it is not due again until the next one is scheduled.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        self.next_poll.take_if(|at| *at <= now).is_some()
    }

    /// Schedules the poll after one that began at `since` and failed; `random_unit` is called only where it is needed.
    pub(super) fn on_poll_failed(
        &mut self,
        since: Timestamp,
        now: Timestamp,
        proxies: f64,
        random_unit: impl FnOnce() -> f64,
    ) -> NextPoll {
        let all_polled_at = self.all_polled_at;
        let max_pause = self.max_pause(now);
        let earliest = now + MIN_PAUSE.min(max_pause);
        let spread = SPREAD_PER_PROXY.scaled(proxies).min(max_pause);
        let remaining_spread = (since + spread.min(MAX_SPREAD)).since(now);
        self.all_polled_at = all_polled_at.or(Some(earliest + remaining_spread));
        let backoff = spread.max(now.since(all_polled_at.unwrap_or(now)));
        let pause = (MIN_PAUSE + backoff).min(max_pause).min(MAX_PAUSE);
        let at = match all_polled_at {
            None if self.max_interval.is_none() => return NextPoll::Immediately,
            None => earliest + remaining_spread.scaled(random_unit()),
            Some(all) if now < all => (all + pause.scaled(random_unit())).min(now + max_pause),
            Some(_) => earliest.max(since + pause),
        };
        self.next_poll = Some(at);
        NextPoll::At(at)
    }

    /// The longest pause that leaves time for another poll before missed changes are due; past that, a fixed one.
    fn max_pause(&self, now: Timestamp) -> Duration {
        let max_interval = self.max_interval.unwrap_or(MIN_PAUSE.scaled(2.5));
        let left = self.changes_due.since(now).max(MIN_PAUSE.scaled(4.0));
        left.min(max_interval).scaled(MAX_PAUSE_FRACTION)
    }
}
