//! The filter chain: each filter takes part in the placement of a session and is notified of the outcome of each
//! attempt.

use crate::host::Host;
use crate::state::{Attempt, Server, Session};
use crate::time::Timestamp;
use std::rc::Rc;

/// How the chain continues after a filter.
pub(super) enum FilterStatus {
    /// The next filter handles the session.
    Continue,
    /// The chain stops, and the session waits for an event: the outcome of its attempt or the answer to a health
    /// check.
    Wait,
    /// The session cannot be sent to any server and gets its final answer immediately.
    Finish,
}

/// The server selected so far for the next attempt of a session.
pub(super) struct Selection {
    pub(super) server: Option<Rc<Server>>,
}

/// One stage in the placement of sessions.
pub(super) trait Filter {
    /// Handles a session that is to be sent to a server, for the first time or again.
    fn on_request(
        &self,
        session: &Rc<Session>,
        selection: &mut Selection,
        now: Timestamp,
        host: &mut dyn Host,
    ) -> FilterStatus;

    /// Whether the session's last attempt, whose connection has just been opened, may still carry the request.
    fn may_send_request(&self, _session: &Session, _now: Timestamp) -> bool {
        true
    }

    /// Handles the outcome of the session's last attempt. The attempt's outcome is `None` when its connection has
    /// just been established.
    fn on_outcome(&self, _session: &Rc<Session>, _attempt: &Attempt, _now: Timestamp) {}
}
