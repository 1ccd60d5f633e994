//! The load balancers of one process: a default one, and a separate one for each customer with a namespace, so that
//! overload caused by one customer does not affect the decisions for others. All are instances of [`LoadBalancer`].

use crate::tenants::tenant_namespaces::NamespaceUpdate;
use shelfgrade::balancer::LoadBalancer;
use shelfgrade::host::{Arrival, AttemptOutcome, Endpoint, EndpointState, Host, ServerId, SessionId};
use shelfgrade::time::Timestamp;
use shelfgrade::warm_restart::FlowEntry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// A customer's load balancer is dropped after the customer has had no session for this long. All entries of its flow
/// table have expired by then.
const TENANT_IDLE_TIMEOUT: Duration = Duration::from_millis(60_000);

/// Builds a load balancer from a seed, with the settings of the process; none if the settings are invalid.
pub type BalancerFactory = Box<dyn Fn(u64) -> Option<LoadBalancer>>;

/// A customer's load balancer.
struct TenantBalancer {
    balancer: LoadBalancer,
    /// Servers granted to the customer, in the order of their ids.
    granted_servers: Rc<[ServerId]>,
    /// The customer's fraction of this process's quota.
    quota_share: f64,
    /// When the customer was first found to have no session; none while it has sessions.
    idle_since: Option<Timestamp>,
}

/// A flow entry restored from an earlier incarnation of this process.
struct RestoredFlow {
    entry: FlowEntry,
    expires_at: Timestamp,
}

/// All load balancers of one process. Each event is passed to the load balancer that handles the session, or to all.
pub struct TenantBalancers {
    default_balancer: LoadBalancer,
    default_quota_share: f64,
    factory: BalancerFactory,
    seed: u64,
    /// Load balancers of customers with a namespace that have had a session recently.
    tenants: BTreeMap<Rc<str>, TenantBalancer>,
    /// The customers of sessions that are not handled by the default load balancer.
    session_tenants: BTreeMap<SessionId, Rc<str>>,
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// Restored flow entries, kept for customers whose load balancer is built later.
    restored_flows: Vec<RestoredFlow>,
    health_checks_enabled: bool,
    /// The last value passed to [`Self::set_quota_fraction`]; 0 before the first call.
    quota_fraction: f64,
}

impl TenantBalancers {
    /// Starts with the default load balancer only. Those of customers are built with `factory` from seeds derived from
    /// `seed`.
    pub fn new(default_balancer: LoadBalancer, factory: BalancerFactory, seed: u64) -> Self {
        TenantBalancers {
            default_balancer,
            default_quota_share: 1.0,
            factory,
            seed,
            tenants: BTreeMap::new(),
            session_tenants: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            restored_flows: Vec::new(),
            health_checks_enabled: false,
            quota_fraction: 0.0,
        }
    }

    /// Starts the default load balancer with the endpoint list known at startup.
    pub fn start(&mut self, known: &[Endpoint], now: Timestamp, host: &mut dyn Host) {
        self.store_endpoints(known, true);
        self.default_balancer.start(known, now, host);
    }

    fn store_endpoints(&mut self, endpoints: &[Endpoint], is_complete: bool) {
        if is_complete {
            self.endpoints.clear();
        }
        let changed = endpoints.iter().map(|endpoint| (endpoint.server.clone(), endpoint.clone()));
        self.endpoints.extend(changed);
        self.endpoints.retain(|_, endpoint| endpoint.state != EndpointState::Removed);
    }

