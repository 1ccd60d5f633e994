//! The proxy: owns the load balancers, the executor of their decisions, the listener, and the connections to discovery
//! and to the peers. The submodules handle the events of these components.

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

/// The interval of periodic work that no event triggers.
pub const TICK: Duration = Duration::from_millis(100);

/// The state of a running proxy. It is used by one thread only.
pub struct Proxy {
    /// This process's name.
    pub name: String,
    /// The load balancers: the default one, and one for each customer with a namespace.
    pub balancer: TenantBalancers,
    /// Carries out the decisions of the load balancers.
    pub executor: Executor,
    /// Accepts connections and keeps them until they have sent their first line.
    pub listener: Listener<Proxy>,
    /// The request classes' names, in the order of the settings.
    pub class_names: Vec<String>,
    /// The customers' names, in the order of the settings.
    pub customer_names: Vec<String>,
    /// How long a server is in slow start after it has started.
    pub slow_start: Duration,
    /// The size of one ring buffer of a session, in bytes.
    pub ring_size: usize,

    /// Polls and watches the endpoint list.
    pub discovery: Rc<Discovery<Proxy>>,
    /// Converts start times of servers to this process's clock.
    pub start_times: StartTimes,

    /// The other processes of the fleet, if there is a fleet file.
    pub peers: Option<Rc<Peers>>,
    /// The endpoints that the fleet has agreed on, before maintenance windows are applied.
    pub fleet_endpoints: BTreeMap<ServerId, EndpointAddress>,
    /// The namespaces of the customers.
    pub namespaces: TenantNamespaces,
    /// The schedule of maintenance windows and its current effect on the endpoints.
    pub maintenance_windows: MaintenanceWindows,

    /// Holds sessions until the endpoint list has been received.
    pub startup_gate: StartupGate<Session>,
    /// When the most recent session arrived.
    pub last_arrival: Timestamp,
    /// When message latencies were last reported to the load balancer.
    pub latencies_reported_at: Timestamp,
    /// When the pending reload was requested; none if no reload is pending.
    pub reload_requested_at: Option<Timestamp>,
    /// When the shutdown was requested; none if it was not.
    pub shutdown_requested_at: Option<Timestamp>,
    /// The times of the steps of a shutdown.
    pub shutdown_schedule: ShutdownSchedule,
    /// Stops the event loop.
    pub stop_signal: LoopSignal,
}

impl Proxy {
    /// The current time on the event loop's clock.
    pub fn now(&self) -> Timestamp {
        self.executor.clock.now()
    }

    /// Whether any server is known that sessions can be placed on.
    pub fn is_ready(&self) -> bool {
        !self.executor.servers.is_empty()
    }

    /// Carries out actions that were deferred while the load balancer was being called: reporting attempts that ended
    /// immediately, polling discovery, and starting health checks.
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
