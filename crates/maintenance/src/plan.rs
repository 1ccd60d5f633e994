//! The phase of each site at a moment, worked out by each process alone from the schedule, the clock and the endpoint
//! list.
//!
//! Occurrences are taken in the order in which they begin. A site drains only while no more sites than the schedule
//! allows are without traffic, the other sites have enough servers, and one of them is open. A site that was without
//! traffic as its window began stays closed until the window ends, whatever fails elsewhere, as work on it may have
//! begun.
//!
//! The windows of the version before count too: processes with the old and the new version then never close more sites
//! together than either allows. An occurrence that overlaps with such a window is blocked from its start to its end.

use crate::drain::DrainPeriod;
use crate::error::ScheduleError;
use crate::occurrence::{Occurrence, CLOCK_MARGIN_MS};
use crate::schedule::Schedule;
use std::collections::{BTreeMap, BTreeSet};

/// A site of the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Site {
    /// Servers that are active, whatever the schedule says.
    pub active_servers: usize,
}

/// What the schedule makes of a site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// It takes traffic.
    Open,
    /// Its servers stop taking sessions one after the other, before its window begins.
    Draining(DrainPeriod),
    /// Its window has begun: it has no traffic.
    Closed {
        /// When the window ends.
        until_ms: i64,
    },
    /// Its window is near or has begun, but the site has to keep its traffic.
    Blocked {
        /// Why, for the operator.
        reason: String,
    },
}

/// An occurrence, across evaluations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OccurrenceId {
    site: String,
    begins_ms: i64,
}

impl OccurrenceId {
    fn of(occurrence: &Occurrence) -> Self {
        OccurrenceId { site: occurrence.site.clone(), begins_ms: occurrence.begins_ms }
    }
}

/// Sites without traffic, as found so far in one evaluation.
#[derive(Default)]
struct Evaluation<'a> {
    sites_without_traffic: BTreeSet<&'a str>,
    closed: BTreeSet<OccurrenceId>,
    draining: BTreeSet<OccurrenceId>,
}

/// The schedule in force, and what has become of its windows.
pub struct Plan {
    schedule: Schedule,
    /// Occurrences whose site was closed in the last evaluation.
    closed: BTreeSet<OccurrenceId>,
    /// Occurrences whose site was draining in the last evaluation.
    draining: BTreeSet<OccurrenceId>,
    /// When each site was last found closed.
    last_closed_ms: BTreeMap<String, i64>,
}

impl Plan {
    /// A plan that starts with this schedule.
    pub fn new(schedule: Schedule) -> Self {
        Plan { schedule, closed: BTreeSet::new(), draining: BTreeSet::new(), last_closed_ms: BTreeMap::new() }
    }

    /// Version of the schedule in force.
    pub fn version(&self) -> u64 {
        self.schedule.version
    }

    /// Brings a newer schedule into force; one that is not newer changes nothing. A site whose window it moves or
    /// removes is open again at the next evaluation.
    pub fn update(&mut self, next: Schedule) {
        if next.version > self.schedule.version {
            self.schedule = self.schedule.succeeded_by(next);
        }
    }

    /// The phase of each of `sites`, which are those of the endpoint list. Windows of other sites have no effect.
    ///
    /// # Errors
    ///
    /// Those of [`Schedule::occurrences`]; the plan is then unchanged.
    pub fn evaluate(
        &mut self,
        now_ms: i64,
        sites: &BTreeMap<String, Site>,
    ) -> Result<BTreeMap<String, Phase>, ScheduleError> {
        let (from_ms, to_ms) = (now_ms - CLOCK_MARGIN_MS, now_ms + CLOCK_MARGIN_MS);
        let occurrences = self.schedule.occurrences(&self.schedule.windows, from_ms, to_ms)?;
        let mut phases: BTreeMap<_, _> = sites.keys().map(|site| (site.clone(), Phase::Open)).collect();
        let mut evaluation = Evaluation::default();
        for occurrence in occurrences.iter().filter(|occurrence| occurrence.is_under_way(now_ms)) {
            let Some(site_phase) = phases.get_mut(&occurrence.site) else { continue };
            let phase = self.phase_of(occurrence, now_ms, sites, &mut evaluation)?;
            // Of several windows of one site, one that has closed it prevails.
            if !matches!(site_phase, Phase::Closed { .. }) {
                *site_phase = phase;
            }
        }
        (self.closed, self.draining) = (evaluation.closed, evaluation.draining);
        let closed_sites = phases.iter().filter(|(_, phase)| matches!(phase, Phase::Closed { .. }));
        self.last_closed_ms.extend(closed_sites.map(|(site, _)| (site.clone(), now_ms)));
        Ok(phases)
    }

