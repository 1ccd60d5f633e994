//! The proxy: owns the decisions, hears from the sockets, and carries out what is decided.

use crate::discovery::client::{CallError, Discovery, Follower, ASKED, PUSHED};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::start_times::StartTimes;
use crate::downstream::listener::Listener;
use crate::executor::{EndedAttempt, Executor, ExecutorSettings};
use crate::fleet::fleet_file::{FleetError, FleetFile};
use crate::fleet::peers::Peers;
use crate::fleet::recovery;
use crate::lifecycle::graceful_shutdown::ShutdownSchedule;
use crate::lifecycle::startup::{limit_descriptors, Limits, Start};
use crate::lifecycle::startup_gate::StartupGate;
use crate::net::event_loop::EventLoopOwner;
use crate::net::line::MAX_LINE_BYTES;
use crate::net::open_request::OpenRequest;
use crate::net::socket::Socket;
use crate::net::transient::is_transient;
use crate::session::{Session, Stage};
use crate::tenants::maintenance_windows::MaintenanceWindows;
use crate::tenants::tenant_balancers::TenantBalancers;
use crate::tenants::tenant_namespaces::TenantNamespaces;
use crate::upstream::health_check::HealthCheck;
use crate::upstream::server::Server;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, LoopHandle, LoopSignal};
use shelfgrade::host::{Arrival, AttemptOutcome, Endpoint, ServerId, SessionId};
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How often what no event comes for is looked after.
pub const TICK: Duration = Duration::from_millis(100);

pub struct Proxy {
    pub balancer: TenantBalancers,
    pub namespaces: TenantNamespaces,
    pub maintenance_windows: MaintenanceWindows,
    /// The list as the fleet has it, before windows are put on it.
    pub fleet_endpoints: BTreeMap<ServerId, (Endpoint, Option<SocketAddr>)>,
    pub slow_start: Duration,
    start_times: StartTimes,
    pub executor: Executor,
    /// The request classes' names in their order.
    pub classes: Vec<String>,
    pub listener: Listener<Proxy>,
    pub discovery: Rc<Discovery<Proxy>>,
    pub startup_gate: StartupGate,
    /// The customers' names in their order.
    pub customers: Vec<String>,
    /// The others that it shares with, where a file names them.
    pub peers: Option<Rc<Peers<Proxy>>>,
    pub name: String,
    /// The size of one ring.
    ring: usize,
    pub stop: LoopSignal,
    pulses_taken: Timestamp,
    /// When it was told to read its files again, where that is still to be done.
    pub reload_requested: Option<Timestamp>,
    /// Since when it has been told to end, and when the last session came.
    pub shutdown_requested: Option<Timestamp>,
    pub shutdown_schedule: ShutdownSchedule,
    pub last_arrival: Timestamp,
}

