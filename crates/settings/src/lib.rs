//! The settings of a proxy, independent of its wire protocol: parses a JSON object and builds the load balancer from
//! it. Unknown keys are ignored.

#![warn(missing_docs)]
#![deny(unsafe_code)]

mod build;
mod file;

use shelfgrade::balancer::LoadBalancer;
use std::time::Duration;

/// Why settings are invalid.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not valid JSON, a key is missing, or a value is out of range.
    #[error("invalid JSON or value ({0}): correct the value there")]
    Malformed(#[from] serde_json::Error),
    /// Two keys specify the capacity of the servers, and may contradict each other.
    #[error(
        "extra: both server_connections and a tenant_quota_connections without null: the capacity of servers is \
         given twice; leave one of them out"
    )]
    DuplicateCapacity,
}

/// The priority of a request class when capacity is scarce.
pub struct ClassPriority {
    /// The time within which a connection should be established; `None` if the class has no objective.
    pub connect_latency_objective: Option<Duration>,
    /// Weight of one second of this class, relative to one second of another class.
    pub priority_weight: f64,
}

/// A customer whose sessions the proxy serves.
pub struct Customer {
    /// Name of the customer, as in the first line of a session.
    pub name: String,
    /// Weight of its sessions relative to those of other customers when capacity is scarce.
    pub share: f64,
}

/// The settings of one proxy, and the load balancer built from them.
pub struct Settings {
    /// The load balancer.
    pub balancer: LoadBalancer,
    /// Names of the request classes, in the order of their indexes in the load balancer.
    pub classes: Vec<String>,
    /// Priorities of the request classes, in the same order.
    pub class_priorities: Vec<ClassPriority>,
    /// All customers.
    pub customers: Vec<Customer>,
    /// Time from a server's start until it can take its full load.
    pub slow_start: Duration,
    /// Maximum Retry-After that clients comply with.
    pub max_retry_after: Duration,
    /// Maximum time that a client waits for its connection; `None` if a request class has no timeout.
    pub max_request_timeout: Option<Duration>,
    /// Time after which an upstream connection attempt fails; `None` if not set.
    pub dial_timeout: Option<Duration>,
    /// Whether the endpoint list is pushed to the proxy. Otherwise the proxy polls for it.
    pub list_is_pushed: bool,
    /// Whether servers report message latency without being asked.
    pub servers_report_latency: bool,
    /// Whether health checks may be sent.
    pub health_checks_allowed: bool,
}

/// Parses the settings from JSON and builds the load balancer, with a random number generator that is initialized from
/// the seed.
///
/// # Errors
///
/// [`SettingsError::Malformed`] if the text cannot be parsed, with the line, the column, and the key or value;
/// [`SettingsError::DuplicateCapacity`] if two keys specify the capacity of the servers.
pub fn parse(seed: u64, text: &str) -> Result<Settings, SettingsError> {
    build::settings(seed, serde_json::from_str(text)?)
}
