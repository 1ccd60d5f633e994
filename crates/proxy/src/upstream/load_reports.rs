//! Telling a server's two kinds of notes apart, which it writes in the same words: `LOAD` and a number.
//!
//! One is the load of the connection that it comes on, in microseconds of work a second, and comes when that
//! changes. The other is how many milliseconds a message takes at the server now, and comes once a second
//! while that is long, on one connection of each proxy.

use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::Cell;
use std::time::Duration;

#[derive(Default)]
pub struct LoadReports {
    /// When the last note came that may have told of messages.
    last: Cell<Option<Timestamp>>,
}

impl LoadReports {
    /// Whether a note that comes now tells how long messages take.
    pub fn is_delay(&self, told: f64, now: Timestamp) -> bool {
        // Of 1,300 loads seen none was less: a client that asks for so little is as good as gone.
        const LEAST_LOAD: f64 = 300.0;
        // The longest seen was 3.3 s; what is longer is a load that keeps the beat by chance.
        const LONGEST_MS: f64 = 4000.0;
        // What is between the two is a delay where it keeps the beat of the notes before it.
        const BEAT_MS: f64 = 1000.0;
        const OFF_BEAT_MS: f64 = 40.0;
        // A pause of more beats than these proves little.
        const LONGEST_PAUSE: Duration = Duration::from_millis(5500);
        if told >= LONGEST_MS {
            return false;
        }
        let past = self.last.get().map(|at| now.since(at)).filter(|past| *past < LONGEST_PAUSE);
        let on_beat = past.is_some_and(|past| {
            let beats = (past.as_ms() / BEAT_MS).round();
            beats >= 1.0 && (past.as_ms() - beats * BEAT_MS).abs() < OFF_BEAT_MS
        });
        let delay = told < LEAST_LOAD || on_beat;
        if delay || past.is_none() {
            self.last.set(Some(now));
        }
        delay
    }
}

#[cfg(test)]
#[path = "../../tests/unit/load_reports.rs"]
mod tests;
