//! Whether a session may be sent again, and where: no effect happens twice.

use crate::host::{AttemptOutcome, Idempotency, KeyScope};
use crate::record::{Attempt, Server, Session};
use crate::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// A process may be held up for so long between its look at the clock and its write.
const HELD_UP: Duration = Duration::from_millis(150);

/// The first attempt that may have run, which binds all that follows.
fn may_have_run(attempts: &[Attempt]) -> Option<(Rc<Server>, Timestamp)> {
    let first = attempts.iter().find(|c| !c.outcome.is_some_and(AttemptOutcome::is_safe_to_retry))?;
    Some((first.server.clone(), first.sent))
}

impl Session {
    /// Guards against an effect happening twice: where the session may be sent now.
    pub(super) fn may_go_to(&self, server: &Server, now: Timestamp) -> bool {
        self.may_follow(&self.attempts.borrow(), server, now)
    }

    /// Whether its last attempt, which has come up, may carry its first line now. Guards against an attempt that takes
    /// so long to come up that repeats are no longer dropped by then.
    pub(super) fn may_send_request(&self, now: Timestamp) -> bool {
        let attempts = self.attempts.borrow();
        attempts.split_last().is_none_or(|(last, earlier)| self.may_follow(earlier, &last.server, now))
    }

    fn may_follow(&self, earlier: &[Attempt], server: &Server, now: Timestamp) -> bool {
        let Some((first, sent)) = may_have_run(earlier) else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { window, .. } if now.since(sent) + HELD_UP >= window => false,
            Idempotency::Keyed { scope: KeyScope::All, .. } => true,
            Idempotency::Keyed { scope: KeyScope::Zone, .. } => first.kin[0] == server.kin[0],
            Idempotency::Keyed { scope: KeyScope::Cell, .. } => first.cell == server.cell,
        }
    }

    /// Whether a pushback's promise, that another try is harmless, would be true.
    pub(super) fn may_reject(&self) -> bool {
        matches!(self.idempotency, Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. })
            || may_have_run(&self.attempts.borrow()).is_none()
    }
}
