//! Periodic work.

use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

/// The interval at which message latencies are reported and maintenance windows are updated.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

impl Proxy {
    /// Called once each [`super::TICK`].
    pub fn on_tick(&mut self) {
        for session in self.executor.needing_tick.retain_pending(Session::needs_tick) {
            self.executor.metrics.count("session checks");
            session.on_tick(self);
        }
        self.expire_pending_connections();
        self.executor.lingering.close_expired(self.now());
        self.reload_if_requested();
        self.release_held_sessions();
        self.report_if_due();
        self.advance_shutdown();
    }

    fn report_if_due(&mut self) {
        let now = self.now();
        if now.since(self.latencies_reported_at) < REPORT_INTERVAL {
            return;
        }
        self.latencies_reported_at = now;
        let sessions = &self.executor.sessions;
        self.balancer.evict_idle(|session| sessions.contains(*session), now);
        self.apply_maintenance_windows();
        self.report_message_latencies(now);
    }

    /// Reports to the load balancer how long each waiting client has waited, and how long messages take at each server.
    fn report_message_latencies(&mut self, now: Timestamp) {
        let servers: Vec<_> = self.executor.servers.values().cloned().collect();
        let is_waiting = |session: &Session| {
            session.stage.get() == Stage::Established && session.awaiting_reply_since.get().is_some()
        };
        for session in self.executor.awaiting_reply.retain_pending(is_waiting) {
            self.executor.metrics.count("session checks");
            // Reports on the sessions before may have migrated this one.
            if let Some(since) =
                session.awaiting_reply_since.get().filter(|_| session.stage.get() == Stage::Established)
            {
                self.balancer.on_message_latency(session.id, now.since(since), now, &mut self.executor);
                self.run_deferred_actions();
            }
        }
        for server in servers {
            if let Some((took, session)) = server.message_latency.take_median() {
                log::debug!("messages at {} take {} ms", server.id, took.as_ms());
                self.balancer.on_message_latency(session.id, took, now, &mut self.executor);
                self.run_deferred_actions();
            }
        }
    }
}
