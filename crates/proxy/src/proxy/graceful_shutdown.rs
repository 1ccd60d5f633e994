//! Graceful shutdown: new sessions are still accepted and answered, and established ones are migrated, until none is left
//! or the schedule ends.

use crate::net::line::ProxyResponse;
use crate::proxy::{Proxy, TICK};
use crate::session::{Session, Stage};
use shelfgrade::time::{DurationExt, Timestamp};
use std::rc::Rc;
use std::time::Duration;

impl Proxy {
    /// Begins the shutdown; a second request changes nothing.
    pub fn request_shutdown(&mut self) {
        let now = self.now();
        self.shutdown_requested_at.get_or_insert(now);
        log::info!("shutdown requested, with {} connections", self.executor.sessions.len());
    }

    /// Whether the shutdown has come to where new sessions are rejected.
    pub fn rejects_new_sessions(&self) -> bool {
        self.shutdown_requested_at
            .is_some_and(|requested_at| self.now().since(requested_at) >= self.shutdown_schedule.accept_for)
    }

    /// Called with each tick: goes on with a shutdown, and stops the event loop when it is complete.
    pub fn advance_shutdown(&mut self) {
        let schedule = self.shutdown_schedule;
        let now = self.now();
        let Some(elapsed) = self.shutdown_requested_at.map(|requested_at| now.since(requested_at)) else {
            return;
        };
        if elapsed >= schedule.keep_sessions_for {
            self.migrate_some(schedule.accept_for.as_ms() - elapsed.as_ms());
        }
        let sessions: Vec<Rc<Session>> = self.executor.sessions.values().cloned().collect();
        if elapsed >= schedule.accept_for {
            self.fail_unplaced(&sessions);
        }
        let has_unwritten_answers = sessions
            .iter()
            .any(|session| session.stage.get() == Stage::Closing && !session.client.is_closed());
        let is_done = self.is_quiet(now, elapsed) && !has_unwritten_answers && !self.has_open_work(&sessions);
        if !is_done && elapsed < schedule.final_answers_after {
            return;
        }
        self.answer_remaining();
        // The process must not exit while final lines are being written or are on their way.
        let is_still_writing = has_unwritten_answers || self.executor.lingering.len() > 0;
        if elapsed < schedule.exit_after && is_still_writing {
            return;
        }
        let peers = self.peers.take();
        peers.inspect(|peers| peers.leave(self));
        self.stop.stop();
    }

    /// Migrates an equal part of the sessions with each tick that is left.
    fn migrate_some(&mut self, ms_left: f64) {
        let ticks_left = (ms_left / TICK.as_millis() as f64) as usize;
        self.balancer.migrate_sessions(ticks_left, &mut self.executor);
        self.run_deferred_actions();
    }

    fn fail_unplaced(&mut self, sessions: &[Rc<Session>]) {
        for session in sessions.iter().filter(|session| session.stage.get() == Stage::Connecting) {
            self.executor.metrics.count("failed at shutdown");
            session.send_final_response(ProxyResponse::Failed, &mut self.executor);
        }
    }

    /// Whether no session has come for a while; clients go on coming for a moment after the signal.
    fn is_quiet(&self, now: Timestamp, elapsed: Duration) -> bool {
        const QUIET_FOR: Duration = Duration::from_millis(500);
        elapsed >= QUIET_FOR && now.since(self.last_arrival) >= QUIET_FOR
    }

    /// Whether a session is open, or a connection has sent nothing yet or half of its first line.
    fn has_open_work(&self, sessions: &[Rc<Session>]) -> bool {
        let is_open =
            |session: &Rc<Session>| matches!(session.stage.get(), Stage::Connecting | Stage::Established);
        sessions.iter().any(is_open)
            || self
                .listener
                .pending
                .values()
                .any(|pending_connection| pending_connection.may_send_request_line())
            || !self.listener.queue_is_empty()
    }

    /// Rejects the connections that are pending or still in the system's queue, and fails sessions that come that late: a
    /// connection that is closed without an answer is a client lost.
    fn answer_remaining(&mut self) {
        // More than fills up again while the others are answered.
        const MAX_ACCEPT_ROUNDS: usize = 64;
        self.shutdown_schedule.accept_for = Duration::ZERO;
        for _ in 0..MAX_ACCEPT_ROUNDS {
            self.accept();
            if self.listener.queue_is_empty() {
                break;
            }
        }
        for pending_connection in self.listener.pending.values().cloned().collect::<Vec<_>>() {
            pending_connection.on_ready(self);
            if self.listener.pending.contains(&pending_connection) {
                pending_connection.reject(
                    ProxyResponse::Rejected,
                    "pending connections closed at shutdown",
                    self,
                );
            }
        }
        for session in self.executor.sessions.values().cloned().collect::<Vec<_>>() {
            if session.stage.get() == Stage::Connecting {
                session.send_final_response(ProxyResponse::Failed, &mut self.executor);
            }
        }
    }
}
