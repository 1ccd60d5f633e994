//! Periodic checks of servers, and health checks by which sessions choose among servers.

use super::LoadBalancer;
use crate::host::{EndpointState, Host};
use crate::state::{Server, Session};
use crate::time::{DurationExt, Timestamp};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// The time between two rounds of checks: a draining server of twenty connections is empty in five seconds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two health checks of a server.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// The time between two health checks of a server with an outlier score.
const OUTLIER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// With fewer connections than this, a server is checked less often, as there is less to move away from it.
const FULL_RATE_CONNECTIONS: f64 = 4.0;
/// A health check that takes this many times the shortest recent one is late.
const LATE_RATIO: f64 = 1.6;
/// A health check that takes this many times the shortest recent one is as late as can be borne.
const OVERLOADED_RATIO: f64 = 2.1;

/// The next round of periodic checks.
pub(super) struct PeriodicCheck {
    pub(super) at: Timestamp,
    /// Whether it health-checks servers.
    pub(super) probes: bool,
}

/// A session that waits for the answer to a health check.
pub(super) struct HealthCheckWait {
    pub(super) until: Timestamp,
    pub(super) session: Weak<Session>,
}

impl LoadBalancer {
    /// Starts the periodic checks, which schedule themselves from then on; for a host on sockets. A round moves clients
    /// away from draining servers and, where `probing`, health-checks the servers that this proxy uses.
    pub fn start_periodic_checks(&mut self, probing: bool, now: Timestamp, host: &mut dyn Host) {
        let at = now + ROUND_INTERVAL;
        self.next_check = Some(PeriodicCheck { at, probes: probing });
        host.schedule_wakeup(at);
        for server in self.state.servers.all().iter() {
            if server.state.get() == EndpointState::Draining {
                self.rebalance(server, true, 1.0, host);
            } else if probing && server.is_check_due(now) {
                server.last_health_check.set(now);
                host.check_health(&server.id);
            }
        }
    }

    /// A health check has been answered, or given up, after `latency`.
    pub fn on_health_check(&mut self, server: &str, latency: Duration, now: Timestamp, host: &mut dyn Host) {
        let Some(server) = self.state.servers.find(server) else { return };
        // A check that was given up has taken longer than the objective.
        let is_answer = latency <= self.message_latency_objective;
        let waiting = if is_answer { server.awaiting_health_check.take() } else { Vec::new() };
        for session in waiting.iter().filter_map(Weak::upgrade) {
            if session.awaits_health_check.take() {
                self.place(&session, Some(server.clone()), now, host);
            }
        }
        let ratio = server.record_health_check(latency);
        let lateness = (ratio - LATE_RATIO) / (OVERLOADED_RATIO - LATE_RATIO);
        self.record_lateness(&server, lateness, now, host);
    }

    /// Has a session wait for the answer to a health check, for a bounded time.
    pub(super) fn hold_for_health_check(
        &mut self,
        session: &Rc<Session>,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        let half_left = session.deadline.since(now).scaled(0.5);
        let until = now + self.message_latency_objective.min(half_left);
        self.health_check_waits.push(HealthCheckWait { until, session: Rc::downgrade(session) });
        host.schedule_wakeup(until);
    }

    /// Places the sessions whose health checks were not answered in time.
    pub(super) fn end_health_check_waits(&mut self, now: Timestamp, host: &mut dyn Host) {
        let due: Vec<_> = self.health_check_waits.extract_if(.., |wait| wait.until <= now).collect();
        for session in due.iter().filter_map(|wait| wait.session.upgrade()) {
            if session.awaits_health_check.take() {
                self.place(&session, None, now, host);
            }
        }
    }
}

impl Server {
    fn is_check_due(&self, now: Timestamp) -> bool {
        let is_outlier = self.outlier_score(now) > Server::DECAYED_OUTLIER_SCORE;
        let interval = if is_outlier { OUTLIER_CHECK_INTERVAL } else { CHECK_INTERVAL };
        let connections = self.open_connections();
        let slowdown = (FULL_RATE_CONNECTIONS / connections.max(1.0)).max(1.0);
        connections > 0.0 && now.since(self.last_health_check.get()) >= interval.scaled(slowdown)
    }

    /// Has a session wait for this server's answer to a health check, which other sessions may wait for already. Does
    /// nothing where the host allows no health checks.
    pub(super) fn request_health_check(&self, session: &Rc<Session>, host: &mut dyn Host) {
        let mut waiting = self.awaiting_health_check.borrow_mut();
        waiting.retain(|session| session.upgrade().is_some_and(|s| s.awaits_health_check.get()));
        if !waiting.is_empty() || host.check_health(&self.id) {
            waiting.push(Rc::downgrade(session));
            session.awaits_health_check.set(true);
        }
    }
}
