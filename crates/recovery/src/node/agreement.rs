//! Agreement with the peers on the endpoint list.

use super::Node;
use crate::environment::RecoveryEnvironment;
use shelfgrade::time::Timestamp;

impl Node {
    /// Treats the list as agreed once its digest matches the one that the pollers report.
    pub(super) fn check_agreement(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        if self.is_list_agreed || self.lacks_all_addresses() {
            return;
        }
        let reported = self.election.newest_live_heartbeat(now).map(|heartbeat| heartbeat.digest);
        if reported.is_some_and(|digest| digest == self.list_digest()) {
            self.on_list_agreed("list received from peers", now, environment);
        }
    }

    /// Whether this process knows the address of no server of the list, and would be left without any.
    fn lacks_all_addresses(&self) -> bool {
        let is_known = |server: &String| self.addresses.get(server).is_some();
        !self.records.is_empty() && !self.records.keys().any(is_known)
    }

    /// Applies the agreed endpoint list and starts the recovery ramp. Only the first call has an effect.
    ///
    /// A ramp over the fallback endpoints is restarted here, since the list may contain additional servers.
    pub(super) fn on_list_agreed(
        &mut self,
        source: &str,
        now: Timestamp,
        environment: &mut dyn RecoveryEnvironment,
    ) {
        if std::mem::replace(&mut self.is_list_agreed, true) {
            return;
        }
        self.applied_correction_ms = self.fleet.clock_correction_ms();
        let endpoints = self.endpoints(now);
        let starts = || endpoints.iter().map(|listed| listed.endpoint.started);
        let reason = format!(
            "{source}: {} servers, {} of them with a known start time",
            endpoints.len(),
            starts().flatten().count()
        );
        self.ramp.on_endpoint_list(starts(), now);
        environment.apply_endpoints(endpoints, true);
        self.restore_flows(environment);
        environment.state_changed(self.ramp.state(), &reason);
    }

    /// Restores the flows to servers that have not been restarted. A restarted server has lost its sessions.
    fn restore_flows(&mut self, environment: &mut dyn RecoveryEnvironment) {
        for session in std::mem::take(&mut self.restored_sessions) {
            let started_ms = self.records.get(&session.server).map(|record| record.started_ms);
            if started_ms == Some(session.started_ms) {
                environment.restore_flow(session.key, &session.server, session.started_ms);
            }
        }
    }
}
