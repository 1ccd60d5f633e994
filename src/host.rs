//! The interface between the decisions and whatever carries them out: the trait [`Host`], and the plain
//! types that both sides share. Nothing is decided here.

use crate::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// What the decisions ask for. Each call is carried out at once and in order.
pub trait Host {
    /// Starts an attempt; a session's attempts count 0, 1, 2 … in the order of these calls.
    fn connect(&mut self, session: SessionId, server: &ServerId, time_out: Duration);
    /// Final answer: not done, trying again is harmless, best after `retry_after`.
    fn reject(&mut self, session: SessionId, retry_after: Duration);
    /// Final answer: not done, nothing promised.
    fn fail(&mut self, session: SessionId);
    /// Ends a standing connection politely; its client comes again as a new session.
    fn migrate(&mut self, session: SessionId);
    /// Asks to be sent every change of the server list from now on; a host that is sent it unasked does nothing.
    fn subscribe(&mut self);
    /// Has a server give a sign of life; how long that took comes as `on_health_check`. False where it is not allowed.
    fn check_health(&mut self, server: &ServerId) -> bool;
    /// Asks for a call of `on_timer` at `at`.
    fn schedule_wakeup(&mut self, at: Timestamp);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// A server's name at the door; its text also gives the order of the list.
pub type ServerId = Rc<str>;

/// Whether a session may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Carries a mark by which the servers of `among` drop its repeats for `window`.
    Keyed {
        scope: KeyScope,
        window: Duration,
    },
    /// The most delicate kind, which any is taken for that is not known.
    #[default]
    NonIdempotent,
}

/// Which servers know each other's marks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    pub idempotency: Idempotency,
    /// The time within which its connection should stand.
    pub connect_latency_objective: Option<Duration>,
    /// The time within which a message on a standing connection should be answered.
    pub message_latency_objective: Option<Duration>,
}

/// A session as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    pub session: SessionId,
    /// Position in the request classes given at the start; none if unknown.
    pub class: Option<usize>,
    pub key: Option<&'a str>,
    /// Connections of one group share work where they share a server.
    pub group: Option<&'a str>,
    pub deadline: Timestamp,
    /// Packets of a connection that some server already holds.
    pub mid_flow: bool,
    /// The client has come back after a break or after being sent away.
    pub reconnected: bool,
    /// Its turn in a crowd that comes back, where there is one and somebody reckons it.
    pub admission_turn: Option<AdmissionTurn>,
    /// The servers that it may go to, in the order of their ids, where not all.
    pub allowed_servers: Option<&'a Rc<[ServerId]>>,
}

/// A session's turn, from outside: what is owed goes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionTurn {
    /// The part of the crowd that goes before it, from 0 to 1; beyond 1 nobody is let in yet.
    pub fraction_ahead: f64,
    /// When it is to come again, where it is not let in.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    #[default]
    Active,
    Draining,
    Removed,
}

/// A line of the server list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub server: ServerId,
    pub zone: String,
    /// The kind of machine.
    pub kind: String,
    pub cell: u64,
    /// When it last started; none for long ago.
    pub started: Option<Timestamp>,
    pub state: EndpointState,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Completed,
    Failed,
    Rejected,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Cancelled,
    NotSent,
}

impl AttemptOutcome {
    /// Whether this proves that the session did not run.
    pub fn is_safe_to_retry(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
    }
}
