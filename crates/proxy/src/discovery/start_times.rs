//! Start times of servers on this process's clock.
//!
//! Discovery reports a start as Unix time. This process reads Unix time once, at its own start, from a wall clock that
//! may have been off, so a reported start cannot be compared with this clock as it is.

use shelfgrade::host::{Endpoint, EndpointState, ServerId};
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};

/// Most starts tracked, of servers that are or were listed.
const MAX_TRACKED_STARTS: usize = 1 << 16;
/// A change is on the list at most this long after it was made.
const MAX_LIST_DELAY: Duration = Duration::from_millis(6000);
/// Differences between the clocks up to this are ignored: discovery's time comes in whole seconds, and a response takes a
/// moment.
const CLOCK_TOLERANCE_MS: f64 = 2000.0;

/// One start of a server.
#[derive(Clone, Copy)]
struct TrackedStart {
    /// As discovery reports it.
    reported: Timestamp,
    /// When it was first on a list, on this clock.
    first_listed: Timestamp,
    /// When it was on this clock, if it happened while this process was watching.
    observed: Option<Timestamp>,
}

/// The starts reported so far, and what is known of the difference between the clocks.
#[derive(Default)]
pub struct StartTimes {
    starts: BTreeMap<ServerId, TrackedStart>,
    /// How far this clock is ahead of discovery's; zero if it is behind or that is unknown.
    clock_lead: Duration,
    /// The shortest time so far between a reported start and its first listing, in milliseconds: the list's shortest
    /// delay plus the difference between the clocks, which may be negative.
    min_listing_delay_ms: Option<f64>,
    /// Whether a list has come from discovery: a start that is new on a later one has just happened.
    list_received: bool,
}

impl StartTimes {
    /// Takes in discovery's clock as sent with a list. Returns whether starts reported earlier have changed.
    ///
    /// If this clock was ahead when the process started, servers that had just started would count as warmed up. A clock
    /// that was behind does no harm, as no start counts as being in the future.
    pub fn update_clock_lead(&mut self, discovery_time: SystemTime, now: Timestamp) -> bool {
        let since_epoch = discovery_time.duration_since(UNIX_EPOCH).unwrap_or_default();
        let lead = now.since(Timestamp::from_ms(since_epoch.as_secs_f64() * 1000.0));
        // A lead that followed every response would move starts later with each.
        let has_changed = (lead.as_ms() - self.clock_lead.as_ms()).abs() > CLOCK_TOLERANCE_MS;
        if has_changed {
            self.clock_lead = lead;
        }
        has_changed
    }

    /// Endpoints that were localized before, by the present clock lead.
    pub fn relocalize(&self, endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
        let start_of =
            |endpoint: &Endpoint| self.starts.get(&endpoint.server).map(|start| self.on_this_clock(start));
        endpoints
            .into_iter()
            .map(|endpoint| Endpoint { started: start_of(&endpoint).or(endpoint.started), ..endpoint })
            .collect()
    }

    fn on_this_clock(&self, start: &TrackedStart) -> Timestamp {
        start.observed.unwrap_or((start.reported + self.clock_lead).min(start.first_listed))
    }

    /// Endpoints of a list received at `now`, with their starts on this clock. A start that is new on a list has just
    /// happened, whatever time is reported for it.
    pub fn localize(&mut self, endpoints: Vec<Endpoint>, now: Timestamp) -> Vec<Endpoint> {
        if self.starts.len() > MAX_TRACKED_STARTS {
            // A server that is listed again after this goes through slow start once more, which is harmless.
            self.starts.clear();
        }
        endpoints
            .into_iter()
            .map(|endpoint| Endpoint { started: self.start_of(&endpoint, now), ..endpoint })
            .collect()
    }

    fn start_of(&mut self, endpoint: &Endpoint, now: Timestamp) -> Option<Timestamp> {
        let reported = endpoint.started?;
        if endpoint.state == EndpointState::Removed {
            return Some(reported);
        }
        let tracked = self.starts.get(&endpoint.server).copied();
        let start = tracked.filter(|start| start.reported == reported).unwrap_or_else(|| {
            let observed = self.list_received.then(|| self.observe(reported, now));
            let start = TrackedStart { reported, first_listed: now, observed };
            self.starts.insert(endpoint.server.clone(), start);
            start
        });
        Some(self.on_this_clock(&start))
    }

    /// The time of a start that has just been listed: as long ago as this listing's delay exceeds the shortest one. The
    /// first one observed, and one that would be older than a list can be late, counts from now.
    fn observe(&mut self, reported: Timestamp, now: Timestamp) -> Timestamp {
        let delay_ms = now.as_ms() - reported.as_ms();
        let min_delay_ms = self.min_listing_delay_ms.map_or(delay_ms, |min_ms| min_ms.min(delay_ms));
        self.min_listing_delay_ms = Some(min_delay_ms);
        let start = Timestamp::from_ms(reported.as_ms() + min_delay_ms).min(now);
        if now.since(start) > MAX_LIST_DELAY {
            now
        } else {
            start
        }
    }

    /// A list from discovery has been applied.
    pub fn on_list_applied(&mut self) {
        self.list_received = true;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/start_times.rs"]
mod tests;
