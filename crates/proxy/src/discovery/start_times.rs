//! When servers started, on this process's clock. The list tells it as Unix time, which this process read once, at its
//! own start, from a wall clock that may have been off by then.

use shelfgrade::host::{Endpoint, EndpointState, ServerId};
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};

/// How many starts are remembered, of servers that are listed and of such as were.
const REMEMBERED: usize = 1 << 16;
/// How late the list may be: what discovery has counts as told after this long.
const LIST_IS_LATE: Duration = Duration::from_millis(6000);

/// A start as the list tells it.
#[derive(Clone, Copy)]
struct Start {
    told: Timestamp,
    heard_at: Timestamp,
    /// When it was on this clock, where this process has seen it happen.
    seen: Option<Timestamp>,
}

/// The starts that were told so far.
#[derive(Default)]
pub struct StartTimes {
    starts: BTreeMap<ServerId, Start>,
    /// How far this clock is ahead of discovery's, where that is known; never behind.
    ahead: Duration,
    /// The least time between a start, as told, and when it was heard of, in milliseconds: the list's lateness at its
    /// best, and how far this clock is ahead of that by which starts are told, or behind it.
    least_late_ms: Option<f64>,
    /// A list has come from discovery, so that a start which is new on a later one has just happened.
    heard: bool,
}

impl StartTimes {
    /// Discovery has told its time with a list. Guards against a wall clock that was ahead when this process started:
    /// what had just started then would count as warm. A clock that was behind needs no such word, as no start counts
    /// as yet to come. True where starts that were told before are others now.
    pub fn discovery_says(&mut self, time: SystemTime, now: Timestamp) -> bool {
        // The time is told in whole seconds, and its answer takes a moment.
        const HARMLESS_MS: f64 = 2000.0;
        let theirs = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        let ahead = now.since(Timestamp::from_ms(theirs.as_secs_f64() * 1000.0));
        // Guards against starts that seem to come later with each answer.
        let differs = (ahead.as_ms() - self.ahead.as_ms()).abs() > HARMLESS_MS;
        if differs {
            self.ahead = ahead;
        }
        differs
    }

    /// Lines that were timed before, with their starts as they are now.
    pub fn timed_anew(&self, lines: Vec<Endpoint>) -> Vec<Endpoint> {
        let start_of = |line: &Endpoint| self.starts.get(&line.server).map(|start| self.here(start));
        lines.into_iter().map(|line| Endpoint { started: start_of(&line).or(line.started), ..line }).collect()
    }

    fn here(&self, start: &Start) -> Timestamp {
        start.seen.unwrap_or((start.told + self.ahead).min(start.heard_at))
    }

    /// Lines of the list with their starts on this clock. Guards against a wall clock that is off: a start that is new
    /// on a list has just happened, however long ago it is told to be.
    pub fn timed(&mut self, lines: Vec<Endpoint>, now: Timestamp) -> Vec<Endpoint> {
        if self.starts.len() > REMEMBERED {
            // Who is forgotten and listed again counts as cold once more.
            self.starts.clear();
        }
        lines.into_iter().map(|line| Endpoint { started: self.start_of(&line, now), ..line }).collect()
    }

    fn start_of(&mut self, line: &Endpoint, now: Timestamp) -> Option<Timestamp> {
        let told = line.started?;
        if line.state == EndpointState::Removed {
            return Some(told);
        }
        let known = self.starts.get(&line.server).copied().filter(|start| start.told == told);
        let start = known.unwrap_or_else(|| {
            let seen = self.heard.then(|| self.just_happened(told, now));
            let start = Start { told, heard_at: now, seen };
            self.starts.insert(line.server.clone(), start);
            start
        });
        Some(self.here(&start))
    }

    /// When a start was that this process has seen happen: as long ago as the list is later than at its best. The first
    /// one, and any that would be longer ago than a list is late, counts from now.
    fn just_happened(&mut self, told: Timestamp, now: Timestamp) -> Timestamp {
        let late_ms = now.as_ms() - told.as_ms();
        let least_ms = self.least_late_ms.map_or(late_ms, |least| least.min(late_ms));
        self.least_late_ms = Some(least_ms);
        let here = Timestamp::from_ms(told.as_ms() + least_ms).min(now);
        if now.since(here) > LIST_IS_LATE {
            now
        } else {
            here
        }
    }

    /// A list of discovery's has been gone by.
    pub fn list_is_heard(&mut self) {
        self.heard = true;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/start_times.rs"]
mod tests;
