//! Converts the start times of servers to this process's clock.
//!
//! Discovery reports the start of a server in Unix time. This process reads Unix time only once, when it starts, from a
//! system clock that may be wrong at that moment. Reported start times therefore cannot be compared with this process's
//! clock directly.

use shelfgrade::host::{Endpoint, EndpointState, ServerId};
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of servers whose start is tracked, including servers that are no longer listed.
const MAX_TRACKED_STARTS: usize = 1 << 16;
/// Maximum time between a change and the receipt of a list that contains it.
const MAX_LIST_DELAY: Duration = Duration::from_millis(6000);
/// Clock differences up to this are ignored: discovery's time has a resolution of one second, and a response takes time
/// to arrive.
const CLOCK_TOLERANCE_MS: f64 = 2000.0;

/// The most recent start of a server.
#[derive(Clone, Copy)]
struct TrackedStart {
    /// Start time as reported by discovery.
    reported: Timestamp,
    /// When this start was first seen on a list, on this process's clock.
    first_listed: Timestamp,
    /// Estimated start time on this process's clock, if the server started after this process had received a list.
    observed: Option<Timestamp>,
}

/// The server starts reported so far, and what is known about the difference between the clocks.
#[derive(Default)]
pub struct StartTimes {
    starts: BTreeMap<ServerId, TrackedStart>,
    /// How far this process's clock is ahead of discovery's; zero if it is behind or if this is unknown.
    clock_lead: Duration,
    /// The shortest time so far between a reported start and its first listing, in milliseconds. It is the sum of the
    /// shortest list delay and the difference between the clocks, and may be negative.
    min_listing_delay_ms: Option<f64>,
    /// Whether a list from discovery has been applied. A start that first appears on a later list has just happened.
    list_received: bool,
}

impl StartTimes {
    /// Updates the clock difference from discovery's time as sent with a list. Returns whether the start times of
    /// servers listed earlier have changed.
    ///
    /// Without this, if the system clock was ahead when this process started, servers that have just started would be
    /// treated as warmed up. A clock that was behind is harmless, because start times are never in the future.
    pub fn update_clock_lead(&mut self, discovery_time: SystemTime, now: Timestamp) -> bool {
        let since_epoch = discovery_time.duration_since(UNIX_EPOCH).unwrap_or_default();
        let lead = now.since(Timestamp::from_ms(since_epoch.as_secs_f64() * 1000.0));
        // If the lead were updated by every response, start times would keep moving later.
        let has_changed = (lead.as_ms() - self.clock_lead.as_ms()).abs() > CLOCK_TOLERANCE_MS;
        if has_changed {
            self.clock_lead = lead;
        }
        has_changed
    }

    /// Recalculates the start times of endpoints that [`Self::localize`] returned earlier, using the current clock
    /// lead.
    pub fn relocalize(&self, endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
        let start_of =
            |endpoint: &Endpoint| self.starts.get(&endpoint.server).map(|start| self.local_start_time(start));
        endpoints
            .into_iter()
            .map(|endpoint| Endpoint { started: start_of(&endpoint).or(endpoint.started), ..endpoint })
            .collect()
    }

    fn local_start_time(&self, start: &TrackedStart) -> Timestamp {
        start.observed.unwrap_or((start.reported + self.clock_lead).min(start.first_listed))
    }

    /// Converts the start times of the endpoints of a list received at `now` to this process's clock. After the first
    /// list, a start that has not been listed before has just happened, whatever time is reported for it.
    pub fn localize(&mut self, endpoints: Vec<Endpoint>, now: Timestamp) -> Vec<Endpoint> {
        if self.starts.len() > MAX_TRACKED_STARTS {
            // Servers listed after this go through slow start once more, which is harmless.
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
            let observed = self.list_received.then(|| self.estimate_start(reported, now));
            let start = TrackedStart { reported, first_listed: now, observed };
            self.starts.insert(endpoint.server.clone(), start);
            start
        });
        Some(self.local_start_time(&start))
    }

    /// Estimates the time of a start that has just been listed, by how much its listing delay exceeds the shortest
    /// delay. The result is `now` for the first start observed, and if the estimate is older than the maximum list
    /// delay.
    fn estimate_start(&mut self, reported: Timestamp, now: Timestamp) -> Timestamp {
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

    /// Called when a list from discovery has been applied.
    pub fn on_list_applied(&mut self) {
        self.list_received = true;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/start_times.rs"]
mod tests;
