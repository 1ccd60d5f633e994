//! Tells apart the two kinds of load reports that a server sends with the same word, `LOAD` and a number.
//!
//! A connection load report gives the load of the connection that it comes on, in microseconds of work a second, and
//! comes when that changes. A message latency report gives how many milliseconds a message takes at the server now,
//! and comes once a second while that is long, on one connection of each proxy.

use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::Cell;
use std::time::Duration;

/// Reports below this are message latencies in milliseconds, not connection load.
const MIN_CONNECTION_LOAD_US_PER_S: f64 = 300.0;
/// Reports from here on are connection load, not message latencies.
const MAX_MESSAGE_LATENCY_MS: f64 = 4000.0;
/// The interval of message latency reports. A report between the two limits is one if it comes a multiple of this after
/// the last.
const REPORT_INTERVAL_MS: f64 = 1000.0;
/// How far a report may be off a multiple of the interval.
const REPORT_JITTER_MS: f64 = 40.0;
/// After a longer gap the interval proves nothing.
const MAX_REPORT_GAP: Duration = Duration::from_millis(5500);

/// The timing of one server's message latency reports.
#[derive(Default)]
pub struct LoadReports {
    /// When the last report came that may have been a message latency.
    last_report_at: Cell<Option<Timestamp>>,
}

impl LoadReports {
    /// Whether a report that comes now gives a message latency.
    pub fn is_message_latency(&self, value: f64, now: Timestamp) -> bool {
        if value >= MAX_MESSAGE_LATENCY_MS {
            return false;
        }
        let gap = self.last_report_at.get().map(|at| now.since(at)).filter(|gap| *gap < MAX_REPORT_GAP);
        let is_latency = value < MIN_CONNECTION_LOAD_US_PER_S || gap.is_some_and(is_report_interval);
        if is_latency || gap.is_none() {
            self.last_report_at.set(Some(now));
        }
        is_latency
    }
}

fn is_report_interval(gap: Duration) -> bool {
    let intervals = (gap.as_ms() / REPORT_INTERVAL_MS).round();
    intervals >= 1.0 && (gap.as_ms() - intervals * REPORT_INTERVAL_MS).abs() < REPORT_JITTER_MS
}

#[cfg(test)]
#[path = "../../tests/unit/load_reports.rs"]
mod tests;
