//! The times at which windows come. A local time that comes twice counts as the first one, one that does not exist as
//! the hour after it.

use crate::error::ScheduleError;
use crate::schedule::{Window, DAY_MS, SECOND_MS};
use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use jiff::ToSpan;

/// Clocks of processes differ by seconds: an occurrence counts as so much longer on either side where it is compared
/// with another.
pub const CLOCK_MARGIN_MS: i64 = 10_000;

/// One time that a window comes. Ordered by its beginning.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Occurrence {
    /// From here on the site has no traffic.
    pub begins_ms: i64,
    /// Name of the window.
    pub window: String,
    /// Zone of the servers.
    pub site: String,
    /// From here until the beginning the site drains.
    pub drains_from_ms: i64,
    /// From here on the site takes traffic again.
    pub ends_ms: i64,
}

impl Occurrence {
    /// Whether the site is to drain or to be closed now.
    pub fn is_under_way(&self, now_ms: i64) -> bool {
        self.drains_from_ms <= now_ms && now_ms < self.ends_ms
    }

    /// Whether two processes, whose clocks differ, could have the two under way at once.
    pub fn overlaps(&self, other: &Occurrence) -> bool {
        self.drains_from_ms - CLOCK_MARGIN_MS < other.ends_ms + CLOCK_MARGIN_MS
            && other.drains_from_ms - CLOCK_MARGIN_MS < self.ends_ms + CLOCK_MARGIN_MS
    }
}

/// A window whose times are counted from its first one, which is number 0.
pub(crate) struct Recurrence<'a> {
    window: &'a Window,
    zone: &'a TimeZone,
    first: DateTime,
}

impl<'a> Recurrence<'a> {
    /// # Errors
    ///
    /// [`ScheduleError::Window`] where the window's beginning is no date and time.
    pub(crate) fn new(window: &'a Window, zone: &'a TimeZone) -> Result<Self, ScheduleError> {
        let first = window.begins.parse().map_err(|_| {
            let what = format!("{} is no date and time", window.begins);
            ScheduleError::Window { window: window.name.clone(), place: "begins", what }
        })?;
        Ok(Recurrence { window, zone, first })
    }

    /// All occurrences that touch the period, in their order.
    ///
    /// # Errors
    ///
    /// [`ScheduleError::Window`] where a date is out of the calendar's range.
    pub(crate) fn within(&self, from_ms: i64, to_ms: i64) -> Result<Vec<Occurrence>, ScheduleError> {
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

    /// At or before the number of the first occurrence that ends after `from_ms`.
    fn first_number(&self, from_ms: i64) -> Result<i64, ScheduleError> {
        // Changes of the time zone's offset add up to less than this.
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
            place: "begins",
            what: error.to_string(),
        };
        let days = number * self.window.repeats.period_days().unwrap_or(0);
        let local = self.first.checked_add(days.days()).map_err(error)?;
        let zoned = self.zone.to_ambiguous_zoned_datetime(local).compatible().map_err(error)?;
        Ok(zoned.timestamp().as_millisecond())
    }
}

/// A moment in UTC, as operators read it.
pub fn format_utc(ms: i64) -> String {
    jiff::Timestamp::from_millisecond(ms).map_or_else(|_| ms.to_string(), |at| at.to_string())
}
