//! Implements the owner trait of this module for [`Proxy`].

use crate::metrics::Metrics;
use crate::proxy::Proxy;
use crate::session::Session;
use crate::upstream::health_check::HealthCheckOwner;
use crate::upstream::server::Server;
use std::time::Duration;

impl HealthCheckOwner for Proxy {
    type Session = Session;

    fn before_health_check_connect(&mut self) {
        self.executor.free_health_check_descriptor();
        self.evict_pending_connections();
    }

    fn on_health_check(&mut self, server: &Server<Self>, latency: Duration) {
        Proxy::on_health_check(self, server, latency);
    }

    /// Connections are not kept if servers report message latencies: there are no periodic checks then, and minutes
    /// may pass before the next one.
    fn keeps_health_check_connections(&self) -> bool {
        !self.executor.servers_report_latency
    }

    fn metrics(&self) -> &Metrics {
        &self.executor.metrics
    }
}
