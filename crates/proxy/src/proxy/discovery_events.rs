//! Handles the outcomes of calls to discovery.

use crate::discovery::call_error::CallError;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::events::DiscoveryEvents;
use crate::proxy::Proxy;
use shelfgrade::time::Timestamp;

impl DiscoveryEvents for Proxy {
    fn on_endpoints(&mut self, list: &EndpointList) -> bool {
        log::debug!(
            "endpoint list version {}: {} records, complete: {}",
            list.version,
            list.records.len(),
            list.is_complete
        );
        let now = self.now();
        self.executor.list_received.set(true);
        if let Some(keeps_watching) = self.submit_list_to_fleet(list) {
            return keeps_watching;
        }
        if list.sent_at.is_some_and(|sent_at| self.start_times.update_clock_lead(sent_at, now)) {
            let corrected = self.start_times.relocalize(self.balancer.endpoints());
            self.balancer.on_endpoints(&corrected, false, now);
        }
        let endpoints = self.start_times.localize(list.endpoints(), now);
        self.start_times.on_list_applied();
        self.executor.servers.apply_endpoints(endpoints.iter().zip(list.addresses()), list.is_complete);
        self.balancer.on_endpoints(&endpoints, list.is_complete, now);
        self.executor.restore_waiting_sessions();
        self.run_deferred_actions();
        self.open_startup_gate();
        true
    }

    fn on_poll_failed(&mut self, error: &CallError, started_at: Timestamp) {
        log::warn!("{error}");
        self.executor.metrics.count("endpoint polls failed");
        let now = self.now();
        self.balancer.on_poll_failed(started_at, now, &mut self.executor);
        self.run_deferred_actions();
    }

    fn on_watch_lost(&mut self, error: &CallError, refresh_deadline: Timestamp) {
        log::warn!("{error}");
        let counter = match error {
            CallError::ResponseTimeout { .. } => "endpoint polls timed out",
            _ => "endpoint polls failed",
        };
        self.executor.metrics.count(counter);
        self.balancer.on_watch_lost(refresh_deadline, &mut self.executor);
        self.run_deferred_actions();
    }
}
