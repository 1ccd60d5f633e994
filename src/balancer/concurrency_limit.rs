//! Limits how many attempts are pending at once: additive increase, multiplicative decrease.

use super::filter::{Filter, Flow, Selection};
use crate::host::{AttemptOutcome, Host};
use crate::state::{ArrivalHistory, Attempt, ProxyState, Session};
use crate::time::{DurationExt, Timestamp};
use std::cell::Cell;
use std::rc::Rc;

/// The widest window of all proxies together, in attempts.
const MAX_FLEET_WINDOW: f64 = 48.0;
/// The narrowest window of all proxies together, in attempts.
const MIN_FLEET_WINDOW: f64 = 3.0;
/// The widest window of a proxy is no less than this, as clients may arrive in pairs.
const MIN_WIDEST_WINDOW: f64 = 2.0;
/// What remains of the window after a sign of congestion.
const DECREASE_FACTOR: f64 = 0.5;

/// A window as it was when last changed.
#[derive(Clone, Copy, Debug)]
struct WindowSize {
    /// How many attempts may be pending; below one, the probability that one may.
    attempts: f64,
    updated_at: Timestamp,
}

/// How many attempts this proxy may have pending. Its bounds are this proxy's share of the fleet's, so that it narrows
/// too where many proxies have one attempt pending each.
pub(crate) struct ConcurrencyWindow {
    size: Cell<WindowSize>,
    widest: f64,
    narrowest: f64,
}

impl ConcurrencyWindow {
    /// The window of one of so many proxies.
    pub(crate) fn new(proxies: f64) -> Self {
        let widest = (MAX_FLEET_WINDOW / proxies).max(MIN_WIDEST_WINDOW);
        let narrowest = (MIN_FLEET_WINDOW / proxies).min(1.0);
        let size = Cell::new(WindowSize { attempts: widest, updated_at: Timestamp::default() });
        ConcurrencyWindow { size, widest, narrowest }
    }

    /// The window now. One below a single attempt doubles by itself up to one: a proxy with few clients would learn
    /// too late that the congestion is over.
    pub(super) fn current(&self, now: Timestamp) -> f64 {
        let WindowSize { attempts, updated_at } = self.size.get();
        let doublings = now.since(updated_at).ratio_to(ArrivalHistory::RECENT_WINDOW);
        (attempts * 2_f64.powf(doublings)).min(attempts.max(1.0))
    }

    /// Widens by one for each window of attempts, or doubles while below one.
    fn increase(&self, now: Timestamp) {
        let window = self.current(now);
        self.set((window + window.min(1.0 / window)).min(self.widest), now);
    }

    fn decrease(&self, now: Timestamp) {
        self.set((self.current(now) * DECREASE_FACTOR).max(self.narrowest), now);
    }

    fn set(&self, attempts: f64, now: Timestamp) {
        self.size.set(WindowSize { attempts, updated_at: now });
    }
}

impl ProxyState {
    /// Whether one more attempt may be pending, by the window and this proxy's quota.
    pub(super) fn may_start_attempt(&self, now: Timestamp) -> bool {
        let pending = f64::from(self.servers.pending_attempts());
        pending + self.random_unit() < self.concurrency.current(now) * self.quota_fraction.get()
    }
}

/// Second filter: finishes a session that would exceed the window, its attempts or its deadline.
pub(super) struct ConcurrencyLimit {
    pub(super) state: Rc<ProxyState>,
}

impl Filter for ConcurrencyLimit {
    fn on_request(&self, session: &Rc<Session>, _: &mut Selection, now: Timestamp, _: &mut dyn Host) -> Flow {
        let is_over = session.attempts.borrow().len() >= self.state.max_attempts || now >= session.deadline;
        let is_exempt = session.mid_flow || session.health_checked.get();
        if !is_over && (is_exempt || self.state.may_start_attempt(now)) {
            Flow::Continue
        } else {
            Flow::Finish
        }
    }

    /// Narrows the window when an attempt fails or establishes late, as what all servers share may be congested.
    fn on_outcome(&self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        if session.established.get() || session.mid_flow {
            return;
        }
        let latency = now.since(attempt.sent_at);
        let is_in_time = session.connect_latency_objective.is_none_or(|objective| latency <= objective);
        match attempt.outcome {
            None if is_in_time => self.state.concurrency.increase(now),
            None | Some(AttemptOutcome::TimedOut | AttemptOutcome::Failed) => {
                self.state.concurrency.decrease(now)
            }
            _ => {}
        }
    }
}
