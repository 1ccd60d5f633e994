//! Slow start: limits what is sent to a server that has just started.

use crate::state::{ArrivalHistory, Server};
use crate::time::{DurationExt, Timestamp};
use std::time::Duration;

/// The capacity of servers, in particular while they warm up, and the number of proxies that share them.
pub struct SlowStart {
    /// The fraction of its capacity that a server has when it has just started.
    pub initial_fraction: f64,
    /// How long a server takes to warm up.
    pub duration: Duration,
    /// The number of attempts that a server can be sent per warm-up period before it is overloaded, as a multiple of
    /// its capacity.
    pub overload_factor: f64,
    /// The window over which attempts to a warming server are counted.
    pub overload_window: Duration,
    /// The capacity of all servers together, in connections, if customers' quotas define it; otherwise it follows
    /// from `server_capacity`.
    pub total_capacity: Option<f64>,
    /// The capacity of each server, in connections.
    pub server_capacity: f64,
    /// The number of proxies, including this one.
    pub proxy_count: f64,
}

/// The inputs to the admission to a warming server, besides the server itself.
pub(super) struct AdmissionInputs {
    /// The number of connections that this proxy may hold at all servers together.
    pub(super) quota: f64,
    /// The number of sessions that arrived recently.
    pub(super) recent_arrivals: f64,
    /// Upper bound on the fraction of sessions that a warming server is sent.
    pub(super) max_fraction: f64,
    /// The number of servers that the session may be sent to.
    pub(super) server_count: f64,
}

impl SlowStart {
    /// Returns this proxy's even share of the capacity of this many servers, in connections.
    pub(super) fn proxy_capacity(&self, server_count: usize) -> f64 {
        self.total_capacity.unwrap_or(self.server_capacity * server_count as f64) / self.proxy_count
    }

    /// Returns how far the server has warmed up, from 0 (just started) to 1 (warm).
    pub(super) fn warm_fraction(&self, server: &Server, now: Timestamp) -> f64 {
        server.started.get().map_or(1.0, |at| now.since(at).ratio_to(self.duration).min(1.0))
    }

    /// Returns the fraction of sessions that a server may be sent, which is 1 once it is warm. The proxy's recent
    /// arrivals represent its share of all arrivals, and its quota its share of the connections that fill the server.
    pub(super) fn admitted_fraction(&self, server: &Server, inputs: &AdmissionInputs, now: Timestamp) -> f64 {
        // The rest of the budget, and the margin of 2 * sqrt(budget) + 2 above it, are left for random variation.
        const BUDGET_USED: f64 = 0.5;
        let recent_budget = self.attempt_budget(server, inputs.quota, ArrivalHistory::RECENT_WINDOW, now);
        let remaining = self.remaining_budget(server, inputs, now);
        (recent_budget * BUDGET_USED * remaining / inputs.recent_arrivals)
            .min(inputs.max_fraction)
            .max(self.warm_fraction(server, now).floor())
    }

    /// Returns what is left of this proxy's own budget in the overload window, as a fraction of one attempt and
    /// capped at one. This limits bursts, by chance or of one group, which a limit on the fraction of sessions alone
    /// would let through.
    fn remaining_budget(&self, server: &Server, inputs: &AdmissionInputs, now: Timestamp) -> f64 {
        let sent = server.attempts_within(self.overload_window, now);
        if sent == 0.0 {
            return 1.0;
        }
        let budget = self.attempt_budget(server, inputs.quota, self.overload_window, now);
        (budget / inputs.server_count - sent).clamp(0.0, 1.0)
    }

    /// Returns how many attempts servers that are as warm as this one, with `quota` connections together, can handle
    /// within `window`.
    fn attempt_budget(&self, server: &Server, quota: f64, window: Duration, now: Timestamp) -> f64 {
        let capacity_fraction =
            self.initial_fraction + (1.0 - self.initial_fraction) * self.warm_fraction(server, now);
        // A warming server can handle, over its warm-up period, as many attempts as fill it.
        quota * window.ratio_to(self.duration) * self.overload_factor * capacity_fraction
    }

    /// Whether a key is among those that are placed as if this proxy observed no server's load. These keys are the
    /// same at every proxy. Their fraction of all keys equals the fraction of servers at which a proxy holds fewer
    /// than two connections (Poisson distribution), because a single connection shows its own latency rather than its
    /// server's load.
    pub(super) fn is_load_unobserved(&self, key: u64, server_count: usize) -> bool {
        let mean_connections = self.proxy_capacity(server_count) / server_count as f64;
        let key_fraction = (key >> 32) as f64 / 2_f64.powi(32);
        key_fraction < (-mean_connections).exp() * (1.0 + mean_connections)
    }
}
