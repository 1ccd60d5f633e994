//! The load balancer: handles events of sessions, attempts and the endpoint list, and runs sessions through the
//! filter chain.

use super::attempt_timeout::AttemptDispatch;
use super::concurrency_limit::ConcurrencyLimit;
use super::filter::{Filter, FilterStatus, Selection};
use super::flow_table::FlowLookup;
use super::health_checks::{HealthCheckWait, PeriodicCheck};
use super::placement::Placement;
use super::poll_schedule::{NextPoll, PollSchedule};
use super::slow_start::SlowStart;
use crate::host::{Arrival, AttemptOutcome, Endpoint, Host, RequestClass, SessionId};
use crate::state::{Attempt, ProxyState, Server, Session};
use crate::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The message latency objective if no request class has one.
const DEFAULT_MESSAGE_LATENCY_OBJECTIVE: Duration = Duration::from_millis(100);

/// Makes the decisions of one proxy.
pub struct LoadBalancer {
    classes: Vec<RequestClass>,
    /// The tightest objective of all request classes, because a server may hold sessions of any class. A health check
    /// that is not answered within this time is a sign of overload.
    pub(super) message_latency_objective: Duration,
    /// The longest delay before a retry that clients comply with.
    max_retry_after: Duration,
    pub(crate) state: Rc<ProxyState>,
    poll_schedule: PollSchedule,
    pub(super) next_check: Option<PeriodicCheck>,
    pub(super) health_check_waits: Vec<HealthCheckWait>,
    filters: [Box<dyn Filter>; 4],
    /// All sessions that have no final answer yet, are established or have a pending attempt.
    pub(crate) sessions: BTreeMap<SessionId, Rc<Session>>,
}

impl LoadBalancer {
    /// Creates the load balancer of one proxy. `seed` determines its random numbers.
    ///
    /// A session has at most `max_attempts` attempts. A rejected client is told to wait for at most
    /// `max_retry_after`. The endpoint list is polled at least every `max_poll_interval`; `None` if it is pushed to
    /// the host.
    pub fn new(
        seed: u64,
        classes: Vec<RequestClass>,
        max_attempts: usize,
        max_retry_after: Duration,
        max_poll_interval: Option<Duration>,
        slow_start: SlowStart,
    ) -> Self {
        let state = Rc::new(ProxyState::new(max_attempts, seed, slow_start.proxy_count));
        let objective = classes.iter().filter_map(|class| class.message_latency_objective).min();
        LoadBalancer {
            message_latency_objective: objective.unwrap_or(DEFAULT_MESSAGE_LATENCY_OBJECTIVE),
            classes,
            max_retry_after,
            poll_schedule: PollSchedule::new(max_poll_interval),
            next_check: None,
            health_check_waits: Vec::new(),
            filters: [
                Box::new(FlowLookup { state: state.clone() }),
                Box::new(ConcurrencyLimit { state: state.clone() }),
                Box::new(Placement { state: state.clone(), slow_start }),
                Box::new(AttemptDispatch { state: state.clone() }),
            ],
            state,
            sessions: BTreeMap::new(),
        }
    }

    /// Starts with the last known endpoint list and schedules the first poll.
    pub fn start(&mut self, last_known: &[Endpoint], now: Timestamp, host: &mut dyn Host) {
        self.on_endpoints(last_known, true, now);
        self.on_poll_failed(now, now, host);
    }

    /// Handles the answer to a poll or a watch: changes, or a complete list, which removes every server that it does not
    /// contain.
    pub fn on_endpoints(&mut self, endpoints: &[Endpoint], is_complete: bool, now: Timestamp) {
        self.on_poll_answered();
        self.on_shared_endpoints(endpoints, is_complete, now);
    }

    /// Handles the answer to a poll or a watch whose endpoints [`Self::on_shared_endpoints`] passes on. Changes are no
    /// longer due, and a failure after this is the first one.
    pub fn on_poll_answered(&mut self) {
        self.poll_schedule.on_answered();
    }

    /// Handles endpoints that another process may have received. This process's own polls go on as they are scheduled.
    pub fn on_shared_endpoints(&mut self, endpoints: &[Endpoint], is_complete: bool, now: Timestamp) {
        self.state.servers.update(endpoints, is_complete, now);
        self.state.update_outlier_half_lives();
    }

    /// Handles the loss of the watch, or a move of the list to another discovery service. The list is polled
    /// immediately; changes that were missed must be applied by `due`.
    pub fn on_watch_lost(&mut self, due: Timestamp, host: &mut dyn Host) {
        self.poll_schedule.on_watch_lost(due);
        host.subscribe();
    }

    /// Handles the failure of a poll that was started at `poll_started_at`, and schedules the next one. Also called
    /// at startup.
    pub fn on_poll_failed(&mut self, poll_started_at: Timestamp, now: Timestamp, host: &mut dyn Host) {
        let state = &self.state;
        let random_unit = || state.random_unit();
        match self.poll_schedule.on_poll_failed(poll_started_at, now, state.proxy_count, random_unit) {
            NextPoll::Immediately => host.subscribe(),
            NextPoll::At(at) => host.schedule_wakeup(at),
        }
    }

