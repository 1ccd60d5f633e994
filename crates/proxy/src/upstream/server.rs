//! A server of the endpoint list.

use crate::upstream::health_check::{HealthCheck, HealthCheckEvents};
use crate::upstream::load_reports::LoadReports;
use crate::upstream::message_latency::MessageLatency;
use shelfgrade::host::{Endpoint, EndpointState, ServerId};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// A server, as far as executing decisions needs it.
pub struct Server<T: HealthCheckEvents> {
    /// Its id on the endpoint list.
    pub id: ServerId,
    /// Its state on the endpoint list.
    pub state: Cell<EndpointState>,
    /// Where to connect.
    pub address: Cell<SocketAddr>,
    /// How long messages have taken of late.
    pub message_latency: MessageLatency<T::Session>,
    /// Tells its two kinds of load reports apart.
    pub load_reports: LoadReports,
    /// The connection for health checks, while there is one.
    pub health_check: RefCell<Option<Rc<HealthCheck<T>>>>,
}

impl<T: HealthCheckEvents> Server<T> {
    /// A server that is new on the endpoint list.
    pub fn new(endpoint: &Endpoint, address: SocketAddr) -> Self {
        Server {
            id: endpoint.server.clone(),
            state: Cell::new(endpoint.state),
            address: Cell::new(address),
            message_latency: MessageLatency::default(),
            load_reports: LoadReports::default(),
            health_check: RefCell::default(),
        }
    }
}
