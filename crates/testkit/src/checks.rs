//! Checks the invariants that all processes together must keep, from what the stand-ins observed.

use crate::clients::{ALARM, NON_IDEMPOTENT};
use crate::recorder::{Observations, Recorder};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// A client got no final answer in time, although its process was up.
    Unanswered { id: u64, process: usize, at: Duration },
    /// A client got more than one answer.
    MultipleAnswers { id: u64, process: usize, answers: Vec<String> },
    /// A non-idempotent request was accepted by more than one server.
    ExecutedTwice { id: u64, servers: Vec<usize> },
    /// A draining server received a new request.
    SentToDraining { server: usize, at: Duration, draining_for: Duration },
    /// A server was overloaded during its slow start.
    ColdServerOverloaded { server: usize, at: Duration, requests: usize, limit: u32 },
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Unanswered { id, process, at } => {
                write!(out, "request {id:x} to process {process} at {at:?}: no final answer in time")
            }
            Violation::MultipleAnswers { id, process, answers } => {
                write!(out, "request {id:x} to process {process}: more than one answer: {answers:?}")
            }
            Violation::ExecutedTwice { id, servers } => {
                write!(out, "non-idempotent request {id:x}: accepted by servers {servers:?}")
            }
            Violation::SentToDraining { server, at, draining_for } => {
                write!(out, "server {server}: new request at {at:?}, after draining for {draining_for:?}")
            }
            Violation::ColdServerOverloaded { server, at, requests, limit } => {
                write!(
                    out,
                    "server {server}: overloaded in slow start at {at:?}: {requests} requests, limit {limit}"
                )
            }
        }
    }
}

/// How late a final answer may be.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long new requests may still reach a server after discovery has published that it drains: the platform allows
/// 400 ms (`stop_sending_within_ms`), and the update first has to reach all processes.
pub const DRAIN_SLACK: Duration = Duration::from_millis(2500);

/// All violations recorded so far.
pub fn find_violations(recorder: &Recorder) -> Vec<Violation> {
    let observations = recorder.observations();
    let mut violations = Vec::new();
    violations.extend(check_answers(&observations, recorder.now()));
    violations.extend(check_executions(&observations));
    violations.extend(check_drains(&observations));
    violations.extend(observations.overloads.iter().map(|overload| Violation::ColdServerOverloaded {
        server: overload.server,
        at: overload.at,
        requests: overload.requests,
        limit: overload.limit as u32,
    }));
    violations
}

fn check_answers(observations: &Observations, now: Duration) -> Vec<Violation> {
    let was_down = |process: usize, from: Duration, to: Duration| {
        observations
            .downtimes
            .iter()
            .any(|(down, since, until)| *down == process && *since <= to && from <= *until)
    };
    let mut violations = Vec::new();
    for (id, request) in &observations.requests {
        let deadline = request.at + request.request_timeout + ANSWER_SLACK;
        if deadline > now || was_down(request.process, request.at, deadline) {
            continue;
        }
        let answers: Vec<_> = request.answers.iter().map(|(_, answer)| answer.clone()).collect();
        if answers.len() > 1 {
            violations.push(Violation::MultipleAnswers { id: *id, process: request.process, answers });
        } else if request.answers.first().is_none_or(|(at, _)| *at > deadline) {
            violations.push(Violation::Unanswered { id: *id, process: request.process, at: request.at });
        }
    }
    violations
}

fn check_executions(observations: &Observations) -> Vec<Violation> {
    let mut servers_by_request: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for request in
        observations.forwarded.iter().filter(|request| request.class == NON_IDEMPOTENT && request.accepted)
    {
        servers_by_request.entry(request.id).or_default().push(request.server);
    }
    let repeated = servers_by_request.into_iter().filter(|(_, servers)| servers.len() > 1);
    repeated.map(|(id, servers)| Violation::ExecutedTwice { id, servers }).collect()
}

fn check_drains(observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (server, since, until) in &observations.drains {
        let is_late = |at: Duration| at > *since + DRAIN_SLACK && until.is_none_or(|until| at < until);
        let late =
            observations.forwarded.iter().filter(|request| request.server == *server && is_late(request.at));
        violations.extend(late.map(|request| Violation::SentToDraining {
            server: *server,
            at: request.at,
            draining_for: request.at - *since,
        }));
    }
    violations
}

/// The mean number of sessions between two times.
pub fn mean_sessions(observations: &Observations, from: Duration, to: Duration) -> f64 {
    let (mut sum, mut last, mut sessions) = (0.0, from, 0);
    for (at, number) in &observations.session_counts {
        if *at > to {
            break;
        }
        if *at > last {
            sum += (*at - last).as_secs_f64() * sessions as f64;
            last = *at;
        }
        sessions = *number;
    }
    sum += to.saturating_sub(last).as_secs_f64() * sessions as f64;
    sum / (to - from).as_secs_f64()
}

/// The time from `from` until there were `wanted` sessions.
pub fn time_to_sessions(observations: &Observations, from: Duration, wanted: f64) -> Option<Duration> {
    let reached =
        observations.session_counts.iter().find(|(at, number)| *at > from && *number as f64 >= wanted);
    reached.map(|(at, _)| *at - from)
}

/// Of the alarm requests between two times: how many established a session, how many of these within 300 ms, and how
/// many were rejected.
pub fn alarm_outcomes(observations: &Observations, from: Duration, to: Duration) -> (usize, usize, usize) {
    const CONNECT_LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);
    let requests = observations
        .requests
        .values()
        .filter(|request| request.class == ALARM && request.at >= from && request.at < to);
    let (mut established, mut in_time, mut rejected) = (0, 0, 0);
    for request in requests {
        match request.answers.first() {
            Some((at, answer)) if answer.starts_with("UP") => {
                established += 1;
                in_time += usize::from(*at - request.at <= CONNECT_LATENCY_OBJECTIVE);
            }
            Some((_, answer)) if answer.starts_with("BUSY") => rejected += 1,
            _ => {}
        }
    }
    (established, in_time, rejected)
}
