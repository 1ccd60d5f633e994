//! What must hold of all processes together, by what the stand-ins saw.

use crate::clients::{ALARM, ONCE};
use crate::recorder::{Observations, Recorder};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A rule that was broken, and where.
#[derive(Debug, Clone, PartialEq)]
pub enum Breach {
    /// A client got no final answer in its time, though its process was there.
    Unanswered { id: u64, process: usize, at: Duration },
    /// It got more than one.
    AnsweredTwice { id: u64, process: usize, answers: Vec<String> },
    /// What may run once was sent again after it may have run.
    TwoEffects { id: u64, servers: Vec<usize> },
    /// Something new came to a server that drains.
    Drain { server: usize, at: Duration, late: Duration },
    /// A cold server was pushed over.
    PushedOver { server: usize, at: Duration, sent: usize, bound: u32 },
}

impl fmt::Display for Breach {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::Unanswered { id, process, at } => {
                write!(out, "try {id:x} at process {process}, {at:?}: no answer in its time")
            }
            Breach::AnsweredTwice { id, process, answers } => {
                write!(out, "try {id:x} at process {process}: answered {answers:?}")
            }
            Breach::TwoEffects { id, servers } => {
                write!(out, "try {id:x}, which may run once, at {servers:?}")
            }
            Breach::Drain { server, at, late } => {
                write!(out, "server {server} drained for {late:?} when something new came at {at:?}")
            }
            Breach::PushedOver { server, at, sent, bound } => {
                write!(out, "cold server {server} fell at {at:?}: {sent} where {bound} are the bound")
            }
        }
    }
}

/// How late a final answer may be, and anything new at a draining server: the platform's 400 ms, and what the news takes
/// from discovery to all processes, which a process is told by.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
pub const DRAIN_SLACK: Duration = Duration::from_millis(2500);

/// All breaches of the four rules.
pub fn rules(recorder: &Recorder) -> Vec<Breach> {
    let observations = recorder.observations();
    let mut breaches = Vec::new();
    breaches.extend(answers(&observations, recorder.now()));
    breaches.extend(effects(&observations));
    breaches.extend(drains(&observations));
    breaches.extend(observations.overloads.iter().map(|overload| Breach::PushedOver {
        server: overload.server,
        at: overload.at,
        sent: overload.sent,
        bound: overload.bound as u32,
    }));
    breaches
}

fn answers(observations: &Observations, now: Duration) -> Vec<Breach> {
    let away = |process: usize, from: Duration, to: Duration| {
        observations.away.iter().any(|(gone, left, back)| *gone == process && *left <= to && from <= *back)
    };
    let mut breaches = Vec::new();
    for (id, asked) in &observations.requests {
        let until = asked.at + asked.request_timeout + ANSWER_SLACK;
        if until > now || away(asked.process, asked.at, until) {
            continue;
        }
        let answers: Vec<_> = asked.answers.iter().map(|(_, answer)| answer.clone()).collect();
        if answers.len() > 1 {
            breaches.push(Breach::AnsweredTwice { id: *id, process: asked.process, answers });
        } else if asked.answers.first().is_none_or(|(at, _)| *at > until) {
            breaches.push(Breach::Unanswered { id: *id, process: asked.process, at: asked.at });
        }
    }
    breaches
}

fn effects(observations: &Observations) -> Vec<Breach> {
    let mut ran: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for sent in observations.sent.iter().filter(|sent| sent.class == ONCE && sent.ran) {
        ran.entry(sent.id).or_default().push(sent.server);
    }
    let twice = ran.into_iter().filter(|(_, servers)| servers.len() > 1);
    twice.map(|(id, servers)| Breach::TwoEffects { id, servers }).collect()
}

fn drains(observations: &Observations) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (server, since, until) in &observations.drains {
        let late = |at: Duration| at > *since + DRAIN_SLACK && until.is_none_or(|until| at < until);
        let sent = observations.sent.iter().filter(|sent| sent.server == *server && late(sent.at));
        breaches.extend(sent.map(|sent| Breach::Drain {
            server: *server,
            at: sent.at,
            late: sent.at - *since,
        }));
    }
    breaches
}

/// How many stood on the mean between two moments.
pub fn standing(observations: &Observations, from: Duration, to: Duration) -> f64 {
    let (mut sum, mut last, mut stand) = (0.0, from, 0);
    for (at, number) in &observations.standing {
        if *at > to {
            break;
        }
        if *at > last {
            sum += (*at - last).as_secs_f64() * stand as f64;
            last = *at;
        }
        stand = *number;
    }
    sum += to.saturating_sub(last).as_secs_f64() * stand as f64;
    sum / (to - from).as_secs_f64()
}

/// How long after `from` so many stood again.
pub fn back_after(observations: &Observations, from: Duration, wanted: f64) -> Option<Duration> {
    let back = observations.standing.iter().find(|(at, number)| *at > from && *number as f64 >= wanted);
    back.map(|(at, _)| *at - from)
}

/// Of the alarms' tries from a moment on, how many stood, how many of these within 300 ms, and how many were pushed back.
pub fn alarms(observations: &Observations, from: Duration, to: Duration) -> (usize, usize, usize) {
    const CONNECT_LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);
    let requests = observations
        .requests
        .values()
        .filter(|asked| asked.class == ALARM && asked.at >= from && asked.at < to);
    let (mut stood, mut in_time, mut pushed) = (0, 0, 0);
    for asked in requests {
        match asked.answers.first() {
            Some((at, answer)) if answer.starts_with("UP") => {
                stood += 1;
                in_time += usize::from(*at - asked.at <= CONNECT_LATENCY_OBJECTIVE);
            }
            Some((_, answer)) if answer.starts_with("BUSY") => pushed += 1,
            _ => {}
        }
    }
    (stood, in_time, pushed)
}
