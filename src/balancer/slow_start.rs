//! Slow start: what a server that has just started may be sent.

use crate::state::{ArrivalHistory, Server};
use crate::time::{DurationExt, Timestamp};
use std::time::Duration;

/// What servers can bear, above all while they warm up, and how many proxies share them.
pub struct SlowStart {
    /// The fraction of its capacity that a server has when it has just started.
    pub initial_fraction: f64,
    /// How long a server warms up.
    pub duration: Duration,
    /// How many times its capacity per warm-up a server can be sent before it is overloaded.
    pub overload_factor: f64,
    /// The window in which attempts to a warming server are counted.
    pub overload_window: Duration,
    /// The capacity of all servers together, in connections, where customers' quotas say; else see `server_capacity`.
    pub total_capacity: Option<f64>,
    /// The capacity of each server, in connections.
    pub server_capacity: f64,
    /// How many proxies there are, this one included.
    pub proxies: f64,
}

/// What the admission to a warming server goes by, besides the server.
pub(super) struct AdmissionLoad {
    /// The connections that this proxy may hold at all servers together.
    pub(super) quota: f64,
    /// Sessions that arrived recently.
    pub(super) recent_arrivals: f64,
    /// No larger fraction of them is admitted.
    pub(super) max_fraction: f64,
    /// How many servers there are.
    pub(super) servers: f64,
}

impl SlowStart {
    /// How many connections this proxy would hold of the capacity of so many servers.
    pub(super) fn proxy_capacity(&self, servers: usize) -> f64 {
        self.total_capacity.unwrap_or(self.server_capacity * servers as f64) / self.proxies
    }

    /// From 0, just started, to 1, warm.
    pub(super) fn warm_fraction(&self, server: &Server, now: Timestamp) -> f64 {
        server.started.get().map_or(1.0, |at| now.since(at).ratio_to(self.duration).min(1.0))
    }

    /// The fraction of sessions that a server may be sent; all once it is warm. The recent arrivals stand for this
    /// proxy's share of all arrivals, its quota for its share of what fills the server.
    pub(super) fn admitted_fraction(&self, server: &Server, load: &AdmissionLoad, now: Timestamp) -> f64 {
        // The rest of the budget is for chance, beside twice its root and two.
        const BUDGET_USED: f64 = 0.5;
        let recent_budget = self.attempt_budget(server, load.quota, ArrivalHistory::RECENT_WINDOW, now);
        let remaining = self.remaining_budget(server, load, now);
        (recent_budget * BUDGET_USED * remaining / load.recent_arrivals)
            .min(load.max_fraction)
            .max(self.warm_fraction(server, now).floor())
    }

    /// What is left of this proxy's own budget in the overload window: a fraction of one attempt, at most one. Bounds
    /// bursts, of chance or of one group, that the fraction of sessions alone lets through.
    fn remaining_budget(&self, server: &Server, load: &AdmissionLoad, now: Timestamp) -> f64 {
        let sent = server.attempts_within(self.overload_window, now);
        if sent == 0.0 {
            return 1.0;
        }
        let budget = self.attempt_budget(server, load.quota, self.overload_window, now);
        (budget / load.servers - sent).clamp(0.0, 1.0)
    }

    /// How many attempts servers as warm as this one, with `quota` connections together, can take within `window`.
    fn attempt_budget(&self, server: &Server, quota: f64, window: Duration, now: Timestamp) -> f64 {
        let strength =
            self.initial_fraction + (1.0 - self.initial_fraction) * self.warm_fraction(server, now);
        // A warming server can take what fills it over its warm-up.
        quota * window.ratio_to(self.duration) * self.overload_factor * strength
    }

    /// Whether a key is among those that are placed as if this proxy observed no server's load. They are the same at
    /// every proxy, and as large a part of all keys as the servers at which a proxy holds under two connections
    /// (Poisson distributed): a single connection tells of itself, not of its server.
    pub(super) fn is_load_unobserved(&self, key: u64, servers: usize) -> bool {
        let mean_connections = self.proxy_capacity(servers) / servers as f64;
        let key_fraction = (key >> 32) as f64 / 2_f64.powi(32);
        key_fraction < (-mean_connections).exp() * (1.0 + mean_connections)
    }
}
