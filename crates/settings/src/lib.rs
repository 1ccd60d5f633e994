//! Settings that a proxy is given at its start, whatever wire it speaks: one JSON object, from which the decisions are
//! built. Unknown keys are ignored.

#![warn(missing_docs)]
#![deny(unsafe_code)]

mod build;
mod file;

use shelfgrade::balancer::LoadBalancer;
use std::time::Duration;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, a key is missing, or a value is out of its range.
    #[error("not what is wanted ({0}): correct the value there")]
    Form(#[from] serde_json::Error),
    /// The capacity of the servers follows from two keys that may differ.
    #[error(
        "extra: server_connections beside tenant_quota_connections that are all bounded: the capacity of servers is \
         given twice; leave one of them out"
    )]
    CapacityGivenTwice,
}

/// Priority of a request class when capacity is short.
pub struct ClassPriority {
    /// Within which a connection should be established; none where the class has no objective.
    pub connect_latency_objective: Option<Duration>,
    /// Weight of one second of this class against one of another.
    pub priority_weight: f64,
}

/// A customer whose sessions the proxy serves.
pub struct Customer {
    /// As the first line of a session names it.
    pub name: String,
    /// Weight of its sessions against those of other customers when capacity is short.
    pub share: f64,
}

/// The settings of one proxy, and the load balancer built from them.
pub struct Settings {
    /// Makes the decisions.
    pub balancer: LoadBalancer,
    /// Names of the request classes, in the order in which the balancer numbers them.
    pub classes: Vec<String>,
    /// Priorities of the request classes, in the same order.
    pub class_priorities: Vec<ClassPriority>,
    /// All customers.
    pub customers: Vec<Customer>,
    /// From a server's start until it takes its full load.
    pub slow_start: Duration,
    /// Longest Retry-After that a client keeps to.
    pub max_retry_after: Duration,
    /// Longest time that a client waits for its connection; none where a request class leaves it out.
    pub max_request_timeout: Option<Duration>,
    /// An upstream connection that is not established within this has failed; none where the settings leave it out.
    pub dial_timeout: Option<Duration>,
    /// The endpoint list is pushed: the proxy does not poll for it.
    pub list_is_pushed: bool,
    /// Servers report the latency of messages without being asked.
    pub servers_report_latency: bool,
    /// Health checks may be sent.
    pub health_checks_allowed: bool,
}

/// Reads the settings from the text of their JSON object and builds the load balancer, whose random draws come from
/// the seed.
///
/// # Errors
///
/// [`SettingsError::Form`] where the text cannot be read, with the line, the column and the key or the value;
/// [`SettingsError::CapacityGivenTwice`] where two keys give the capacity of the servers.
pub fn parse(seed: u64, text: &str) -> Result<Settings, SettingsError> {
    build::settings(seed, serde_json::from_str(text)?)
}
