//! How long an attempt may take, and what its end says.

use super::{Pick, Stage, Step};
use crate::host::{AttemptOutcome, Host, Idempotency};
use crate::record::{Attempt, Session, Shelf};
use crate::time::{DurationExt, Timestamp};
use std::rc::Rc;

/// Last stage: sends the attempt and measures what comes back.
pub(super) struct Dispatch {
    pub(super) shelf: Rc<Shelf>,
}

impl Stage for Dispatch {
    fn forth(&mut self, session: &Rc<Session>, pick: &mut Pick, now: Timestamp, host: &mut dyn Host) -> Step {
        let Some(server) = pick.take() else { return Step::End };
        let left = session.deadline.since(now);
        let last = session.attempts.borrow().len() + 1 >= self.shelf.max_attempts;
        // Guards against a request timeout spent on one silent server: half of what is left stays for another.
        let half = left.scaled(0.5);
        let by_gaps = |u| if u > half { left } else { half.scaled(0.5).max(u) };
        let all = last || session.idempotency == Idempotency::NonIdempotent || self.shelf.window(now) < 1.0;
        let time_out = if all { left } else { self.shelf.unusual_after().map_or(half, by_gaps) };
        host.connect(session.id, &server.id, time_out);
        server.note_sent(now);
        server.silent_since.set(server.silent_since.get().or(Some(now)));
        session.attempts.borrow_mut().push(Attempt { server, sent: now, outcome: None });
        session.hailed.set(false);
        Step::Keep
    }

    fn back(&mut self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        let server = &attempt.server;
        if session.stands.get() {
            return drop(server.held.borrow_mut().remove(&session.id));
        }
        server.waiting.set(server.waiting.get().saturating_sub(1));
        if attempt.outcome != Some(AttemptOutcome::TimedOut) || server.waiting.get() == 0 {
            server.silent_since.set((server.waiting.get() > 0).then_some(now));
        }
        if attempt.outcome.is_none() {
            server.held.borrow_mut().insert(session.id, Rc::downgrade(session));
            // A connection that was open before this proxy started says nothing of the time it took.
            if now > attempt.sent {
                self.shelf.note_gap(now.since(attempt.sent));
            }
        }
    }
}
