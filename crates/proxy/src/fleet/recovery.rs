//! The proxy among its fellows, where the fleet file is named: what the return asks of it, and what it tells the return.

use crate::discovery::endpoint_list::{EndpointList, EndpointRecord, Health};
use crate::fleet::fleet_file::{FleetError, FleetFile};
use crate::fleet::peers::{PeerEvents, Peers};
use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use crate::tenants::maintenance_windows::SCHEDULE_KEY;
use crate::tenants::replicated_store::ReplicatedStore;
use crate::tenants::tenant_namespaces::{NamespaceUpdate, RuleDecision, TenantNamespaces};
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade::host::{AdmissionTurn, Endpoint, EndpointState, Host, ServerId};
use shelfgrade::warm_restart::FlowEntry;
use shelfgrade_recovery::{
    ClassPriority, EndpointAddress, RecoverySettings, RecoveryState, Requester, ServerHealth, ServerRecord,
};
use shelfgrade_settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long a key that an earlier life knew is known: as long as the table knows a connection after its end.
const REMEMBERED: Duration = Duration::from_millis(30_000);

/// What the settings say of a return.
pub fn recovery_settings(settings: &Settings, file: &FleetFile) -> RecoverySettings {
    let classes = settings.class_priorities.iter().map(|class| ClassPriority {
        connect_latency_objective: class.connect_latency_objective,
        priority_weight: class.priority_weight,
    });
    RecoverySettings {
        classes: classes.collect(),
        customer_shares: settings.customers.iter().map(|customer| customer.share).collect(),
        list_wait: file.list_wait,
        slow_start: settings.slow_start,
        max_retry_after: settings.max_retry_after,
    }
}

impl PeerEvents for Proxy {
    fn apply_endpoints(&mut self, lines: Vec<EndpointAddress>, whole: bool) {
        if whole {
            self.fleet_endpoints.clear();
        }
        for line in &lines {
            self.fleet_endpoints.insert(line.endpoint.server.clone(), (line.endpoint.clone(), line.address));
        }
        self.apply_maintenance_windows();
        self.go_by_lines(lines.iter().map(|line| (line.endpoint.clone(), line.address)).collect(), whole);
        self.fleet_endpoints.retain(|_, (line, _)| line.state != EndpointState::Removed);
        self.namespaces.set_endpoints(self.balancer.endpoints());
        let live = self.balancer.customers();
        let changed = live.iter().filter_map(|customer| self.namespaces.update_for(customer)).collect();
        self.go_by(changed);
        self.executor.restore_waiting_sessions();
        self.run_deferred_actions();
    }

    fn set_polling(&mut self, watches: bool) {
        if watches {
            self.executor.poll_requested.set(true);
            self.run_deferred_actions();
        } else {
            self.discovery.cancel_call(self);
        }
    }

    fn state_changed(&mut self, _: RecoveryState) {
        self.executor.list_received.set(true);
        self.open_startup_gate();
    }

    fn restore_flow(&mut self, remembered: &FlowEntry) {
        let now = self.executor.clock.now();
        if self.balancer.restore_flow(remembered, REMEMBERED, now) {
            self.executor.metrics.count("flows restored");
        }
    }

    fn list_rejected(&mut self) {
        self.executor.metrics.warn("endpoint lists rejected");
        self.discovery.reset(self);
        let now = self.executor.clock.now();
        self.balancer.on_poll_failed(now, now, &mut self.executor);
        self.run_deferred_actions();
    }

    fn set_quota_fraction(&mut self, part: f64) {
        // The decisions use half of the bound on a cold server and leave the rest to chance, as each proxy guesses its
        // part. Parts that are known leave less of it: with half as much again the nearest of three losses of power, at
        // six and at forty processes, came to three quarters of the bound.
        const SURER: f64 = 1.5;
        self.balancer.set_quota_fraction(part * self.balancer.proxies() * SURER);
    }

    fn flow_entries(&self) -> Vec<FlowEntry> {
        self.balancer.flow_entries()
    }

    fn shared_entry_changed(&mut self, key: &str) {
        let Some(peers) = self.peers.clone() else { return };
        if key.starts_with(SCHEDULE_KEY) {
            let now = peers.fleet_ms(self.executor.clock.now());
            return self.maintenance_windows.on_schedule_changed(now, &*peers);
        }
        let changed = self.namespaces.on_shared_entry_changed(key, &*peers);
        self.go_by(changed);
    }

    fn warn(&self, what: &'static str) {
        self.executor.metrics.warn(what);
    }
}

impl Proxy {
    /// Where there are fellows, discovery's list goes to the return, which says what of it is gone by; whether it was taken
    /// and discovery is to be watched on from there.
    pub fn hand_list_to_peers(&mut self, list: &EndpointList) -> Option<bool> {
        let peers = self.peers.clone()?;
        let records = list.records.iter().map(|entry| (entry.host.clone(), record(entry))).collect();
        let taken = peers.on_endpoint_list(records, list.is_complete, list.version, self);
        Some(taken && peers.watches())
    }

    /// Whether this process asks discovery itself.
    pub fn polls_discovery(&self) -> bool {
        self.peers.as_ref().is_none_or(|peers| peers.watches())
    }

