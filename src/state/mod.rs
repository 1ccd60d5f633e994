//! Records that the filters share: servers, sessions and recent observations. Decided on in [`crate::balancer`].

mod arrival_history;
mod latency_samples;
mod server;
mod server_set;
mod session;

pub(crate) use arrival_history::ArrivalHistory;
pub(crate) use latency_samples::LatencySamples;
pub(crate) use server::{OutlierScore, Server};
pub(crate) use server_set::ServerSet;
pub(crate) use session::{Attempt, Session};

use crate::balancer::{ConcurrencyWindow, FlowTable};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// The state of one proxy, shared by its filters.
pub(crate) struct ProxyState {
    pub(crate) servers: ServerSet,
    /// How long the last attempts took to establish. Over all servers, as a proxy sees too few of any single one.
    pub(crate) establish_latencies: LatencySamples,
    pub(crate) arrivals: ArrivalHistory,
    pub(crate) concurrency: ConcurrencyWindow,
    pub(crate) flows: FlowTable,
    /// How many attempts a session may have.
    pub(crate) max_attempts: usize,
    pub(crate) seed: u64,
    /// How many proxies there are, this one included.
    pub(crate) proxies: f64,
    /// This proxy's quota, as a multiple of an even share among the proxies.
    pub(crate) quota_fraction: Cell<f64>,
    rng: RefCell<WyRand>,
}

impl ProxyState {
    pub(crate) fn new(max_attempts: usize, seed: u64, proxies: f64) -> Self {
        ProxyState {
            servers: ServerSet::default(),
            establish_latencies: LatencySamples::default(),
            arrivals: ArrivalHistory::default(),
            concurrency: ConcurrencyWindow::new(proxies),
            flows: FlowTable::default(),
            max_attempts,
            seed,
            proxies,
            quota_fraction: Cell::new(1.0),
            rng: RefCell::new(WyRand::new_seed(seed)),
        }
    }

    /// The next random number, uniform from 0 to 1.
    pub(crate) fn random_unit(&self) -> f64 {
        f64::from(self.rng.borrow_mut().generate::<f32>())
    }
}

/// Appends a sample and drops the oldest beyond `max_samples`.
fn push_bounded<T>(samples: &mut VecDeque<T>, sample: T, max_samples: usize) {
    samples.push_back(sample);
    samples.drain(..samples.len().saturating_sub(max_samples));
}
