//! Maintenance windows in one process: loads the schedule from a file, replicates it in the fleet, and applies it to
//! the endpoint list. The load balancers see the servers of a site as draining during the site's window and in slow
//! start after it. A site of the schedule is a zone of the endpoint list.
//!
//! The fleet file's key `maintenance` names the schedule file. A process that loads a newer version replicates it.

use crate::tenants::replicated_store::{get_chunked, put_chunked, LoadError, ReplicatedStore};
use shelfgrade::host::{Endpoint, EndpointState, ServerId};
use shelfgrade::time::Timestamp;
use shelfgrade_maintenance::drain::lead_shortfall_ms;
use shelfgrade_maintenance::occurrence::format_utc;
use shelfgrade_maintenance::plan::{Phase, Plan, Site};
use shelfgrade_maintenance::schedule::Schedule;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Key of the schedule in the replicated map.
pub const SCHEDULE_KEY: &str = "windows";
/// Rate at which one process migrates sessions away from a site: the load balancer migrates one session of a draining
/// server in each of its four rounds per second.
const MIGRATIONS_PER_S: f64 = 4.0;

/// The active schedule, and the resulting states of sites and servers.
#[derive(Default)]
pub struct MaintenanceWindows {
    plan: Option<Plan>,
    /// Phase of each site at the last evaluation.
    phases: BTreeMap<String, Phase>,
    /// State of each server at the last evaluation.
    states: BTreeMap<ServerId, EndpointState>,
}

/// The changes since the previous evaluation.
#[derive(Default)]
pub struct WindowChanges {
    /// Whether the state of any server has changed.
    pub endpoints_changed: bool,
    /// Sites whose window has begun. Sessions that are still on their servers must be migrated.
    pub closing_sites: Vec<String>,
}

impl MaintenanceWindows {
    /// Loads a schedule from a file and replicates it. Errors are logged.
    pub fn load(&self, path: &Path, now_ms: i64, store: &impl ReplicatedStore) {
        if let Err(error) = load_schedule(path, now_ms, store) {
            log::error!("{}: {error}; the previous version stays in force", path.display());
        }
    }

    /// Activates the schedule in the replicated map if it is complete and newer. Called when an entry of the schedule
    /// has changed there.
    pub fn on_schedule_changed(&mut self, now_ms: i64, store: &impl ReplicatedStore) {
        let Some(schedule) = get_chunked::<Schedule>(SCHEDULE_KEY, store) else { return };
        let version = schedule.version;
        if version <= self.plan.as_ref().map_or(0, Plan::version) {
            return;
        }
        if let Err(error) = schedule.check(now_ms) {
            return log::error!(
                "maintenance: version {version}: {error}; the previous version stays in force"
            );
        }
        log::info!("maintenance: version {version} is in force");
        match &mut self.plan {
            Some(plan) => plan.update(schedule),
            None => self.plan = Some(Plan::new(schedule)),
        }
    }

    /// Evaluates the phase of each site. `endpoints` is the list without maintenance windows applied, and `sessions_at`
    /// returns the number of this process's sessions at a site.
    pub fn evaluate(
        &mut self,
        now_ms: i64,
        endpoints: &[Endpoint],
        sessions_at: impl Fn(&str) -> usize,
    ) -> WindowChanges {
        let Some(plan) = &mut self.plan else { return WindowChanges::default() };
        let phases = match plan.evaluate(now_ms, &sites(endpoints)) {
            Ok(phases) => phases,
            Err(error) => {
                log::error!("maintenance: cannot evaluate the schedule: {error}");
                return WindowChanges::default();
            }
        };
        let mut changes = WindowChanges::default();
        for (site, phase) in &phases {
            if self.phases.get(site).unwrap_or(&Phase::Open) == phase {
                continue;
            }
            log_phase(site, phase, now_ms, &sessions_at);
            if matches!(phase, Phase::Closed { .. }) {
                changes.closing_sites.push(site.clone());
            }
        }
        self.phases = phases;
        let states = endpoints
            .iter()
            .map(|endpoint| (endpoint.server.clone(), self.state_in_window(endpoint, endpoints, now_ms)));
        let states = states.collect();
        changes.endpoints_changed = states != self.states;
        self.states = states;
        changes
    }

    fn state_in_window(&self, endpoint: &Endpoint, endpoints: &[Endpoint], now_ms: i64) -> EndpointState {
        let is_draining = match self.phases.get(&endpoint.zone) {
            Some(Phase::Closed { .. }) => true,
            Some(Phase::Draining(period)) => {
                let site_servers = || endpoints.iter().filter(|other| other.zone == endpoint.zone);
                let index = site_servers().filter(|other| other.server < endpoint.server).count();
                period.is_server_draining(index, site_servers().count(), now_ms)
            }
            Some(Phase::Open | Phase::Blocked { .. }) | None => false,
        };
        if is_draining && endpoint.state == EndpointState::Active {
            EndpointState::Draining
        } else {
            endpoint.state
        }
    }

    /// Applies the schedule to an endpoint: it is draining during its site's window, and counts as just started after
    /// it.
    pub fn apply_to(&self, endpoint: &Endpoint, slow_start: Duration, now: Timestamp) -> Endpoint {
        let Some(plan) = &self.plan else { return endpoint.clone() };
        let state = self.states.get(&endpoint.server).copied().unwrap_or(endpoint.state);
        let reopened_at = plan.last_closed_ms(&endpoint.zone).map(|ms| Timestamp::from_ms(ms as f64));
        let reopened_at =
            reopened_at.filter(|at| now.since(*at) < slow_start && state == EndpointState::Active);
        Endpoint { state, started: endpoint.started.max(reopened_at), ..endpoint.clone() }
    }

    /// Whether a schedule is active.
    pub fn has_schedule(&self) -> bool {
        self.plan.is_some()
    }
}

fn load_schedule(path: &Path, now_ms: i64, store: &impl ReplicatedStore) -> Result<(), LoadError> {
    let text = std::fs::read_to_string(path)?;
    let schedule = Schedule::parse(&text)?;
    schedule.check(now_ms)?;
    put_chunked(SCHEDULE_KEY, schedule.version, &schedule, store)
}

fn sites(endpoints: &[Endpoint]) -> BTreeMap<String, Site> {
    let mut sites: BTreeMap<String, Site> = BTreeMap::new();
    for endpoint in endpoints {
        let site = sites.entry(endpoint.zone.clone()).or_default();
        site.active_servers += usize::from(endpoint.state == EndpointState::Active);
    }
    sites
}

fn log_phase(site: &str, phase: &Phase, now_ms: i64, sessions_at: &impl Fn(&str) -> usize) {
    match phase {
        Phase::Open => log::info!("site {site}: open again"),
        Phase::Draining(period) => {
            log::info!("site {site}: draining until its window begins at {}", format_utc(period.ends_ms));
            let lead_ms = period.ends_ms - now_ms;
            if let Some(shortfall_ms) = lead_shortfall_ms(sessions_at(site), MIGRATIONS_PER_S, lead_ms) {
                log::warn!(
                    "site {site}: the lead time is {} s too short to migrate the sessions of this process",
                    shortfall_ms / 1000
                );
            }
        }
        Phase::Closed { until_ms } => {
            log::info!("site {site}: without traffic until {}", format_utc(*until_ms));
        }
        Phase::Blocked { reason } => log::warn!("site {site}: its maintenance window is blocked: {reason}"),
    }
}
