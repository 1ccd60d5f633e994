//! Classifies load reports: servers send two kinds of them in the same format, `LOAD` and a number.
//!
//! A connection load report contains the load of the connection on which it is sent, in microseconds of work per
//! second. It is sent when that load changes. A message latency report contains the server's current message latency
//! in milliseconds. It is sent once a second while that latency is high, on one connection of each proxy.

use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Reports with a value below this are message latencies.
const MIN_CONNECTION_LOAD_US_PER_S: f64 = 300.0;
/// Reports with this value or a higher one are connection loads.
const MAX_MESSAGE_LATENCY_MS: f64 = 4000.0;
/// The interval of message latency reports. A report with a value between the two limits is a message latency if the
/// time since the last one is a multiple of this interval.
const REPORT_INTERVAL_MS: f64 = 1000.0;
/// Maximum deviation of a report from a multiple of the interval.
const REPORT_JITTER_MS: f64 = 40.0;
/// After a longer gap, the time since the last report gives no evidence of its kind.
const MAX_REPORT_GAP: Duration = Duration::from_millis(5500);
/// Message latency reports of one server that follow each other faster than this are combined. It is shorter than the
/// interval at which servers send them.
const MIN_LATENCY_REPORT_GAP: Duration = Duration::from_millis(500);

/// Classifies the load reports of one server by their values and their timing.
#[derive(Default)]
pub struct LoadReportClassifier {
    /// When the last report was received that may have been a message latency.
    last_report_at: Cell<Option<Timestamp>>,
}

impl LoadReportClassifier {
    /// Whether a report received now contains a message latency.
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

/// A message latency report, with the session on which it was received.
pub struct LatencyReport<S> {
    pub latency: Duration,
    pub session: Weak<S>,
}

/// Combines the message latency reports of one server, so that the work that they cause does not depend on how many the
/// server sends. A report describes the present state of the server, so only the latest one counts.
pub struct LatencyReportLimiter<S> {
    /// When a report was last passed on.
    last_passed_at: Cell<Option<Timestamp>>,
    /// The latest report that has not been passed on.
    held: RefCell<Option<LatencyReport<S>>>,
}

impl<S> Default for LatencyReportLimiter<S> {
    fn default() -> Self {
        LatencyReportLimiter { last_passed_at: Cell::default(), held: RefCell::default() }
    }
}

impl<S> LatencyReportLimiter<S> {
    /// Receives a report. Returns whether the caller is to pass it on now; otherwise it is held for [`Self::take_held`],
    /// in place of the previous one.
    pub fn receive(&self, report: LatencyReport<S>, now: Timestamp) -> bool {
        let is_too_soon = |at: Timestamp| now.since(at) < MIN_LATENCY_REPORT_GAP;
        if self.last_passed_at.get().is_some_and(is_too_soon) {
            self.held.replace(Some(report));
            return false;
        }
        self.held.take();
        self.last_passed_at.set(Some(now));
        true
    }

    /// Returns the latency of the held report with its session, and removes it. A report of a closed session is
    /// dropped.
    pub fn take_held(&self, now: Timestamp) -> Option<(Duration, Rc<S>)> {
        let LatencyReport { latency, session } = self.held.take()?;
        self.last_passed_at.set(Some(now));
        Some((latency, session.upgrade()?))
    }
}

fn is_report_interval(gap: Duration) -> bool {
    let intervals = (gap.as_ms() / REPORT_INTERVAL_MS).round();
    intervals >= 1.0 && (gap.as_ms() - intervals * REPORT_INTERVAL_MS).abs() < REPORT_JITTER_MS
}

#[cfg(test)]
#[path = "../../tests/unit/load_reports.rs"]
mod tests;
