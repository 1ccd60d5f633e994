//! Determines the phase of each site at a given time. Each process does this on its own, from the schedule, the clock
//! and the endpoint list.
//!
//! Occurrences are evaluated in the order in which they begin. A site drains only as long as the number of sites
//! without traffic stays within the limit of the schedule, the remaining sites have enough servers, and at least one of
//! them is open. A site that was without traffic when its window began stays closed until the window ends, even if
//! other sites fail, because maintenance work may have started.
//!
//! The windows of the previous version of the schedule are taken into account too, so that processes with the old and
//! the new version together never close more sites than either version allows. An occurrence that overlaps such a
//! window is blocked from its start to its end.

use crate::drain::DrainPeriod;
use crate::error::ScheduleError;
use crate::occurrence::{Occurrence, CLOCK_MARGIN_MS};
use crate::schedule::Schedule;
use std::collections::{BTreeMap, BTreeSet};

/// A site in the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Site {
    /// Number of servers that are active, regardless of the schedule.
    pub active_servers: usize,
}

/// The state of a site according to the schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The site accepts traffic.
    Open,
    /// The window begins soon; the site's servers stop accepting sessions one after the other.
    Draining(DrainPeriod),
    /// The window has begun, and the site has no traffic.
    Closed {
        /// When the window ends.
        until_ms: i64,
    },
    /// The window begins soon or has begun, but the site has to keep its traffic.
    Blocked {
        /// The reason, for the operator.
        reason: String,
    },
}

/// Identifies an occurrence across evaluations.
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

/// Intermediate results of one evaluation.
#[derive(Default)]
struct Evaluation<'a> {
    sites_without_traffic: BTreeSet<&'a str>,
    closed: BTreeSet<OccurrenceId>,
    draining: BTreeSet<OccurrenceId>,
}

/// The schedule in force, and the state of its windows.
pub struct Plan {
    schedule: Schedule,
    /// Occurrences whose site was closed at the last evaluation.
    closed: BTreeSet<OccurrenceId>,
    /// Occurrences whose site was draining at the last evaluation.
    draining: BTreeSet<OccurrenceId>,
    /// The time of the last evaluation at which each site was closed.
    last_closed_ms: BTreeMap<String, i64>,
}

impl Plan {
    /// Creates a plan with an initial schedule.
    pub fn new(schedule: Schedule) -> Self {
        Plan { schedule, closed: BTreeSet::new(), draining: BTreeSet::new(), last_closed_ms: BTreeMap::new() }
    }

    /// Version of the schedule in force.
    pub fn version(&self) -> u64 {
        self.schedule.version
    }

    /// Replaces the schedule if `next` is newer. A site whose window in progress is moved or removed opens again at the
    /// next evaluation.
    pub fn update(&mut self, next: Schedule) {
        if next.version > self.schedule.version {
            self.schedule = self.schedule.superseded_by(next);
        }
    }

    /// Determines the phase of each of `sites`, the sites in the endpoint list. Windows of other sites have no effect.
    ///
    /// # Errors
    ///
    /// Those of [`Schedule::occurrences`]; the plan is not changed then.
    pub fn evaluate(
        &mut self,
        now_ms: i64,
        sites: &BTreeMap<String, Site>,
    ) -> Result<BTreeMap<String, Phase>, ScheduleError> {
        let (from_ms, to_ms) = (now_ms - CLOCK_MARGIN_MS, now_ms + CLOCK_MARGIN_MS);
        let occurrences = self.schedule.occurrences(&self.schedule.windows, from_ms, to_ms)?;
        let mut phases: BTreeMap<_, _> = sites.keys().map(|site| (site.clone(), Phase::Open)).collect();
        let mut evaluation = Evaluation::default();
        for occurrence in occurrences.iter().filter(|occurrence| occurrence.is_in_progress(now_ms)) {
            let Some(site_phase) = phases.get_mut(&occurrence.site) else { continue };
            let phase = self.phase_of(occurrence, now_ms, sites, &mut evaluation)?;
            // If a site has several windows in progress, a closed phase takes precedence.
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
            if let Some(reason) =
                self.blocking_reason(occurrence, sites, &evaluation.sites_without_traffic)?
            {
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

    /// Why the site of an occurrence has to keep its traffic; `None` if it may drain.
    fn blocking_reason(
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
                "{first} is without traffic, or may be according to the previous schedule; the limit is {max_closed}"
            )));
        }
        unavailable.insert(&occurrence.site);
        Ok(self.capacity_shortage(sites, &unavailable))
    }

    /// Occurrences of the previous version that a process without the current version may have in progress at the same
    /// time as this one.
    fn overlapping_previous(&self, occurrence: &Occurrence) -> Result<Vec<Occurrence>, ScheduleError> {
        let from_ms = occurrence.drains_from_ms - CLOCK_MARGIN_MS;
        let to_ms = occurrence.ends_ms + CLOCK_MARGIN_MS;
        let mut previous = self.schedule.occurrences(&self.schedule.previous_windows, from_ms, to_ms)?;
        previous.retain(|other| other.overlaps(occurrence));
        Ok(previous)
    }

    /// Why the remaining sites do not have enough servers; `None` if they do.
    fn capacity_shortage(
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
            format!("{fraction_left:.2} of the servers would be left, but the minimum is {min_fraction}")
        })
    }

    /// When a site was last closed, as Unix time in milliseconds. Its servers count as started then, so that they
    /// receive sessions again by a slow start.
    pub fn last_closed_ms(&self, site: &str) -> Option<i64> {
        self.last_closed_ms.get(site).copied()
    }
}
