//! What carries out the decisions: the servers and sessions that there are, and the calls of the module.

use crate::downstream::client::busy;
use crate::downstream::lingering::LingeringCloses;
use crate::lifecycle::startup::Limits;
use crate::metrics::Metrics;
use crate::net::clock::Clock;
use crate::net::socket::Socket;
use crate::pending_sessions::PendingSessions;
use crate::proxy::Proxy;
use crate::session::{Session, Stage, TAKE_OVER_WITHIN};
use crate::upstream::server::{Attempt, Server};
use calloop::timer::{TimeoutAction, Timer};
use calloop::LoopHandle;
use shelfgrade::host::{AttemptOutcome, Endpoint, EndpointState, Host, ServerId, SessionId};
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// What carries out the decisions.
pub struct Executor {
    pub handle: LoopHandle<'static, Proxy>,
    pub metrics: Rc<Metrics>,
    pub dial_time_out: Option<Duration>,
    pub health_checks_allowed: bool,
    pub tells_delay: bool,
    pub clock: Clock,
    pub servers: BTreeMap<ServerId, Rc<Server>>,
    /// The door: from the module's names to connections.
    pub sessions: BTreeMap<SessionId, Rc<Session>>,
    /// The ids that these came with.
    pub open_ids: BTreeSet<u64>,
    /// Those that are looked after with each tick, and those whose client waits for something to come back.
    pub pending: PendingSessions,
    pub unanswered: PendingSessions,
    /// Clients that have had their last line.
    pub lingering: LingeringCloses,
    pub last_id: u64,
    /// What waits for the list to name the server that held it before the start.
    pub unplaced: Vec<Weak<Session>>,
    /// Discovery has answered since the start.
    pub list_heard: Cell<bool>,
    pub sockets: usize,
    /// What came of a call while the module was speaking, to be told when it has finished.
    pub untold: VecDeque<(SessionId, AttemptOutcome, bool)>,
    pub wants_list: Cell<bool>,
    /// What the module asked to be woken at, last.
    pub wakes_at: Timestamp,
    pub health_checks_due: VecDeque<Rc<Server>>,
}

impl Executor {
    pub fn new(
        handle: LoopHandle<'static, Proxy>,
        limits: Limits,
        dials: Option<Duration>,
        (health_checks, tells_delay): (bool, bool),
    ) -> Self {
        Executor {
            handle,
            metrics: Rc::default(),
            dial_time_out: dials,
            health_checks_allowed: health_checks,
            tells_delay,
            clock: Clock::start(),
            servers: BTreeMap::new(),
            sessions: BTreeMap::new(),
            open_ids: BTreeSet::new(),
            pending: PendingSessions::default(),
            unanswered: PendingSessions::default(),
            lingering: LingeringCloses::default(),
            last_id: 0,
            unplaced: Vec::new(),
            list_heard: Cell::new(false),
            sockets: limits.sockets as usize,
            untold: VecDeque::new(),
            wants_list: Cell::new(false),
            wakes_at: Timestamp::default(),
            health_checks_due: VecDeque::new(),
        }
    }

    pub fn next_id(&mut self) -> SessionId {
        self.last_id += 1;
        SessionId(self.last_id)
    }

    /// What is kept for callers, whatever else is held: a few of them find room even then.
    fn reserved_for_pending_connections(&self) -> usize {
        self.sockets / 16
    }

    /// Descriptors that are spoken for: each session's two, one a server for its probe, and our own.
    fn spoken_for(&self, health_checks: usize) -> usize {
        // For the listener, discovery, the loop and the log.
        const SPARE: usize = 24;
        2 * self.sessions.len() + health_checks + SPARE
    }

    /// How many probes there may be at the least.
    fn health_checks_wanted(&self) -> usize {
        // Only servers that hold a session are probed, or three for a new one, however long the list.
        self.servers.len().min(3 * (self.sessions.len() + 1))
    }

