//! The settings that a proxy is given at its start, on any wire: reads what the decisions need and builds
//! them. Unknown keys are ignored.

use serde::Deserialize;
use shelfgrade::balancer::{LoadBalancer, SlowStart};
use shelfgrade::host::{Idempotency, KeyScope, RequestClass};
use shelfgrade::time::DurationExt;
use std::collections::BTreeMap;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

// So many proxies are taken to share the servers where the settings do not tell: cautious, as what each does
// by itself is then small, and more than any fleet so far.
const MANY: usize = 100;

// What one server is taken to hold, in connections, where nothing tells; deployments that tell have 29 to 47.
const HOLDS: f64 = 30.0;

// The span in which a cold server's budget is counted, where the settings do not tell.
const OVERLOAD_SPAN: Duration = Duration::from_millis(2000);

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("not what is wanted ({0}): correct the value there")]
    Form(#[from] serde_json::Error),
    #[error(
        "extra: server_connections beside tenant_quota_connections that are all bounded: what servers hold is told \
         twice; leave one of them out"
    )]
    ToldTwice,
}

/// A figure that is no less than nothing. Guards against settings that would make a time or a share of none.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(try_from = "f64")]
struct Amount(f64);

impl TryFrom<f64> for Amount {
    type Error = String;
    fn try_from(given: f64) -> Result<Self, String> {
        if given.is_finite() && given >= 0.0 {
            Ok(Amount(given))
        } else {
            Err(format!("{given} where a figure from 0 up is wanted"))
        }
    }
}

#[derive(Deserialize)]
struct Env {
    balancers: Option<NonZeroUsize>,
    /// Prices are not weighed yet, but one below nothing shows that the settings are no good.
    #[serde(default, rename = "charges")]
    _charges: BTreeMap<String, Amount>,
    discovery: Discovery,
    #[serde(rename = "offerings")]
    classes: Vec<ClassSetting>,
    bounds: Bounds,
    invariants: Invariants,
    #[serde(default)]
    customers: Vec<CustomerSetting>,
    #[serde(default)]
    extra: Extra,
}

