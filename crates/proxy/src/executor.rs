//! Executes the load balancer's decisions on sockets and timers: attempts, final responses, migrations, health checks
//! and wakeups.

use crate::descriptor_budget::DescriptorBudget;
use crate::downstream::lingering::LingeringCloses;
use crate::lifecycle::startup::Limits;
use crate::metrics::Metrics;
use crate::net::clock::Clock;
use crate::net::line::ProxyResponse;
use crate::net::socket::Socket;
use crate::pending_sessions::PendingSessions;
use crate::proxy::Proxy;
use crate::recent_request_ids::RecentRequestIds;
use crate::session::{Session, Stage, RESTORE_TIMEOUT};
use crate::session_table::SessionTable;
use crate::upstream::attempt::Attempt;
use crate::upstream::server::Server;
use crate::upstream::server_pool::ServerPool;
use calloop::timer::{TimeoutAction, Timer};
use calloop::LoopHandle;
use shelfgrade::host::{AttemptOutcome, Host, ServerId, SessionId};
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// The settings that the executor uses.
pub struct ExecutorSettings {
    /// How long a connection to a server may take to be established. If it is not set, only the timeout of the attempt
    /// applies.
    pub dial_timeout: Option<Duration>,
    /// Whether health checks may be sent to servers.
    pub health_checks_allowed: bool,
    /// Whether servers report message latencies.
    pub servers_report_latency: bool,
    /// The resource limits of the process.
    pub limits: Limits,
}

/// An attempt, or an established session, that has ended and is to be reported to the load balancer.
pub struct EndedAttempt {
    pub session: SessionId,
    pub outcome: AttemptOutcome,
    /// Whether the client is gone or has its final response, so that no further attempt is needed.
    pub client_done: bool,
}

/// Executes decisions, and owns the servers and sessions that they concern.
pub struct Executor {
    /// Handle of the event loop, for registering sockets and timers.
    pub handle: LoopHandle<'static, Proxy>,
    /// Counters and rate-limited warnings.
    pub metrics: Rc<Metrics>,
    pub clock: Clock,
    /// See [`ExecutorSettings::dial_timeout`].
    pub dial_timeout: Option<Duration>,
    health_checks_allowed: bool,
    /// See [`ExecutorSettings::servers_report_latency`].
    pub servers_report_latency: bool,
    /// The servers of the endpoint list.
    pub servers: ServerPool<Proxy>,
    /// All sessions that are not closed yet.
    pub sessions: SessionTable<Session>,
    /// The request ids of sessions closed recently.
    pub recent_request_ids: RecentRequestIds,
    /// Sessions whose timeouts have to be checked on each tick.
    pub needing_tick: PendingSessions<Session>,
    /// Sessions whose client waits for a reply from the server.
    pub awaiting_reply: PendingSessions<Session>,
    /// Client connections that have been sent their final response and are being closed.
    pub lingering: LingeringCloses<Proxy>,
    /// Restored sessions whose server is not in the endpoint list yet.
    awaiting_endpoint: Vec<Weak<Session>>,
    /// Whether an endpoint list has been received since the start.
    pub list_received: Cell<bool>,
    /// Whether the load balancer has requested a poll of the endpoint list.
    pub poll_requested: Cell<bool>,
    /// The time for which the load balancer last requested a wakeup.
    pub next_wakeup: Timestamp,
    /// Attempts that ended during a call of the load balancer, to be reported to it after it has returned.
    pub deferred_outcomes: VecDeque<EndedAttempt>,
    /// Servers whose health check is started after the load balancer has returned.
    pub deferred_health_checks: VecDeque<Rc<Server<Proxy>>>,
    budget: DescriptorBudget,
}

