//! The startup gate: sessions that arrive before the endpoint list are held, so that none is placed by an outdated list
//! while the present one is on its way.

use shelfgrade::time::Timestamp;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// An agent on the same machine responds within milliseconds, so one that has not by then is not running. Polls that are
/// scheduled within this are not waited for either.
const LIST_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long past its scheduled time a poll may take; refused, the proxy serves by the list that it has.
const POLL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Holds sessions of type `S` until it opens.
pub struct StartupGate<S> {
    /// When it opens at the latest; none once it is open.
    opens_by: Option<Timestamp>,
    held: Vec<HeldSession<S>>,
}

struct HeldSession<S> {
    session: Weak<S>,
    arrived_at: Timestamp,
    max_hold: Duration,
}

impl<S> StartupGate<S> {
    /// A gate that holds nobody.
    pub fn opened() -> Self {
        StartupGate { opens_by: None, held: Vec::new() }
    }

    /// For a list that a local agent pushes.
    pub fn until_pushed_list(now: Timestamp) -> Self {
        StartupGate { opens_by: Some(now + LIST_TIMEOUT), held: Vec::new() }
    }

    /// For a list that is polled at `poll_at`, which may be late among many proxies: what changed while this one was down
    /// has to be applied six seconds after the change, so it must not serve by the list from before for long.
    pub fn until_first_poll(now: Timestamp, poll_at: Timestamp) -> Self {
        let is_late = poll_at.since(now) > LIST_TIMEOUT;
        StartupGate { opens_by: is_late.then_some(poll_at + POLL_RESPONSE_TIMEOUT), held: Vec::new() }
    }

    /// For a recovery, which opens the gate within `list_wait`; this bound is for the case that it fails to.
    pub fn until_recovery(now: Timestamp, list_wait: Duration) -> Self {
        StartupGate { opens_by: Some(now + list_wait + LIST_TIMEOUT), held: Vec::new() }
    }

    pub fn is_closed(&self) -> bool {
        self.opens_by.is_some()
    }

    /// Whether the gate is closed and should have opened by `now`.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.opens_by.is_some_and(|opens_by| now >= opens_by)
    }

    /// Holds a session for `max_hold` from its arrival at most.
    pub fn hold(&mut self, session: &Rc<S>, arrived_at: Timestamp, max_hold: Duration) {
        self.held.push(HeldSession { session: Rc::downgrade(session), arrived_at, max_hold });
    }

    /// Opens the gate; returns the sessions held in the order of their arrival, or none if it was open.
    pub fn open(&mut self) -> Option<Vec<Weak<S>>> {
        self.opens_by.take()?;
        Some(std::mem::take(&mut self.held).into_iter().map(|held| held.session).collect())
    }

    /// The sessions that cannot be held any longer, if the gate is closed.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<Weak<S>> {
        if !self.is_closed() {
            return Vec::new();
        }
        let is_expired = |held: &mut HeldSession<S>| {
            held.session.strong_count() == 0 || now.since(held.arrived_at) >= held.max_hold
        };
        self.held.extract_if(.., is_expired).map(|held| held.session).collect()
    }
}