#[derive(Deserialize)]
struct CustomerSetting {
    name: String,
    #[serde(default)]
    share: Amount,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct ClassSetting {
    name: String,
    idempotency: IdempotencySetting,
    #[serde(default)]
    group: KeyScopeSetting,
    #[serde(default)]
    window_ms: Amount,
    #[serde(rename = "soft_limit_ms")]
    connect_latency_objective_ms: Option<Amount>,
    #[serde(rename = "patience_ms")]
    request_timeout_ms: Option<Amount>,
    #[serde(default, rename = "benefit")]
    priority_weight: Amount,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum IdempotencySetting {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum KeyScopeSetting {
    All,
    Zone,
    /// The narrowest, where the settings leave it out.
    #[default]
    Cell,
}

#[derive(Deserialize)]
struct Bounds {
    #[serde(rename = "most_connects")]
    max_attempts: usize,
    #[serde(default)]
    max_retry_after_ms: Amount,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    dial_timeout_ms: Amount,
}

#[derive(Deserialize)]
struct Invariants {
    #[serde(default)]
    cold_from: Amount,
    #[serde(default)]
    cold_ms: Amount,
    overload_factor: Amount,
    #[serde(default)]
    overload_for_ms: Amount,
    #[serde(default)]
    must_ask_in_ms: Amount,
}

#[derive(Deserialize, Default)]
struct Extra {
    #[serde(default, rename = "message_aim_ms")]
    message_latency_objectives_ms: Vec<Amount>,
    /// None for a customer whose share has no bound.
    #[serde(default)]
    tenant_quota_connections: Vec<Option<Amount>>,
    /// Of one server, where not every customer has a bound.
    server_connections: Option<NonZeroU32>,
    #[serde(default)]
    tells_delay: bool,
}

/// What all customers together may have open; none where one of them has no bound, or there is none.
fn total_capacity(quotas: &[Option<Amount>]) -> Option<f64> {
    let bounds = quotas.iter().map(|quota| quota.map(|q| q.0)).collect::<Option<Vec<_>>>()?;
    Some(bounds.iter().sum()).filter(|all| *all > 0.0)
}

/// What a request class is owed.
pub struct ClassPriority {
    /// Time within which a connection should be established.
    pub connect_latency_objective: Option<Duration>,
    /// Worth of one second, relative to the other classes.
    pub priority_weight: f64,
}

/// A customer and its share.
pub struct Customer {
    pub name: String,
    pub share: f64,
}

/// A proxy's settings, read.
pub struct Settings {
    pub balancer: LoadBalancer,
    /// The request classes' names in their order.
    pub classes: Vec<String>,
    /// What each is owed, in the same order: the time within which a connection should stand, and a second's priority weight.
    pub class_priorities: Vec<ClassPriority>,
    /// The customers' names and shares.
    pub customers: Vec<Customer>,
    /// How long a server takes to be warm.
    pub slow_start: Duration,
    /// The longest that a client stays away when told to.
    pub max_retry_after: Duration,
    /// The longest that any client waits for its connection; none where a request class does not tell.
    pub max_request_timeout: Option<Duration>,
    /// A connection that is not established within this has failed; none where the settings leave it open.
    pub dial_timeout: Option<Duration>,
    /// The list is pushed: what its service has counts as told, whether or not it was heard.
    pub list_is_pushed: bool,
    /// Servers tell by themselves how long messages take.
    pub servers_report_latency: bool,
    /// Probes are allowed.
    pub health_checks_allowed: bool,
}

/// Reads the settings from the text of their JSON object.
pub fn parse(seed: u64, text: &str) -> Result<Settings, SettingsError> {
    let env: Env = serde_json::from_str(text)?;
    let proxies = env.balancers.map_or(MANY, NonZeroUsize::get);
    let Env { classes, invariants, bounds, extra, customers, .. } = env;
    let total_capacity = total_capacity(&extra.tenant_quota_connections);
    if total_capacity.is_some() && extra.server_connections.is_some() {
        return Err(SettingsError::ToldTwice);
    }
    let slow_start = SlowStart {
        initial_fraction: invariants.cold_from.0,
        duration: Duration::from_ms(invariants.cold_ms.0),
        overload_factor: invariants.overload_factor.0,
        overload_window: Some(invariants.overload_for_ms.0)
            .filter(|ms| *ms > 0.0)
            .map_or(OVERLOAD_SPAN, Duration::from_ms),
        total_capacity,
        server_capacity: extra.server_connections.map_or(HOLDS, |each| each.get() as f64),
        proxies: proxies as f64,
    };
    let must_ask_in = match env.discovery {
        Discovery::Automatic => None,
        Discovery::Subscribe => Some(Duration::from_ms(invariants.must_ask_in_ms.0)),
    };
    let class_priorities = classes.iter().map(|class| ClassPriority {
        connect_latency_objective: class.connect_latency_objective_ms.map(|l| Duration::from_ms(l.0)),
        priority_weight: class.priority_weight.0,
    });
    let class_priorities = class_priorities.collect();
    let request_timeout =
        classes.iter().map(|class| class.request_timeout_ms.map(|p| Duration::from_ms(p.0)));
    let longest_request_timeout =
        request_timeout.collect::<Option<Vec<_>>>().and_then(|all| all.into_iter().max());
    let (span, most_pause) = (slow_start.duration, Duration::from_ms(bounds.max_retry_after_ms.0));
    let known = classes.iter().enumerate().map(|(i, class)| RequestClass {
        idempotency: match class.idempotency {
            IdempotencySetting::Repeatable => Idempotency::Idempotent,
            IdempotencySetting::Once => Idempotency::NonIdempotent,
            IdempotencySetting::ByKey => Idempotency::Keyed {
                scope: match class.group {
                    KeyScopeSetting::All => KeyScope::All,
                    KeyScopeSetting::Zone => KeyScope::Zone,
                    KeyScopeSetting::Cell => KeyScope::Cell,
                },
                window: Duration::from_ms(class.window_ms.0),
            },
        },
        connect_latency_objective: class.connect_latency_objective_ms.map(|limit| Duration::from_ms(limit.0)),
        message_latency_objective: extra
            .message_latency_objectives_ms
            .get(i)
            .map(|limit| Duration::from_ms(limit.0)),
    });
    let balancer =
        LoadBalancer::new(seed, known.collect(), bounds.max_attempts, most_pause, must_ask_in, slow_start);
    Ok(Settings {
        balancer,
        classes: classes.into_iter().map(|o| o.name).collect(),
        class_priorities,
        customers: customers.into_iter().map(|c| Customer { name: c.name, share: c.share.0 }).collect(),
        slow_start: span,
        max_retry_after: most_pause,
        max_request_timeout: longest_request_timeout,
        dial_timeout: Some(bounds.dial_timeout_ms.0).filter(|ms| *ms > 0.0).map(Duration::from_ms),
        list_is_pushed: must_ask_in.is_none(),
        servers_report_latency: extra.tells_delay,
        health_checks_allowed: bounds.probes,
    })
}

#[cfg(test)]
#[path = "../tests/unit/lib.rs"]
mod tests;
