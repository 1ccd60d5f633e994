//! Handles the events of sessions and servers: reports each to the load balancer and carries out its decisions.

use super::admission::arrival;
use crate::net::open_request::OpenRequest;
use crate::net::socket::Socket;
use crate::proxy::Proxy;
use crate::session::Session;
use crate::upstream::server::Server;
use shelfgrade::host::{AttemptOutcome, ServerId, SessionId};
use shelfgrade::time::DurationExt;
use std::rc::Rc;
use std::time::Duration;

impl Proxy {
    /// Opens the session of a client that has sent its first line.
    pub fn open_session(&mut self, request: OpenRequest, client: Rc<Socket<Proxy>>) {
        log::trace!("{request:?}");
        let now = self.now();
        let session =
            Session::new(self.executor.sessions.allocate_id(), request, client, self.ring_size, now);
        let weak = session.weak_self.clone();
        session.client.set_on_ready(move |proxy| {
            weak.upgrade().inspect(|session| session.on_socket_event(proxy));
        });
        self.executor.sessions.insert(&session);
        self.discovery.clone().read_pending(self);
        if session.is_restored() {
            self.executor.needing_tick.add(&session);
            self.executor.restore_session(&session);
        } else {
            self.executor.metrics.count("sessions");
            self.last_arrival = now;
            if self.startup_gate.is_closed() && self.peers.is_none() {
                self.hold_at_startup_gate(&session);
            } else {
                self.admit(&session);
            }
        }
        // Bytes that arrived after the first line was read may trigger no readiness event of their own.
        session.on_ready(self);
        self.evict_pending_connections();
    }

    /// Called when the session's connection to its server is established.
    pub fn on_established(&mut self, session: &Session, server: &ServerId) {
        let now = self.now();
        if session.is_restored() {
            self.balancer.restore_session(&arrival(session, now), server, now);
        } else {
            self.executor.metrics.count("sessions established");
            log::debug!("session {} established at {server}", session.id.0);
            self.balancer.on_established(session.id, now);
        }
    }

    /// Called when an attempt or an established session has ended. `client_done`: the client has been answered or its
    /// connection has ended, so no retry follows.
    pub fn on_attempt_ended(&mut self, session: SessionId, outcome: AttemptOutcome, client_done: bool) {
        log::debug!("session {}: attempt ended: {outcome:?}, client done: {client_done}", session.0);
        let now = self.now();
        self.balancer.on_attempt_ended(session, outcome, client_done, now, &mut self.executor);
        self.run_deferred_actions();
    }

    /// Called when the client has closed its connection before it was answered, which also ends the attempt in flight.
    pub fn on_client_closed(&mut self, session: SessionId) {
        self.balancer.on_client_closed(session);
        self.on_attempt_ended(session, AttemptOutcome::Cancelled, true);
    }

    /// Called when a health check was answered, or has timed out, after `latency`.
    pub fn on_health_check(&mut self, server: &Server<Proxy>, latency: Duration) {
        self.executor.metrics.count("health checks");
        log::debug!("health check of {} took {} ms", server.id, latency.as_ms());
        let now = self.now();
        self.balancer.on_health_check(&server.id, latency, now, &mut self.executor);
        self.run_deferred_actions();
    }

    /// Called when a message of a session has taken this long so far, or has been answered after this time, or when the
    /// server has reported such a latency on the session.
    pub fn on_message_latency(&mut self, session: SessionId, latency: Duration) {
        let now = self.now();
        self.balancer.on_message_latency(session, latency, now, &mut self.executor);
        self.run_deferred_actions();
    }

    /// Carries out a migration that is waiting for the end of a line, if the line has ended.
    pub fn finish_migration(&mut self, session: &Session) {
        let now = self.now();
        if session.try_migrate(now) {
            self.on_attempt_ended(session.id, AttemptOutcome::Cancelled, true);
        }
    }
}
