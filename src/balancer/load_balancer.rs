//! The load balancer: handles events of sessions, attempts and the endpoint list, and runs the filter chain.

use super::attempt_timeout::AttemptDispatch;
use super::concurrency_limit::ConcurrencyLimit;
use super::filter::{Filter, Flow, Selection};
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

/// The message latency objective where no request class has one.
const DEFAULT_MESSAGE_LATENCY_OBJECTIVE: Duration = Duration::from_millis(100);

/// The decisions of one proxy.
pub struct LoadBalancer {
    classes: Vec<RequestClass>,
    /// The tightest of all request classes, as a server may hold sessions of any. A health check without an answer in
    /// this time is a sign of overload.
    pub(super) message_latency_objective: Duration,
    /// The longest wait that clients keep to.
    max_retry_after: Duration,
    pub(crate) state: Rc<ProxyState>,
    poll_schedule: PollSchedule,
    pub(super) next_check: Option<PeriodicCheck>,
    pub(super) health_check_waits: Vec<HealthCheckWait>,
    filters: [Box<dyn Filter>; 4],
    /// Every session that is unanswered, established or has a pending attempt.
    pub(crate) sessions: BTreeMap<SessionId, Rc<Session>>,
}

impl LoadBalancer {
    /// Decisions for one proxy, whose random draws follow from `seed`.
    ///
    /// A session has `max_attempts` at most. A rejected client is asked to wait for `max_retry_after` at most. The
    /// endpoint list is polled at least every `max_poll_interval`; none where it is pushed.
    pub fn new(
        seed: u64,
        classes: Vec<RequestClass>,
        max_attempts: usize,
        max_retry_after: Duration,
        max_poll_interval: Option<Duration>,
        slow_start: SlowStart,
    ) -> Self {
        let state = Rc::new(ProxyState::new(max_attempts, seed, slow_start.proxies));
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

    /// Starts with the last known endpoint list, and schedules the first poll.
    pub fn start(&mut self, last_known: &[Endpoint], now: Timestamp, host: &mut dyn Host) {
        self.on_endpoints(last_known, true, now);
        self.on_poll_failed(now, now, host);
    }

    /// Endpoints have been received: changes, or a complete list, which removes every server that it lacks.
    pub fn on_endpoints(&mut self, endpoints: &[Endpoint], is_complete: bool, now: Timestamp) {
        self.poll_schedule.on_endpoints();
        self.state.servers.update(endpoints, is_complete, now);
        self.state.update_outlier_half_lives();
    }

    /// The watch is lost, or the list has moved to another service. The list is polled now; changes that were missed
    /// have to be applied by `due`.
    pub fn on_watch_lost(&mut self, due: Timestamp, host: &mut dyn Host) {
        self.poll_schedule.on_watch_lost(due);
        host.subscribe();
    }

    /// A poll of the list that began at `since` has failed; also called at the start. Schedules the next one.
    pub fn on_poll_failed(&mut self, since: Timestamp, now: Timestamp, host: &mut dyn Host) {
        let state = &self.state;
        let random_unit = || state.random_unit();
        match self.poll_schedule.on_poll_failed(since, now, state.proxies, random_unit) {
            NextPoll::Immediately => host.subscribe(),
            NextPoll::At(at) => host.schedule_wakeup(at),
        }
    }

    /// A time has come for which the host was asked to schedule a wakeup.
    pub fn on_timer(&mut self, now: Timestamp, host: &mut dyn Host) {
        if self.poll_schedule.take_due(now) {
            host.subscribe();
        }
        if let Some(check) = self.next_check.take_if(|check| check.at <= now) {
            self.start_periodic_checks(check.probes, now, host);
        }
        self.end_health_check_waits(now, host);
    }

    /// A session has arrived.
    pub fn on_request(&mut self, arrival: &Arrival, now: Timestamp, host: &mut dyn Host) {
        let session = self.add_session(arrival);
        self.state.arrivals.record_arrival(now);
        self.place(&session, None, now, host);
    }

    /// A connection was already open when this proxy started; attempt 0 of its session counts as made.
    pub fn restore_session(&mut self, arrival: &Arrival, server: &str, now: Timestamp) {
        let Some(server) = self.state.servers.find(server) else { return };
        let session = self.add_session(arrival);
        session.attempts.borrow_mut().push(Attempt { server, sent_at: now, outcome: None });
        self.record_outcome(&session, None, now);
    }

    /// The connection of a session's attempt is established.
    pub fn on_established(&mut self, session: SessionId, now: Timestamp) {
        if let Some(session) = self.sessions.get(&session).cloned() {
            self.record_outcome(&session, None, now);
        }
    }

    /// An attempt has ended; `is_final` where the client has its final answer by now.
    pub fn on_attempt_ended(
        &mut self,
        session: SessionId,
        outcome: AttemptOutcome,
        is_final: bool,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        let Some(session) = self.sessions.get(&session).cloned() else { return };
        let is_over = is_final || session.established.get() || session.closing.get();
        self.record_outcome(&session, Some(outcome), now);
        if is_over {
            self.sessions.remove(&session.id);
        } else {
            self.place(&session, None, now, host);
        }
    }

    /// Whether the session's attempt, whose connection has just opened, may carry the request; else nothing is sent.
    pub fn may_send_request(&self, session: SessionId, now: Timestamp) -> bool {
        self.sessions.get(&session).is_none_or(|session| session.may_send_request(now))
    }

    /// An established session asks for this much work, in microseconds a second.
    pub fn on_load_report(&mut self, session: SessionId, load: f64) {
        if let Some(session) = self.sessions.get(&session) {
            session.load.set(load);
        }
    }

    /// The client has closed its connection; nothing more may be sent for the session.
    pub fn on_client_closed(&mut self, session: SessionId) {
        let Some(closed) = self.sessions.get(&session) else { return };
        closed.closing.set(true);
        // With no attempt pending, no outcome will remove it.
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

    /// Runs a session through the filter chain, with a server where one is already selected.
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
                Flow::Continue => continue,
                Flow::Hold if session.awaits_health_check.get() => {
                    return self.hold_for_health_check(session, now, host);
                }
                Flow::Hold => return,
                Flow::Finish => break,
            }
        }
        self.finish(session, host);
    }

    /// Gives a session its final answer.
    fn finish(&mut self, session: &Session, host: &mut dyn Host) {
        self.sessions.remove(&session.id);
        if session.may_reject() {
            let random = || self.max_retry_after.scaled(0.5 + 0.5 * self.state.random_unit());
            host.reject(session.id, session.admission_turn.map_or_else(random, |turn| turn.retry_after));
        } else {
            host.fail(session.id);
        }
    }

    /// Runs an outcome of a session's last attempt through the filter chain; none when its connection is established.
    fn record_outcome(&self, session: &Rc<Session>, outcome: Option<AttemptOutcome>, now: Timestamp) {
        let mut attempts = session.attempts.borrow_mut();
        let Some(attempt) = attempts.last_mut() else { return };
        // Of one session's errors only the first counts against a server: a further one speaks of the session.
        let is_repeated = outcome == Some(AttemptOutcome::Failed) && session.errored.replace(true);
        attempt.outcome = if is_repeated { Some(AttemptOutcome::Cancelled) } else { outcome };
        for filter in self.filters.iter().rev() {
            filter.on_outcome(session, attempt, now);
        }
        session.established.set(outcome.is_none());
    }
}
