//! The server side of a session: advances its attempt, and handles the lines that the server sends.

use crate::net::line::{line_text, ProxyResponse, ServerLine};
use crate::net::socket::StreamEnd;
use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use crate::upstream::attempt::Attempt;
use crate::upstream::load_reports::LatencyReport;
use crate::upstream::server::Server;
use shelfgrade::host::{AttemptOutcome, EndpointState};
use shelfgrade::time::DurationExt;
use std::rc::Rc;
use std::time::Duration;

/// Load reports with this value or a higher one are invalid, in microseconds of work per second: the work of a
/// thousand cores.
const MAX_LOAD_US_PER_S: f64 = 1e9;

impl Session {
    /// Advances the attempt, and reads once from the server. Returns whether anything was received, or the attempt has
    /// ended.
    pub fn read_server(&self, proxy: &mut Proxy) -> bool {
        let Some(attempt) = self.attempt.borrow().clone() else { return false };
        if attempt.is_connecting() {
            let connected = attempt.socket.is_connected();
            if let Ok(false) = connected {
                return false;
            }
            if let Some(outcome) = self.outcome_before_request(&attempt, connected.is_ok(), proxy) {
                self.on_attempt_ended(&attempt, outcome, proxy);
                return true;
            }
            attempt.send_request(self, proxy);
        }
        attempt.flush_request();
        if self.to_client.borrow().is_full() {
            // The reply may have arrived, and waits for the client to read what precedes it.
            self.awaiting_reply_since.set(None);
        }
        let end_before = attempt.socket.peer_end.get();
        let read = attempt.socket.read(&mut self.to_client.borrow_mut());
        if read > 0 {
            self.on_server_data(&attempt, read, proxy);
        }
        match attempt.socket.peer_end.get() {
            Some(end) if self.is_current(&attempt) && (end_before.is_none() || end == StreamEnd::Reset) => {
                self.on_server_end(&attempt, end, proxy) || read > 0
            }
            _ => read > 0,
        }
    }

    /// The outcome of an attempt that ends before anything is sent; none if the request is to be sent. `is_connected`:
    /// the connection has been established, and has not failed.
    fn outcome_before_request(
        &self,
        attempt: &Attempt,
        is_connected: bool,
        proxy: &mut Proxy,
    ) -> Option<AttemptOutcome> {
        if !is_connected {
            Some(AttemptOutcome::Unreachable)
        } else if !self.may_send_request(attempt, proxy) {
            Some(AttemptOutcome::NotSent)
        } else if attempt.socket.peer_has_closed() {
            Some(AttemptOutcome::Unreachable)
        } else {
            None
        }
    }

    /// Whether the request may be sent over a connection that has just been established. It may not if the server has
    /// been removed or is draining by now, or if the load balancer does not want this attempt any more. As nothing is
    /// sent then, the server cannot have run the request.
    fn may_send_request(&self, attempt: &Attempt, proxy: &mut Proxy) -> bool {
        proxy.discovery.clone().read_pending(proxy);
        let is_eligible = attempt.server.state.get() == EndpointState::Active || self.is_restored();
        let now = proxy.now();
        is_eligible && proxy.balancer.may_send_request(self.id, now)
    }

    fn is_current(&self, attempt: &Rc<Attempt>) -> bool {
        self.attempt.borrow().as_ref().is_some_and(|current| Rc::ptr_eq(current, attempt))
    }

    /// Handles the end of the server's stream. Returns whether that ended the attempt before it was established.
    fn on_server_end(&self, attempt: &Rc<Attempt>, end: StreamEnd, proxy: &mut Proxy) -> bool {
        match self.stage.get() {
            Stage::Connecting => {
                let outcome = attempt.unreachable_or(AttemptOutcome::ConnectionLost);
                self.on_attempt_ended(attempt, outcome, proxy);
                return true;
            }
            Stage::Established => self.end_both_streams(end, attempt.outcome_if_closed.get(), proxy),
            // The client ended its stream first.
            Stage::Closing | Stage::Closed => {
                self.to_client_end.set(self.to_client_end.get().or(Some(end)));
            }
        }
        false
    }

    /// Handles the last `read` bytes of the buffer to the client, which the server has just sent.
    fn on_server_data(&self, attempt: &Rc<Attempt>, read: usize, proxy: &mut Proxy) {
        if self.to_client_end.get().is_some() {
            // The client's stream ends with what is buffered already, so later bytes are dropped.
            self.to_client.borrow_mut().truncate_by(read);
            return;
        }
        if self.migrating_since.get().is_some() && self.drop_partial_line(attempt, read) {
            return proxy.finish_migration(self);
        }
        let lines = attempt.decoder.borrow_mut().feed(self.to_client.borrow().latest(read));
        match lines {
            Ok(lines) => lines.iter().for_each(|line| self.on_server_line(attempt, line_text(line), proxy)),
            Err(error) if attempt.is_established() => {
                self.on_protocol_error(error, AttemptOutcome::ConnectionLost, proxy);
            }
            Err(_) => {
                proxy.executor.metrics.count("overlong lines");
                self.on_attempt_ended(attempt, AttemptOutcome::ConnectionLost, proxy);
            }
        }
    }

