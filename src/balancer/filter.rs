//! The filter chain: each filter takes part in placing a session and hears of each attempt's outcome.

use crate::host::Host;
use crate::state::{Attempt, Server, Session};
use crate::time::Timestamp;
use std::rc::Rc;

/// How the chain goes on after a filter.
pub(super) enum Flow {
    /// The next filter takes over.
    Continue,
    /// The session waits for an event: the outcome of its attempt, or the answer to a health check.
    Hold,
    /// The session cannot be sent and gets its final answer at once.
    Finish,
}

/// The server selected so far for a session's next attempt.
pub(super) struct Selection {
    pub(super) server: Option<Rc<Server>>,
}

/// One concern in the placement of sessions.
pub(super) trait Filter {
    /// Handles a session that is to be sent, for the first time or again.
    fn on_request(
        &self,
        session: &Rc<Session>,
        selection: &mut Selection,
        now: Timestamp,
        host: &mut dyn Host,
    ) -> Flow;

    /// Handles the outcome of the session's last attempt; none when its connection is established.
    fn on_outcome(&self, _session: &Rc<Session>, _attempt: &Attempt, _now: Timestamp) {}
}
