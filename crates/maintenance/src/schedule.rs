//! A schedule of windows, once or repeated, in a named time zone; checked whole.

use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use jiff::ToSpan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Longer than a site is ever without traffic on purpose, in seconds; and the longest time that emptying one may take.
const LONGEST: u32 = 14 * 24 * 3600;
const LONGEST_LEAD: u32 = 24 * 3600;
const MOST_WINDOWS: usize = 256;
/// Clocks of processes differ by seconds: windows count as so much longer on either side where they meet others.
pub const MARGIN_MS: i64 = 10_000;
const SECOND_MS: i64 = 1000;
const DAY_MS: i64 = 24 * 3600 * SECOND_MS;
/// So many days ahead windows are laid side by side: a year and its leap day, and the longest window.
const AHEAD_DAYS: i64 = 366 + 14;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    #[default]
    Once,
    Daily,
    Weekly,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    pub name: String,
    /// The zone whose servers are to be without traffic.
    pub site: String,
    /// Local time, such as 2026-12-05T01:00.
    pub begins: String,
    /// In seconds, both.
    pub lasts_s: u32,
    /// How long before it begins its traffic starts to go.
    pub lead_s: u32,
    #[serde(default)]
    pub repeats: Repeats,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Goes up with each change.
    pub version: u64,
    pub time_zone: String,
    /// How many sites may be without traffic together.
    #[serde(default = "one")]
    pub most_at_once: usize,
    /// The part of all servers that has to be left with traffic.
    #[serde(default = "half")]
    pub least_left: f64,
    #[serde(default, rename = "window")]
    pub windows: Vec<Window>,
    /// The windows of the version before this one, which those go by who have not heard of this one yet.
    #[serde(default)]
    pub before: Vec<Window>,
}

fn one() -> usize {
    1
}

fn half() -> f64 {
    0.5
}

/// One time that a window comes: when its site starts to empty, and when it begins and ends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time {
    pub begins: i64,
    pub window: String,
    pub site: String,
    pub empties: i64,
    pub ends: i64,
}

impl Time {
    /// Whether the two could be under way at once, by clocks that differ.
    pub fn meets(&self, other: &Time) -> bool {
        self.empties - MARGIN_MS < other.ends + MARGIN_MS && other.empties - MARGIN_MS < self.ends + MARGIN_MS
    }
}

/// Why a schedule is refused, whole; the one before stays.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ScheduleError {
    #[error("line {line}, column {column}: {what}: correct it there")]
    Form { line: usize, column: usize, what: String },
    #[error("time_zone: {0} is not known: name one such as Africa/Dar_es_Salaam")]
    Zone(String),
    #[error("window {window}, {place}: {what}: correct it there")]
    Window { window: String, place: &'static str, what: String },
    #[error("{0} windows where {MOST_WINDOWS} are the most: let them repeat, or take past ones out")]
    TooMany(usize),
    #[error("{key}: {value} where {wanted} is wanted: correct it there")]
    Figure { key: &'static str, value: f64, wanted: &'static str },
    #[error("windows {first} and {second} would empty {sites} sites at once at {at}, where {most} may be: move one")]
    Overlap { first: String, second: String, at: String, sites: usize, most: usize },
}

impl Schedule {
    pub fn parse(text: &str) -> Result<Self, ScheduleError> {
        toml::from_str(text).map_err(|error| {
            let before = &text[..error.span().map_or(0, |span| span.start.min(text.len()))];
            let line = before.matches('\n').count() + 1;
            let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
            ScheduleError::Form { line, column, what: error.message().replace('\n', ", ") }
        })
    }

    fn zone(&self) -> Result<TimeZone, ScheduleError> {
        TimeZone::get(&self.time_zone).map_err(|_| ScheduleError::Zone(self.time_zone.clone()))
    }

    /// Checks it whole, `now` and for a year from then.
    pub fn check(&self, now: i64) -> Result<(), ScheduleError> {
        self.zone()?;
        let figure = |key, value, wanted| Err(ScheduleError::Figure { key, value, wanted });
        if self.most_at_once == 0 {
            return figure("most_at_once", 0.0, "one or more");
        }
        if !(0.0..1.0).contains(&self.least_left) {
            return figure("least_left", self.least_left, "a part from 0 to under 1");
        }
        if self.windows.len() > MOST_WINDOWS {
            return Err(ScheduleError::TooMany(self.windows.len()));
        }
        let mut names = BTreeSet::new();
        for window in &self.windows {
            window.check(names.insert(&window.name))?;
        }
        self.overlaps(now)
    }

