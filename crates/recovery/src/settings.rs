//! Settings of the recovery state machine.

use std::time::Duration;

/// Settings of a [`Node`](crate::Node).
#[derive(Debug, Clone)]
pub struct RecoverySettings {
    /// Priorities of the request classes, by their indices.
    pub classes: Vec<ClassPriority>,
    /// Guaranteed shares of the customers, by their indices, each from 0 to 1.
    pub customer_shares: Vec<f64>,
    /// How long to wait for the endpoint list before serving with the restored one.
    pub list_wait: Duration,
    /// How long a server takes to warm up after its start.
    pub slow_start: Duration,
    /// The longest `retry_after` that clients comply with.
    pub max_retry_after: Duration,
}

/// The priority of a request class during recovery.
#[derive(Debug, Clone, Copy)]
pub struct ClassPriority {
    /// The time within which a connection should be established; the shorter, the earlier it is admitted.
    pub connect_latency_objective: Option<Duration>,
    /// Decides between equal objectives; in any unit, as long as it is the same for all classes.
    pub priority_weight: f64,
}
