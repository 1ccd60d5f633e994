//! Executes the load balancer's decisions on sockets: attempts, answers, migrations, health checks and wake-ups.

use crate::descriptor_budget::DescriptorBudget;
use crate::downstream::lingering::LingeringCloses;
use crate::metrics::Metrics;
use crate::net::clock::Clock;
use crate::net::line::ProxyResponse;
use crate::net::socket::Socket;
use crate::pending_sessions::PendingSessions;
use crate::proxy::Proxy;
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

/// What the executor needs of the settings.
pub struct ExecutorSettings {
    /// How long a connection to a server may take to come up; without it an attempt's own timeout applies.
    pub dial_timeout: Option<Duration>,
    /// Whether servers may be health-checked.
    pub health_checks_allowed: bool,
    /// Whether servers report how long messages take.
    pub servers_report_latency: bool,
    /// Descriptors that the process may open.
    pub max_descriptors: usize,
}

/// How an attempt, or an established session, has ended.
pub struct EndedAttempt {
    /// The session whose attempt it was.
    pub session: SessionId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The client needs no further attempt.
    pub client_done: bool,
}

/// Executes decisions, and owns the servers and sessions that they are about.
pub struct Executor {
    /// The loop that watches sockets and timers.
    pub handle: LoopHandle<'static, Proxy>,
    /// Counters and rate-limited warnings.
    pub metrics: Rc<Metrics>,
    /// The process's clock.
    pub clock: Clock,
    /// See [`ExecutorSettings::dial_timeout`].
    pub dial_timeout: Option<Duration>,
    health_checks_allowed: bool,
    /// See [`ExecutorSettings::servers_report_latency`].
    pub servers_report_latency: bool,
    /// The servers of the endpoint list.
    pub servers: ServerPool<Proxy>,
    /// The sessions.
    pub sessions: SessionTable<Session>,
    /// Sessions that have something to do with each tick.
    pub needing_tick: PendingSessions<Session>,
    /// Sessions whose client has sent a line that nothing has come back for.
    pub awaiting_reply: PendingSessions<Session>,
    /// Client connections that have been sent their final answer.
    pub lingering: LingeringCloses<Proxy>,
    /// Restored sessions whose server is not on the endpoint list yet.
    awaiting_endpoint: Vec<Weak<Session>>,
    /// Whether discovery has sent an endpoint list since the start.
    pub list_received: Cell<bool>,
    /// Whether the load balancer has asked for an endpoint list.
    pub poll_requested: Cell<bool>,
    /// When the load balancer last asked to be woken.
    pub next_wakeup: Timestamp,
    /// Attempts that ended while the load balancer was being called, to be reported when it has returned.
    pub deferred_outcomes: VecDeque<EndedAttempt>,
    /// Servers to be health-checked once the load balancer has returned.
    pub deferred_health_checks: VecDeque<Rc<Server<Proxy>>>,
    budget: DescriptorBudget,
}

