//! Sends attempts, sets their timeouts and measures how long they take.

use super::filter::{Filter, FilterStatus, Selection};
use crate::host::{AttemptOutcome, Host, Idempotency};
use crate::state::{Attempt, ProxyState, Session};
use crate::time::{DurationExt, Timestamp};
use std::rc::Rc;
use std::time::Duration;

/// Fourth and last filter: sends the attempt to the selected server.
pub(super) struct AttemptDispatch {
    pub(super) state: Rc<ProxyState>,
}

impl AttemptDispatch {
    /// Returns the timeout of the session's next attempt: the failure detector's suspicion timeout, but at least 1/4
    /// and at most 1/2 of the time until the deadline. The full time is given where a retry would not help.
    fn timeout(&self, session: &Session, now: Timestamp) -> Duration {
        let time_left = session.deadline.since(now);
        let half = time_left.scaled(0.5);
        if self.has_no_alternative(session, now) {
            return time_left;
        }
        match self.state.establish_latencies.suspicion_timeout() {
            None => half,
            // Long silences are usual at all servers, so another server would not respond sooner.
            Some(suspicion) if suspicion > half => time_left,
            Some(suspicion) => half.scaled(0.5).max(suspicion),
        }
    }

    /// Whether nothing would be gained by giving up the next attempt: no retry may follow it, or all servers are
    /// congested.
    fn has_no_alternative(&self, session: &Session, now: Timestamp) -> bool {
        let is_last = session.attempts.borrow().len() + 1 >= self.state.max_attempts;
        is_last
            || session.idempotency == Idempotency::NonIdempotent
            || self.state.concurrency.current(now) < 1.0
    }
}

impl Filter for AttemptDispatch {
    fn on_request(
        &self,
        session: &Rc<Session>,
        selection: &mut Selection,
        now: Timestamp,
        host: &mut dyn Host,
    ) -> FilterStatus {
        let Some(server) = selection.server.take() else { return FilterStatus::Finish };
        host.connect(session.id, &server.id, self.timeout(session, now));
        server.record_attempt(now);
        server.silent_since.set(server.silent_since.get().or(Some(now)));
        session.attempts.borrow_mut().push(Attempt::new(server, now));
        session.health_checked.set(false);
        FilterStatus::Wait
    }

    fn on_outcome(&self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        let server = &attempt.server;
        if session.established.get() {
            server.sessions.borrow_mut().remove(&session.id);
            return;
        }
        let pending = server.pending_attempts.get().saturating_sub(1);
        server.pending_attempts.set(pending);
        if attempt.outcome != Some(AttemptOutcome::TimedOut) || pending == 0 {
            server.silent_since.set((pending > 0).then_some(now));
        }
        if attempt.outcome.is_none() {
            server.sessions.borrow_mut().insert(session.id, Rc::downgrade(session));
            // The latency of a connection that was restored at startup is unknown.
            if now > attempt.sent_at {
                self.state.establish_latencies.record(now.since(attempt.sent_at));
            }
        }
    }
}
