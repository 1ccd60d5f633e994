//! The JSON object of the settings, one type for each of its objects. Field names are the field's terms; `serde`
//! renames carry the keys of the file.

use serde::Deserialize;
use shelfgrade::time::DurationExt;
use std::collections::BTreeMap;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// A finite number of 0 or more, so that no duration or share is negative.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(try_from = "f64")]
pub struct NonNegative(f64);

impl TryFrom<f64> for NonNegative {
    type Error = String;

    fn try_from(given: f64) -> Result<Self, String> {
        if given.is_finite() && given >= 0.0 {
            Ok(NonNegative(given))
        } else {
            Err(format!("{given} where a figure from 0 up is wanted"))
        }
    }
}

impl NonNegative {
    /// The number itself.
    pub fn get(self) -> f64 {
        self.0
    }

    /// This many milliseconds.
    pub fn milliseconds(self) -> Duration {
        Duration::from_ms(self.0)
    }

    /// This many milliseconds; none where the number is 0, which stands for a value that is not set.
    pub fn milliseconds_unless_zero(self) -> Option<Duration> {
        (self.0 > 0.0).then(|| self.milliseconds())
    }
}

/// The outermost object.
#[derive(Deserialize)]
pub struct SettingsFile {
    /// Proxies that share the servers.
    #[serde(rename = "balancers")]
    pub proxies: Option<NonZeroUsize>,
    /// Prices of actions: not used, but validated.
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

/// How the endpoint list arrives.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoverySetting {
    /// It is pushed by an agent.
    #[serde(rename = "automatic")]
    Pushed,
    /// The proxy polls for it.
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
    /// For how long a key is remembered, in milliseconds.
    #[serde(default, rename = "window_ms")]
    pub key_window_ms: NonNegative,
    #[serde(rename = "soft_limit_ms")]
    pub connect_latency_objective_ms: Option<NonNegative>,
    #[serde(rename = "patience_ms")]
    pub request_timeout_ms: Option<NonNegative>,
    #[serde(default, rename = "benefit")]
    pub priority_weight: NonNegative,
}

/// Whether a request of a class may be sent again.
#[derive(Deserialize, Clone, Copy)]
pub enum IdempotencySetting {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "by_key")]
    Keyed,
    #[serde(rename = "once")]
    NonIdempotent,
}

/// Among which servers an idempotency key is known.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum KeyScopeSetting {
    All,
    Zone,
    /// The narrowest, so that a file that leaves it out never makes a retry unsafe.
    #[default]
    Cell,
}

/// What the proxy may do at most.
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

/// What the proxy has to keep to: the load of warming servers, and the polling of discovery.
#[derive(Deserialize)]
pub struct GuaranteesSetting {
    /// Part of its capacity that a server has as it starts.
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

/// Facts about the deployment, all optional.
#[derive(Deserialize, Default)]
pub struct DeploymentSetting {
    /// One for each request class, in the same order; classes beyond the end have none.
    #[serde(default, rename = "message_aim_ms")]
    pub message_latency_objectives_ms: Vec<NonNegative>,
    /// Connections that each customer may have open; none for a customer without a bound.
    #[serde(default, rename = "tenant_quota_connections")]
    pub customer_quotas: Vec<Option<NonNegative>>,
    /// Connections that one server holds, where not every customer has a bound.
    #[serde(rename = "server_connections")]
    pub server_capacity: Option<NonZeroU32>,
    #[serde(default, rename = "tells_delay")]
    pub servers_report_latency: bool,
}

impl DeploymentSetting {
    /// Connections that all customers together may have open; none where one of them has no bound, or where the sum
    /// is 0.
    pub fn total_capacity(&self) -> Option<f64> {
        let quotas = self.customer_quotas.iter().map(|quota| quota.map(NonNegative::get));
        let total: f64 = quotas.sum::<Option<f64>>()?;
        Some(total).filter(|total| *total > 0.0)
    }
}