    /// A session's turn, where there is a crowd that comes back.
    pub fn admission_turn(&mut self, session: &Session) -> Option<AdmissionTurn> {
        let peers = self.peers.clone()?;
        let opening = &session.opening;
        let customer = opening.customer.as_ref().and_then(|t| self.customers.iter().position(|c| c == t));
        let requester = Requester { class: Some(opening.class), customer };
        peers.admission_turn(requester, xxh3_64(opening.key.as_bytes()), self)
    }

    /// Begins to be one of several, where the environment names a file for that.
    pub fn join_peers(
        &mut self,
        file: FleetFile,
        settings: RecoverySettings,
        known: &EndpointList,
        seed: u64,
    ) -> Result<(), FleetError> {
        let dials = known.addresses();
        let known = known
            .endpoints()
            .into_iter()
            .zip(dials)
            .map(|(endpoint, address)| EndpointAddress { endpoint, address });
        let peers = Peers::begin(file, settings, known.collect(), seed, self)?;
        self.namespaces = TenantNamespaces::new(peers.member());
        self.peers = Some(peers.clone());
        // What an earlier life knew comes with no word of its own.
        for key in peers.keys("") {
            PeerEvents::shared_entry_changed(self, &key);
        }
        self.read_namespaces();
        Ok(())
    }

    /// Reads customers' namespaces and the windows again, where the fleet file says that they are.
    pub fn read_namespaces(&mut self) {
        let Some(peers) = self.peers.clone() else { return };
        if let Some(folder) = peers.namespaces_dir() {
            self.namespaces.load(&folder, &*peers);
        }
        if let Some(path) = peers.maintenance() {
            self.maintenance_windows.load(&path, peers.fleet_ms(self.executor.clock.now()), &*peers);
        }
        peers.tell_news(self);
    }

    /// Goes by these lines, as far as windows leave them what they are.
    fn go_by_lines(&mut self, lines: Vec<(Endpoint, Option<SocketAddr>)>, whole: bool) {
        let now = self.executor.clock.now();
        let as_put = |line: &Endpoint| self.maintenance_windows.apply_to(line, self.slow_start, now);
        let lines: Vec<_> = lines.iter().map(|(line, dial)| (as_put(line), *dial)).collect();
        self.executor.servers.apply_endpoints(lines.iter().map(|(line, dial)| (line, *dial)), whole);
        let endpoint: Vec<_> = lines.into_iter().map(|(line, _)| line).collect();
        self.balancer.on_endpoints(&endpoint, whole, now);
    }

    /// Called once a second, and with each word of the list before anybody goes by it: sites empty, close and come back by
    /// the schedule. Guards against a process that starts in the midst of a window sending clients there until it looks.
    pub fn apply_maintenance_windows(&mut self) {
        let Some(peers) = self.peers.clone().filter(|_| self.maintenance_windows.has_schedule()) else {
            return;
        };
        let now = self.executor.clock.now();
        let list: Vec<_> = self.fleet_endpoints.values().map(|(line, _)| line.clone()).collect();
        let site_of = |server: &ServerId| self.fleet_endpoints.get(server).map(|(line, _)| line.zone.clone());
        let established: Vec<_> =
            self.executor.sessions.values().filter(|c| c.stage.get() == Stage::Established).collect();
        let at: Vec<_> = established
            .iter()
            .filter_map(|c| Some((c.id, site_of(&c.attempt.borrow().as_ref()?.server.id)?)))
            .collect();
        let held = |site: &str| at.iter().filter(|(_, zone)| zone == site).count();
        let changes = self.maintenance_windows.evaluate(peers.fleet_ms(now), &list, held);
        if changes.endpoints_changed {
            self.go_by_lines(self.fleet_endpoints.values().cloned().collect(), true);
        }
        for (session, site) in at {
            if changes.closing_sites.contains(&site) {
                self.executor.metrics.count("migrated for maintenance");
                self.executor.migrate(session);
            }
        }
        self.run_deferred_actions();
    }

    fn go_by(&mut self, updates: Vec<NamespaceUpdate>) {
        let now = self.executor.clock.now();
        for update in updates {
            self.balancer.update_tenant(&update, now);
        }
        self.balancer.set_default_quota_share(self.namespaces.default_quota_share());
    }

    /// What the namespace of its customer decides of a session, where there is one.
    pub fn rule_for(&mut self, session: &Session) -> Option<RuleDecision> {
        let opening = &session.opening;
        let class = self.classes.get(opening.class).map_or("", String::as_str);
        self.namespaces.decide(opening.customer.as_deref(), class, opening.group.as_deref())
    }
}

impl ReplicatedStore for Peers<Proxy> {
    fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        Peers::get(self, key)
    }

    fn put<T: Serialize>(&self, key: &str, value: &T, version: u64) -> Result<(), String> {
        Peers::put(self, key, value, version).map_err(|error| error.to_string())
    }
}

fn record(entry: &EndpointRecord) -> ServerRecord {
    ServerRecord {
        address: entry.address,
        zone: entry.zone.clone(),
        kind: entry.kind.clone(),
        cell: entry.cell,
        health: match entry.health {
            Health::InService => ServerHealth::InService,
            Health::Terminating => ServerHealth::Terminating,
            Health::Terminated => ServerHealth::Terminated,
        },
        started_ms: entry.started_ms,
    }
}
