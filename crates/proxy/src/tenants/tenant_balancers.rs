//! The decisions of one process: one set for all sessions, and one for each customer that has a namespace, so that no
//! customer's storm, jam or strain is another's. Each is the same decision module.

use crate::tenants::tenant_namespaces::NamespaceUpdate;
use shelfgrade::balancer::LoadBalancer;
use shelfgrade::host::{Arrival, AttemptOutcome, Endpoint, EndpointState, Host, ServerId, SessionId};
use shelfgrade::time::Timestamp;
use shelfgrade::warm_restart::FlowEntry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Makes decisions for one more customer, from a seed.
pub type BalancerFactory = Box<dyn Fn(u64) -> Option<LoadBalancer>>;

struct Own {
    balancer: LoadBalancer,
    /// What its customer is granted, in the order of the ids, and the part of the whole.
    granted: Rc<[ServerId]>,
    share: f64,
    /// Since when it has had no session.
    idle_since: Option<Timestamp>,
}

pub struct TenantBalancers {
    common: LoadBalancer,
    common_share: f64,
    make: BalancerFactory,
    seed: u64,
    /// By customer, for those that had a session since their namespace came.
    own: BTreeMap<Rc<str>, Own>,
    /// Whose sessions are not the common ones'.
    owner: BTreeMap<SessionId, Rc<str>>,
    list: BTreeMap<ServerId, Endpoint>,
    /// What an earlier life remembered, and until when that is of use.
    remembered: Vec<(FlowEntry, Timestamp)>,
    probing: bool,
    part: f64,
}

impl TenantBalancers {
    pub fn new(common: LoadBalancer, make: BalancerFactory, seed: u64) -> Self {
        TenantBalancers {
            common,
            common_share: 1.0,
            make,
            seed,
            own: BTreeMap::new(),
            owner: BTreeMap::new(),
            list: BTreeMap::new(),
            remembered: Vec::new(),
            probing: false,
            part: 0.0,
        }
    }

    pub fn start(&mut self, last_held: &[Endpoint], now: Timestamp, host: &mut dyn Host) {
        self.keep(last_held, true);
        self.common.start(last_held, now, host);
    }

