//! The interface between the decisions and whatever carries them out: the trait [`Host`], and the plain types that both
//! sides share. Nothing is decided here.

use crate::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// Carries out decisions. Each call takes effect at once and in order.
pub trait Host {
    /// Starts an attempt; a session's attempts are numbered 0, 1, 2 … in the order of these calls.
    fn connect(&mut self, session: SessionId, server: &ServerId, timeout: Duration);
    /// Final answer: the request has not run, and the client may retry it anywhere after `retry_after`.
    fn reject(&mut self, session: SessionId, retry_after: Duration);
    /// Final answer: the request has not succeeded, and may have run.
    fn fail(&mut self, session: SessionId);
    /// Asks the client of an established session to close it and to connect again as a new session.
    fn migrate(&mut self, session: SessionId);
    /// Polls the endpoint list and subscribes to its changes; nothing to do for a host to which the list is pushed.
    fn subscribe(&mut self);
    /// Health-checks a server; its latency comes as `on_health_check`. False where health checks are not allowed.
    fn check_health(&mut self, server: &ServerId) -> bool;
    /// Asks for a call of `on_timer` at `at`.
    fn schedule_wakeup(&mut self, at: Timestamp);
}

/// Identifies a session at one proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// A server's id, by which endpoint lists are ordered.
pub type ServerId = Rc<str>;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key.
    Keyed {
        /// The servers that drop repeats of a key.
        scope: KeyScope,
        /// How long they drop them after the first attempt.
        window: Duration,
    },
    /// It may run once at most; assumed where nothing is known.
    #[default]
    NonIdempotent,
}

/// Which servers share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What a class of requests demands.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// The time within which a connection should be established.
    pub connect_latency_objective: Option<Duration>,
    /// The time within which a message on an established connection should be answered.
    pub message_latency_objective: Option<Duration>,
}

/// A session as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its id, unique among the open sessions.
    pub session: SessionId,
    /// Index into the request classes given at the start; none if unknown.
    pub class: Option<usize>,
    /// The client key, whose hash selects the server.
    pub key: Option<&'a str>,
    /// The group of connections that share work where they share a server.
    pub group: Option<&'a str>,
    /// When the session needs its final answer, unless it is established by then.
    pub deadline: Timestamp,
    /// Packets of a connection that some server already holds.
    pub mid_flow: bool,
    /// The client connects again after its connection broke or was migrated.
    pub reconnected: bool,
    /// Its turn while many clients reconnect at once and admission is ordered outside.
    pub admission_turn: Option<AdmissionTurn>,
    /// The servers that it may go to, in the order of their ids; none where it may go to all.
    pub allowed_servers: Option<&'a Rc<[ServerId]>>,
}

/// A session's turn while many clients reconnect at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionTurn {
    /// The fraction of the clients that go first, from 0 to 1; beyond 1 it is not admitted yet.
    pub fraction_ahead: f64,
    /// When it is to come again, where it is not admitted.
    pub retry_after: Duration,
}

/// Whether a server may be sent sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It may.
    #[default]
    Active,
    /// It may not, and its clients are to be migrated.
    Draining,
    /// It has left the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server's id.
    pub server: ServerId,
    /// Its zone, a failure domain.
    pub zone: String,
    /// The kind of its machine, a failure domain.
    pub kind: String,
    /// The cell in which it shares its record of idempotency keys.
    pub cell: u64,
    /// When it last started; none for long ago.
    pub started: Option<Timestamp>,
    /// Whether it may be sent sessions.
    pub state: EndpointState,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Its connection ended as intended.
    Completed,
    /// The server answered with an error.
    Failed,
    /// The server turned it away before it ran.
    Rejected,
    /// It was not established within its timeout.
    TimedOut,
    /// No connection to the server could be opened.
    Unreachable,
    /// Its connection broke.
    ConnectionLost,
    /// It was given up, for reasons that say nothing of the server.
    Cancelled,
    /// It ended before anything was sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this proves that the request did not run.
    pub fn is_safe_to_retry(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
    }
}
