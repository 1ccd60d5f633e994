//! Limits how many attempts are pending at once, by additive increase and multiplicative decrease (AIMD).

use super::filter::{Filter, FilterStatus, Selection};
use crate::host::{AttemptOutcome, Host};
use crate::state::{ArrivalHistory, Attempt, ProxyState, Session};
use crate::time::{DurationExt, Timestamp};
use std::cell::Cell;
use std::rc::Rc;

/// The largest window of all proxies together, in attempts.
const MAX_TOTAL_WINDOW: f64 = 48.0;
/// The smallest window of all proxies together, in attempts.
const MIN_TOTAL_WINDOW: f64 = 3.0;
/// Lower bound on the largest window of one proxy, because clients may arrive in pairs.
const MIN_WINDOW_LIMIT: f64 = 2.0;
/// The factor by which the window shrinks on a sign of congestion.
const DECREASE_FACTOR: f64 = 0.5;

/// The size of the window at its last change.
#[derive(Clone, Copy, Debug)]
struct WindowSize {
    /// How many attempts may be pending. A value below one is the probability that a single attempt may be pending.
    attempts: f64,
    updated_at: Timestamp,
}

/// The number of attempts that this proxy may have pending. Its bounds are this proxy's share of bounds for all
/// proxies together, so that the window also shrinks where each of many proxies has one attempt pending.
pub(crate) struct ConcurrencyWindow {
    size: Cell<WindowSize>,
    max_size: f64,
    min_size: f64,
}

impl ConcurrencyWindow {
    /// Creates the window of one proxy out of `proxy_count`.
    pub(crate) fn new(proxy_count: f64) -> Self {
        let max_size = (MAX_TOTAL_WINDOW / proxy_count).max(MIN_WINDOW_LIMIT);
        let min_size = (MIN_TOTAL_WINDOW / proxy_count).min(1.0);
        let size = Cell::new(WindowSize { attempts: max_size, updated_at: Timestamp::default() });
        ConcurrencyWindow { size, max_size, min_size }
    }

    /// Returns the current size of the window. A size below one doubles over time up to one, because a proxy with few
    /// clients would learn too late from its own attempts that the congestion is over.
    pub(super) fn current(&self, now: Timestamp) -> f64 {
        let WindowSize { attempts, updated_at } = self.size.get();
        let doublings = now.since(updated_at).ratio_to(ArrivalHistory::RECENT_WINDOW);
        (attempts * 2_f64.powf(doublings)).min(attempts.max(1.0))
    }

    /// Increases the window by one per window of successful attempts, or doubles it while it is below one.
    fn increase(&self, now: Timestamp) {
        let window = self.current(now);
        self.set((window + window.min(1.0 / window)).min(self.max_size), now);
    }

    fn decrease(&self, now: Timestamp) {
        self.set((self.current(now) * DECREASE_FACTOR).max(self.min_size), now);
    }

    fn set(&self, attempts: f64, now: Timestamp) {
        self.size.set(WindowSize { attempts, updated_at: now });
    }
}

impl ProxyState {
    /// Whether one more attempt may be pending, given the window and this proxy's quota.
    pub(super) fn may_start_attempt(&self, now: Timestamp) -> bool {
        let pending = f64::from(self.servers.pending_attempts());
        pending + self.random_unit() < self.concurrency.current(now) * self.quota_fraction.get()
    }
}

/// Second filter: finishes a session that has exceeded its deadline or its number of attempts, or that would exceed
/// the concurrency window.
pub(super) struct ConcurrencyLimit {
    pub(super) state: Rc<ProxyState>,
}

impl Filter for ConcurrencyLimit {
    fn on_request(
        &self,
        session: &Rc<Session>,
        _: &mut Selection,
        now: Timestamp,
        _: &mut dyn Host,
    ) -> FilterStatus {
        let is_exhausted =
            session.attempts.borrow().len() >= self.state.max_attempts || now >= session.deadline;
        let is_exempt = session.mid_flow || session.health_checked.get();
        if !is_exhausted && (is_exempt || self.state.may_start_attempt(now)) {
            FilterStatus::Continue
        } else {
            FilterStatus::Finish
        }
    }

    /// Decreases the window when an attempt fails or is established late, because a resource that all servers share
    /// may be congested.
    fn on_outcome(&self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        if session.established.get() || session.mid_flow {
            return;
        }
        let latency = now.since(attempt.sent_at);
        let is_within_objective =
            session.connect_latency_objective.is_none_or(|objective| latency <= objective);
        match attempt.outcome {
            None if is_within_objective => self.state.concurrency.increase(now),
            None | Some(AttemptOutcome::TimedOut | AttemptOutcome::Failed) => {
                self.state.concurrency.decrease(now)
            }
            _ => {}
        }
    }
}
