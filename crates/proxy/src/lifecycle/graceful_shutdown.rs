//! The end: what comes is still taken and answered, and what stands is moved, until nothing is left or time
//! runs out.

use crate::net::line::Answer;
use crate::proxy::{Proxy, TICK};
use crate::session::{Session, Stage};
use shelfgrade::time::{DurationExt, Timestamp};
use std::rc::Rc;
use std::time::Duration;

/// Killing comes this long after the signal and the longest request timeout of any client,
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// of which no more than this counts, or where the settings do not tell.
const MOST_REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);

/// When what happens after the signal: all of it follows from the settings. Guards against a process that is killed
/// with answers and moves still owed, where clients wait for less than three seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// What stands goes on until then, and is told to move from then on. Guards against clients coming back where
    /// nobody listens: where proxies are restarted in turn, the last one may take two seconds to be back.
    stay_for: Duration,
    /// Nobody is taken from here on, and who still waits is answered.
    open_for: Duration,
    /// Who still has sent no line, or comes only now, is told to come again from here on.
    last_call: Duration,
    gone_within: Duration,
}

impl ShutdownSchedule {
    pub fn by(longest_request_timeout: Option<Duration>) -> Self {
        // Enough for last lines to be read and for one more look, ticks being a tenth of a second apart.
        const LAST_WORDS: Duration = Duration::from_millis(500);
        const SPARE: Duration = Duration::from_millis(200);
        // Another look comes before the end, for answers that are still being written.
        const LAST_CALL: Duration = Duration::from_millis(350);
        let killed =
            longest_request_timeout.unwrap_or(MOST_REQUEST_TIMEOUT).min(MOST_REQUEST_TIMEOUT) + KILLED_AFTER;
        let before = |span: Duration| (Timestamp::default() + killed - span).since(Timestamp::default());
        ShutdownSchedule {
            // What is left then is enough to go one after the other.
            stay_for: before(LAST_WORDS).scaled(0.6),
            open_for: before(LAST_WORDS),
            last_call: before(LAST_CALL),
            gone_within: before(SPARE),
        }
    }
}

impl Proxy {
    pub fn shutdown_requested(&mut self) {
        let now = self.now();
        self.shutdown_requested.get_or_insert(now);
        log::info!("told to end, with {} connections", self.executor.sessions.len());
    }

    /// Called with each tick: ends when no more sessions come, all that came are answered, and none stands.
    pub fn end_when_done(&mut self) {
        // Clients go on coming for a little while after the signal.
        const QUIET_FOR: Duration = Duration::from_millis(500);
        let ShutdownSchedule { stay_for, open_for, last_call, gone_within } = self.shutdown_schedule;
        let now = self.now();
        let Some(past) = self.shutdown_requested.map(|told| now.since(told)) else { return };
        if past >= stay_for {
            let ticks_left = open_for.as_ms() - past.as_ms();
            self.balancer
                .migrate_sessions((ticks_left / TICK.as_millis() as f64) as usize, &mut self.executor);
            self.run_deferred_actions();
        }
        let sessions: Vec<Rc<Session>> = self.executor.sessions.values().cloned().collect();
        let in_stage = |stage| sessions.iter().filter(move |c| c.stage.get() == stage);
        if past >= open_for {
            for session in in_stage(Stage::Connecting) {
                self.executor.metrics.count("failed at shutdown");
                session.send_final_answer(Answer::Failed, &mut self.executor);
            }
        }
        let open = in_stage(Stage::Connecting).chain(in_stage(Stage::Established)).next().is_some();
        let leaving = in_stage(Stage::Closing).any(|c| !c.client.is_closed());
        let quiet = past >= QUIET_FOR && now.since(self.last_arrival) >= QUIET_FOR;
        // Guards against leaving who has connected, and has sent nothing yet or half of its line.
        let owed = self
            .listener
            .pending
            .values()
            .any(|pending_connection| pending_connection.may_send_request_line());
        let settled = quiet && !open && !leaving && !owed && self.listener.queue_is_empty();
        if settled || past >= last_call {
            self.last_answers();
            // Guards against a process that ends while last lines are being written, or are on their way.
            if past < gone_within && (leaving || self.executor.lingering.len() > 0) {
                return;
            }
            let peers = self.peers.take();
            peers.inspect(|peers| peers.leave(self));
            self.stop.stop();
        }
    }

    /// Who is at the door, or still in its queue, is told to come again: a connection closed without a word is a client
    /// lost. A session that comes that late is answered too.
    fn last_answers(&mut self) {
        // More turns than come in the time that all this takes.
        const TURNS: usize = 64;
        self.shutdown_schedule.open_for = Duration::ZERO;
        for _ in 0..TURNS {
            self.accept();
            if self.listener.queue_is_empty() {
                break;
            }
        }
        for pending_connection in self.listener.pending.values().cloned().collect::<Vec<_>>() {
            pending_connection.on_ready(self);
            if self.listener.pending.contains(&pending_connection) {
                pending_connection.reject(Answer::Rejected, "pending connections closed at shutdown", self);
            }
        }
        for session in self.executor.sessions.values().cloned().collect::<Vec<_>>() {
            if session.stage.get() == Stage::Connecting {
                session.send_final_answer(Answer::Failed, &mut self.executor);
            }
        }
    }

    /// Nobody new is taken any more.
    pub fn rejects_new_sessions(&self) -> bool {
        self.shutdown_requested.is_some_and(|told| self.now().since(told) >= self.shutdown_schedule.open_for)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/graceful_shutdown.rs"]
mod tests;
