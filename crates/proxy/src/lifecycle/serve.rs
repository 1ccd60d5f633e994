//! Builds a proxy from its start-up file and runs its event loop.

use crate::discovery::client::Discovery;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::poll_schedule::{LOCAL_AGENT, SHARED_DISCOVERY};
use crate::discovery::start_times::StartTimes;
use crate::downstream::listener::Listener;
use crate::executor::{Executor, ExecutorSettings};
use crate::fleet::fleet_file::FleetFile;
use crate::fleet::recovery_settings::recovery_settings;
use crate::lifecycle::serve_error::ServeError;
use crate::lifecycle::shutdown_schedule::ShutdownSchedule;
use crate::lifecycle::startup::{limit_descriptors, Limits, Start};
use crate::lifecycle::startup_gate::StartupGate;
use crate::net::line::MAX_LINE_BYTES;
use crate::proxy::{Proxy, TICK};
use crate::tenants::maintenance_windows::MaintenanceWindows;
use crate::tenants::tenant_balancers::TenantBalancers;
use crate::tenants::tenant_namespaces::TenantNamespaces;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, LoopHandle, LoopSignal};
use shelfgrade_settings::Settings;
use std::collections::BTreeMap;

/// What [`build`] takes besides the start-up file.
struct Resources {
    limits: Limits,
    handle: LoopHandle<'static, Proxy>,
    listener: Listener<Proxy>,
    stop: LoopSignal,
}

/// Runs a proxy until a signal stops it.
///
/// # Errors
///
/// [`ServeError`] if it cannot start, or if the event loop fails.
pub fn serve(mut start: Start) -> Result<(), ServeError> {
    let fleet = FleetFile::from_environment(&start.name)?;
    let limits = Limits { sockets: limit_descriptors(start.limits.sockets), ..start.limits };

    let mut event_loop: EventLoop<'static, Proxy> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let cannot_listen = |source| ServeError::Listen { at: start.listen, source };
    let listener = Listener::open(start.listen, &handle).map_err(cannot_listen)?;
    watch_signals(&handle)?;
    start_ticks(&handle)?;

    let (listen, seed) = (start.listen, start.seed);
    let is_pushed = start.settings.list_is_pushed;
    let known = std::mem::take(&mut start.known);
    let recovery_settings = fleet.as_ref().map(|fleet| recovery_settings(&start.settings, fleet));
    let resources = Resources { limits, handle, listener, stop: event_loop.get_signal() };
    let mut proxy = build(start, &known, fleet.as_ref(), resources);
    let metrics = proxy.executor.metrics.clone();

    start_balancer(&mut proxy, &known, is_pushed, fleet.is_some());
    if let Some((file, settings)) = fleet.zip(recovery_settings) {
        proxy.join_fleet(file, settings, &known, seed)?;
    }
    proxy.run_deferred_actions();
    let address = proxy.listener.address().map_err(|source| ServeError::Listen { at: listen, source })?;
    log::info!("{} listens on {address}, {} servers known", proxy.name, known.records.len());
    event_loop.run(None, &mut proxy, |_| {})?;
    metrics.log_counters();
    Ok(())
}

fn watch_signals(handle: &LoopHandle<'static, Proxy>) -> Result<(), calloop::Error> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
    let watched = handle.insert_source(signals, |event, _, proxy| match event.signal() {
        Signal::SIGHUP => proxy.request_reload(),
        _ => proxy.request_shutdown(),
    });
    watched.map(|_| ()).map_err(|error| error.error)
}

fn start_ticks(handle: &LoopHandle<'static, Proxy>) -> Result<(), calloop::Error> {
    let ticks = handle.insert_source(Timer::from_duration(TICK), |_, _, proxy| {
        proxy.on_tick();
        TimeoutAction::ToDuration(TICK)
    });
    ticks.map(|_| ()).map_err(|error| error.error)
}

/// The proxy with its parts, before it knows any server.
fn build(start: Start, known: &EndpointList, fleet: Option<&FleetFile>, resources: Resources) -> Proxy {
    let Resources { limits, handle, listener, stop } = resources;
    let Settings { classes, customers, slow_start, list_is_pushed: is_pushed, .. } = start.settings;
    let executor_settings = ExecutorSettings {
        dial_timeout: start.settings.dial_timeout,
        health_checks_allowed: start.settings.health_checks_allowed,
        servers_report_latency: start.settings.servers_report_latency,
        max_descriptors: limits.sockets as usize,
    };
    let executor = Executor::new(handle, executor_settings);
    let now = executor.clock.now();
    // With a pushed list or peers the complete list is requested first, as a response to that comes at once.
    let requests_complete_list = known.records.is_empty() || is_pushed || fleet.is_some();
    let version = Some(known.version).filter(|_| !requests_complete_list);
    let timeouts = if is_pushed { LOCAL_AGENT } else { SHARED_DISCOVERY };
    let settings_text = start.settings_text;
    // The settings were valid for the first load balancer, so they are for those of customers.
    let make_balancer =
        move |seed| shelfgrade_settings::parse(seed, &settings_text).ok().map(|settings| settings.balancer);
    Proxy {
        name: start.name,
        balancer: TenantBalancers::new(start.settings.balancer, Box::new(make_balancer), start.seed),
        executor,
        listener,
        classes,
        customers: customers.into_iter().map(|customer| customer.name).collect(),
        slow_start,
        ring_size: ring_size(limits),
        discovery: Discovery::new(start.discovery, version, timeouts, start.seed),
        start_times: StartTimes::default(),
        peers: None,
        fleet_endpoints: BTreeMap::new(),
        namespaces: TenantNamespaces::new((0, 1)),
        maintenance_windows: MaintenanceWindows::default(),
        startup_gate: match fleet {
            Some(fleet) => StartupGate::until_recovery(now, fleet.list_wait),
            None if is_pushed => StartupGate::until_pushed_list(now),
            None => StartupGate::opened(),
        },
        last_arrival: now,
        latencies_reported_at: now,
        reload_requested_at: None,
        shutdown_requested_at: None,
        shutdown_schedule: ShutdownSchedule::new(start.settings.max_request_timeout),
        stop,
    }
}

/// Starts the load balancer with the known servers. In a fleet the recovery decides about these.
fn start_balancer(proxy: &mut Proxy, known: &EndpointList, is_pushed: bool, is_in_fleet: bool) {
    let now = proxy.latencies_reported_at;
    let endpoints = if is_in_fleet { Vec::new() } else { known.endpoints() };
    let endpoints = proxy.start_times.localize(endpoints, now);
    proxy.executor.servers.apply_endpoints(endpoints.iter().zip(known.addresses()), true);
    proxy.balancer.start(&endpoints, now, &mut proxy.executor);
    if !is_pushed && !is_in_fleet {
        proxy.startup_gate = StartupGate::until_first_poll(now, proxy.executor.next_wakeup);
    }
    // Servers that report message latencies need no periodic health checks.
    proxy.balancer.start_periodic_checks(!proxy.executor.servers_report_latency, now, &mut proxy.executor);
}

/// The size of one ring buffer in bytes, such that two for every descriptor take half of the memory at most.
fn ring_size(limits: Limits) -> usize {
    // One of the longest lines fits; more than the maximum gains nothing for lines this short.
    const MIN: usize = MAX_LINE_BYTES + 512;
    const MAX: usize = 16 << 10;
    let buffers = 2 * limits.sockets.max(1) as usize;
    ((limits.memory_mb << 20) as usize / 2 / buffers).clamp(MIN, MAX)
}