    /// Handles a wakeup that was scheduled through the host.
    pub fn on_timer(&mut self, now: Timestamp, host: &mut dyn Host) {
        if self.poll_schedule.take_due(now) {
            host.subscribe();
        }
        if let Some(check) = self.next_check.take_if(|check| check.at <= now) {
            self.start_periodic_checks(check.with_health_checks, now, host);
        }
        self.end_health_check_waits(now, host);
    }

    /// Handles the arrival of a session.
    pub fn on_request(&mut self, arrival: &Arrival, now: Timestamp, host: &mut dyn Host) {
        let session = self.add_session(arrival);
        self.state.arrivals.record_arrival(now);
        self.place(&session, None, now, host);
    }

    /// Restores the session of a connection that was already open when this proxy started. Counts as attempt 0 of the
    /// session.
    pub fn restore_session(&mut self, arrival: &Arrival, server: &str, now: Timestamp) {
        let Some(server) = self.state.servers.find(server) else { return };
        let session = self.add_session(arrival);
        session.attempts.borrow_mut().push(Attempt::new(server, now));
        self.record_outcome(&session, None, now);
    }

    /// Handles the establishment of the connection of a session's attempt.
    pub fn on_established(&mut self, session: SessionId, now: Timestamp) {
        if let Some(session) = self.sessions.get(&session).cloned() {
            self.record_outcome(&session, None, now);
        }
    }

    /// Handles the end of an attempt. `is_final` means that the client already has its final answer.
    pub fn on_attempt_ended(
        &mut self,
        session: SessionId,
        outcome: AttemptOutcome,
        is_final: bool,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        let Some(session) = self.sessions.get(&session).cloned() else { return };
        let has_ended = is_final || session.established.get() || session.closing.get();
        self.record_outcome(&session, Some(outcome), now);
        if has_ended {
            self.sessions.remove(&session.id);
        } else {
            self.place(&session, None, now, host);
        }
    }

    /// Whether the session's attempt, whose connection has just opened, may carry the request. If not, the host sends
    /// nothing.
    pub fn may_send_request(&self, session: SessionId, now: Timestamp) -> bool {
        let is_allowed =
            |session: &Rc<Session>| self.filters.iter().all(|filter| filter.may_send_request(session, now));
        self.sessions.get(&session).is_none_or(is_allowed)
    }

    /// Handles a server's report of the load of an established session, in microseconds of work per second.
    pub fn on_load_report(&mut self, session: SessionId, load: f64) {
        if let Some(session) = self.sessions.get(&session) {
            session.load.set(load);
        }
    }

    /// Handles a client that has closed its connection: nothing more is sent for its session.
    pub fn on_client_closed(&mut self, session: SessionId) {
        let Some(closed) = self.sessions.get(&session) else { return };
        closed.closing.set(true);
        // While it waits for a health check no attempt is pending, so that no outcome would remove it.
        if closed.awaits_health_check.take() {
            self.sessions.remove(&session);
        }
    }

    fn add_session(&mut self, arrival: &Arrival) -> Rc<Session> {
        let class = arrival.class.and_then(|class| self.classes.get(class));
        let session = Rc::new(Session::new(arrival, class));
        self.state.arrivals.record_group(&session);
        self.sessions.insert(arrival.session, session.clone());
        session
    }

    /// Runs a session through the filter chain, with a preselected server if `server` is given.
    pub(super) fn place(
        &mut self,
        session: &Rc<Session>,
        server: Option<Rc<Server>>,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        let mut selection = Selection { server };
        for filter in &self.filters {
            match filter.on_request(session, &mut selection, now, host) {
                FilterStatus::Continue => continue,
                FilterStatus::Wait if session.awaits_health_check.get() => {
                    return self.wait_for_health_check(session, now, host);
                }
                FilterStatus::Wait => return,
                FilterStatus::Finish => break,
            }
        }
        self.finish(session, host);
    }

    /// Sends a session its final answer.
    fn finish(&mut self, session: &Session, host: &mut dyn Host) {
        self.sessions.remove(&session.id);
        if session.may_reject() {
            let random_retry_after = || self.max_retry_after.scaled(0.5 + 0.5 * self.state.random_unit());
            host.reject(
                session.id,
                session.admission_turn.map_or_else(random_retry_after, |turn| turn.retry_after),
            );
        } else {
            host.fail(session.id);
        }
    }

    /// Runs the outcome of a session's last attempt through the filter chain, or `None` when its connection has just
    /// been established.
    fn record_outcome(&self, session: &Rc<Session>, outcome: Option<AttemptOutcome>, now: Timestamp) {
        let mut attempts = session.attempts.borrow_mut();
        let Some(attempt) = attempts.last_mut() else { return };
        // Only the first error of a session counts against a server: further errors are more likely caused by the
        // session itself.
        let is_repeated = outcome == Some(AttemptOutcome::Failed) && session.errored.replace(true);
        attempt.outcome = if is_repeated { Some(AttemptOutcome::Cancelled) } else { outcome };
        for filter in self.filters.iter().rev() {
            filter.on_outcome(session, attempt, now);
        }
        session.established.set(outcome.is_none());
    }
}
