//! The recovery ramp: determines the order in which requests are admitted while servers warm up.
//!
//! The load balancer still selects servers, decides on retries and rejects requests. The ramp passes it an admission
//! turn for each request: the fraction of recent arrivals that take precedence over it, and a `retry_after` in case it
//! is rejected. A server that is warming up admits the requests whose fraction is within its current capacity.

use crate::recent_arrivals::{RecentArrivals, ARRIVAL_WINDOW};
use crate::settings::RecoverySettings;
use shelfgrade::host::AdmissionTurn;
use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

/// The stages of a recovery, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryState {
    /// The members have not agreed on the endpoint list yet; no requests are admitted.
    AwaitingList,
    /// Some servers are warming up; requests are admitted as capacity becomes available.
    RampingUp,
    /// Normal operation.
    Serving,
}

impl RecoveryState {
    /// The description of the state for log messages.
    pub fn name(self) -> &'static str {
        match self {
            RecoveryState::AwaitingList => "waiting for the endpoint list",
            RecoveryState::RampingUp => "admitting clients as servers warm up",
            RecoveryState::Serving => "serving",
        }
    }
}

/// The properties of a request's sender that affect admission.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Requester {
    /// The index of its request class in the settings.
    pub class: Option<usize>,
    /// The index of its customer in the settings.
    pub customer: Option<usize>,
}

/// The precedence of a request class; lower ranks are admitted first. Ordered by tightest latency objective, then by
/// highest priority weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    latency_objective_us: u64,
    negative_weight_thousandths: i64,
}

/// A customer that received less than this fraction of its share of the recent admissions takes precedence over all
/// others, so that a customer whose request classes all rank last is not starved.
const GUARANTEED_FRACTION: f64 = 0.5;
/// The turn of a request that must not be admitted yet; any value above 1 has this effect.
const NOT_ADMITTED: f64 = 2.0;
/// Minimum observation time that arrivals are extrapolated from.
const MIN_OBSERVED: Duration = Duration::from_millis(50);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Keeps `retry_after` below the maximum that clients comply with.
const RETRY_AFTER_MARGIN: f64 = 0.95;

/// The state machine of a recovery.
pub(crate) struct RecoveryRamp {
    settings: RecoverySettings,
    state: RecoveryState,
    list_wait_ends: Timestamp,
    /// When the last server has finished warming up.
    warm_at: Option<Timestamp>,
    /// When the first request arrived while requests could be admitted.
    first_arrival: Option<Timestamp>,
    arrivals: RecentArrivals,
}

impl RecoveryRamp {
    pub(crate) fn new(settings: RecoverySettings, now: Timestamp) -> Self {
        RecoveryRamp {
            state: RecoveryState::AwaitingList,
            list_wait_ends: now + settings.list_wait,
            settings,
            warm_at: None,
            first_arrival: None,
            arrivals: RecentArrivals::default(),
        }
    }

    pub(crate) fn state(&self) -> RecoveryState {
        self.state
    }

    /// Called when the endpoint list is agreed, or the wait for it has timed out. `starts` are the start times of its
    /// servers.
    pub(crate) fn on_endpoint_list(
        &mut self,
        starts: impl Iterator<Item = Option<Timestamp>>,
        now: Timestamp,
    ) {
        let warm_times = starts.flatten().map(|start| start + self.settings.slow_start);
        self.warm_at = warm_times.filter(|warm_at| *warm_at > now).max();
        self.state = if self.warm_at.is_some() { RecoveryState::RampingUp } else { RecoveryState::Serving };
    }

    /// Whether the wait for the endpoint list has timed out.
    pub(crate) fn is_list_overdue(&self, now: Timestamp) -> bool {
        self.state == RecoveryState::AwaitingList && now >= self.list_wait_ends
    }

    /// Ends the ramp once all servers are warm. Returns whether this call has ended it.
    pub(crate) fn on_timer(&mut self, now: Timestamp) -> bool {
        let is_over = self.state == RecoveryState::RampingUp && self.warm_at.is_none_or(|warm| now >= warm);
        if is_over {
            self.state = RecoveryState::Serving;
            self.arrivals.clear();
        }
        is_over
    }

