//! The proxy: composes the load balancers, the executor of their decisions, the listener and the control side. What each
//! part reports is handled in a module of its own below.

mod admission;
mod discovery_events;
mod fleet_endpoints;
mod fleet_membership;
mod graceful_shutdown;
mod peer_events;
mod reload;
mod session_events;
mod ticks;

use crate::discovery::client::Discovery;
use crate::discovery::start_times::StartTimes;
use crate::downstream::listener::Listener;
use crate::executor::{EndedAttempt, Executor};
use crate::fleet::peers::Peers;
use crate::lifecycle::shutdown_schedule::ShutdownSchedule;
use crate::lifecycle::startup_gate::StartupGate;
use crate::net::event_loop::EventLoopOwner;
use crate::session::Session;
use crate::tenants::maintenance_windows::MaintenanceWindows;
use crate::tenants::tenant_balancers::TenantBalancers;
use crate::tenants::tenant_namespaces::TenantNamespaces;
use crate::upstream::health_check::HealthCheck;
use calloop::{LoopHandle, LoopSignal};
use shelfgrade::host::ServerId;
use shelfgrade::time::Timestamp;
use shelfgrade_recovery::EndpointAddress;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The interval at which work is done that no event triggers.
pub const TICK: Duration = Duration::from_millis(100);

/// All state of a running proxy; everything happens on one thread.
pub struct Proxy {
    /// This process's name.
    pub name: String,
    /// The load balancers: the default one, and one for each customer with a namespace.
    pub balancer: TenantBalancers,
    /// Carries out their decisions.
    pub executor: Executor,
    /// Accepts connections, and keeps those without a first line.
    pub listener: Listener<Proxy>,
    /// The request classes' names, in the order of the settings.
    pub classes: Vec<String>,
    /// The customers' names, in the order of the settings.
    pub customers: Vec<String>,
    /// How long a server that has started is in slow start.
    pub slow_start: Duration,
    /// The size of one ring buffer of a session, in bytes.
    pub ring_size: usize,

    /// Polls and watches the endpoint list.
    pub discovery: Rc<Discovery<Proxy>>,
    /// Start times of servers on this process's clock.
    pub start_times: StartTimes,

    /// The other processes of the fleet, if a fleet file names them.
    pub peers: Option<Rc<Peers>>,
    /// The endpoints that the fleet has agreed on, before maintenance windows are applied.
    pub fleet_endpoints: BTreeMap<ServerId, EndpointAddress>,
    /// The customers' namespaces.
    pub namespaces: TenantNamespaces,
    /// The schedule of maintenance windows, and what is in force of it.
    pub maintenance_windows: MaintenanceWindows,

    /// Holds sessions until the endpoint list has come.
    pub startup_gate: StartupGate<Session>,
    /// When the last session arrived.
    pub last_arrival: Timestamp,
    /// When message latencies were last reported to the load balancer.
    pub latencies_reported_at: Timestamp,
    /// When a reload was requested, while it is pending.
    pub reload_requested_at: Option<Timestamp>,
    /// When the shutdown was requested.
    pub shutdown_requested_at: Option<Timestamp>,
    /// When each step of a shutdown comes.
    pub shutdown_schedule: ShutdownSchedule,
    /// Stops the event loop.
    pub stop: LoopSignal,
}

impl Proxy {
    /// The event loop's clock.
    pub fn now(&self) -> Timestamp {
        self.executor.clock.now()
    }

    /// Whether there is a server that sessions can be placed at.
    pub fn is_ready(&self) -> bool {
        !self.executor.servers.is_empty()
    }

    /// Carries out what was put off while the load balancer was being called: outcomes of attempts that ended at once, a
    /// poll of discovery, and health checks.
    pub fn run_deferred_actions(&mut self) {
        while let Some(ended) = self.executor.deferred_outcomes.pop_front() {
            let EndedAttempt { session, outcome, client_done } = ended;
            let now = self.now();
            self.balancer.on_attempt_ended(session, outcome, client_done, now, &mut self.executor);
        }
        if self.executor.poll_requested.take() && self.polls_discovery() {
            self.discovery.clone().poll(self);
        }
        while let Some(server) = self.executor.deferred_health_checks.pop_front() {
            HealthCheck::start(&server, self);
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
