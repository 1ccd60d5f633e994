//! Settings of the recovery state machine.

use std::time::Duration;

/// Settings of a [`Node`](crate::Node).
#[derive(Debug, Clone)]
pub struct RecoverySettings {
    /// Priorities of the request classes, indexed by request class.
    pub classes: Vec<ClassPriority>,
    /// Guaranteed shares of the customers, indexed by customer, each from 0 to 1.
    pub customer_shares: Vec<f64>,
    /// How long to wait for the endpoint list before falling back to the restored servers.
    pub list_wait: Duration,
    /// How long a server takes to warm up after its start.
    pub slow_start: Duration,
    /// The maximum `retry_after` that clients comply with.
    pub max_retry_after: Duration,
}

/// The priority of a request class during recovery.
#[derive(Debug, Clone, Copy)]
pub struct ClassPriority {
    /// The time within which a connection should be established. Requests with a shorter one are admitted first.
    pub connect_latency_objective: Option<Duration>,
    /// Breaks ties between equal objectives. Relative to the weights of the other classes.
    pub priority_weight: f64,
}