    /// Prepares a migration that waits for the end of a line: if a line ends in the bytes just read, the incomplete
    /// line after it is dropped, so that the migration does not interrupt a line. Returns whether a line ends there.
    fn drop_partial_line(&self, attempt: &Attempt, read: usize) -> bool {
        let mut to_client = self.to_client.borrow_mut();
        let partial_len = to_client.latest(read).iter().rev().take_while(|b| **b != b'\n').count();
        let has_line_end = partial_len < read;
        if has_line_end {
            to_client.truncate_by(partial_len);
            attempt.discard_partial_line();
        }
        has_line_end
    }

    fn on_server_line(&self, attempt: &Rc<Attempt>, text: &str, proxy: &mut Proxy) {
        log::trace!("session {}: line from {}: {text}", self.id.0, attempt.server.id);
        if !self.is_current(attempt) {
            return;
        }
        let line = ServerLine::parse(text);
        if attempt.is_established() {
            self.on_established_line(attempt, line, proxy);
        } else {
            self.on_response(attempt, line, proxy);
        }
    }

    /// Handles the server's response to the request.
    fn on_response(&self, attempt: &Rc<Attempt>, line: ServerLine, proxy: &mut Proxy) {
        match line {
            ServerLine::Established => {
                attempt.establish();
                self.enter_stage(Stage::Established, proxy.now());
                proxy.on_established(self, &attempt.server.id);
            }
            ServerLine::Rejected => self.on_attempt_ended(attempt, AttemptOutcome::Rejected, proxy),
            ServerLine::Migrate => self.on_attempt_ended(attempt, AttemptOutcome::Cancelled, proxy),
            _ => self.on_attempt_ended(attempt, AttemptOutcome::Failed, proxy),
        }
    }

    /// Handles a line on an established session.
    fn on_established_line(&self, attempt: &Attempt, line: ServerLine, proxy: &mut Proxy) {
        attempt.outcome_if_closed.set(match line {
            ServerLine::Completed => AttemptOutcome::Completed,
            ServerLine::Migrate => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::ConnectionLost,
        });
        let awaiting_since = self.awaiting_reply_since.take();
        match (line, awaiting_since) {
            (ServerLine::Load(value), _) => self.on_load_report(&attempt.server, value, proxy),
            (ServerLine::Completed | ServerLine::Migrate, _) | (_, None) => {}
            (_, Some(since)) => {
                attempt.server.message_latency.record(self.weak_self.clone(), proxy.now().since(since))
            }
        }
    }

    /// Handles a load report, which contains either the load of a connection in microseconds of work per second or the
    /// server's message latency in milliseconds. Values out of range are ignored.
    fn on_load_report(&self, server: &Server<Proxy>, value: &str, proxy: &mut Proxy) {
        let is_valid = |value: &f64| (0.0..MAX_LOAD_US_PER_S).contains(value);
        let Some(value) = value.parse().ok().filter(is_valid) else { return };
        let now = proxy.now();
        if !proxy.executor.servers_report_latency
            || !server.load_report_classifier.is_message_latency(value, now)
        {
            return proxy.balancer.on_load_report(self.id, value);
        }
        let latency = Duration::from_ms(value);
        let report = LatencyReport { latency, session: self.weak_self.clone() };
        if server.latency_report_limiter.receive(report, now) {
            log::debug!("{} reports a message latency of {value} ms", server.id);
            proxy.on_message_latency(self.id, latency);
        }
    }

    /// Called when the timer of an attempt expires. The attempt does not time out if its response has arrived, or the
    /// client has closed its connection, and that event has not been handled yet.
    pub fn on_attempt_timeout(&self, attempt: &Rc<Attempt>, proxy: &mut Proxy) {
        self.on_ready(proxy);
        if self.is_current(attempt) && !attempt.is_established() {
            let outcome = attempt.unreachable_or(AttemptOutcome::TimedOut);
            self.on_attempt_ended(attempt, outcome, proxy);
        }
    }

    /// Handles the end of an attempt before the session was established; the load balancer decides on a retry.
    fn on_attempt_ended(&self, attempt: &Attempt, outcome: AttemptOutcome, proxy: &mut Proxy) {
        log::debug!("session {}: attempt at {} ended: {outcome:?}", self.id.0, attempt.server.id);
        self.attempt.borrow_mut().take();
        self.to_client.borrow_mut().clear();
        if self.is_restored() {
            return self.send_final_response(ProxyResponse::Failed, &mut proxy.executor);
        }
        proxy.on_attempt_ended(self.id, outcome, false);
    }
}
