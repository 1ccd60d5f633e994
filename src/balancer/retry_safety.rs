//! Whether, and to which servers, a session may be sent again such that its request takes effect at most once.

use crate::host::{AttemptOutcome, Idempotency, KeyScope};
use crate::state::{Attempt, Server, Session};
use crate::time::Timestamp;
use std::time::Duration;

/// The longest time for which the process is assumed to be suspended between reading the clock and writing the
/// request.
const MAX_SUSPENSION: Duration = Duration::from_millis(150);

/// Returns the first attempt whose request may have been executed; it restricts all later attempts.
fn first_possibly_executed(attempts: &[Attempt]) -> Option<&Attempt> {
    attempts.iter().find(|attempt| !attempt.outcome.is_some_and(AttemptOutcome::is_safe_to_retry))
}

impl Session {
    /// Whether the session may be sent to this server now without the risk that its request is executed twice.
    pub(super) fn may_be_sent_to(&self, server: &Server, now: Timestamp) -> bool {
        self.is_safe_after(&self.attempts.borrow(), server, now)
    }

    /// Whether the last attempt, whose connection is now open, may still carry the request. The window in which
    /// servers drop repeated requests may have ended while the connection was being opened.
    pub(super) fn may_send_request(&self, now: Timestamp) -> bool {
        let attempts = self.attempts.borrow();
        attempts.split_last().is_none_or(|(last, earlier)| self.is_safe_after(earlier, &last.server, now))
    }

    /// Whether a retry by the client would be safe at any server, so that the session may be rejected instead of
    /// failed.
    pub(super) fn may_reject(&self) -> bool {
        matches!(self.idempotency, Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. })
            || first_possibly_executed(&self.attempts.borrow()).is_none()
    }

    fn is_safe_after(&self, earlier: &[Attempt], server: &Server, now: Timestamp) -> bool {
        let Some(first) = first_possibly_executed(earlier) else { return true };
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
