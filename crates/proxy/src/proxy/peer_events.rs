//! Handles the events of the peer protocol and of the recovery state machine.

use crate::fleet::peer_events::PeerEvents;
use crate::proxy::Proxy;
use crate::tenants::maintenance_windows::SCHEDULE_KEY;
use shelfgrade::host::EndpointState;
use shelfgrade::warm_restart::FlowEntry;
use shelfgrade_recovery::{DiscoveryUse, EndpointAddress, RecoveryState};
use std::time::Duration;

/// How long a restored flow is kept: as long as the flow table keeps the entry of a connection that has ended.
const RESTORED_FLOW_TTL: Duration = Duration::from_millis(30_000);
/// The load balancer uses only half of the limit of a server in slow start, because a proxy without peers can only
/// estimate its quota. A leased quota is exact, so the load balancer may use 1.5 times as much.
const LEASED_QUOTA_FACTOR: f64 = 1.5;

impl PeerEvents for Proxy {
    fn apply_endpoints(&mut self, endpoints: Vec<EndpointAddress>, is_complete: bool) {
        self.apply_fleet_endpoints(endpoints, is_complete);
        self.fleet_endpoints.retain(|_, listed| listed.endpoint.state != EndpointState::Removed);
        self.namespaces.set_endpoints(self.balancer.endpoints());
        let customers = self.balancer.customers();
        let updates = customers.iter().filter_map(|customer| self.namespaces.update_for(customer)).collect();
        self.apply_namespace_updates(updates);
        self.executor.restore_waiting_sessions();
        self.run_deferred_actions();
    }

    fn set_discovery_use(&mut self, discovery_use: DiscoveryUse) {
        match discovery_use {
            DiscoveryUse::Unused => self.discovery.reset(self),
            DiscoveryUse::OwnAddresses => self.schedule_spread_poll(),
            DiscoveryUse::Poller => self.executor.poll_requested.set(true),
        }
        self.run_deferred_actions();
    }

    fn state_changed(&mut self, _: RecoveryState) {
        self.executor.list_received.set(true);
        self.open_startup_gate();
    }

    fn restore_flow(&mut self, flow: &FlowEntry) {
        let now = self.now();
        if self.balancer.restore_flow(flow, RESTORED_FLOW_TTL, now) {
            self.executor.metrics.count("flows restored");
        }
    }

    fn list_rejected(&mut self) {
        self.executor.metrics.count_and_warn("endpoint lists rejected");
        self.discovery.reset(self);
        self.schedule_spread_poll();
        self.run_deferred_actions();
    }

    fn set_quota_fraction(&mut self, fraction: f64) {
        self.balancer.set_quota_fraction(fraction * self.balancer.proxy_count() * LEASED_QUOTA_FACTOR);
    }

    fn flow_entries(&self) -> Vec<FlowEntry> {
        self.balancer.flow_entries()
    }

    fn shared_entry_changed(&mut self, key: &str) {
        let Some(peers) = self.peers.clone() else { return };
        if key.starts_with(SCHEDULE_KEY) {
            let fleet_time_ms = peers.fleet_time_ms(self.now());
            return self.maintenance_windows.on_schedule_changed(fleet_time_ms, &*peers);
        }
        let updates = self.namespaces.on_shared_entry_changed(key, &*peers);
        self.apply_namespace_updates(updates);
    }

    fn warn(&self, counter: &'static str) {
        self.executor.metrics.count_and_warn(counter);
    }
}

impl Proxy {
    /// Schedules a poll at a random time, as many members may have to poll at the same moment.
    fn schedule_spread_poll(&mut self) {
        let now = self.now();
        self.balancer.on_poll_failed(now, now, &mut self.executor);
    }
}