    /// Their connections stay when the sessions that they were for have gone.
    fn health_checks(&self) -> usize {
        let held = self.servers.values().filter(|server| server.health_check.borrow().is_some()).count();
        held.max(self.health_checks_wanted())
    }

    /// How many connections may be held that have sent no first line: what is left, a quarter at most, which
    /// is far more than come at once where all clients speak.
    pub fn pending_connection_limit(&self) -> usize {
        let left = self.sockets.saturating_sub(self.spoken_for(self.health_checks()));
        left.clamp(self.reserved_for_pending_connections(), self.sockets / 4)
    }

    /// Whether one more session might find no descriptor.
    pub fn is_full(&self) -> bool {
        let is_full = |health_checks| {
            self.spoken_for(health_checks) + 2 + self.reserved_for_pending_connections() > self.sockets
        };
        let full = is_full(self.health_checks_wanted());
        if !full && is_full(self.health_checks()) {
            self.close_health_checks(self.health_checks_wanted());
        }
        full
    }

    /// Makes room for one more probe. Guards against those of sessions that have gone holding all descriptors.
    pub fn make_room_for_health_check(&self) {
        let others = self.spoken_for(0) + self.reserved_for_pending_connections();
        self.close_health_checks(
            self.sockets.saturating_sub(others).max(self.health_checks_wanted()).saturating_sub(1),
        );
    }

    /// Ends all probes but so many, those asked least lately first.
    fn close_health_checks(&self, but: usize) {
        let asked =
            |server: &Rc<Server>| Some((server.health_check.borrow().as_ref()?.last.get(), server.clone()));
        let mut held: Vec<_> = self.servers.values().filter_map(asked).collect();
        let over = held.len().saturating_sub(but);
        held.sort_by_key(|(last, _)| *last);
        held.iter().take(over).for_each(|(_, server)| drop(server.health_check.take()));
    }

    /// Ends a client's connection after the last line that it was told.
    pub fn close_after_last_line(&mut self, client: Rc<Socket<Proxy>>) {
        let now = self.clock.now();
        self.lingering.close(client, now);
    }

    pub fn forget(&mut self, session: &Session) {
        self.sessions.remove(&session.id);
        self.open_ids.remove(&session.opening.id);
    }

    /// Has a session go on after the others had their turn.
    pub fn call_again(&self, session: &Session) {
        let weak = session.me.clone();
        let again = self.handle.insert_source(Timer::immediate(), move |_, _, proxy| {
            weak.upgrade().inspect(|session| session.ready(proxy));
            TimeoutAction::Drop
        });
        self.metrics.invariant(again.is_ok(), "a timer can be set");
    }

    /// Goes by these lines of the list, each with its address, if it has one.
    pub fn follow<'a>(
        &mut self,
        lines: impl Iterator<Item = (&'a Endpoint, Option<SocketAddr>)> + Clone,
        whole: bool,
    ) {
        if whole {
            let told: BTreeSet<_> = lines.clone().map(|(line, _)| &line.server).collect();
            let gone = self.servers.iter().filter(|(id, _)| !told.contains(id));
            gone.for_each(|(_, server)| server.state.set(EndpointState::Removed));
        }
        for (line, dial) in lines {
            let server = self.servers.get(&line.server).cloned().or_else(|| {
                let server = Server {
                    id: line.server.clone(),
                    state: Cell::new(line.state),
                    dial: Cell::new(dial?),
                    message_latency: Default::default(),
                    load_reports: Default::default(),
                    health_check: Default::default(),
                };
                Some(Rc::new(server))
            });
            let Some(server) = server else { continue };
            server.state.set(line.state);
            server.dial.set(dial.unwrap_or(server.dial.get()));
            self.servers.insert(line.server.clone(), server);
        }
        self.servers.retain(|_, server| server.state.get() != EndpointState::Removed);
    }

