//! Builds the settings and the load balancer from the parsed settings file.

use crate::file::{
    ClassSetting, DeploymentSetting, DiscoverySetting, IdempotencySetting, KeyScopeSetting, NonNegative,
    SettingsFile,
};
use crate::{ClassPriority, Customer, Settings, SettingsError};
use shelfgrade::balancer::{LoadBalancer, SlowStart};
use shelfgrade::host::{Idempotency, KeyScope, RequestClass};
use std::num::NonZeroUsize;
use std::time::Duration;

/// Number of proxies that share the servers, if `balancers` is not set. High, because a proxy that assumes more proxies
/// sends fewer sessions to a warming server.
const DEFAULT_PROXIES: usize = 100;

/// Capacity of a server if neither `server_connections` nor a quota for every customer is set.
const DEFAULT_SERVER_CAPACITY_CONNECTIONS: f64 = 30.0;

/// The period over which the load of a warming server is counted, if `overload_for_ms` is not set.
const DEFAULT_OVERLOAD_WINDOW: Duration = Duration::from_millis(2000);

/// Builds the settings and the load balancer, which uses the seed for its random number generator.
pub fn settings(seed: u64, file: SettingsFile) -> Result<Settings, SettingsError> {
    let slow_start = slow_start(&file)?;
    let slow_start_duration = slow_start.duration;
    let max_retry_after = file.limits.max_retry_after_ms.milliseconds();
    let max_poll_interval = max_poll_interval(&file);
    let balancer = LoadBalancer::new(
        seed,
        request_classes(&file),
        file.limits.max_attempts,
        max_retry_after,
        max_poll_interval,
        slow_start,
    );
    Ok(Settings {
        balancer,
        class_priorities: file.classes.iter().map(class_priority).collect(),
        max_request_timeout: max_request_timeout(&file.classes),
        classes: file.classes.into_iter().map(|class| class.name).collect(),
        customers: file
            .customers
            .into_iter()
            .map(|customer| Customer { name: customer.name, share: customer.share.get() })
            .collect(),
        slow_start: slow_start_duration,
        max_retry_after,
        dial_timeout: file.limits.dial_timeout_ms.milliseconds_unless_zero(),
        list_is_pushed: max_poll_interval.is_none(),
        servers_report_latency: file.deployment.servers_report_latency,
        health_checks_allowed: file.limits.health_checks_allowed,
    })
}

fn slow_start(file: &SettingsFile) -> Result<SlowStart, SettingsError> {
    let total_capacity = file.deployment.total_capacity();
    let server_capacity = file.deployment.server_capacity;
    if total_capacity.is_some() && server_capacity.is_some() {
        return Err(SettingsError::DuplicateCapacity);
    }
    let guarantees = &file.guarantees;
    Ok(SlowStart {
        initial_fraction: guarantees.slow_start_initial_fraction.get(),
        duration: guarantees.slow_start_ms.milliseconds(),
        overload_factor: guarantees.overload_factor.get(),
        overload_window: guarantees
            .overload_window_ms
            .milliseconds_unless_zero()
            .unwrap_or(DEFAULT_OVERLOAD_WINDOW),
        total_capacity,
        server_capacity: server_capacity
            .map_or(DEFAULT_SERVER_CAPACITY_CONNECTIONS, |capacity| capacity.get().into()),
        proxy_count: file.proxies.map_or(DEFAULT_PROXIES, NonZeroUsize::get) as f64,
    })
}

/// Maximum time between polls of discovery; `None` if the endpoint list is pushed.
fn max_poll_interval(file: &SettingsFile) -> Option<Duration> {
    match file.discovery {
        DiscoverySetting::Pushed => None,
        DiscoverySetting::Polled => Some(file.guarantees.max_poll_interval_ms.milliseconds()),
    }
}

fn request_classes(file: &SettingsFile) -> Vec<RequestClass> {
    let indexed = file.classes.iter().enumerate();
    indexed.map(|(index, class)| request_class(class, index, &file.deployment)).collect()
}

fn request_class(class: &ClassSetting, index: usize, deployment: &DeploymentSetting) -> RequestClass {
    let message_latency_objective = deployment.message_latency_objectives_ms.get(index);
    RequestClass {
        idempotency: idempotency(class),
        connect_latency_objective: class.connect_latency_objective_ms.map(NonNegative::milliseconds),
        message_latency_objective: message_latency_objective.map(|objective| objective.milliseconds()),
    }
}

fn idempotency(class: &ClassSetting) -> Idempotency {
    match class.idempotency {
        IdempotencySetting::Idempotent => Idempotency::Idempotent,
        IdempotencySetting::NonIdempotent => Idempotency::NonIdempotent,
        IdempotencySetting::Keyed => Idempotency::Keyed {
            scope: key_scope(class.key_scope),
            window: class.key_window_ms.milliseconds(),
        },
    }
}

fn key_scope(scope: KeyScopeSetting) -> KeyScope {
    match scope {
        KeyScopeSetting::All => KeyScope::All,
        KeyScopeSetting::Zone => KeyScope::Zone,
        KeyScopeSetting::Cell => KeyScope::Cell,
    }
}

fn class_priority(class: &ClassSetting) -> ClassPriority {
    ClassPriority {
        connect_latency_objective: class.connect_latency_objective_ms.map(NonNegative::milliseconds),
        priority_weight: class.priority_weight.get(),
    }
}

/// The longest request timeout; `None` if a class has no timeout, or if there are no classes.
fn max_request_timeout(classes: &[ClassSetting]) -> Option<Duration> {
    let timeouts = classes.iter().map(|class| class.request_timeout_ms.map(NonNegative::milliseconds));
    timeouts.collect::<Option<Vec<_>>>()?.into_iter().max()
}
