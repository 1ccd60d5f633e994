//! The operator's schedule of maintenance windows, and its validation.

use crate::error::ScheduleError;
use crate::occurrence::{format_utc, Occurrence, Recurrence, CLOCK_MARGIN_MS};
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of windows in a schedule.
pub const MAX_WINDOWS: usize = 256;
/// Maximum duration of a window: two weeks.
const MAX_DURATION_S: u32 = 14 * 24 * 3600;
/// Maximum lead time: one day.
const MAX_LEAD_S: u32 = 24 * 3600;
/// How far ahead windows are checked for overlaps: a leap year plus the maximum duration of a window.
const CHECKED_AHEAD_DAYS: i64 = 366 + 14;
/// Minimum length of a local day and a local week: one hour is skipped when clocks change to summer time.
const SHORTEST_DAY_S: u32 = 23 * 3600;
const SHORTEST_WEEK_S: u32 = 167 * 3600;

pub(crate) const SECOND_MS: i64 = 1000;
pub(crate) const DAY_MS: i64 = 24 * 3600 * SECOND_MS;

/// How often a window occurs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// The window occurs once.
    #[default]
    Once,
    /// The window occurs every day at the same local time.
    Daily,
    /// The window occurs every seventh day at the same local time.
    Weekly,
}

impl Repeat {
    pub(crate) fn period_days(self) -> Option<i64> {
        match self {
            Repeat::Once => None,
            Repeat::Daily => Some(1),
            Repeat::Weekly => Some(7),
        }
    }

    fn shortest_period_s(self) -> u32 {
        match self {
            Repeat::Once => u32::MAX,
            Repeat::Daily => SHORTEST_DAY_S,
            Repeat::Weekly => SHORTEST_WEEK_S,
        }
    }
}

/// A maintenance window, during which a site has no traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Name of the window, unique in its schedule.
    pub name: String,
    /// Zone of the servers that will have no traffic.
    pub site: String,
    /// Local date and time at which the window first begins, such as 2026-12-05T01:00.
    pub begins: String,
    /// Duration in seconds.
    #[serde(rename = "lasts_s")]
    pub duration_s: u32,
    /// Lead time in seconds: how long the site drains before the window begins.
    pub lead_s: u32,
    /// How often the window occurs.
    #[serde(default)]
    pub repeats: Repeat,
}

/// A schedule of maintenance windows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Increased with each change.
    pub version: u64,
    /// IANA name of the time zone of the windows.
    pub time_zone: String,
    /// Maximum number of sites without traffic at the same time.
    #[serde(default = "default_max_closed_sites", rename = "most_at_once")]
    pub max_closed_sites: usize,
    /// Minimum fraction of all servers that keep their traffic, from 0 to less than 1.
    #[serde(default = "default_min_active_fraction", rename = "least_left")]
    pub min_active_fraction: f64,
    /// The windows of this version.
    #[serde(default, rename = "window")]
    pub windows: Vec<Window>,
    /// The windows of the previous version, which is still in force at processes that have not received this one yet.
    #[serde(default, rename = "before")]
    pub previous_windows: Vec<Window>,
}

fn default_max_closed_sites() -> usize {
    1
}

fn default_min_active_fraction() -> f64 {
    0.5
}

impl Schedule {
    /// Parses the text of the schedule's file. Its values are validated by [`Schedule::check`].
    ///
    /// # Errors
    ///
    /// [`ScheduleError::Malformed`] with the line and column.
    pub fn parse(text: &str) -> Result<Self, ScheduleError> {
        toml::from_str(text).map_err(|error| ScheduleError::from_toml(text, &error))
    }

    /// Validates the schedule. Overlaps are checked for one year from now.
    ///
    /// # Errors
    ///
    /// Any [`ScheduleError`] except [`ScheduleError::Malformed`].
    pub fn check(&self, now_ms: i64) -> Result<(), ScheduleError> {
        self.parsed_time_zone()?;
        self.check_limits()?;
        let mut names = BTreeSet::new();
        for window in &self.windows {
            let has_unique_name = names.insert(&window.name);
            window.check(has_unique_name)?;
        }
        self.check_overlaps(now_ms)
    }

    fn parsed_time_zone(&self) -> Result<TimeZone, ScheduleError> {
        TimeZone::get(&self.time_zone).map_err(|_| ScheduleError::UnknownTimeZone(self.time_zone.clone()))
    }

