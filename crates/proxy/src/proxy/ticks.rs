//! The periodic work of the proxy.

use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

/// The interval at which message latencies are reported and maintenance windows are evaluated.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

impl Proxy {
    /// Performs the periodic work. Called every [`super::TICK`].
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

    /// Performs the work that is done once per [`REPORT_INTERVAL`]: drops idle load balancers, evaluates maintenance
    /// windows and reports message latencies.
    fn report_if_due(&mut self) {
        let now = self.now();
        if now.since(self.latencies_reported_at) < REPORT_INTERVAL {
            return;
        }
        self.latencies_reported_at = now;
        let sessions = &self.executor.sessions;
        self.balancer.evict_idle(|session| sessions.contains(*session), now);
        self.apply_maintenance_windows();
        self.report_unanswered_messages(now);
        self.report_server_latencies(now);
    }

    /// Reports to the load balancer how long clients have been waiting for a reply.
    fn report_unanswered_messages(&mut self, now: Timestamp) {
        let is_waiting = |session: &Session| {
            session.stage.get() == Stage::Established && session.awaiting_reply_since.get().is_some()
        };
        for session in self.executor.awaiting_reply.retain_pending(is_waiting) {
            self.executor.metrics.count("session checks");
            // Reports on previous sessions may have caused the migration of this one.
            let is_established = session.stage.get() == Stage::Established;
            if let Some(since) = session.awaiting_reply_since.get().filter(|_| is_established) {
                self.on_message_latency(session.id, now.since(since));
            }
        }
    }

    /// Reports to the load balancer the message latency of each server, as measured and as last reported by the server.
    fn report_server_latencies(&mut self, now: Timestamp) {
        let servers: Vec<_> = self.executor.servers.values().cloned().collect();
        for server in servers {
            let measured = server.message_latency.take_median();
            let reported = server.latency_report_limiter.take_held(now);
            for (latency, session) in measured.into_iter().chain(reported) {
                log::debug!("message latency of {}: {} ms", server.id, latency.as_ms());
                self.on_message_latency(session.id, latency);
            }
        }
    }
}
