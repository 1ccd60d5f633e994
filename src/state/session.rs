//! A session and its attempts.

use super::Server;
use crate::host::{AdmissionTurn, Arrival, AttemptOutcome, Idempotency, RequestClass, ServerId, SessionId};
use crate::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// One attempt of a session.
pub(crate) struct Attempt {
    pub(crate) server: Rc<Server>,
    pub(crate) sent_at: Timestamp,
    /// None while it is pending or established.
    pub(crate) outcome: Option<AttemptOutcome>,
}

/// A session from its arrival to its final answer or, once established, to its end.
#[derive(Default)]
pub(crate) struct Session {
    pub(crate) id: SessionId,
    /// Hash of the client key.
    pub(crate) key: u64,
    /// Hash of the group.
    pub(crate) group: Option<u64>,
    pub(crate) idempotency: Idempotency,
    /// The time within which its connection should be established.
    pub(crate) connect_latency_objective: Option<Duration>,
    pub(crate) deadline: Timestamp,
    pub(crate) mid_flow: bool,
    pub(crate) reconnected: bool,
    pub(crate) admission_turn: Option<AdmissionTurn>,
    pub(crate) allowed_servers: Option<Rc<[ServerId]>>,
    pub(crate) established: Cell<bool>,
    /// Its client has left or been asked to migrate: it is neither sent on nor migrated again.
    pub(crate) closing: Cell<bool>,
    /// It waits for the first of its servers to answer a health check.
    pub(crate) awaits_health_check: Cell<bool>,
    /// Its servers have been health-checked since its last attempt.
    pub(crate) health_checked: Cell<bool>,
    /// A server has answered it with an error.
    pub(crate) errored: Cell<bool>,
    /// Work that its connection asks for, in microseconds a second, once its server has reported it.
    pub(crate) load: Cell<f64>,
    pub(crate) attempts: RefCell<Vec<Attempt>>,
}

impl Session {
    /// A session that arrives; one of an unknown request class counts as not idempotent.
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

    /// The servers that it may go to, in the order of the list; none where it may go to all.
    pub(crate) fn restrict(&self, servers: &[Rc<Server>]) -> Option<Vec<Rc<Server>>> {
        let allowed = self.allowed_servers.as_ref()?;
        let is_allowed = |server: &&Rc<Server>| allowed.binary_search(&server.id).is_ok();
        Some(servers.iter().filter(is_allowed).cloned().collect())
    }

    /// Whether an attempt has been sent to this server.
    pub(crate) fn has_tried(&self, server: &Rc<Server>) -> bool {
        self.attempts.borrow().iter().any(|attempt| Rc::ptr_eq(&attempt.server, server))
    }
}