impl Executor {
    /// An executor without servers or sessions; its clock starts here.
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
            needing_tick: PendingSessions::default(),
            awaiting_reply: PendingSessions::default(),
            lingering: LingeringCloses::default(),
            awaiting_endpoint: Vec::new(),
            list_received: Cell::new(false),
            poll_requested: Cell::new(false),
            next_wakeup: Timestamp::default(),
            deferred_outcomes: VecDeque::new(),
            deferred_health_checks: VecDeque::new(),
            budget: DescriptorBudget::new(settings.max_descriptors),
        }
    }

    /// Health check connections that are always allowed: only servers that hold a session are checked periodically, and
    /// up to three for a new session.
    fn min_health_checks(&self) -> usize {
        self.servers.len().min(3 * (self.sessions.len() + 1))
    }

    /// Health check connections to reckon with: they outlive the sessions that they were opened for.
    fn expected_health_checks(&self) -> usize {
        self.servers.health_check_count().max(self.min_health_checks())
    }

    /// How many connections without a first line may be held.
    pub fn max_pending_connections(&self) -> usize {
        self.budget.max_pending_connections(self.sessions.len(), self.expected_health_checks())
    }

    /// Whether one more session might find no descriptor. Closes health checks in excess of the minimum first.
    pub fn is_out_of_descriptors(&self) -> bool {
        let fits = |health_checks| self.budget.has_capacity_for_session(self.sessions.len(), health_checks);
        let fits_at_minimum = fits(self.min_health_checks());
        if fits_at_minimum && !fits(self.expected_health_checks()) {
            self.servers.close_health_checks(self.min_health_checks());
        }
        !fits_at_minimum
    }

    /// Frees a descriptor for one more health check, as connections that were opened for sessions since closed may hold
    /// all of them.
    pub fn make_room_for_health_check(&self) {
        let max = self.budget.max_health_checks(self.sessions.len()).max(self.min_health_checks());
        self.servers.close_health_checks(max.saturating_sub(1));
    }

    /// Closes a client's connection after its final answer.
    pub fn close_after_final_response(&mut self, client: Rc<Socket<Proxy>>) {
        let now = self.clock.now();
        self.lingering.close(client, now);
    }

    /// Has a session's sockets looked at again after the other sources of the loop had their turn.
    pub fn schedule_ready(&self, session: &Session) {
        let weak = session.weak_self.clone();
        let timer = self.handle.insert_source(Timer::immediate(), move |_, _, proxy| {
            weak.upgrade().inspect(|session| session.on_ready(proxy));
            TimeoutAction::Drop
        });
        self.metrics.check_invariant(timer.is_ok(), "a timer can be set");
    }

    /// Connects a session that was established before the start to its server, or keeps it until that is listed.
    pub fn restore_session(&mut self, session: &Rc<Session>) {
        if !session.client_is_waiting(self) {
            return;
        }
        let server = session.open_request.restored_from.as_ref().and_then(|at| self.servers.get(at).cloned());
        let Some(server) = server else { return self.awaiting_endpoint.push(session.weak_self.clone()) };
        match Attempt::start(session, server, RESTORE_TIMEOUT, self) {
            Ok(attempt) => drop(session.attempt.replace(Some(attempt))),
            Err(error) => {
                log::warn!("session {}: {error}", session.id.0);
                session.send_final_response(ProxyResponse::Failed, self);
            }
        }
    }

    /// Tries again to restore the sessions whose server was not listed.
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
        self.metrics.check_invariant(session.attempt.borrow().is_none(), "one attempt at a time");
        let attempt = Attempt::start(session, server, timeout, self)?;
        session.attempt.replace(Some(attempt));
        Ok(())
    }

    fn report_later(&mut self, session: SessionId, outcome: AttemptOutcome, client_done: bool) {
        self.deferred_outcomes.push_back(EndedAttempt { session, outcome, client_done });
    }
}

impl Host for Executor {
    fn connect(&mut self, session: SessionId, server: &ServerId, timeout: Duration) {
        log::debug!("session {} connects to {server}, timeout {} ms", session.0, timeout.as_ms());
        let (found, server) = (self.sessions.get(session).cloned(), self.servers.get(server).cloned());
        let exist = found.is_some() && server.is_some();
        self.metrics.check_invariant(exist, "an attempt is for a session and a server that exist");
        let Some(found) = found else {
            return self.report_later(session, AttemptOutcome::NotSent, false);
        };
        if !found.client_is_waiting(self) {
            return self.report_later(session, AttemptOutcome::Cancelled, true);
        }
        let Some(server) = server else {
            return self.report_later(session, AttemptOutcome::NotSent, false);
        };
        if let Err(error) = self.start_attempt(&found, server, timeout) {
            log::warn!("session {}: {error}", session.0);
            let refused = error.kind() == ErrorKind::ConnectionRefused;
            let outcome = if refused { AttemptOutcome::Unreachable } else { AttemptOutcome::NotSent };
            self.report_later(session, outcome, false);
        }
    }

    fn reject(&mut self, session: SessionId, retry_after: Duration) {
        self.metrics.count("rejected");
        log::debug!("session {} rejected, retry after {} ms", session.0, retry_after.as_ms());
        if let Some(session) = self.sessions.get(session).cloned() {
            session.send_final_response(ProxyResponse::RejectedWithRetryAfter(retry_after), self);
        }
    }

    fn fail(&mut self, session: SessionId) {
        self.metrics.count("failed");
        log::debug!("session {} failed", session.0);
        if let Some(session) = self.sessions.get(session).cloned() {
            session.send_final_response(ProxyResponse::Failed, self);
        }
    }

    fn migrate(&mut self, session: SessionId) {
        self.metrics.count("migrated");
        log::debug!("session {} is to migrate", session.0);
        let now = self.clock.now();
        let found = self.sessions.get(session);
        let Some(session) = found.filter(|session| session.stage.get() == Stage::Established) else {
            return;
        };
        session.migrating_since.set(Some(now));
        self.needing_tick.add(session);
        if session.try_migrate(now) {
            let id = session.id;
            self.report_later(id, AttemptOutcome::Cancelled, true);
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
        let set = self.handle.insert_source(timer, |_, _, proxy| {
            let now = proxy.now();
            proxy.balancer.on_timer(now, &mut proxy.executor);
            proxy.run_deferred_actions();
            TimeoutAction::Drop
        });
        self.metrics.check_invariant(set.is_ok(), "a timer can be set");
    }
}
