//! State that the filters share: servers, sessions and recent observations. The decisions are made in
//! [`crate::balancer`].

mod arrival_history;
mod latency_samples;
mod server;
mod server_set;
mod session;

pub(crate) use arrival_history::ArrivalHistory;
pub(crate) use latency_samples::LatencySamples;
pub(crate) use server::{FailedMigrationSearch, OutlierScore, Server};
pub(crate) use server_set::ServerSet;
pub(crate) use session::{Attempt, HealthCheckWaiter, Session};

use crate::balancer::{ConcurrencyWindow, FlowTable};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// The state of one load balancer, shared by its filters.
pub(crate) struct ProxyState {
    pub(crate) servers: ServerSet,
    /// Times that the most recent attempts took to be established. Aggregated over all servers, because one proxy
    /// sends too few attempts to any single server.
    pub(crate) establish_latencies: LatencySamples,
    pub(crate) arrivals: ArrivalHistory,
    pub(crate) concurrency: ConcurrencyWindow,
    pub(crate) flows: FlowTable,
    /// The maximum number of attempts of a session.
    pub(crate) max_attempts: usize,
    pub(crate) seed: u64,
    /// The number of proxies, including this one.
    pub(crate) proxy_count: f64,
    /// This proxy's quota as a multiple of an even share among the proxies.
    pub(crate) quota_fraction: Cell<f64>,
    rng: RefCell<WyRand>,
}

impl ProxyState {
    pub(crate) fn new(max_attempts: usize, seed: u64, proxy_count: f64) -> Self {
        ProxyState {
            servers: ServerSet::default(),
            establish_latencies: LatencySamples::default(),
            arrivals: ArrivalHistory::default(),
            concurrency: ConcurrencyWindow::new(proxy_count),
            flows: FlowTable::default(),
            max_attempts,
            seed,
            proxy_count,
            quota_fraction: Cell::new(1.0),
            rng: RefCell::new(WyRand::new_seed(seed)),
        }
    }

    /// Returns a random number, uniformly distributed between 0 and 1.
    pub(crate) fn random_unit(&self) -> f64 {
        f64::from(self.rng.borrow_mut().generate::<f32>())
    }
}

/// Appends a sample and drops the oldest ones beyond `max_samples`.
fn push_bounded<T>(samples: &mut VecDeque<T>, sample: T, max_samples: usize) {
    samples.push_back(sample);
    samples.drain(..samples.len().saturating_sub(max_samples));
}
