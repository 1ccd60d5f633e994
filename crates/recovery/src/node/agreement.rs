//! Agreement with the other members on the endpoint list.

use super::Node;
use crate::environment::RecoveryEnvironment;
use shelfgrade::time::Timestamp;

impl Node {
    /// Takes the list as agreed once it has the digest that the pollers report.
    pub(super) fn check_agreement(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        if self.is_list_agreed {
            return;
        }
        let reported = self.election.newest_live(now).map(|heartbeat| heartbeat.digest);
        if reported.is_some_and(|digest| digest == self.list_digest()) {
            self.on_list_agreed("list received from peers", now, environment);
        }
    }

    /// The endpoint list is agreed: it is applied, and the recovery ramp starts. Only the first call has an effect.
    ///
    /// The ramp may start anew here, since the list may have servers that were not among the candidates.
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
        let starts = || endpoints.iter().map(|known| known.endpoint.started);
        let reason = format!(
            "{source}: {} servers, {} of them with a known start",
            endpoints.len(),
            starts().flatten().count()
        );
        self.ramp.on_endpoint_list(starts(), now);
        environment.apply_endpoints(endpoints, true);
        self.restore_flows(environment);
        environment.state_changed(self.ramp.state(), &reason);
    }

    /// Restores the flows of the servers that have not been restarted; a restarted one has lost its sessions.
    fn restore_flows(&mut self, environment: &mut dyn RecoveryEnvironment) {
        for session in std::mem::take(&mut self.held_sessions) {
            let started_ms = self.records.get(&session.server).map(|record| record.started_ms);
            if started_ms == Some(session.started_ms) {
                environment.restore_flow(session.key, &session.server, session.started_ms);
            }
        }
    }
}
