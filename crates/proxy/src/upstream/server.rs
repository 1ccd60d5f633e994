//! A server in the endpoint list.

use crate::upstream::health_check::{HealthCheck, HealthCheckOwner};
use crate::upstream::load_reports::{LatencyReportLimiter, LoadReportClassifier};
use crate::upstream::message_latency::MessageLatencySamples;
use shelfgrade::host::{Endpoint, EndpointState, ServerId};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The state of a server that is needed to execute decisions.
pub struct Server<T: HealthCheckOwner> {
    /// Its id in the endpoint list.
    pub id: ServerId,
    /// Its state in the endpoint list.
    pub state: Cell<EndpointState>,
    /// The address to connect to.
    pub address: Cell<SocketAddr>,
    /// The recent message latencies.
    pub message_latency: MessageLatencySamples<T::Session>,
    /// Distinguishes the two kinds of load reports.
    pub load_report_classifier: LoadReportClassifier,
    /// Combines message latency reports that arrive in quick succession.
    pub latency_report_limiter: LatencyReportLimiter<T::Session>,
    /// The connection for health checks, if one is open.
    pub health_check: RefCell<Option<Rc<HealthCheck<T>>>>,
}

impl<T: HealthCheckOwner> Server<T> {
    /// Creates a server that is new in the endpoint list.
    pub fn new(endpoint: &Endpoint, address: SocketAddr) -> Self {
        Server {
            id: endpoint.server.clone(),
            state: Cell::new(endpoint.state),
            address: Cell::new(address),
            message_latency: MessageLatencySamples::default(),
            load_report_classifier: LoadReportClassifier::default(),
            latency_report_limiter: LatencyReportLimiter::default(),
            health_check: RefCell::default(),
        }
    }
}
