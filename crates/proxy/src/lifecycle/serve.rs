//! Builds a proxy from its configuration and runs its event loop.

use crate::discovery::client::Discovery;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::poll_schedule::{LOCAL_AGENT_TIMEOUTS, SHARED_DISCOVERY_TIMEOUTS};
use crate::discovery::start_times::StartTimes;
use crate::downstream::listener::Listener;
use crate::executor::{Executor, ExecutorSettings};
use crate::fleet::fleet_file::FleetFile;
use crate::fleet::recovery_settings::recovery_settings;
use crate::lifecycle::serve_error::ServeError;
use crate::lifecycle::shutdown_schedule::ShutdownSchedule;
use crate::lifecycle::startup::{limit_descriptors, Limits, StartupConfig};
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

/// Resources that [`build`] needs in addition to the configuration.
struct Resources {
    limits: Limits,
    handle: LoopHandle<'static, Proxy>,
    listener: Listener<Proxy>,
    stop_signal: LoopSignal,
}

/// Runs a proxy until a signal stops it.
///
/// # Errors
///
/// [`ServeError`] if the proxy cannot start, or if the event loop fails.
pub fn serve(mut config: StartupConfig) -> Result<(), ServeError> {
    let fleet = FleetFile::from_environment(&config.name)?;
    let limits = Limits { sockets: limit_descriptors(config.limits.sockets), ..config.limits };

    let mut event_loop: EventLoop<'static, Proxy> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let listen_error = |source| ServeError::Listen { at: config.listen_address, source };
    let listener = Listener::open(config.listen_address, &handle).map_err(listen_error)?;
    watch_signals(&handle)?;
    start_ticks(&handle)?;

    let (listen_address, seed) = (config.listen_address, config.seed);
    let list_is_pushed = config.settings.list_is_pushed;
    let known = std::mem::take(&mut config.known_endpoints);
    let recovery_settings = fleet.as_ref().map(|fleet| recovery_settings(&config.settings, fleet));
    let resources = Resources { limits, handle, listener, stop_signal: event_loop.get_signal() };
    let mut proxy = build(config, &known, fleet.as_ref(), resources);
    let metrics = proxy.executor.metrics.clone();

    start_balancer(&mut proxy, &known, list_is_pushed, fleet.is_some());
    if let Some((file, settings)) = fleet.zip(recovery_settings) {
        proxy.join_fleet(file, settings, &known, seed)?;
    }
    proxy.run_deferred_actions();
    let address =
        proxy.listener.address().map_err(|source| ServeError::Listen { at: listen_address, source })?;
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

/// Builds the proxy and its components. No endpoints have been applied yet.
fn build(
    config: StartupConfig,
    known: &EndpointList,
    fleet: Option<&FleetFile>,
    resources: Resources,
) -> Proxy {
    let Resources { limits, handle, listener, stop_signal } = resources;
    let Settings { classes, customers, slow_start, list_is_pushed, .. } = config.settings;
    let executor_settings = ExecutorSettings {
        dial_timeout: config.settings.dial_timeout,
        health_checks_allowed: config.settings.health_checks_allowed,
        servers_report_latency: config.settings.servers_report_latency,
        limits,
    };
    let executor = Executor::new(handle, executor_settings);
    let now = executor.clock.now();
    // With a local agent or in a fleet the complete list is requested first, because discovery answers that
    // immediately.
    let requests_complete_list = known.records.is_empty() || list_is_pushed || fleet.is_some();
    let version = Some(known.version).filter(|_| !requests_complete_list);
    let timeouts = if list_is_pushed { LOCAL_AGENT_TIMEOUTS } else { SHARED_DISCOVERY_TIMEOUTS };
    let settings_text = config.settings_text;
    // The settings have been validated for the default load balancer, so parsing them again for the load balancer of a
    // customer succeeds.
    let make_balancer =
        move |seed| shelfgrade_settings::parse(seed, &settings_text).ok().map(|settings| settings.balancer);
    Proxy {
        name: config.name,
        balancer: TenantBalancers::new(config.settings.balancer, Box::new(make_balancer), config.seed),
        executor,
        listener,
        class_names: classes,
        customer_names: customers.into_iter().map(|customer| customer.name).collect(),
        slow_start,
        ring_size: ring_size(limits),
        discovery: Discovery::new(config.discovery_address, version, timeouts, config.seed),
        start_times: StartTimes::default(),
        peers: None,
        fleet_endpoints: BTreeMap::new(),
        namespaces: TenantNamespaces::new((0, 1)),
        maintenance_windows: MaintenanceWindows::default(),
        startup_gate: match fleet {
            Some(fleet) => StartupGate::until_recovery(now, fleet.list_wait),
            None if list_is_pushed => StartupGate::until_pushed_list(now),
            None => StartupGate::opened(),
        },
        last_arrival: now,
        latencies_reported_at: now,
        reload_requested_at: None,
        shutdown_requested_at: None,
        shutdown_schedule: ShutdownSchedule::new(config.settings.max_request_timeout),
        stop_signal,
    }
}

/// Starts the load balancer with the servers of the start-up file. In a fleet it starts without servers, because the
/// recovery decides which of the known servers are used.
fn start_balancer(proxy: &mut Proxy, known: &EndpointList, list_is_pushed: bool, is_in_fleet: bool) {
    let now = proxy.latencies_reported_at;
    let endpoints = if is_in_fleet { Vec::new() } else { known.endpoints() };
    let endpoints = proxy.start_times.localize(endpoints, now);
    proxy.executor.servers.apply_endpoints(endpoints.iter().zip(known.addresses()), true);
    proxy.balancer.start(&endpoints, now, &mut proxy.executor);
    if !list_is_pushed && !is_in_fleet {
        proxy.startup_gate = StartupGate::until_first_poll(now, proxy.executor.next_wakeup);
    }
    // Servers that report message latencies do not need periodic health checks.
    proxy.balancer.start_periodic_checks(!proxy.executor.servers_report_latency, now, &mut proxy.executor);
}

/// The size of one ring buffer in bytes, chosen so that two buffers per descriptor use at most half of the memory
/// limit.
fn ring_size(limits: Limits) -> usize {
    // A line of the maximum length must fit. Lines are short, so buffers above the maximum size bring no benefit.
    const MIN: usize = MAX_LINE_BYTES + 512;
    const MAX: usize = 16 << 10;
    let buffers = 2 * limits.sockets.max(1) as usize;
    ((limits.memory_mb << 20) as usize / 2 / buffers).clamp(MIN, MAX)
}