    fn overlaps(&self, now: i64) -> Result<(), ScheduleError> {
        let times = self.times(&self.windows, now, now + AHEAD_DAYS * DAY_MS)?;
        for (index, time) in times.iter().enumerate() {
            // They stand in the order in which they begin, and none lasts longer than the longest.
            let longest = i64::from(LONGEST + LONGEST_LEAD) * SECOND_MS + 2 * MARGIN_MS;
            let near = times[..index].iter().rev().take_while(|early| time.begins - early.begins < longest);
            let meets: Vec<&Time> = near.filter(|early| early.meets(time)).collect();
            let sites: BTreeSet<&str> =
                meets.iter().map(|t| t.site.as_str()).chain([time.site.as_str()]).collect();
            let other = meets.iter().find(|early| early.site != time.site);
            if let Some(first) = other.filter(|_| sites.len() > self.most_at_once) {
                return Err(ScheduleError::Overlap {
                    first: first.window.clone(),
                    second: time.window.clone(),
                    at: shown(time.empties),
                    sites: sites.len(),
                    most: self.most_at_once,
                });
            }
        }
        Ok(())
    }

    /// All times of these windows that touch the span, in the order in which they begin. An hour that comes twice counts
    /// as the first one, one that does not exist as the hour after it.
    pub fn times(&self, windows: &[Window], from: i64, to: i64) -> Result<Vec<Time>, ScheduleError> {
        let zone = self.zone()?;
        let mut times = Vec::new();
        for window in windows {
            let error =
                |what: String| ScheduleError::Window { window: window.name.clone(), place: "begins", what };
            let first: DateTime =
                window.begins.parse().map_err(|_| error(format!("{} is no date and time", window.begins)))?;
            let step = match window.repeats {
                Repeats::Once => 0,
                Repeats::Daily => 1,
                Repeats::Weekly => 7,
            };
            let (lead, lasts) = (i64::from(window.lead_s) * SECOND_MS, i64::from(window.lasts_s) * SECOND_MS);
            let at = |n: i64| -> Result<i64, ScheduleError> {
                let day = first.checked_add((n * step).days()).map_err(|fault_| error(fault_.to_string()))?;
                let zoned = zone
                    .to_ambiguous_zoned_datetime(day)
                    .compatible()
                    .map_err(|fault_| error(fault_.to_string()))?;
                Ok(zoned.timestamp().as_millisecond())
            };
            let began = at(0)?;
            // The first that may still touch the span: a day of time zones' changes is allowed for.
            let skipped = (from - lasts - began).div_euclid(DAY_MS) - 1;
            let mut n = if step == 0 { 0 } else { (skipped / step).max(0) };
            loop {
                let begins = at(n)?;
                if begins - lead > to {
                    break;
                }
                if begins + lasts >= from {
                    let (window, site) = (window.name.clone(), window.site.clone());
                    times.push(Time { begins, window, site, empties: begins - lead, ends: begins + lasts });
                }
                if step == 0 {
                    break;
                }
                n += 1;
            }
        }
        times.sort();
        Ok(times)
    }

    /// The schedule that takes this one's place: it knows what those go by who have only this one.
    pub fn followed_by(&self, next: Schedule) -> Schedule {
        Schedule { before: self.windows.clone(), ..next }
    }
}

impl Window {
    fn check(&self, new: bool) -> Result<(), ScheduleError> {
        let error = |place, what: &str| {
            Err(ScheduleError::Window { window: self.name.clone(), place, what: what.to_owned() })
        };
        if self.name.is_empty() || !new {
            return error("name", "a name that no other has is wanted");
        }
        if self.site.is_empty() {
            return error("site", "the name of a zone is wanted");
        }
        if self.begins.parse::<DateTime>().is_err() {
            return error("begins", "a local date and time is wanted, such as 2026-12-05T01:00");
        }
        if !(1..=LONGEST).contains(&self.lasts_s) {
            return error("lasts_s", "a second to two weeks is wanted");
        }
        if !(1..=LONGEST_LEAD).contains(&self.lead_s) {
            return error("lead_s", "a second to a day is wanted");
        }
        let period = match self.repeats {
            Repeats::Once => u32::MAX,
            Repeats::Daily => 23 * 3600,
            Repeats::Weekly => 167 * 3600,
        };
        if self.lead_s + self.lasts_s >= period {
            return error("lasts_s", "with its lead it is longer than the time until it comes again");
        }
        Ok(())
    }
}

/// A moment as an operator reads it, in universal time.
pub fn shown(ms: i64) -> String {
    jiff::Timestamp::from_millisecond(ms).map_or_else(|_| ms.to_string(), |at| at.to_string())
}

#[cfg(test)]
#[path = "../tests/unit/schedule.rs"]
mod tests;
