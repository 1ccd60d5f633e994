//! Sends attempts, decides how long each may take, and measures how they go.

use super::filter::{Filter, Flow, Selection};
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
    /// The timeout of a session's next attempt: by the failure detector, from a quarter to a half of the time left.
    fn timeout(&self, session: &Session, now: Timestamp) -> Duration {
        let left = session.deadline.since(now);
        let half = left.scaled(0.5);
        if self.has_no_alternative(session, now) {
            return left;
        }
        match self.state.establish_latencies.suspicion_timeout() {
            None => half,
            // Long silences are usual everywhere: another server would do no better.
            Some(suspicion) if suspicion > half => left,
            Some(suspicion) => half.scaled(0.5).max(suspicion),
        }
    }

    /// Whether giving up the next attempt would gain nothing: no other may follow, or all servers are congested.
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
    ) -> Flow {
        let Some(server) = selection.server.take() else { return Flow::Finish };
        host.connect(session.id, &server.id, self.timeout(session, now));
        server.record_attempt(now);
        server.silent_since.set(server.silent_since.get().or(Some(now)));
        session.attempts.borrow_mut().push(Attempt { server, sent_at: now, outcome: None });
        session.health_checked.set(false);
        Flow::Hold
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
            // A connection restored at the start says nothing of the time it took.
            if now > attempt.sent_at {
                self.state.establish_latencies.record(now.since(attempt.sent_at));
            }
        }
    }
}