/// Why a proxy cannot serve, or no longer.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    #[error("cannot listen on {at} ({source}): see that the address is this machine's and that nobody listens there")]
    Listen { at: SocketAddr, source: std::io::Error },
    #[error("{0}")]
    Fleet(#[from] FleetError),
    #[error("the event loop: {0}: see the limits on descriptors and memory, and start it again")]
    Loop(#[from] calloop::Error),
}

impl ServeError {
    /// Whether another start may succeed a moment later.
    pub fn is_transient(&self) -> bool {
        match self {
            ServeError::Listen { source, .. } => is_transient(source),
            ServeError::Fleet(error) => error.is_transient(),
            ServeError::Loop(calloop::Error::IoError(source)) => is_transient(source),
            ServeError::Loop(_) => false,
        }
    }
}

/// Serves until told to end.
pub fn serve(start: Start) -> Result<(), ServeError> {
    let fleet = FleetFile::from_environment(&start.name)?;
    let limits = Limits { sockets: limit_descriptors(start.limits.sockets), ..start.limits };
    let ring = ring_size(limits);

    let mut events: EventLoop<'static, Proxy> = EventLoop::try_new()?;
    let handle = events.handle();
    let cannot_listen = |source| ServeError::Listen { at: start.listen, source };
    let listener = Listener::open(start.listen, &handle).map_err(cannot_listen)?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
    let signals = handle.insert_source(signals, |event, _, proxy| match event.signal() {
        Signal::SIGHUP => proxy.reload_requested(),
        _ => proxy.shutdown_requested(),
    });
    signals.map_err(|error| error.error)?;
    let tick = handle.insert_source(Timer::from_duration(TICK), |_, _, proxy| {
        proxy.tick();
        TimeoutAction::ToDuration(TICK)
    });
    tick.map_err(|error| error.error)?;

    // Where the list is pushed, all of it is asked for at the start, so that the answer comes at once.
    let pushed = start.settings.list_is_pushed;
    let whole = start.known.entries.is_empty() || pushed || fleet.is_some();
    let seq = Some(start.known.seq).filter(|_| !whole);
    let settings_text = start.settings_text;
    let recovery_settings = fleet.as_ref().map(|fleet| recovery::recovery_settings(&start.settings, fleet));
    let executor_settings = ExecutorSettings {
        dial_timeout: start.settings.dial_time_out,
        health_checks_allowed: start.settings.health_checks_allowed,
        servers_report_latency: start.settings.tells_delay,
        max_descriptors: limits.sockets as usize,
    };
    let executor = Executor::new(handle, executor_settings);
    let now = executor.clock.now();
    let metrics = executor.metrics.clone();
    let mut proxy = Proxy {
        // What the settings made once they make again.
        balancer: TenantBalancers::new(
            start.settings.balancer,
            Box::new(move |seed| {
                shelfgrade_settings::parse(seed, &settings_text).ok().map(|settings| settings.balancer)
            }),
            start.seed,
        ),
        namespaces: TenantNamespaces::new((0, 1)),
        maintenance_windows: MaintenanceWindows::default(),
        fleet_endpoints: BTreeMap::new(),
        slow_start: start.settings.slow_start,
        start_times: StartTimes::default(),
        executor,
        classes: start.settings.classes,
        listener,
        discovery: Discovery::new(start.discovery, seq, if pushed { PUSHED } else { ASKED }, start.seed),
        startup_gate: match &fleet {
            Some(fleet) => StartupGate::until_the_return_serves(now, fleet.list_wait),
            None if pushed => StartupGate::until_the_list_is_heard(now),
            None => StartupGate::default(),
        },
        customers: start.settings.customers.iter().map(|(name, _)| name.clone()).collect(),
        peers: None,
        name: start.name,
        ring,
        stop: events.get_signal(),
        pulses_taken: now,
        reload_requested: None,
        shutdown_requested: None,
        shutdown_schedule: ShutdownSchedule::by(start.settings.longest_request_timeout),
        last_arrival: now,
    };
    // With fellows, what is known from before is for the return to judge.
    let known = if fleet.is_some() { Vec::new() } else { start.known.lines() };
    let known = proxy.start_times.timed(known, now);
    let dials = start.known.entries.iter().map(|entry| entry.dial);
    proxy.executor.servers.apply_endpoints(known.iter().zip(dials), true);
    proxy.balancer.start(&known, now, &mut proxy.executor);
    if !pushed && fleet.is_none() {
        proxy.startup_gate = StartupGate::until_its_turn(now, proxy.executor.next_wakeup);
    }
    // Lines come back at once here however strained a server is.
    proxy.balancer.start_periodic_checks(!proxy.executor.servers_report_latency, now, &mut proxy.executor);
    if let Some((file, settings)) = fleet.zip(recovery_settings) {
        proxy.join_peers(file, settings, &start.known, start.seed)?;
    }
    proxy.settle();
    let address =
        proxy.listener.address().map_err(|source| ServeError::Listen { at: start.listen, source })?;
    log::info!("{} listens on {address}, {} servers known", proxy.name, start.known.entries.len());
    events.run(None, &mut proxy, |_| {})?;
    metrics.log();
    Ok(())
}

/// The size of one ring: so that two for every descriptor take half of the memory at most.
fn ring_size(limits: Limits) -> usize {
    // Room for one of the longest lines and more; over four of them buys nothing for lines this short.
    let (least, most) = (MAX_LINE_BYTES + 512, 16 << 10);
    ((limits.memory_mb << 20) as usize / 2 / (2 * limits.sockets.max(1) as usize)).clamp(least, most)
}

impl Proxy {
    pub fn now(&self) -> Timestamp {
        self.executor.clock.now()
    }

    /// Whether sessions can be taken: there is a list to choose from.
    pub fn is_ready(&self) -> bool {
        !self.executor.servers.is_empty()
    }

    /// A client has sent its first line.
    pub fn open(&mut self, open: OpenRequest, client: Rc<Socket<Proxy>>) {
        log::trace!("{open:?}");
        let now = self.now();
        let session = Session::new(self.executor.sessions.next_id(), open, client, self.ring, now);
        let weak = session.weak.clone();
        session.client.on_ready(move |proxy| {
            weak.upgrade().inspect(|session| session.on_ready(proxy));
        });
        self.executor.sessions.insert(&session);
        self.discovery.clone().look(self);
        if session.is_restored() {
            self.executor.needing_tick.add(&session);
            self.executor.restore_session(&session);
        } else {
            self.executor.metrics.count("sessions");
            self.last_arrival = now;
            if self.startup_gate.waits() && self.peers.is_none() {
                self.startup_gate.holds(&session, &self.executor);
            } else {
                self.place(&session);
            }
        }
        // What came since its line was read, brings no event of its own.
        session.on_ready(self);
        self.evict_pending_connections();
    }

    /// The session's connection is up.
    pub fn on_established(&mut self, session: &Session, server: &ServerId) {
        let now = self.now();
        if session.is_restored() {
            self.balancer.restore_session(&arrival(session, now), server, now);
        } else {
            self.executor.metrics.count("sessions established");
            log::debug!("session {} stands at {server}", session.id.0);
            self.balancer.on_established(session.id, now);
        }
    }

    /// An attempt, or a standing connection, has ended; `done` where the client's side has its end by that.
    pub fn on_attempt_ended(&mut self, session: SessionId, outcome: AttemptOutcome, done: bool) {
        log::debug!("session {} ended: {outcome:?}, done {done}", session.0);
        let now = self.now();
        self.balancer.on_attempt_ended(session, outcome, done, now, &mut self.executor);
        self.settle();
    }

    /// The client has left before its answer; the attempt that was out has ended with it.
    pub fn on_client_closed(&mut self, session: SessionId) {
        self.balancer.on_client_closed(session);
        self.on_attempt_ended(session, AttemptOutcome::Cancelled, true);
    }

    /// A probe has come back, or was given up, after this long.
    pub fn on_health_check(&mut self, server: &Server<Proxy>, took: Duration) {
        self.executor.metrics.count("health checks");
        log::debug!("probe of {} took {} ms", server.id, took.as_ms());
        let now = self.now();
        self.balancer.on_health_check(&server.id, took, now, &mut self.executor);
        self.settle();
    }

    /// A server has told how long messages take there.
    pub fn on_message_latency(&mut self, session: SessionId, took: Duration) {
        let now = self.now();
        self.balancer.on_message_latency(session, took, now, &mut self.executor);
        self.settle();
    }

    /// Carries out a move that waited for the end of a line.
    pub fn migrate_now(&mut self, session: &Session) {
        let now = self.now();
        if session.try_migrate(now) {
            self.on_attempt_ended(session.id, AttemptOutcome::Cancelled, true);
        }
    }

    /// Tells the module what came of its own calls.
    pub fn settle(&mut self) {
        while let Some(ended) = self.executor.unreported.pop_front() {
            let EndedAttempt { session, outcome, client_done } = ended;
            let now = self.now();
            self.balancer.on_attempt_ended(session, outcome, client_done, now, &mut self.executor);
        }
        if self.executor.poll_requested.take() && self.asks_discovery() {
            self.discovery.clone().ask(self);
        }
        while let Some(server) = self.executor.health_checks_due.pop_front() {
            HealthCheck::start(&server, self);
        }
    }

    fn tick(&mut self) {
        for session in self.executor.needing_tick.still_pending(Session::needs_tick) {
            self.executor.metrics.count("session checks");
            session.on_tick(self);
        }
        self.close_silent_connections();
        self.executor.lingering.close_expired(self.now());
        self.reload_if_requested();
        self.end_of_waiting();
        self.tell_pulses();
        self.end_when_done();
    }

    /// Once a second the module hears how long messages take at each server.
    fn tell_pulses(&mut self) {
        const EVERY: Duration = Duration::from_millis(1000);
        let now = self.now();
        if now.since(self.pulses_taken) < EVERY {
            return;
        }
        self.pulses_taken = now;
        let there = &self.executor.sessions;
        self.balancer.sweep(|session| there.contains(*session), now);
        self.look_at_windows();
        let servers: Vec<_> = self.executor.servers.values().cloned().collect();
        let waits = |session: &Session| {
            session.stage.get() == Stage::Established && session.awaiting_reply_since.get().is_some()
        };
        for session in self.executor.awaiting_reply.still_pending(waits) {
            self.executor.metrics.count("session checks");
            if let Some(asked) =
                session.awaiting_reply_since.get().filter(|_| session.stage.get() == Stage::Established)
            {
                self.balancer.on_message_latency(session.id, now.since(asked), now, &mut self.executor);
                self.settle();
            }
        }
        for server in servers {
            if let Some((took, session)) = server.message_latency.take_median() {
                log::debug!("messages at {} take {} ms", server.id, took.as_ms());
                self.balancer.on_message_latency(session.id, took, now, &mut self.executor);
                self.settle();
            }
        }
    }
}

impl EventLoopOwner for Proxy {
    fn handle(&self) -> LoopHandle<'static, Self> {
        self.executor.handle.clone()
    }

    fn now(&self) -> Timestamp {
        self.executor.clock.now()
    }
}

