//! Graceful shutdown: the proxy still accepts and answers new sessions and migrates established ones, until no session
//! is left or the shutdown schedule ends.

use crate::net::line::ProxyResponse;
use crate::proxy::{Proxy, TICK};
use crate::session::{Session, Stage};
use shelfgrade::time::{DurationExt, Timestamp};
use std::rc::Rc;
use std::time::Duration;

impl Proxy {
    /// Starts the shutdown. Further requests have no effect.
    pub fn request_shutdown(&mut self) {
        let now = self.now();
        self.shutdown_requested_at.get_or_insert(now);
        log::info!("shutdown requested with {} sessions", self.executor.sessions.len());
    }

    /// Whether new sessions are rejected because the shutdown schedule no longer accepts them.
    pub fn rejects_new_sessions(&self) -> bool {
        self.shutdown_requested_at
            .is_some_and(|requested_at| self.now().since(requested_at) >= self.shutdown_schedule.accept_for)
    }

    /// Performs the next steps of a requested shutdown, and stops the event loop when it is complete. Called on each
    /// tick.
    pub fn advance_shutdown(&mut self) {
        let schedule = self.shutdown_schedule;
        let now = self.now();
        let Some(elapsed) = self.shutdown_requested_at.map(|requested_at| now.since(requested_at)) else {
            return;
        };
        if elapsed >= schedule.migrate_sessions_after {
            self.migrate_gradually(schedule.accept_for.as_ms() - elapsed.as_ms());
        }
        let sessions: Vec<Rc<Session>> = self.executor.sessions.values().cloned().collect();
        if elapsed >= schedule.accept_for {
            self.fail_connecting(&sessions);
        }
        let has_unwritten_responses = sessions
            .iter()
            .any(|session| session.stage.get() == Stage::Closing && !session.client.is_closed());
        let is_done = self.has_no_recent_arrivals(now, elapsed)
            && !has_unwritten_responses
            && !self.has_unfinished_work(&sessions);
        if !is_done && elapsed < schedule.final_responses_after {
            return;
        }
        self.close_remaining();
        // The process must not exit before clients have received their final lines.
        let is_still_writing = has_unwritten_responses || self.executor.lingering.len() > 0;
        if elapsed < schedule.exit_after && is_still_writing {
            return;
        }
        let peers = self.peers.take();
        peers.inspect(|peers| peers.leave(self));
        self.stop_signal.stop();
    }

    /// Migrates sessions at an even rate over the remaining ticks.
    fn migrate_gradually(&mut self, remaining_ms: f64) {
        let ticks_left = (remaining_ms / TICK.as_millis() as f64) as usize;
        self.balancer.migrate_sessions(ticks_left, &mut self.executor);
        self.run_deferred_actions();
    }

    /// Fails the sessions that have no established connection to a server yet.
    fn fail_connecting(&mut self, sessions: &[Rc<Session>]) {
        for session in sessions.iter().filter(|session| session.stage.get() == Stage::Connecting) {
            self.executor.metrics.count("failed at shutdown");
            session.send_final_response(ProxyResponse::Failed, &mut self.executor);
        }
    }

    /// Whether no session has arrived for some time. Clients continue to connect shortly after the shutdown signal.
    fn has_no_recent_arrivals(&self, now: Timestamp, elapsed: Duration) -> bool {
        const ARRIVAL_IDLE_TIME: Duration = Duration::from_millis(500);
        elapsed >= ARRIVAL_IDLE_TIME && now.since(self.last_arrival) >= ARRIVAL_IDLE_TIME
    }

    /// Whether a session is open, a connection may still send a complete first line, or connections wait to be
    /// accepted.
    fn has_unfinished_work(&self, sessions: &[Rc<Session>]) -> bool {
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

    /// Rejects pending connections and those still in the system's accept queue, and fails the sessions that they open,
    /// because a connection closed without a response counts as a lost client.
    fn close_remaining(&mut self) {
        // More rounds than are needed for the connections that arrive during the loop.
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
