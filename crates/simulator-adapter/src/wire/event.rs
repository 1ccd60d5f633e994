//! The events of an instance, and the entries of an endpoint list.

use super::line::Line;
use anyhow::{bail, Result};
use shelfgrade::host::{Arrival, AttemptOutcome, Endpoint, EndpointState, SessionId};
use shelfgrade::time::Timestamp;
use std::time::Duration;

/// An event of one instance.
pub enum Event<'a> {
    /// An endpoint list follows, with this many entries.
    EndpointList { kind: ListKind, entries: usize },
    /// The endpoint list is unavailable.
    ListUnavailable,
    /// A session has arrived.
    Request(Request<'a>),
    /// A connection was already open when the instance started.
    PreexistingSession { request: Request<'a>, server: &'a str },
    /// The connection of an attempt is established.
    Established(SessionId),
    /// An attempt has ended.
    AttemptEnded { session: SessionId, outcome: AttemptOutcome, is_final: bool },
    /// The load of an established session, in microseconds of work per second.
    LoadReport { session: SessionId, load: f64 },
    /// The latency of messages of an established session.
    MessageLatency { session: SessionId, latency: Duration },
    /// The client has closed its connection.
    ClientClosed(SessionId),
    /// A scheduled wakeup is due.
    Timer,
    /// A health check was answered.
    HealthCheck { server: &'a str, latency: Duration },
    /// A well-formed event that does not affect decisions.
    Ignored,
}

/// What an endpoint list means for the servers that it does not contain.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changes only: the other servers stay as they are.
    Changes,
    /// A complete list: the other servers are removed.
    Complete,
    /// The last complete list known before the instance started.
    Restored,
}

/// A newly arrived session, with its request class by name.
pub struct Request<'a> {
    class: &'a str,
    arrival: Arrival<'a>,
}

impl<'a> Request<'a> {
    /// Returns the arrival, with its request class as an index into these names.
    pub fn arrival(&self, classes: &[String]) -> Arrival<'a> {
        Arrival { class: classes.iter().position(|name| name == self.class), ..self.arrival }
    }
}

impl<'a> Event<'a> {
    /// Parses the event that a line encodes.
    pub fn parse(line: &Line<'a>) -> Result<Self> {
        Ok(match line.name {
            "TARGETS" => endpoint_list(line)?,
            "REQUEST" => Event::Request(request(line)?),
            "PREEXISTING" => {
                Event::PreexistingSession { request: request(line)?, server: line.required("server")? }
            }
            "FLOWING" => Event::Established(line.session()?),
            "FINISHED" => Event::AttemptEnded {
                session: line.session()?,
                outcome: outcome(line)?,
                is_final: line.flag("last")?,
            },
            "HEARTBEAT" => report(line)?,
            "HANGUP" => Event::ClientClosed(line.session()?),
            "FIRED" => {
                line.integer("label")?;
                Event::Timer
            }
            "MESSAGE" => {
                line.integer("from")?;
                Event::Ignored
            }
            "STATUS_BACK" => health_check(line)?,
            name => bail!("unknown message {name}"),
        })
    }
}

/// Parses an entry of an endpoint list.
pub fn endpoint(line: &Line) -> Result<Endpoint> {
    Ok(Endpoint {
        server: line.required("server")?.into(),
        zone: line.optional("site").unwrap_or_default().to_owned(),
        kind: line.optional("type").unwrap_or_default().to_owned(),
        cell: line.optional("pod").map_or(Ok(0), |_| line.integer("pod"))?,
        started: match line.optional("up_since_ms") {
            Some(_) => Some(line.timestamp("up_since_ms")?).filter(|at| *at > Timestamp::default()),
            None => None,
        },
        state: match line.required("status")? {
            "active" => EndpointState::Active,
            "leaving" => EndpointState::Draining,
            "left" => EndpointState::Removed,
            status => bail!("unknown status={status}"),
        },
    })
}

fn endpoint_list<'a>(line: &Line<'a>) -> Result<Event<'a>> {
    let form = line.required("form")?;
    let entries = line.optional("lines").map_or(Ok(0), |_| line.integer("lines"))? as usize;
    let kind = match form {
        "update" => ListKind::Changes,
        "replace" => ListKind::Complete,
        "restored" => ListKind::Restored,
        "unavailable" => return Ok(Event::ListUnavailable),
        _ => bail!("unknown form={form}"),
    };
    Ok(Event::EndpointList { kind, entries })
}

fn request<'a>(line: &Line<'a>) -> Result<Request<'a>> {
    let class = line.required("priority")?;
    let arrival = Arrival {
        session: line.session()?,
        class: None,
        key: line.optional("object"),
        group: line.optional("group"),
        deadline: line.timestamp("due_ms")?,
        mid_flow: line.flag("stray")?,
        reconnected: line.flag("returned")?,
        admission_turn: None,
        allowed_servers: None,
    };
    Ok(Request { class, arrival })
}

fn report<'a>(line: &Line<'a>) -> Result<Event<'a>> {
    Ok(match line.integer("what")? {
        1 => Event::LoadReport { session: line.session()?, load: line.number("value")? },
        2 => Event::MessageLatency { session: line.session()?, latency: line.duration("value")? },
        _ => Event::Ignored,
    })
}

/// Only a health check that the server processed shows its latency.
fn health_check<'a>(line: &Line<'a>) -> Result<Event<'a>> {
    const SERVED: u64 = 1;
    if line.integer("result")? != SERVED {
        line.required("server")?;
        return Ok(Event::Ignored);
    }
    Ok(Event::HealthCheck { server: line.required("server")?, latency: line.duration("cost_time_ms")? })
}

fn outcome(line: &Line) -> Result<AttemptOutcome> {
    Ok(match line.integer("result")? {
        1 => AttemptOutcome::Completed,
        2 => AttemptOutcome::Failed,
        3 => AttemptOutcome::Rejected,
        4 => AttemptOutcome::TimedOut,
        5 => AttemptOutcome::Unreachable,
        6 => AttemptOutcome::ConnectionLost,
        7 => AttemptOutcome::Cancelled,
        8 => AttemptOutcome::NotSent,
        code => bail!("unknown result={code}"),
    })
}
