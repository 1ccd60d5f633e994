//! The load balancers of one process: the default one, and one for each customer that has a namespace, so that overload
//! by one customer does not change the decisions for another. All of them are the same decision module.

use crate::tenants::tenant_namespaces::NamespaceUpdate;
use shelfgrade::balancer::LoadBalancer;
use shelfgrade::host::{Arrival, AttemptOutcome, Endpoint, EndpointState, Host, ServerId, SessionId};
use shelfgrade::time::Timestamp;
use shelfgrade::warm_restart::FlowEntry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// A customer's load balancer is dropped when the customer has had no session for this long. Its flow table has then
/// no entry left.
const TENANT_IDLE_TIMEOUT: Duration = Duration::from_millis(60_000);

/// Builds a load balancer with the settings of the process, from a seed; none where the settings cannot be used.
pub type BalancerFactory = Box<dyn Fn(u64) -> Option<LoadBalancer>>;

/// A customer's load balancer.
struct TenantBalancer {
    balancer: LoadBalancer,
    /// In the order of their ids.
    granted_servers: Rc<[ServerId]>,
    quota_share: f64,
    /// Since when the customer has no session.
    idle_since: Option<Timestamp>,
}

/// A flow entry of an earlier incarnation.
struct RestoredFlow {
    entry: FlowEntry,
    expires_at: Timestamp,
}

/// All load balancers of one process. Each event goes to the one that decides the session, or to all of them.
pub struct TenantBalancers {
    default_balancer: LoadBalancer,
    default_quota_share: f64,
    factory: BalancerFactory,
    seed: u64,
    /// Of customers with a namespace that have had a session recently.
    tenants: BTreeMap<Rc<str>, TenantBalancer>,
    /// Customers of the sessions that the default balancer does not decide.
    session_tenants: BTreeMap<SessionId, Rc<str>>,
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// For customers whose load balancer is built later.
    restored_flows: Vec<RestoredFlow>,
    health_checks_enabled: bool,
    /// As it was set last; 0 before that.
    quota_fraction: f64,
}

impl TenantBalancers {
    /// The default balancer alone. `factory` and `seed` build those of customers.
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

    /// Starts with the endpoint list known from before.
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

    /// Applies a change of the endpoint list; a server that is absent from a complete list is removed.
    pub fn on_endpoints(&mut self, endpoints: &[Endpoint], is_complete: bool, now: Timestamp) {
        self.store_endpoints(endpoints, is_complete);
        self.default_balancer.on_endpoints(endpoints, is_complete, now);
        for tenant in self.tenants.values_mut() {
            let granted = granted_endpoints(&self.endpoints, &tenant.granted_servers);
            tenant.balancer.on_endpoints(&granted, true, now);
        }
    }

    /// The watch of the endpoint list was lost: the default balancer polls for the list now. What the lost watch may have
    /// missed counts as received at `due`.
    pub fn on_watch_lost(&mut self, due: Timestamp, host: &mut dyn Host) {
        self.default_balancer.on_watch_lost(due, host);
    }

    /// A poll for the endpoint list, sent at `since`, failed: the default balancer schedules the next one.
    pub fn on_poll_failed(&mut self, since: Timestamp, now: Timestamp, host: &mut dyn Host) {
        self.default_balancer.on_poll_failed(since, now, host);
    }

    /// Customers that have a load balancer now.
    pub fn customers(&self) -> Vec<Rc<str>> {
        self.tenants.keys().cloned().collect()
    }

    /// Whether a customer has a load balancer now.
    pub fn has_tenant(&self, customer: &str) -> bool {
        self.tenants.contains_key(customer)
    }

    /// What a customer is granted has changed.
    pub fn update_tenant(&mut self, update: &NamespaceUpdate, now: Timestamp) {
        let Some(tenant) = self.tenants.get_mut(&update.customer) else { return };
        tenant.granted_servers = update.servers.clone();
        tenant.quota_share = update.quota_share;
        let granted = granted_endpoints(&self.endpoints, &update.servers);
        tenant.balancer.on_endpoints(&granted, true, now);
        self.apply_quota();
    }

