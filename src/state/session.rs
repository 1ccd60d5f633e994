//! A session and its attempts.

use super::Server;
use crate::host::{AdmissionTurn, Arrival, AttemptOutcome, Idempotency, RequestClass, ServerId, SessionId};
use crate::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// One attempt of a session.
pub(crate) struct Attempt {
    pub(crate) server: Rc<Server>,
    /// The start time of the server as known when the attempt was sent.
    server_started: Option<Timestamp>,
    pub(crate) sent_at: Timestamp,
    /// `None` while the attempt is pending or established.
    pub(crate) outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// Creates an attempt that is being sent.
    pub(crate) fn new(server: Rc<Server>, sent_at: Timestamp) -> Self {
        Attempt { server_started: server.started.get(), server, sent_at, outcome: None }
    }

    /// Whether a restart of the server has become known since the attempt was sent.
    pub(crate) fn server_has_restarted(&self) -> bool {
        self.server.started.get() != self.server_started
    }
}

/// A session that waits for answers to the health checks that were sent before its next attempt.
pub(crate) struct HealthCheckWaiter {
    session: Weak<Session>,
    /// How many attempts the session has had, which tells these health checks from those before another attempt.
    attempts: usize,
}

impl HealthCheckWaiter {
    pub(crate) fn new(session: &Rc<Session>) -> Self {
        HealthCheckWaiter { session: Rc::downgrade(session), attempts: session.attempts.borrow().len() }
    }

    /// Returns the session if it still waits for these health checks.
    pub(crate) fn waiting_session(&self) -> Option<Rc<Session>> {
        let session = self.session.upgrade()?;
        let still_waits =
            session.awaits_health_check.get() && session.attempts.borrow().len() == self.attempts;
        still_waits.then_some(session)
    }
}

/// A session from its arrival to its final answer or, if it is established, to its end.
#[derive(Default)]
pub(crate) struct Session {
    pub(crate) id: SessionId,
    /// Hash of the client key.
    pub(crate) key: u64,
    /// Hash of the group.
    pub(crate) group: Option<u64>,
    pub(crate) idempotency: Idempotency,
    /// The time within which the connection should be established.
    pub(crate) connect_latency_objective: Option<Duration>,
    pub(crate) deadline: Timestamp,
    pub(crate) mid_flow: bool,
    pub(crate) reconnected: bool,
    pub(crate) admission_turn: Option<AdmissionTurn>,
    pub(crate) allowed_servers: Option<Rc<[ServerId]>>,
    pub(crate) established: Cell<bool>,
    /// Whether the client has closed the connection or was asked to migrate. The session is then neither retried nor
    /// migrated again.
    pub(crate) closing: Cell<bool>,
    /// Whether the session waits until the first of its candidate servers answers a health check.
    pub(crate) awaits_health_check: Cell<bool>,
    /// Whether the session's candidate servers have been health-checked since its last attempt.
    pub(crate) health_checked: Cell<bool>,
    /// Whether a server has answered the session with an error.
    pub(crate) errored: Cell<bool>,
    /// The load that the session's connection causes, in microseconds of work per second, once the server has reported
    /// it.
    pub(crate) load: Cell<f64>,
    pub(crate) attempts: RefCell<Vec<Attempt>>,
}

impl Session {
    /// Creates the state of a newly arrived session. A session of an unknown request class counts as non-idempotent.
    pub(crate) fn new(arrival: &Arrival, class: Option<&RequestClass>) -> Self {
        Session {
            id: arrival.session,
            key: arrival.key.map_or(arrival.session.0, |key| xxh3_64(key.as_bytes())),
            group: arrival.group.map(|group| xxh3_64(group.as_bytes())),
            idempotency: class.map(|class| class.idempotency).unwrap_or_default(),
            connect_latency_objective: class.and_then(|class| class.connect_latency_objective),
            deadline: arrival.deadline,
            mid_flow: arrival.mid_flow,
            reconnected: arrival.reconnected,
            admission_turn: arrival.admission_turn,
            allowed_servers: arrival.allowed_servers.cloned(),
            ..Session::default()
        }
    }

    /// Returns those of `servers` that the session may be sent to, in the same order; `None` if it may be sent to
    /// all.
    pub(crate) fn allowed_among(&self, servers: &[Rc<Server>]) -> Option<Vec<Rc<Server>>> {
        let allowed = self.allowed_servers.as_ref()?;
        let is_allowed = |server: &&Rc<Server>| allowed.binary_search(&server.id).is_ok();
        Some(servers.iter().filter(is_allowed).cloned().collect())
    }

    /// Whether an attempt of this session has been sent to this server.
    pub(crate) fn has_tried(&self, server: &Rc<Server>) -> bool {
        self.attempts.borrow().iter().any(|attempt| Rc::ptr_eq(&attempt.server, server))
    }
}
