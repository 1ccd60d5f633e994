//! What the parts of this folder ask of their owner, answered by the proxy.

use crate::proxy::Proxy;
use crate::session::Session;
use crate::upstream::health_check::HealthCheckEvents;
use crate::upstream::server::Server;
use std::time::Duration;

impl HealthCheckEvents for Proxy {
    type Session = Session;

    fn before_health_check_dial(&mut self) {
        self.executor.make_room_for_health_check();
        self.evict_pending_connections();
    }

    fn on_health_check(&mut self, server: &Server<Self>, latency: Duration) {
        Proxy::on_health_check(self, server, latency);
    }

    /// Where servers report message latencies no check is periodic, and the next may be wanted minutes later.
    fn keeps_health_check_connections(&self) -> bool {
        !self.executor.servers_report_latency
    }
}