    /// Returns the admission turn of an arriving request; `None` in normal operation. `key` is a hash of the client's
    /// key and orders requests of equal rank; `random_unit` is a random number from 0 to 1.
    pub(crate) fn admission_turn(
        &mut self,
        requester: Requester,
        key: u64,
        random_unit: f64,
        now: Timestamp,
    ) -> Option<AdmissionTurn> {
        self.arrivals.expire(now);
        let fraction_ahead = match self.state {
            RecoveryState::Serving => return None,
            RecoveryState::AwaitingList => NOT_ADMITTED,
            RecoveryState::RampingUp => self.turn_among_expected(requester, key, now),
        };
        self.arrivals.push(requester, now);
        Some(AdmissionTurn { fraction_ahead, retry_after: self.retry_after(random_unit, now) })
    }

    /// Records that the request of the last call to [`RecoveryRamp::admission_turn`] was admitted.
    pub(crate) fn record_admission(&mut self) {
        self.arrivals.mark_last_admitted();
    }

    /// The turn among the arrivals of a full window. Until a full window has been observed, the turn is extrapolated to
    /// one; otherwise the first arrivals would take up all capacity.
    fn turn_among_expected(&mut self, requester: Requester, key: u64, now: Timestamp) -> f64 {
        let observed = now.since(*self.first_arrival.get_or_insert(now)).max(MIN_OBSERVED);
        let is_full_window = observed >= ARRIVAL_WINDOW;
        self.turn_among_recent(requester, is_full_window, key) * ARRIVAL_WINDOW.ratio_to(observed).max(1.0)
    }

    /// The fraction of recent arrivals that take precedence over a request of this requester and key, from 0 to 1.
    fn turn_among_recent(&self, requester: Requester, is_full_window: bool, key: u64) -> f64 {
        if is_full_window && self.is_below_guarantee(requester.customer) {
            return 0.0;
        }
        let rank = self.rank(requester.class);
        let ranks = || self.arrivals.requesters().map(|other| self.rank(other.class));
        let preceding = ranks().filter(|other| *other < rank).count() as f64;
        let equal = ranks().filter(|other| *other == rank).count() as f64 + 1.0;
        // Derived from the key, so that frequent retries do not improve a client's position.
        let position = unit_interval(key);
        (preceding + equal * position) / (self.arrivals.len() as f64 + 1.0)
    }

    /// The rank of a request class. Unknown classes rank last.
    fn rank(&self, class: Option<usize>) -> Rank {
        let priority = class.and_then(|class| self.settings.classes.get(class));
        let objective = priority.and_then(|priority| priority.connect_latency_objective);
        Rank {
            latency_objective_us: objective.map_or(u64::MAX, |time| (time.as_ms() * 1000.0) as u64),
            negative_weight_thousandths: priority
                .map_or(0, |priority| -(priority.priority_weight * 1000.0) as i64),
        }
    }

    fn is_below_guarantee(&self, customer: Option<usize>) -> bool {
        let Some(customer) = customer else { return false };
        let Some(share) = self.settings.customer_shares.get(customer) else { return false };
        let admitted = self.arrivals.admitted(customer);
        // Before the first admission no customer is below its guarantee.
        admitted.of_all > 0.0 && admitted.of_customer < GUARANTEED_FRACTION * share * admitted.of_all
    }

    /// A random time within the remaining warm-up time, so that retries are spread over it.
    fn retry_after(&self, random_unit: f64, now: Timestamp) -> Duration {
        let remaining = match self.state {
            RecoveryState::AwaitingList => self.list_wait_ends.since(now) + self.settings.slow_start,
            _ => self.warm_at.map_or(Duration::ZERO, |warm_at| warm_at.since(now)),
        };
        let longest = self.settings.max_retry_after.scaled(RETRY_AFTER_MARGIN);
        MIN_RETRY_AFTER + remaining.min(longest).scaled(random_unit)
    }
}

/// Maps the high 53 bits of a hash to a number in the range from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
#[path = "../tests/unit/admission.rs"]
mod tests;