impl Executor {
    /// Creates an executor without servers or sessions, and starts its clock.
    pub fn new(handle: LoopHandle<'static, Proxy>, settings: ExecutorSettings) -> Self {
        Executor {
            handle,
            metrics: Rc::default(),
            clock: Clock::start(),
            dial_timeout: settings.dial_timeout,
            health_checks_allowed: settings.health_checks_allowed,
            servers_report_latency: settings.servers_report_latency,
            servers: ServerPool::default(),
            sessions: SessionTable::default(),
            recent_request_ids: RecentRequestIds::new(settings.limits),
            needing_tick: PendingSessions::default(),
            awaiting_reply: PendingSessions::default(),
            lingering: LingeringCloses::default(),
            awaiting_endpoint: Vec::new(),
            list_received: Cell::new(false),
            poll_requested: Cell::new(false),
            next_wakeup: Timestamp::default(),
            deferred_outcomes: VecDeque::new(),
            deferred_health_checks: VecDeque::new(),
            budget: DescriptorBudget::new(settings.limits.sockets as usize),
        }
    }

    /// The number of health check connections that are always allowed: only servers that hold a session are checked
    /// periodically, and at most three servers are checked for each new session.
    fn min_health_checks(&self) -> usize {
        self.servers.len().min(3 * (self.sessions.len() + 1))
    }

    /// The number of health check connections to budget for, as open ones outlive the sessions that they were opened
    /// for.
    fn expected_health_checks(&self) -> usize {
        self.servers.health_check_count().max(self.min_health_checks())
    }

    /// The maximum number of connections that have not sent their first line yet.
    pub fn max_pending_connections(&self) -> usize {
        self.budget.max_pending_connections(self.sessions.len(), self.expected_health_checks())
    }

    /// Whether there are too few descriptors for one more session. Health check connections in excess of the minimum
    /// are closed first if that is enough.
    pub fn is_out_of_descriptors(&self) -> bool {
        let fits = |health_checks| self.budget.has_capacity_for_session(self.sessions.len(), health_checks);
        let fits_at_minimum = fits(self.min_health_checks());
        if fits_at_minimum && !fits(self.expected_health_checks()) {
            self.servers.close_excess_health_checks(self.min_health_checks());
        }
        !fits_at_minimum
    }

    /// Makes sure that there is a descriptor for one more health check connection: existing ones that were opened for
    /// sessions closed since then may hold all of the budget.
    pub fn free_health_check_descriptor(&self) {
        let max = self.budget.max_health_checks(self.sessions.len()).max(self.min_health_checks());
        self.servers.close_excess_health_checks(max.saturating_sub(1));
    }

    /// Closes a client's connection after its final response.
    pub fn close_after_final_response(&mut self, client: Rc<Socket<Proxy>>) {
        let now = self.clock.now();
        self.lingering.close(client, now);
    }

    /// Schedules another call of [`Session::on_ready`] after the other events of the event loop.
    pub fn reschedule(&self, session: &Session) {
        let weak = session.weak_self.clone();
        let is_scheduled = session.further_io.schedule(&self.handle, move |proxy| {
            weak.upgrade().inspect(|session| session.on_ready(proxy));
        });
        self.metrics.check_invariant(is_scheduled, "a timer can be set");
    }

    /// Reconnects a session that was established before the start to its server, once that server is listed.
    pub fn restore_session(&mut self, session: &Rc<Session>) {
        if !session.client_is_waiting(self) {
            return;
        }
        let server = session.open_request.restored_from.as_ref().and_then(|id| self.servers.get(id).cloned());
        let Some(server) = server else { return self.awaiting_endpoint.push(session.weak_self.clone()) };
        match Attempt::start(session, server, RESTORE_TIMEOUT, self) {
            Ok(attempt) => drop(session.attempt.replace(Some(attempt))),
            Err(error) => {
                log::warn!("session {}: cannot reconnect restored session: {error}", session.id.0);
                session.send_final_response(ProxyResponse::Failed, self);
            }
        }
    }

    /// Retries restoring the sessions whose server was not listed before.
    pub fn restore_waiting_sessions(&mut self) {
        for session in std::mem::take(&mut self.awaiting_endpoint).iter().filter_map(Weak::upgrade) {
            if session.stage.get() == Stage::Connecting {
                self.restore_session(&session);
            }
        }
    }