impl Follower for Proxy {
    fn on_endpoints(&mut self, list: &EndpointList) -> bool {
        let now = self.now();
        log::debug!("list {}: {} lines, whole {}", list.seq, list.entries.len(), list.whole);
        self.executor.list_received.set(true);
        if let Some(taken) = self.list_for_peers(list) {
            return taken;
        }
        if list.told_at.is_some_and(|time| self.start_times.discovery_says(time, now)) {
            let known = self.start_times.timed_anew(self.balancer.list());
            self.balancer.on_endpoints(&known, false, now);
        }
        let lines = self.start_times.timed(list.lines(), now);
        self.start_times.list_is_heard();
        self.executor
            .servers
            .apply_endpoints(lines.iter().zip(list.entries.iter().map(|entry| entry.dial)), list.whole);
        self.balancer.on_endpoints(&lines, list.whole, now);
        self.executor.restore_waiting_sessions();
        self.settle();
        self.list_is_here();
        true
    }

    fn on_poll_failed(&mut self, error: &CallError, since: Timestamp) {
        log::warn!("{error}");
        self.executor.metrics.count("endpoint polls failed");
        let now = self.now();
        self.balancer.on_poll_failed(since, now, &mut self.executor);
        self.settle();
    }

    fn on_watch_lost(&mut self, error: &CallError, pending: Timestamp) {
        log::warn!("{error}");
        let silent = matches!(error, CallError::Silent { .. });
        self.executor.metrics.count(if silent {
            "endpoint polls timed out"
        } else {
            "endpoint polls failed"
        });
        self.balancer.on_watch_lost(pending, &mut self.executor);
        self.settle();
    }
}

pub fn arrival(session: &Session, deadline: Timestamp) -> Arrival<'_> {
    let opening = &session.opening;
    Arrival {
        session: session.id,
        class: Some(opening.class),
        key: Some(&opening.key),
        group: opening.group.as_deref(),
        deadline,
        mid_flow: opening.mid_flow,
        returned: opening.returned,
        turn: None,
        among: None,
    }
}
