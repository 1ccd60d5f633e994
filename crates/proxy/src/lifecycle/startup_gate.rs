//! The startup gate: holds sessions that arrive before the first endpoint list, so that they are not placed by an
//! outdated list while the current one is about to arrive.

use shelfgrade::time::Timestamp;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// How long the gate waits for a local agent. An agent on the same machine responds within milliseconds, so one that
/// has not responded by then is not running. If the first poll is scheduled within this time, the gate does not wait
/// for it.
const LIST_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long the gate waits for the response after the scheduled time of the first poll. After that the proxy uses the
/// list known at startup.
const POLL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Holds sessions of type `S` until the gate opens.
pub struct StartupGate<S> {
    /// Time by which the gate opens; none once it is open.
    opens_by: Option<Timestamp>,
    held: Vec<HeldSession<S>>,
}

struct HeldSession<S> {
    session: Weak<S>,
    arrived_at: Timestamp,
    max_hold: Duration,
}

impl<S> StartupGate<S> {
    /// A gate that is already open.
    pub fn opened() -> Self {
        StartupGate { opens_by: None, held: Vec::new() }
    }

    /// A gate that waits for the list of a local agent.
    pub fn until_pushed_list(now: Timestamp) -> Self {
        StartupGate { opens_by: Some(now + LIST_TIMEOUT), held: Vec::new() }
    }

    /// A gate that waits for the first poll if it is scheduled late: with many proxies, the first polls are spread over
    /// time. Changes made while this process was down must be applied within six seconds, so it must not use the list
    /// known at startup for long.
    pub fn until_first_poll(now: Timestamp, poll_at: Timestamp) -> Self {
        let is_late = poll_at.since(now) > LIST_TIMEOUT;
        StartupGate { opens_by: is_late.then_some(poll_at + POLL_RESPONSE_TIMEOUT), held: Vec::new() }
    }

    /// A gate that the recovery opens within `list_wait`. The gate has a later time limit of its own in case the
    /// recovery does not open it.
    pub fn until_recovery(now: Timestamp, list_wait: Duration) -> Self {
        StartupGate { opens_by: Some(now + list_wait + LIST_TIMEOUT), held: Vec::new() }
    }

    /// Whether new sessions are held.
    pub fn is_closed(&self) -> bool {
        self.opens_by.is_some()
    }

    /// Whether the gate is closed and should have opened by `now`.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.opens_by.is_some_and(|opens_by| now >= opens_by)
    }

    /// Holds a session until the gate opens, but no longer than `max_hold` after its arrival.
    pub fn hold(&mut self, session: &Rc<S>, arrived_at: Timestamp, max_hold: Duration) {
        self.held.push(HeldSession { session: Rc::downgrade(session), arrived_at, max_hold });
    }

    /// Opens the gate and returns the held sessions in the order of their arrival; none if the gate was already open.
    pub fn open(&mut self) -> Option<Vec<Weak<S>>> {
        self.opens_by.take()?;
        Some(std::mem::take(&mut self.held).into_iter().map(|held| held.session).collect())
    }

    /// Removes and returns the sessions whose maximum hold time has passed, and those that no longer exist; empty if
    /// the gate is open.
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
