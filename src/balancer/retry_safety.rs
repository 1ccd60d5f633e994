//! Whether a session may be sent again, and where, such that its effect happens at most once.

use crate::host::{AttemptOutcome, Idempotency, KeyScope};
use crate::state::{Attempt, Server, Session};
use crate::time::Timestamp;
use std::time::Duration;

/// How long the process may be suspended between reading the clock and writing the request.
const MAX_SUSPENSION: Duration = Duration::from_millis(150);

/// The first attempt that may have run, which binds all that follow.
fn first_possibly_run(attempts: &[Attempt]) -> Option<&Attempt> {
    attempts.iter().find(|attempt| !attempt.outcome.is_some_and(AttemptOutcome::is_safe_to_retry))
}

impl Session {
    /// Whether the session may be sent to this server now without a risk of running twice.
    pub(super) fn may_go_to(&self, server: &Server, now: Timestamp) -> bool {
        self.may_follow(&self.attempts.borrow(), server, now)
    }

    /// Whether its last attempt, whose connection is now open, may still carry the request. The window in which
    /// servers drop repeats may have ended while the connection was being opened.
    pub(super) fn may_send_request(&self, now: Timestamp) -> bool {
        let attempts = self.attempts.borrow();
        attempts.split_last().is_none_or(|(last, earlier)| self.may_follow(earlier, &last.server, now))
    }

    /// Whether the client can be promised that a retry is harmless.
    pub(super) fn may_reject(&self) -> bool {
        matches!(self.idempotency, Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. })
            || first_possibly_run(&self.attempts.borrow()).is_none()
    }

    fn may_follow(&self, earlier: &[Attempt], server: &Server, now: Timestamp) -> bool {
        let Some(first) = first_possibly_run(earlier) else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { window, .. } if now.since(first.sent_at) + MAX_SUSPENSION >= window => false,
            Idempotency::Keyed { scope: KeyScope::All, .. } => true,
            Idempotency::Keyed { scope: KeyScope::Zone, .. } => first.server.zone == server.zone,
            Idempotency::Keyed { scope: KeyScope::Cell, .. } => first.server.cell == server.cell,
        }
    }
}
