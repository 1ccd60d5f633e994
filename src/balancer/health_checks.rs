//! Periodic health checks of servers, and health checks by which a session's server is chosen.

use super::LoadBalancer;
use crate::host::{EndpointState, Host};
use crate::state::{HealthCheckWaiter, Server, Session};
use crate::time::{DurationExt, Timestamp};
use std::rc::Rc;
use std::time::Duration;

/// The time between two rounds of checks. At this interval, a draining server with twenty connections is empty within
/// five seconds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two periodic health checks of a server.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// The time between two periodic health checks of a server with an outlier score.
const OUTLIER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A server with fewer connections than this is checked less often, because there are fewer to migrate away from it.
const FULL_RATE_MIN_CONNECTIONS: f64 = 4.0;
/// A health check is late if it takes this many times the shortest recent latency.
const LATE_RATIO: f64 = 1.6;
/// A health check that takes this many times the shortest recent latency shows an overloaded server.
const OVERLOADED_RATIO: f64 = 2.1;

/// The next round of periodic checks.
pub(super) struct PeriodicCheck {
    pub(super) at: Timestamp,
    /// Whether the round includes health checks.
    pub(super) with_health_checks: bool,
}

/// How long a session waits for the answers to its health checks.
pub(super) struct HealthCheckWait {
    until: Timestamp,
    waiter: HealthCheckWaiter,
}

impl LoadBalancer {
    /// Runs a round of periodic checks and schedules the next round, which `on_timer` runs. Called at startup by hosts
    /// that use sockets, but not by the simulator's host. Each round migrates clients away from draining servers and,
    /// if `with_health_checks`, health-checks the servers to which this proxy has connections.
    pub fn start_periodic_checks(&mut self, with_health_checks: bool, now: Timestamp, host: &mut dyn Host) {
        let at = now + ROUND_INTERVAL;
        self.next_check = Some(PeriodicCheck { at, with_health_checks });
        host.schedule_wakeup(at);
        for server in self.state.servers.all().iter() {
            if server.state.get() == EndpointState::Draining {
                self.rebalance(server, true, 1.0, now, host);
            } else if with_health_checks && server.is_check_due(now) {
                server.last_health_check.set(now);
                host.check_health(&server.id);
            }
        }
    }

    /// Handles a health check that was answered, or given up, after `latency`.
    pub fn on_health_check(&mut self, server: &str, latency: Duration, now: Timestamp, host: &mut dyn Host) {
        let Some(server) = self.state.servers.find(server) else { return };
        // A check that was given up has taken longer than the objective.
        let is_answer = latency <= self.message_latency_objective;
        let waiters = if is_answer { server.health_check_waiters.take() } else { Vec::new() };
        for session in waiters.iter().filter_map(HealthCheckWaiter::waiting_session) {
            session.awaits_health_check.set(false);
            self.place(&session, Some(server.clone()), now, host);
        }
        let ratio = server.record_health_check(latency);
        let lateness = (ratio - LATE_RATIO) / (OVERLOADED_RATIO - LATE_RATIO);
        self.record_lateness(&server, lateness, now, host);
    }

    /// Makes a session wait for the answer to a health check, for a limited time.
    pub(super) fn wait_for_health_check(
        &mut self,
        session: &Rc<Session>,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        let half_time_left = session.deadline.since(now).scaled(0.5);
        let until = now + self.message_latency_objective.min(half_time_left);
        self.health_check_waits.push(HealthCheckWait { until, waiter: HealthCheckWaiter::new(session) });
        host.schedule_wakeup(until);
    }

    /// Places the sessions whose health checks were not answered in time.
    pub(super) fn end_health_check_waits(&mut self, now: Timestamp, host: &mut dyn Host) {
        let due: Vec<_> = self.health_check_waits.extract_if(.., |wait| wait.until <= now).collect();
        for session in due.iter().filter_map(|wait| wait.waiter.waiting_session()) {
            session.awaits_health_check.set(false);
            self.place(&session, None, now, host);
        }
    }
}

impl Server {
    fn is_check_due(&self, now: Timestamp) -> bool {
        let is_outlier = self.outlier_score(now) > Server::NEGLIGIBLE_OUTLIER_SCORE;
        let interval = if is_outlier { OUTLIER_CHECK_INTERVAL } else { CHECK_INTERVAL };
        let connections = self.open_connections();
        let slowdown = (FULL_RATE_MIN_CONNECTIONS / connections.max(1.0)).max(1.0);
        connections > 0.0 && now.since(self.last_health_check.get()) >= interval.scaled(slowdown)
    }

    /// Makes a session wait for this server's answer to a health check, which it shares with other waiting sessions.
    /// Does nothing if the host does not allow health checks.
    pub(super) fn request_health_check(&self, session: &Rc<Session>, host: &mut dyn Host) {
        let mut waiters = self.health_check_waiters.borrow_mut();
        waiters.retain(|waiter| waiter.waiting_session().is_some());
        if !waiters.is_empty() || host.check_health(&self.id) {
            waiters.push(HealthCheckWaiter::new(session));
            session.awaits_health_check.set(true);
        }
    }
}
