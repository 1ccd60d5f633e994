//! Computes the times at which windows occur. If a local time occurs twice because of a clock change, the first one
//! counts; if it is skipped, the time one hour later counts.

use crate::error::ScheduleError;
use crate::schedule::{Window, DAY_MS, SECOND_MS};
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use jiff::ToSpan;

/// Margin added to both ends of an occurrence when it is compared with others, as the clocks of processes can differ by
/// seconds.
pub const CLOCK_MARGIN_MS: i64 = 10_000;

/// One occurrence of a window. Ordered by beginning.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Occurrence {
    /// When the window begins. From then on the site has no traffic.
    pub begins_ms: i64,
    /// Name of the window.
    pub window: String,
    /// Zone of the affected servers.
    pub site: String,
    /// When the site starts to drain.
    pub drains_from_ms: i64,
    /// When the window ends. From then on the site accepts traffic again.
    pub ends_ms: i64,
}

impl Occurrence {
    /// Whether the site should be draining or closed now.
    pub fn is_in_progress(&self, now_ms: i64) -> bool {
        self.drains_from_ms <= now_ms && now_ms < self.ends_ms
    }

    /// Whether two processes whose clocks differ could consider both occurrences in progress at the same time.
    pub fn overlaps(&self, other: &Occurrence) -> bool {
        self.drains_from_ms - CLOCK_MARGIN_MS < other.ends_ms + CLOCK_MARGIN_MS
            && other.drains_from_ms - CLOCK_MARGIN_MS < self.ends_ms + CLOCK_MARGIN_MS
    }
}

/// Computes the occurrences of a window, numbered from 0 for the first one.
pub(crate) struct Recurrence<'a> {
    window: &'a Window,
    time_zone: &'a TimeZone,
    first: DateTime,
}

impl<'a> Recurrence<'a> {
    /// # Errors
    ///
    /// [`ScheduleError::Window`] if the window's beginning is not a date and time.
    pub(crate) fn new(window: &'a Window, time_zone: &'a TimeZone) -> Result<Self, ScheduleError> {
        let first = window.begins.parse().map_err(|_| {
            let problem = format!("{} is not a date and time", window.begins);
            ScheduleError::Window { window: window.name.clone(), key: "begins", problem }
        })?;
        Ok(Recurrence { window, time_zone, first })
    }

    /// Returns all occurrences that overlap the period, in order.
    ///
    /// # Errors
    ///
    /// [`ScheduleError::Window`] if a date is out of the calendar's range.
    pub(crate) fn occurrences(&self, from_ms: i64, to_ms: i64) -> Result<Vec<Occurrence>, ScheduleError> {
        let mut occurrences = Vec::new();
        let mut number = self.first_number(from_ms)?;
        loop {
            let occurrence = self.occurrence(number)?;
            if occurrence.drains_from_ms > to_ms {
                break;
            }
            if occurrence.ends_ms >= from_ms {
                occurrences.push(occurrence);
            }
            if self.window.repeats.period_days().is_none() {
                break;
            }
            number += 1;
        }
        Ok(occurrences)
    }

    /// A lower bound for the number of the first occurrence that ends after `from_ms`.
    fn first_number(&self, from_ms: i64) -> Result<i64, ScheduleError> {
        // Upper bound for the effect of changes of the time zone's UTC offset.
        const OFFSET_CHANGE_DAYS: i64 = 1;
        let Some(period_days) = self.window.repeats.period_days() else { return Ok(0) };
        let first_ends_ms = self.occurrence(0)?.ends_ms;
        let days_since = (from_ms - first_ends_ms).div_euclid(DAY_MS) - OFFSET_CHANGE_DAYS;
        Ok((days_since / period_days).max(0))
    }

    fn occurrence(&self, number: i64) -> Result<Occurrence, ScheduleError> {
        let begins_ms = self.begins_ms(number)?;
        Ok(Occurrence {
            begins_ms,
            window: self.window.name.clone(),
            site: self.window.site.clone(),
            drains_from_ms: begins_ms - i64::from(self.window.lead_s) * SECOND_MS,
            ends_ms: begins_ms + i64::from(self.window.duration_s) * SECOND_MS,
        })
    }

    fn begins_ms(&self, number: i64) -> Result<i64, ScheduleError> {
        let error = |error: jiff::Error| ScheduleError::Window {
            window: self.window.name.clone(),
            key: "begins",
            problem: error.to_string(),
        };
        let days = number * self.window.repeats.period_days().unwrap_or(0);
        let local = self.first.checked_add(days.days()).map_err(error)?;
        let zoned = self.time_zone.to_ambiguous_zoned_datetime(local).compatible().map_err(error)?;
        Ok(zoned.timestamp().as_millisecond())
    }
}

/// Formats a Unix time in milliseconds as UTC for log messages and errors.
pub fn format_utc(ms: i64) -> String {
    jiff::Timestamp::from_millisecond(ms).map_or_else(|_| ms.to_string(), |at| at.to_string())
}
