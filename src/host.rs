//! The interface between the load balancer and its host, the program that performs I/O for it: the trait [`Host`] and
//! the plain types that both sides share. It contains no decision logic.

use crate::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// Performs the actions that the load balancer decides on. Each call takes effect immediately and in order.
pub trait Host {
    /// Starts an attempt. The attempts of a session are numbered 0, 1, 2 … in the order of these calls.
    fn connect(&mut self, session: SessionId, server: &ServerId, timeout: Duration);
    /// Sends the client its final answer: it may safely retry the request at any server after `retry_after`, because
    /// the request was not executed or may be executed again.
    fn reject(&mut self, session: SessionId, retry_after: Duration);
    /// Sends the client its final answer: the request did not succeed and may have been executed.
    fn fail(&mut self, session: SessionId);
    /// Asks the client of an established session to close its connection and to reconnect as a new session.
    fn migrate(&mut self, session: SessionId);
    /// Polls the endpoint list and subscribes to its changes. A no-op for a host to which the list is pushed.
    fn subscribe(&mut self);
    /// Sends a health check to a server; its latency is reported through `on_health_check`. Returns false where the
    /// host does not allow health checks.
    fn check_health(&mut self, server: &ServerId) -> bool;
    /// Schedules a call of `on_timer` at `at`.
    fn schedule_wakeup(&mut self, at: Timestamp);
}

/// Identifies a session within one proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// The id of a server. Endpoint lists are sorted by it.
pub type ServerId = Rc<str>;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request carries an idempotency key.
    Keyed {
        /// The servers among which requests with a repeated key are dropped.
        scope: KeyScope,
        /// How long after the first attempt they drop repeats.
        window: Duration,
    },
    /// The request must be executed at most once. Assumed if nothing is known about it.
    #[default]
    NonIdempotent,
}

/// Which servers share their record of seen idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// The requirements of a class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Whether requests of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// The time within which a connection should be established.
    pub connect_latency_objective: Option<Duration>,
    /// The time within which a message on an established connection should be answered.
    pub message_latency_objective: Option<Duration>,
}

/// A newly arrived session.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The session's id, unique among the open sessions.
    pub session: SessionId,
    /// Index into the request classes given to the load balancer; `None` if the class is unknown.
    pub class: Option<usize>,
    /// The client key, whose hash selects the server.
    pub key: Option<&'a str>,
    /// The group of connections that share work if they are on the same server.
    pub group: Option<&'a str>,
    /// When the session must have its final answer, unless it is established by then.
    pub deadline: Timestamp,
    /// Whether the arrival consists of packets of a connection that some server already holds.
    pub mid_flow: bool,
    /// Whether the client reconnects after its connection broke or was migrated.
    pub reconnected: bool,
    /// The session's admission turn while many clients reconnect at once, if the host orders admission.
    pub admission_turn: Option<AdmissionTurn>,
    /// The servers that the session may be sent to, sorted by id; `None` if it may be sent to all.
    pub allowed_servers: Option<&'a Rc<[ServerId]>>,
}

/// A session's position in the order of admission while many clients reconnect at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionTurn {
    /// The fraction of the clients that are admitted before this one, from 0 to 1. A value above 1 means that it is
    /// not admitted yet.
    pub fraction_ahead: f64,
    /// When the client is to retry if it is not admitted.
    pub retry_after: Duration,
}

/// Whether a server may be sent sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The server may be sent sessions.
    #[default]
    Active,
    /// The server may not be sent sessions, and its clients are to be migrated.
    Draining,
    /// The server is no longer in the endpoint list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server's id.
    pub server: ServerId,
    /// The server's zone, a failure domain.
    pub zone: String,
    /// The kind of machine that the server runs on, a failure domain.
    pub kind: String,
    /// The cell within which the server shares its record of idempotency keys.
    pub cell: u64,
    /// When the server last started; `None` if it started long ago.
    pub started: Option<Timestamp>,
    /// Whether the server may be sent sessions.
    pub state: EndpointState,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The connection ended normally.
    Completed,
    /// The server answered with an error.
    Failed,
    /// The server rejected the request before executing it.
    Rejected,
    /// The attempt was not established within its timeout.
    TimedOut,
    /// No connection to the server could be opened.
    Unreachable,
    /// The connection broke.
    ConnectionLost,
    /// The attempt was cancelled for reasons unrelated to the server.
    Cancelled,
    /// The attempt ended before anything was sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the request was not executed.
    pub fn is_safe_to_retry(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
    }
}
