//! The JSON format of the settings, with one type for each JSON object. `serde` renames map the keys of the file to the
//! field names.

use serde::Deserialize;
use shelfgrade::time::DurationExt;
use std::collections::BTreeMap;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// A finite number of 0 or more, so that durations and shares cannot be negative.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(try_from = "f64")]
pub struct NonNegative(f64);

impl TryFrom<f64> for NonNegative {
    type Error = String;

    fn try_from(given: f64) -> Result<Self, String> {
        if given.is_finite() && given >= 0.0 {
            Ok(NonNegative(given))
        } else {
            Err(format!("{given} is out of range, expected a number of 0 or more"))
        }
    }
}

impl NonNegative {
    /// The number itself.
    pub fn get(self) -> f64 {
        self.0
    }

    /// The number as a duration in milliseconds.
    pub fn milliseconds(self) -> Duration {
        Duration::from_ms(self.0)
    }

    /// The number as a duration in milliseconds; `None` if it is 0, which stands for a value that is not set.
    pub fn milliseconds_unless_zero(self) -> Option<Duration> {
        (self.0 > 0.0).then(|| self.milliseconds())
    }
}

/// The top-level object.
#[derive(Deserialize)]
pub struct SettingsFile {
    /// Number of proxies that share the servers.
    #[serde(rename = "balancers")]
    pub proxies: Option<NonZeroUsize>,
    /// Costs of actions: validated, but not used.
    #[serde(default, rename = "charges")]
    _charges: BTreeMap<String, NonNegative>,
    pub discovery: DiscoverySetting,
    #[serde(rename = "offerings")]
    pub classes: Vec<ClassSetting>,
    #[serde(rename = "bounds")]
    pub limits: LimitsSetting,
    #[serde(rename = "invariants")]
    pub guarantees: GuaranteesSetting,
    #[serde(default)]
    pub customers: Vec<CustomerSetting>,
    #[serde(default, rename = "extra")]
    pub deployment: DeploymentSetting,
}

/// How the proxy receives the endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoverySetting {
    /// An agent pushes the list.
    #[serde(rename = "automatic")]
    Pushed,
    /// The proxy polls discovery for the list.
    #[serde(rename = "subscribe")]
    Polled,
}

/// A customer.
#[derive(Deserialize)]
pub struct CustomerSetting {
    pub name: String,
    #[serde(default)]
    pub share: NonNegative,
}

/// A request class.
#[derive(Deserialize)]
pub struct ClassSetting {
    pub name: String,
    pub idempotency: IdempotencySetting,
    #[serde(default, rename = "group")]
    pub key_scope: KeyScopeSetting,
    /// How long an idempotency key is remembered, in milliseconds.
    #[serde(default, rename = "window_ms")]
    pub key_window_ms: NonNegative,
    #[serde(rename = "soft_limit_ms")]
    pub connect_latency_objective_ms: Option<NonNegative>,
    #[serde(rename = "patience_ms")]
    pub request_timeout_ms: Option<NonNegative>,
    #[serde(default, rename = "benefit")]
    pub priority_weight: NonNegative,
}

/// Whether a request of a class may be retried.
#[derive(Deserialize, Clone, Copy)]
pub enum IdempotencySetting {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "by_key")]
    Keyed,
    #[serde(rename = "once")]
    NonIdempotent,
}

/// The servers that share their knowledge of idempotency keys.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum KeyScopeSetting {
    All,
    Zone,
    /// The default because it is the narrowest scope: a retry is safe even if the setting is omitted.
    #[default]
    Cell,
}

/// Limits on what the proxy may do.
#[derive(Deserialize)]
pub struct LimitsSetting {
    #[serde(rename = "most_connects")]
    pub max_attempts: usize,
    #[serde(default)]
    pub max_retry_after_ms: NonNegative,
    #[serde(default, rename = "probes")]
    pub health_checks_allowed: bool,
    #[serde(default)]
    pub dial_timeout_ms: NonNegative,
}

/// Guarantees that the proxy has to fulfill: for the load of warming servers, and for the polling of discovery.
#[derive(Deserialize)]
pub struct GuaranteesSetting {
    /// Fraction of its capacity that a server has when it starts.
    #[serde(default, rename = "cold_from")]
    pub slow_start_initial_fraction: NonNegative,
    #[serde(default, rename = "cold_ms")]
    pub slow_start_ms: NonNegative,
    pub overload_factor: NonNegative,
    #[serde(default, rename = "overload_for_ms")]
    pub overload_window_ms: NonNegative,
    #[serde(default, rename = "must_ask_in_ms")]
    pub max_poll_interval_ms: NonNegative,
}

/// Properties of the deployment, all optional.
#[derive(Deserialize, Default)]
pub struct DeploymentSetting {
    /// One per request class, in the order of the classes; classes beyond the end of the list have no objective.
    #[serde(default, rename = "message_aim_ms")]
    pub message_latency_objectives_ms: Vec<NonNegative>,
    /// Maximum number of open connections per customer; `None` for a customer without a limit.
    #[serde(default, rename = "tenant_quota_connections")]
    pub customer_quotas: Vec<Option<NonNegative>>,
    /// Maximum number of connections to one server, if not every customer has a limit.
    #[serde(rename = "server_connections")]
    pub server_capacity: Option<NonZeroU32>,
    #[serde(default, rename = "tells_delay")]
    pub servers_report_latency: bool,
}

impl DeploymentSetting {
    /// Maximum number of open connections of all customers together; `None` if one of them has no limit, or if the sum
    /// is 0.
    pub fn total_capacity(&self) -> Option<f64> {
        let quotas = self.customer_quotas.iter().map(|quota| quota.map(NonNegative::get));
        let total: f64 = quotas.sum::<Option<f64>>()?;
        Some(total).filter(|total| *total > 0.0)
    }
}