    fn phase_of<'a>(
        &self,
        occurrence: &'a Occurrence,
        now_ms: i64,
        sites: &BTreeMap<String, Site>,
        evaluation: &mut Evaluation<'a>,
    ) -> Result<Phase, ScheduleError> {
        let id = OccurrenceId::of(occurrence);
        let has_begun = now_ms >= occurrence.begins_ms;
        let stays_closed = has_begun && (self.closed.contains(&id) || self.draining.contains(&id));
        if !stays_closed {
            if let Some(reason) = self.objection(occurrence, sites, &evaluation.sites_without_traffic)? {
                return Ok(Phase::Blocked { reason });
            }
        }
        evaluation.sites_without_traffic.insert(&occurrence.site);
        if has_begun {
            evaluation.closed.insert(id);
            return Ok(Phase::Closed { until_ms: occurrence.ends_ms });
        }
        evaluation.draining.insert(id);
        Ok(Phase::Draining(DrainPeriod {
            begins_ms: occurrence.drains_from_ms,
            ends_ms: occurrence.begins_ms,
        }))
    }

    /// Why the site of an occurrence has to keep its traffic; none where it may go.
    fn objection(
        &self,
        occurrence: &Occurrence,
        sites: &BTreeMap<String, Site>,
        without_traffic: &BTreeSet<&str>,
    ) -> Result<Option<String>, ScheduleError> {
        if without_traffic.contains(occurrence.site.as_str()) {
            return Ok(None);
        }
        let previous = self.overlapping_previous(occurrence)?;
        let mut unavailable: BTreeSet<&str> = previous.iter().map(|other| other.site.as_str()).collect();
        unavailable.extend(without_traffic);
        unavailable.remove(occurrence.site.as_str());
        let max_closed = self.schedule.max_closed_sites;
        if unavailable.len() >= max_closed {
            let first = unavailable.first().copied().unwrap_or_default();
            return Ok(Some(format!(
                "{first} is without traffic, or may be by the schedule before; {max_closed} may be"
            )));
        }
        unavailable.insert(&occurrence.site);
        Ok(self.capacity_objection(sites, &unavailable))
    }

    /// Occurrences of the version before that a process without this version may have under way together with this one.
    fn overlapping_previous(&self, occurrence: &Occurrence) -> Result<Vec<Occurrence>, ScheduleError> {
        let from_ms = occurrence.drains_from_ms - CLOCK_MARGIN_MS;
        let to_ms = occurrence.ends_ms + CLOCK_MARGIN_MS;
        let mut previous = self.schedule.occurrences(&self.schedule.previous_windows, from_ms, to_ms)?;
        previous.retain(|other| other.overlaps(occurrence));
        Ok(previous)
    }

    /// Why the servers of the sites that stay available are too few.
    fn capacity_objection(
        &self,
        sites: &BTreeMap<String, Site>,
        unavailable: &BTreeSet<&str>,
    ) -> Option<String> {
        let all: usize = sites.values().map(|site| site.active_servers).sum();
        let available = sites.iter().filter(|(site, _)| !unavailable.contains(site.as_str()));
        let left: usize = available.map(|(_, site)| site.active_servers).sum();
        if left == 0 {
            return Some("it is the last site with servers".to_owned());
        }
        let fraction_left = left as f64 / all.max(1) as f64;
        let min_fraction = self.schedule.min_active_fraction;
        (fraction_left < min_fraction).then(|| {
            format!("{fraction_left:.2} of the servers would be left, and {min_fraction} have to be")
        })
    }

    /// When a site was last found closed, in Unix milliseconds: its servers count as started then, so that they get
    /// their sessions back by a slow start.
    pub fn last_closed_ms(&self, site: &str) -> Option<i64> {
        self.last_closed_ms.get(site).copied()
    }
}