    /// The current endpoint list.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.values().cloned().collect()
    }

    /// Applies changed endpoints, or a complete list from which absent servers have been removed.
    pub fn on_endpoints(&mut self, endpoints: &[Endpoint], is_complete: bool, now: Timestamp) {
        self.on_poll_answered();
        self.on_shared_endpoints(endpoints, is_complete, now);
    }

    /// Called when a poll or a watch was answered with endpoints that [`Self::on_shared_endpoints`] passes on.
    pub fn on_poll_answered(&mut self) {
        self.default_balancer.on_poll_answered();
    }

    /// Applies endpoints that another process of the fleet may have received.
    pub fn on_shared_endpoints(&mut self, endpoints: &[Endpoint], is_complete: bool, now: Timestamp) {
        self.store_endpoints(endpoints, is_complete);
        self.default_balancer.on_shared_endpoints(endpoints, is_complete, now);
        for tenant in self.tenants.values_mut() {
            let granted = granted_endpoints(&self.endpoints, &tenant.granted_servers);
            tenant.balancer.on_endpoints(&granted, true, now);
        }
    }

    /// Called when the watch of the endpoint list was lost. The default load balancer polls for the list immediately;
    /// changes that the watch missed must be applied by `refresh_deadline`.
    pub fn on_watch_lost(&mut self, refresh_deadline: Timestamp, host: &mut dyn Host) {
        self.default_balancer.on_watch_lost(refresh_deadline, host);
    }

    /// Called when a poll for the endpoint list that started at `started_at` has failed. The default load balancer
    /// schedules the next one.
    pub fn on_poll_failed(&mut self, started_at: Timestamp, now: Timestamp, host: &mut dyn Host) {
        self.default_balancer.on_poll_failed(started_at, now, host);
    }

    /// The customers that currently have their own load balancer.
    pub fn customers(&self) -> Vec<Rc<str>> {
        self.tenants.keys().cloned().collect()
    }

    /// Whether a customer currently has its own load balancer.
    pub fn has_tenant(&self, customer: &str) -> bool {
        self.tenants.contains_key(customer)
    }

    /// Applies a change of the servers or of the quota share granted to a customer.
    pub fn update_tenant(&mut self, update: &NamespaceUpdate, now: Timestamp) {
        let Some(tenant) = self.tenants.get_mut(&update.customer) else { return };
        tenant.granted_servers = update.servers.clone();
        tenant.quota_share = update.quota_share;
        let granted = granted_endpoints(&self.endpoints, &update.servers);
        tenant.balancer.on_endpoints(&granted, true, now);
        self.apply_quota();
    }

    /// Builds the load balancer of a customer. Called on its first session and not for every namespace in advance, so
    /// that memory use depends on the load and not on the number of namespaces.
    pub fn add_tenant(&mut self, update: NamespaceUpdate, now: Timestamp, host: &mut dyn Host) {
        let seed = self.seed ^ xxhash_rust::xxh3::xxh3_64(update.customer.as_bytes());
        // The settings were valid for the default load balancer, so they are valid for this one.
        let Some(mut balancer) = (self.factory)(seed) else { return };
        balancer.on_endpoints(&granted_endpoints(&self.endpoints, &update.servers), true, now);
        balancer.start_periodic_checks(self.health_checks_enabled, now, host);
        self.restored_flows.retain(|flow| now < flow.expires_at);
        for flow in &self.restored_flows {
            balancer.restore_flow(&flow.entry, flow.expires_at.since(now), now);
        }
        let tenant = TenantBalancer {
            balancer,
            granted_servers: update.servers,
            quota_share: update.quota_share,
            idle_since: None,
        };
        self.tenants.insert(update.customer, tenant);
        self.apply_quota();
    }

    /// Sets the fraction of this process's quota that is used for sessions of customers without a namespace.
    pub fn set_default_quota_share(&mut self, quota_share: f64) {
        self.default_quota_share = quota_share;
        self.apply_quota();
    }

    /// Sets this process's quota of the load that the fleet may send to servers in slow start, as a multiple of an
    /// equal share per proxy. 0 means that the quota is unknown; an equal share is then assumed.
    pub fn set_quota_fraction(&mut self, quota_fraction: f64) {
        self.quota_fraction = quota_fraction;
        self.apply_quota();
    }

    fn apply_quota(&mut self) {
        let quota_fraction = if self.quota_fraction > 0.0 { self.quota_fraction } else { 1.0 };
        self.default_balancer.set_quota_fraction(quota_fraction * self.default_quota_share);
        for tenant in self.tenants.values() {
            tenant.balancer.set_quota_fraction(quota_fraction * tenant.quota_share);
        }
    }

    /// The number of proxies that share the servers, according to the settings.
    pub fn proxy_count(&self) -> f64 {
        self.default_balancer.proxy_count()
    }

    fn balancer_of(&mut self, session: SessionId) -> &mut LoadBalancer {
        let customer = self.session_tenants.get(&session);
        match customer.and_then(|customer| self.tenants.get_mut(customer)) {
            Some(tenant) => &mut tenant.balancer,
            None => &mut self.default_balancer,
        }
    }

    /// The default load balancer, then those of customers in the order of the customers' names.
    fn balancers(&mut self) -> impl Iterator<Item = &mut LoadBalancer> {
        let tenants = self.tenants.values_mut().map(|tenant| &mut tenant.balancer);
        std::iter::once(&mut self.default_balancer).chain(tenants)
    }

    /// Requests a server for a session. `customer` selects the load balancer; none selects the default one.
    pub fn on_request(
        &mut self,
        customer: Option<&Rc<str>>,
        arrival: &Arrival,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        if let Some(customer) = customer {
            self.session_tenants.insert(arrival.session, customer.clone());
        }
        self.balancer_of(arrival.session).on_request(arrival, now, host);
    }

    /// Adds a session that was established before this process started.
    pub fn restore_session(&mut self, arrival: &Arrival, server: &str, now: Timestamp) {
        self.balancer_of(arrival.session).restore_session(arrival, server, now);
    }

    /// Called when a session is established.
    pub fn on_established(&mut self, session: SessionId, now: Timestamp) {
        self.balancer_of(session).on_established(session, now);
    }

    /// Whether the request of a session may be sent to the server of its current attempt.
    pub fn may_send_request(&mut self, session: SessionId, now: Timestamp) -> bool {
        self.balancer_of(session).may_send_request(session, now)
    }

    /// Called when an attempt of a session has ended. `client_done`: the client has been answered or its connection has
    /// ended, so no retry follows.
    pub fn on_attempt_ended(
        &mut self,
        session: SessionId,
        outcome: AttemptOutcome,
        client_done: bool,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        self.balancer_of(session).on_attempt_ended(session, outcome, client_done, now, host);
    }

    /// Called when the client of a session has closed its connection.
    pub fn on_client_closed(&mut self, session: SessionId) {
        self.balancer_of(session).on_client_closed(session);
    }

    /// Called when the server of a session has reported the session's load.
    pub fn on_load_report(&mut self, session: SessionId, load: f64) {
        self.balancer_of(session).on_load_report(session, load);
    }

    /// Called when the latency of a message of a session has been measured or reported.
    pub fn on_message_latency(
        &mut self,
        session: SessionId,
        latency: Duration,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        self.balancer_of(session).on_message_latency(session, latency, now, host);
    }

    /// Called when a wakeup scheduled by a load balancer is due. It is not recorded which load balancer scheduled it,
    /// so all are called and check the time themselves.
    pub fn on_timer(&mut self, now: Timestamp, host: &mut dyn Host) {
        self.balancers().for_each(|balancer| balancer.on_timer(now, host));
    }

    /// Starts the periodic checks of the default load balancer, and of those of customers when they are built.
    pub fn start_periodic_checks(
        &mut self,
        health_checks_enabled: bool,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        self.health_checks_enabled = health_checks_enabled;
        self.default_balancer.start_periodic_checks(health_checks_enabled, now, host);
    }

    /// Called when a health check of a server has ended after `latency`.
    pub fn on_health_check(&mut self, server: &str, latency: Duration, now: Timestamp, host: &mut dyn Host) {
        self.balancers().for_each(|balancer| balancer.on_health_check(server, latency, now, host));
    }

    /// Migrates an equal part of the established sessions on each call during a shutdown. `calls_left` is the number of
    /// calls, including this one, after which no session may be left.
    pub fn migrate_sessions(&mut self, calls_left: usize, host: &mut dyn Host) {
        self.balancers().for_each(|balancer| balancer.migrate_sessions(calls_left, host));
    }

    /// The flow table entries of all load balancers.
    pub fn flow_entries(&self) -> Vec<FlowEntry> {
        let mut entries = self.default_balancer.flow_entries();
        entries.extend(self.tenants.values().flat_map(|tenant| tenant.balancer.flow_entries()));
        entries
    }

    /// Restores a flow entry of an earlier incarnation for `lifetime`. Returns whether any load balancer accepted it.
    pub fn restore_flow(&mut self, entry: &FlowEntry, lifetime: Duration, now: Timestamp) -> bool {
        self.restored_flows.push(RestoredFlow { entry: entry.clone(), expires_at: now + lifetime });
        self.balancers()
            .fold(false, |restored, balancer| balancer.restore_flow(entry, lifetime, now) | restored)
    }

    /// Removes the customers of sessions that have ended, and drops the load balancers of idle customers. Called once a
    /// second.
    pub fn evict_idle(&mut self, is_open: impl Fn(&SessionId) -> bool, now: Timestamp) {
        if self.tenants.is_empty() {
            return;
        }
        self.session_tenants.retain(|session, _| is_open(session));
        let with_sessions: BTreeSet<&Rc<str>> = self.session_tenants.values().collect();
        self.tenants.retain(|customer, tenant| {
            if with_sessions.contains(customer) {
                tenant.idle_since = None;
                return true;
            }
            let idle_since = *tenant.idle_since.get_or_insert(now);
            now.since(idle_since) < TENANT_IDLE_TIMEOUT
        });
    }
}

/// The endpoints of the given servers; servers that are not on the endpoint list are left out.
fn granted_endpoints(endpoints: &BTreeMap<ServerId, Endpoint>, servers: &[ServerId]) -> Vec<Endpoint> {
    servers.iter().filter_map(|server| endpoints.get(server)).cloned().collect()
}