    /// Connects a session to the server that its line names, or leaves it for when the list names that one.
    pub fn take_over(&mut self, session: &Rc<Session>) {
        if !session.client_is_waiting(self) {
            return;
        }
        let server = session.opening.at.as_ref().and_then(|at| self.servers.get(at.as_str()).cloned());
        let Some(server) = server else { return self.unplaced.push(session.me.clone()) };
        match Attempt::begin(session, server, TAKE_OVER_WITHIN, self.clock.now(), self) {
            Ok(attempt) => drop(session.attempt.replace(Some(attempt))),
            Err(error) => {
                log::warn!("session {}: {error}", session.id.0);
                session.answer("ERR", self);
            }
        }
    }

    pub fn take_over_waiting(&mut self) {
        for session in std::mem::take(&mut self.unplaced).iter().filter_map(Weak::upgrade) {
            if session.stage.get() == Stage::Connecting {
                self.take_over(&session);
            }
        }
    }
}

impl Host for Executor {
    fn connect(&mut self, session: SessionId, server: &ServerId, time_out: Duration) {
        log::debug!("session {} connects to {server}, for {} ms", session.0, time_out.as_ms());
        let (found, server) = (self.sessions.get(&session).cloned(), self.servers.get(server).cloned());
        self.metrics.invariant(
            found.is_some() && server.is_some(),
            "an attempt is for a session and a server that are",
        );
        let begun = match (&found, server) {
            (Some(found), _) if !found.client_is_waiting(self) => {
                return self.untold.push_back((session, AttemptOutcome::Cancelled, true));
            }
            (Some(found), Some(server)) => {
                self.metrics.invariant(found.attempt.borrow().is_none(), "one attempt at a time");
                Attempt::begin(found, server, time_out, self.clock.now(), self)
            }
            _ => return self.untold.push_back((session, AttemptOutcome::NotSent, false)),
        };
        match (begun, found) {
            (Ok(attempt), Some(found)) => drop(found.attempt.replace(Some(attempt))),
            (Err(error), _) => {
                // Out of descriptors, or refused at once: nothing was sent.
                log::warn!("session {}: {error}", session.0);
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                let outcome = if refused { AttemptOutcome::Unreachable } else { AttemptOutcome::NotSent };
                self.untold.push_back((session, outcome, false));
            }
            _ => {}
        }
    }

    fn reject(&mut self, session: SessionId, retry_after: Duration) {
        self.metrics.count("rejected");
        log::debug!("session {} pushed back for {} ms", session.0, retry_after.as_ms());
        if let Some(session) = self.sessions.get(&session).cloned() {
            session.answer(&busy(retry_after), self);
        }
    }

    fn fail(&mut self, session: SessionId) {
        self.metrics.count("failed");
        log::debug!("session {} forfeited", session.0);
        if let Some(session) = self.sessions.get(&session).cloned() {
            session.answer("ERR", self);
        }
    }

    fn migrate(&mut self, session: SessionId) {
        self.metrics.count("migrated");
        log::debug!("session {} sent away", session.0);
        let now = self.clock.now();
        let Some(session) = self.sessions.get(&session).filter(|c| c.stage.get() == Stage::Established)
        else {
            return;
        };
        session.leaving_line.set(Some(now));
        self.pending.add(session);
        if session.try_moving(now) {
            self.untold.push_back((session.id, AttemptOutcome::Cancelled, true));
        }
    }

    fn check_health(&mut self, server: &ServerId) -> bool {
        let server = self.servers.get(server).filter(|_| self.health_checks_allowed).cloned();
        self.health_checks_due.extend(server.clone());
        server.is_some()
    }

    fn subscribe(&mut self) {
        self.wants_list.set(true);
    }

    fn schedule_wakeup(&mut self, at: Timestamp) {
        self.wakes_at = at;
        let timer = Timer::from_duration(at.since(self.clock.now()));
        let set = self.handle.insert_source(timer, |_, _, proxy| {
            let now = proxy.now();
            proxy.balancer.on_timer(now, &mut proxy.executor);
            proxy.run_deferred_actions();
            TimeoutAction::Drop
        });
        self.metrics.invariant(set.is_ok(), "a timer can be set");
    }
}
