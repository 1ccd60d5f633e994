//! Maintenance windows in one process: read from a file, spread over the fleet, and put on the list of servers: for the
//! decisions a site in its window drains, and comes back as cold.
//!
//! The file is the fleet file's `maintenance`. Whoever has a newer version spreads it; it comes into force whole.

use crate::tenants::replicated_store::{get_chunked, put_chunked, ReplicatedStore};
use shelfgrade::host::{Endpoint, EndpointState, ServerId};
use shelfgrade::time::Timestamp;
use shelfgrade_maintenance::plan::{goes, short_by, Phase, Plan, Site};
use shelfgrade_maintenance::schedule::{shown, Schedule};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Under which all share it.
pub const SCHEDULE_KEY: &str = "windows";
/// What one process moves off a site in a second: four rounds, in each of which a server that drains sends one away.
const A_SECOND: f64 = 4.0;

#[derive(Default)]
pub struct MaintenanceWindows {
    plan: Option<Plan>,
    phases: BTreeMap<String, Phase>,
    /// What each server was put to last.
    put: BTreeMap<ServerId, EndpointState>,
}

/// What a changes at the clock brought.
#[derive(Default)]
pub struct WindowChanges {
    /// Servers whose lines are others than before.
    pub endpoints_changed: bool,
    /// Sites whose window begins now: what is left there is told to move.
    pub closing_sites: Vec<String>,
}

impl MaintenanceWindows {
    /// Reads the file and spreads it, if it can be used.
    pub fn load(&self, path: &Path, now_ms: i64, shared: &impl ReplicatedStore) {
        let read = || {
            let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
            let schedule = Schedule::parse(&text).map_err(|error| error.to_string())?;
            schedule.check(now_ms).map_err(|error| error.to_string())?;
            put_chunked(SCHEDULE_KEY, schedule.version, &schedule, shared).map_err(|error| error.to_string())
        };
        if let Err(error) = read() {
            log::error!("{}: {error}; the schedule before stays", path.display());
        }
    }

    /// The schedule has changed in what all share.
    pub fn on_schedule_changed(&mut self, now_ms: i64, shared: &impl ReplicatedStore) {
        let Some(schedule) = get_chunked::<Schedule>(SCHEDULE_KEY, shared) else { return };
        let held = self.plan.as_ref().map_or(0, Plan::version);
        if schedule.version <= held {
            return;
        }
        if let Err(error) = schedule.check(now_ms) {
            return log::error!(
                "maintenance: version {}: {error}; the schedule before stays",
                schedule.version
            );
        }
        log::info!("maintenance: version {} is in force", schedule.version);
        match &mut self.plan {
            Some(plan) => plan.follow(schedule),
            None => self.plan = Some(Plan::new(schedule)),
        }
    }

    /// Looks at the clock; `list` is the list as discovery has it, `held` how many sessions this process has at a site.
    pub fn evaluate(
        &mut self,
        now_ms: i64,
        list: &[Endpoint],
        held: impl Fn(&str) -> usize,
    ) -> WindowChanges {
        let Some(plan) = &mut self.plan else { return WindowChanges::default() };
        let mut sites: BTreeMap<String, Site> = BTreeMap::new();
        for line in list {
            let site = sites.entry(line.zone.clone()).or_insert(Site { servers: 0 });
            site.servers += usize::from(line.state == EndpointState::Active);
        }
        let phases = match plan.at(now_ms, &sites) {
            Ok(phases) => phases,
            Err(error) => {
                log::error!("maintenance: {error}");
                return WindowChanges::default();
            }
        };
        let mut changes = WindowChanges::default();
        for (site, phase) in &phases {
            if self.phases.get(site).unwrap_or(&Phase::Open) == phase {
                continue;
            }
            match phase {
                Phase::Open => log::info!("site {site}: open again"),
                Phase::Emptying { begins, .. } => {
                    log::info!("site {site}: emptying, until its window begins at {}", shown(*begins));
                    if let Some(short) = short_by(held(site), A_SECOND, begins - now_ms) {
                        log::warn!(
                            "site {site}: the lead is {} s too short for what stands here",
                            short / 1000
                        );
                    }
                }
                Phase::Closed { until } => {
                    log::info!("site {site}: without traffic, until {}", shown(*until));
                    changes.closing_sites.push(site.clone());
                }
                Phase::HeldBack { why } => log::warn!("site {site}: its window is held back: {why}"),
            }
        }
        self.phases = phases;
        let now: BTreeMap<_, _> =
            list.iter().map(|line| (line.server.clone(), self.state(line, list, now_ms))).collect();
        changes.endpoints_changed = now != self.put;
        self.put = now;
        changes
    }

    /// What a server is for the decisions.
    fn state(&self, line: &Endpoint, list: &[Endpoint], now_ms: i64) -> EndpointState {
        let mates = || list.iter().filter(|other| other.zone == line.zone);
        let drains = match self.phases.get(&line.zone) {
            Some(Phase::Closed { .. }) => true,
            Some(Phase::Emptying { since, begins }) => {
                let place = mates().filter(|other| other.server < line.server).count();
                goes(place, mates().count(), (*since, *begins), now_ms)
            }
            _ => false,
        };
        if drains && line.state == EndpointState::Active {
            EndpointState::Draining
        } else {
            line.state
        }
    }

    /// A line of the list as the decisions get it: draining in its site's window, and cold after it.
    pub fn apply_to(&self, line: &Endpoint, slow_start: Duration, now: Timestamp) -> Endpoint {
        let Some(plan) = &self.plan else { return line.clone() };
        let state = self.put.get(&line.server).copied().unwrap_or(line.state);
        let back = plan.back_since(&line.zone).map(|ms| Timestamp::from_ms(ms as f64));
        let back = back.filter(|back| now.since(*back) < slow_start && state == EndpointState::Active);
        Endpoint { state, started: line.started.max(back), ..line.clone() }
    }

    pub fn has_schedule(&self) -> bool {
        self.plan.is_some()
    }
}