    /// Builds the load balancer of a customer. Called with its first session, as the memory of one for each namespace
    /// would not be bounded by the load.
    pub fn add_tenant(&mut self, update: NamespaceUpdate, now: Timestamp, host: &mut dyn Host) {
        let seed = self.seed ^ xxhash_rust::xxh3::xxh3_64(update.customer.as_bytes());
        // The settings were valid for the default balancer, so they are for this one.
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

    /// Sets the fraction of this process's quota for sessions whose customer has no namespace.
    pub fn set_default_quota_share(&mut self, quota_share: f64) {
        self.default_quota_share = quota_share;
        self.apply_quota();
    }

    /// Sets this process's quota of what the fleet may send to warming servers, as a multiple of an equal share of all
    /// proxies. 0 stands for an unknown quota: an equal share is then assumed.
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

    /// Number of proxies that share the servers, by the settings.
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

    /// The default balancer, then those of customers in the order of their names.
    fn balancers(&mut self) -> impl Iterator<Item = &mut LoadBalancer> {
        let tenants = self.tenants.values_mut().map(|tenant| &mut tenant.balancer);
        std::iter::once(&mut self.default_balancer).chain(tenants)
    }

    /// A session asks for a server. `customer`: whose load balancer decides it; none for the default one.
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

    /// Takes over a session that was established before this process started.
    pub fn restore_session(&mut self, arrival: &Arrival, server: &str, now: Timestamp) {
        self.balancer_of(arrival.session).restore_session(arrival, server, now);
    }

    /// A session is established with its server.
    pub fn on_established(&mut self, session: SessionId, now: Timestamp) {
        self.balancer_of(session).on_established(session, now);
    }

    /// Whether the request of a session may be sent to the server of its attempt.
    pub fn may_send_request(&mut self, session: SessionId, now: Timestamp) -> bool {
        self.balancer_of(session).may_send_request(session, now)
    }

    /// An attempt of a session has ended. `done`: the session has its final answer.
    pub fn on_attempt_ended(
        &mut self,
        session: SessionId,
        outcome: AttemptOutcome,
        done: bool,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        self.balancer_of(session).on_attempt_ended(session, outcome, done, now, host);
    }

    /// The client of a session has closed its connection.
    pub fn on_client_closed(&mut self, session: SessionId) {
        self.balancer_of(session).on_client_closed(session);
    }

    /// The server of a session has reported the session's load.
    pub fn on_load_report(&mut self, session: SessionId, load: f64) {
        self.balancer_of(session).on_load_report(session, load);
    }

    /// A message of a session took this long.
    pub fn on_message_latency(
        &mut self,
        session: SessionId,
        latency: Duration,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        self.balancer_of(session).on_message_latency(session, latency, now, host);
    }

    /// A wakeup that a load balancer scheduled is due. Which one is not recorded, so all of them look at the time.
    pub fn on_timer(&mut self, now: Timestamp, host: &mut dyn Host) {
        self.balancers().for_each(|balancer| balancer.on_timer(now, host));
    }

    /// Starts the periodic checks of all load balancers, also of those that are built later.
    pub fn start_periodic_checks(
        &mut self,
        health_checks_enabled: bool,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        self.health_checks_enabled = health_checks_enabled;
        self.default_balancer.start_periodic_checks(health_checks_enabled, now, host);
    }

    /// A health check of a server took this long.
    pub fn on_health_check(&mut self, server: &str, latency: Duration, now: Timestamp, host: &mut dyn Host) {
        self.balancers().for_each(|balancer| balancer.on_health_check(server, latency, now, host));
    }

    /// Migrates an equal part of the established sessions with each call, as the process shuts down. `calls_left`: calls
    /// until all sessions are to be gone, this one included.
    pub fn migrate_sessions(&mut self, calls_left: usize, host: &mut dyn Host) {
        self.balancers().for_each(|balancer| balancer.migrate_sessions(calls_left, host));
    }

    /// The flow tables of all load balancers.
    pub fn flow_entries(&self) -> Vec<FlowEntry> {
        let mut entries = self.default_balancer.flow_entries();
        entries.extend(self.tenants.values().flat_map(|tenant| tenant.balancer.flow_entries()));
        entries
    }

    /// Restores a flow entry of an earlier incarnation for `lifetime`. Returns whether a load balancer took it.
    pub fn restore_flow(&mut self, entry: &FlowEntry, lifetime: Duration, now: Timestamp) -> bool {
        self.restored_flows.push(RestoredFlow { entry: entry.clone(), expires_at: now + lifetime });
        self.balancers()
            .fold(false, |restored, balancer| balancer.restore_flow(entry, lifetime, now) | restored)
    }

    /// Forgets the customers of sessions that have ended, and drops the load balancers of idle customers. Called once a
    /// second.
    pub fn evict_idle(&mut self, is_open: impl Fn(&SessionId) -> bool, now: Timestamp) {
        if self.tenants.is_empty() {
            return;
        }
        self.session_tenants.retain(|session, _| is_open(session));
        let busy: BTreeSet<&Rc<str>> = self.session_tenants.values().collect();
        self.tenants.retain(|customer, tenant| {
            if busy.contains(customer) {
                tenant.idle_since = None;
                return true;
            }
            let idle_since = *tenant.idle_since.get_or_insert(now);
            now.since(idle_since) < TENANT_IDLE_TIMEOUT
        });
    }
}

/// The endpoints of these servers that are on the endpoint list.
fn granted_endpoints(endpoints: &BTreeMap<ServerId, Endpoint>, servers: &[ServerId]) -> Vec<Endpoint> {
    servers.iter().filter_map(|server| endpoints.get(server)).cloned().collect()
}