    fn keep(&mut self, lines: &[Endpoint], whole: bool) {
        if whole {
            self.list.clear();
        }
        self.list.extend(lines.iter().map(|line| (line.server.clone(), line.clone())));
        self.list.retain(|_, line| line.state != EndpointState::Removed);
    }

    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.list.values().cloned().collect()
    }

    pub fn on_endpoints(&mut self, lines: &[Endpoint], whole: bool, now: Timestamp) {
        self.keep(lines, whole);
        self.common.on_endpoints(lines, whole, now);
        for own in self.own.values_mut() {
            own.balancer.on_endpoints(&granted(&self.list, &own.granted), true, now);
        }
    }

    pub fn on_watch_lost(&mut self, due: Timestamp, host: &mut dyn Host) {
        self.common.on_watch_lost(due, host);
    }

    pub fn on_poll_failed(&mut self, since: Timestamp, now: Timestamp, host: &mut dyn Host) {
        self.common.on_poll_failed(since, now, host);
    }

    /// Customers that have decisions of their own now.
    pub fn customers(&self) -> Vec<Rc<str>> {
        self.own.keys().cloned().collect()
    }

    /// What a customer with decisions of its own is granted has changed.
    pub fn update_tenant(&mut self, update: &NamespaceUpdate, now: Timestamp) {
        if let Some(own) = self.own.get_mut(&update.customer) {
            (own.granted, own.share) = (update.servers.clone(), update.quota_share);
            own.balancer.on_endpoints(&granted(&self.list, &update.servers), true, now);
            self.set_quota_fraction(self.part);
        }
    }

    pub fn has_tenant(&self, customer: &str) -> bool {
        self.own.contains_key(customer)
    }

    /// A customer with a namespace has its first session in a while: from here on it has decisions of its own, over what
    /// it is granted. Guards against ten thousand namespaces taking memory for customers who never come.
    pub fn add_tenant(&mut self, update: NamespaceUpdate, now: Timestamp, host: &mut dyn Host) {
        let NamespaceUpdate { customer, servers, quota_share: share } = update;
        let seed = self.seed ^ xxhash_rust::xxh3::xxh3_64(customer.as_bytes());
        // The settings made the common ones, so they make these.
        let Some(mut balancer) = (self.make)(seed) else { return };
        balancer.on_endpoints(&granted(&self.list, &servers), true, now);
        balancer.start_periodic_checks(self.probing, now, host);
        self.remembered.retain(|(_, until)| now < *until);
        for (remembered, until) in &self.remembered {
            balancer.restore_flow(remembered, until.since(now), now);
        }
        self.own.insert(customer, Own { balancer, granted: servers, share, idle_since: None });
        self.set_quota_fraction(self.part);
    }

    /// The part of the whole for those without a namespace.
    pub fn set_default_quota_share(&mut self, share: f64) {
        self.common_share = share;
        self.set_quota_fraction(self.part);
    }

    /// What this process may do of what the fleet may, in parts of one proxy's; 0 where nobody has said.
    pub fn set_quota_fraction(&mut self, part: f64) {
        self.part = part;
        let part = if part > 0.0 { part } else { 1.0 };
        self.common.set_quota_fraction(part * self.common_share);
        self.own.values().for_each(|own| own.balancer.set_quota_fraction(part * own.share));
    }

    pub fn proxies(&self) -> f64 {
        self.common.proxies()
    }

    fn of(&mut self, session: SessionId) -> &mut LoadBalancer {
        let own = self.owner.get(&session).and_then(|customer| self.own.get_mut(customer));
        own.map_or(&mut self.common, |own| &mut own.balancer)
    }

    fn all(&mut self) -> impl Iterator<Item = &mut LoadBalancer> {
        std::iter::once(&mut self.common).chain(self.own.values_mut().map(|own| &mut own.balancer))
    }

    /// `customer`: whose decisions it is for, where not the common ones'.
    pub fn on_request(
        &mut self,
        customer: Option<&Rc<str>>,
        arrival: &Arrival,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        if let Some(customer) = customer {
            self.owner.insert(arrival.session, customer.clone());
        }
        self.of(arrival.session).on_request(arrival, now, host);
    }

    pub fn restore_session(&mut self, arrival: &Arrival, server: &str, now: Timestamp) {
        self.of(arrival.session).restore_session(arrival, server, now);
    }

    pub fn on_established(&mut self, session: SessionId, now: Timestamp) {
        self.of(session).on_established(session, now);
    }

    pub fn may_send_request(&mut self, session: SessionId, now: Timestamp) -> bool {
        self.of(session).may_send_request(session, now)
    }

    pub fn on_attempt_ended(
        &mut self,
        session: SessionId,
        outcome: AttemptOutcome,
        done: bool,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        self.of(session).on_attempt_ended(session, outcome, done, now, host);
    }

    pub fn on_client_closed(&mut self, session: SessionId) {
        self.of(session).on_client_closed(session);
    }

    pub fn on_load_report(&mut self, session: SessionId, load: f64) {
        self.of(session).on_load_report(session, load);
    }

    pub fn on_message_latency(
        &mut self,
        session: SessionId,
        took: Duration,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        self.of(session).on_message_latency(session, took, now, host);
    }

    pub fn on_timer(&mut self, now: Timestamp, host: &mut dyn Host) {
        self.all().for_each(|balancer| balancer.on_timer(now, host));
    }

    pub fn start_periodic_checks(&mut self, probing: bool, now: Timestamp, host: &mut dyn Host) {
        self.probing = probing;
        self.common.start_periodic_checks(probing, now, host);
    }

    pub fn on_health_check(&mut self, server: &str, took: Duration, now: Timestamp, host: &mut dyn Host) {
        self.all().for_each(|balancer| balancer.on_health_check(server, took, now, host));
    }

    pub fn migrate_sessions(&mut self, calls_left: usize, host: &mut dyn Host) {
        self.all().for_each(|balancer| balancer.migrate_sessions(calls_left, host));
    }

    pub fn flow_entries(&self) -> Vec<FlowEntry> {
        let own = self.own.values().flat_map(|own| own.balancer.flow_entries());
        self.common.flow_entries().into_iter().chain(own).collect()
    }

    pub fn restore_flow(&mut self, remembered: &FlowEntry, within: Duration, now: Timestamp) -> bool {
        self.remembered.push((remembered.clone(), now + within));
        self.all().fold(false, |known, balancer| balancer.restore_flow(remembered, within, now) | known)
    }

    /// Called once a second: forgets whose sessions those were that are no more, and the decisions of who has had none
    /// for as long as their table would know a connection.
    pub fn evict_idle(&mut self, there: impl Fn(&SessionId) -> bool, now: Timestamp) {
        const IDLE: Duration = Duration::from_millis(60_000);
        if self.own.is_empty() {
            return;
        }
        self.owner.retain(|session, _| there(session));
        let busy: BTreeSet<Rc<str>> = self.owner.values().cloned().collect();
        self.own.retain(|customer, own| {
            own.idle_since = own.idle_since.or(Some(now)).filter(|_| !busy.contains(customer));
            own.idle_since.is_none_or(|since| now.since(since) < IDLE)
        });
    }
}

fn granted(list: &BTreeMap<ServerId, Endpoint>, servers: &[ServerId]) -> Vec<Endpoint> {
    servers.iter().filter_map(|server| list.get(server)).cloned().collect()
}
