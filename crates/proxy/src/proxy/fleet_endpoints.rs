//! Passes the endpoints that the fleet has agreed on to the load balancers, after applying maintenance windows and
//! namespaces.

use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use crate::session_table::SessionTable;
use crate::tenants::tenant_namespaces::NamespaceUpdate;
use shelfgrade::host::{Endpoint, Host, ServerId, SessionId};
use shelfgrade_recovery::EndpointAddress;
use std::collections::BTreeMap;
use std::rc::Rc;

impl Proxy {
    /// Applies endpoints that the fleet has agreed on. The maintenance windows are evaluated first, because otherwise a
    /// process that starts during a window would send clients to its servers until the next evaluation.
    pub fn apply_fleet_endpoints(&mut self, endpoints: Vec<EndpointAddress>, is_complete: bool) {
        if is_complete {
            self.fleet_endpoints.clear();
        }
        for listed in &endpoints {
            self.fleet_endpoints.insert(listed.endpoint.server.clone(), duplicate(listed));
        }
        self.apply_maintenance_windows();
        self.apply_with_maintenance(endpoints, is_complete);
    }

    /// Evaluates the maintenance schedule, applies changes of endpoint states, and migrates sessions away from zones
    /// whose maintenance window has begun. Called once a second and on each change of the endpoint list.
    pub fn apply_maintenance_windows(&mut self) {
        let Some(peers) = self.peers.clone().filter(|_| self.maintenance_windows.has_schedule()) else {
            return;
        };
        let fleet_time_ms = peers.fleet_time_ms(self.now());
        let endpoints: Vec<Endpoint> =
            self.fleet_endpoints.values().map(|listed| listed.endpoint.clone()).collect();
        // Sessions are looked at only when a window begins, because this is called for each change of the list.
        let sessions_in = |zone: &str| sessions_in_zone(zone, &self.executor.sessions, &self.fleet_endpoints);
        let session_count = |zone: &str| sessions_in(zone).len();
        let changes = self.maintenance_windows.evaluate(fleet_time_ms, &endpoints, session_count);
        let closing: Vec<_> = changes.closing_sites.iter().flat_map(|zone| sessions_in(zone)).collect();
        if changes.endpoints_changed {
            self.apply_with_maintenance(self.fleet_endpoints.values().map(duplicate).collect(), true);
        }
        for session in closing {
            self.executor.metrics.count("migrated for maintenance");
            self.executor.migrate(session);
        }
        self.run_deferred_actions();
    }

    fn apply_with_maintenance(&mut self, endpoints: Vec<EndpointAddress>, is_complete: bool) {
        let now = self.now();
        let (endpoints, addresses): (Vec<_>, Vec<_>) = endpoints
            .into_iter()
            .map(|listed| {
                (self.maintenance_windows.apply_to(&listed.endpoint, self.slow_start, now), listed.address)
            })
            .unzip();
        self.executor.servers.apply_endpoints(endpoints.iter().zip(addresses.iter().copied()), is_complete);
        self.balancer.on_shared_endpoints(&endpoints, is_complete, now);
    }

    /// Passes changed namespaces to the load balancers of their customers.
    pub fn apply_namespace_updates(&mut self, updates: Vec<NamespaceUpdate>) {
        let now = self.now();
        for update in updates {
            self.balancer.update_tenant(&update, now);
        }
        self.balancer.set_default_quota_share(self.namespaces.default_quota_share());
    }
}

/// The established sessions at servers of a zone.
fn sessions_in_zone(
    zone: &str,
    sessions: &SessionTable<Session>,
    endpoints: &BTreeMap<ServerId, EndpointAddress>,
) -> Vec<SessionId> {
    let is_in_zone = |session: &&Rc<Session>| {
        let attempt = session.attempt.borrow();
        let listed = attempt.as_ref().and_then(|attempt| endpoints.get(&attempt.server.id));
        session.stage.get() == Stage::Established && listed.is_some_and(|listed| listed.endpoint.zone == zone)
    };
    sessions.values().filter(is_in_zone).map(|session| session.id).collect()
}

fn duplicate(listed: &EndpointAddress) -> EndpointAddress {
    EndpointAddress { endpoint: listed.endpoint.clone(), address: listed.address }
}