    fn check_limits(&self) -> Result<(), ScheduleError> {
        let out_of_range = |key, value, expected| Err(ScheduleError::OutOfRange { key, value, expected });
        if self.max_closed_sites == 0 {
            return out_of_range("most_at_once", 0.0, "1 or more");
        }
        if !(0.0..1.0).contains(&self.min_active_fraction) {
            return out_of_range("least_left", self.min_active_fraction, "a fraction from 0 to less than 1");
        }
        if self.windows.len() > MAX_WINDOWS {
            return Err(ScheduleError::TooManyWindows(self.windows.len()));
        }
        Ok(())
    }

    fn check_overlaps(&self, now_ms: i64) -> Result<(), ScheduleError> {
        let until_ms = now_ms + CHECKED_AHEAD_DAYS * DAY_MS;
        let occurrences = self.occurrences(&self.windows, now_ms, until_ms)?;
        for (index, occurrence) in occurrences.iter().enumerate() {
            self.check_overlaps_of(occurrence, &occurrences[..index])?;
        }
        Ok(())
    }

    /// Checks one occurrence against `earlier`, the occurrences that begin before it, in order.
    fn check_overlaps_of(
        &self,
        occurrence: &Occurrence,
        earlier: &[Occurrence],
    ) -> Result<(), ScheduleError> {
        // An occurrence that begins at least this long before another one cannot overlap it.
        const MAX_REACH_MS: i64 = (MAX_DURATION_S + MAX_LEAD_S) as i64 * SECOND_MS + 2 * CLOCK_MARGIN_MS;
        let recent =
            earlier.iter().rev().take_while(|other| occurrence.begins_ms - other.begins_ms < MAX_REACH_MS);
        let overlapping: Vec<_> = recent.filter(|other| other.overlaps(occurrence)).collect();
        let mut sites: BTreeSet<&str> = overlapping.iter().map(|other| other.site.as_str()).collect();
        sites.insert(&occurrence.site);
        let other_site = overlapping.iter().find(|other| other.site != occurrence.site);
        match other_site {
            Some(first) if sites.len() > self.max_closed_sites => Err(ScheduleError::Overlap {
                first: first.window.clone(),
                second: occurrence.window.clone(),
                at: format_utc(occurrence.drains_from_ms),
                sites: sites.len(),
                max_sites: self.max_closed_sites,
            }),
            _ => Ok(()),
        }
    }

    /// Returns all occurrences of these windows that overlap the period, in the order in which they begin.
    ///
    /// # Errors
    ///
    /// [`ScheduleError::UnknownTimeZone`], or [`ScheduleError::Window`] if a beginning is not a date and time.
    pub fn occurrences(
        &self,
        windows: &[Window],
        from_ms: i64,
        to_ms: i64,
    ) -> Result<Vec<Occurrence>, ScheduleError> {
        let time_zone = self.parsed_time_zone()?;
        let mut occurrences = Vec::new();
        for window in windows {
            occurrences.extend(Recurrence::new(window, &time_zone)?.occurrences(from_ms, to_ms)?);
        }
        occurrences.sort();
        Ok(occurrences)
    }

    /// Returns `next` with the windows of this schedule as its previous windows.
    pub fn superseded_by(&self, next: Schedule) -> Schedule {
        Schedule { previous_windows: self.windows.clone(), ..next }
    }
}

impl Window {
    fn check(&self, has_unique_name: bool) -> Result<(), ScheduleError> {
        let error = |key, problem: &str| {
            Err(ScheduleError::Window { window: self.name.clone(), key, problem: problem.to_owned() })
        };
        if self.name.is_empty() || !has_unique_name {
            return error("name", "expected a unique name");
        }
        if self.site.is_empty() {
            return error("site", "expected the name of a zone");
        }
        if self.begins.parse::<DateTime>().is_err() {
            return error("begins", "expected a local date and time such as 2026-12-05T01:00");
        }
        if !(1..=MAX_DURATION_S).contains(&self.duration_s) {
            return error("lasts_s", "expected 1 second to 2 weeks");
        }
        if !(1..=MAX_LEAD_S).contains(&self.lead_s) {
            return error("lead_s", "expected 1 second to 1 day");
        }
        if self.lead_s + self.duration_s >= self.repeats.shortest_period_s() {
            return error(
                "lasts_s",
                "together with the lead, longer than the time until the next occurrence",
            );
        }
        Ok(())
    }
}