    fn start_attempt(
        &self,
        session: &Rc<Session>,
        server: Rc<Server<Proxy>>,
        timeout: Duration,
    ) -> io::Result<()> {
        self.metrics
            .check_invariant(session.attempt.borrow().is_none(), "a session has one attempt at a time");
        let attempt = Attempt::start(session, server, timeout, self)?;
        session.attempt.replace(Some(attempt));
        Ok(())
    }

    /// Stores an outcome that cannot be reported now, as the load balancer is being called.
    fn defer_outcome(&mut self, session: SessionId, outcome: AttemptOutcome, client_done: bool) {
        self.deferred_outcomes.push_back(EndedAttempt { session, outcome, client_done });
    }
}

impl Host for Executor {
    fn connect(&mut self, session: SessionId, server: &ServerId, timeout: Duration) {
        log::debug!("session {}: connecting to {server}, timeout {} ms", session.0, timeout.as_ms());
        let (entry, server) = (self.sessions.get(session).cloned(), self.servers.get(server).cloned());
        let exist = entry.is_some() && server.is_some();
        self.metrics.check_invariant(exist, "the session and the server of an attempt exist");
        let Some(entry) = entry else {
            return self.defer_outcome(session, AttemptOutcome::NotSent, false);
        };
        if !entry.client_is_waiting(self) {
            return self.defer_outcome(session, AttemptOutcome::Cancelled, true);
        }
        let Some(server) = server else {
            return self.defer_outcome(session, AttemptOutcome::NotSent, false);
        };
        if let Err(error) = self.start_attempt(&entry, server, timeout) {
            log::warn!("session {}: cannot connect to server: {error}", session.0);
            let is_refused = error.kind() == ErrorKind::ConnectionRefused;
            let outcome = if is_refused { AttemptOutcome::Unreachable } else { AttemptOutcome::NotSent };
            self.defer_outcome(session, outcome, false);
        }
    }

    fn reject(&mut self, session: SessionId, retry_after: Duration) {
        self.metrics.count("rejected");
        log::debug!("session {}: rejected, retry after {} ms", session.0, retry_after.as_ms());
        if let Some(session) = self.sessions.get(session).cloned() {
            session.send_final_response(ProxyResponse::RejectedWithRetryAfter(retry_after), self);
        }
    }

    fn fail(&mut self, session: SessionId) {
        self.metrics.count("failed");
        log::debug!("session {}: failed", session.0);
        if let Some(session) = self.sessions.get(session).cloned() {
            session.send_final_response(ProxyResponse::Failed, self);
        }
    }

    fn migrate(&mut self, session: SessionId) {
        self.metrics.count("migrated");
        log::debug!("session {}: migration requested", session.0);
        let now = self.clock.now();
        let found = self.sessions.get(session);
        let Some(session) = found.filter(|session| session.stage.get() == Stage::Established) else {
            return;
        };
        session.migrating_since.set(Some(now));
        self.needing_tick.add(session);
        if session.try_migrate(now) {
            let id = session.id;
            self.defer_outcome(id, AttemptOutcome::Cancelled, true);
        }
    }

    fn check_health(&mut self, server: &ServerId) -> bool {
        let server = self.servers.get(server).filter(|_| self.health_checks_allowed).cloned();
        self.deferred_health_checks.extend(server.clone());
        server.is_some()
    }

    fn subscribe(&mut self) {
        self.poll_requested.set(true);
    }

    fn schedule_wakeup(&mut self, at: Timestamp) {
        self.next_wakeup = at;
        let timer = Timer::from_duration(at.since(self.clock.now()));
        let registered = self.handle.insert_source(timer, |_, _, proxy| {
            let now = proxy.now();
            proxy.balancer.on_timer(now, &mut proxy.executor);
            proxy.run_deferred_actions();
            TimeoutAction::Drop
        });
        self.metrics.check_invariant(registered.is_ok(), "a timer can be set");
    }
}
