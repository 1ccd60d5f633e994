//! Why a schedule is refused.

use crate::schedule::MAX_WINDOWS;

/// Why a schedule is refused. A refused schedule changes nothing: the one before it stays in force.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ScheduleError {
    /// The text is not TOML of the wanted form.
    #[error("line {line}, column {column}: {what}: correct it there")]
    Form {
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error in characters, from 1.
        column: usize,
        /// What the TOML reader reports.
        what: String,
    },
    /// The time zone has no entry in the time zone database.
    #[error("time_zone: {0} is not known: name one such as Africa/Dar_es_Salaam")]
    UnknownTimeZone(String),
    /// A window has an invalid value.
    #[error("window {window}, {place}: {what}: correct it there")]
    Window {
        /// Name of the window.
        window: String,
        /// Key of the value.
        place: &'static str,
        /// What is wrong with the value.
        what: String,
    },
    /// The schedule has more windows than are allowed.
    #[error("{0} windows where {MAX_WINDOWS} are the most: let them repeat, or take past ones out")]
    TooManyWindows(usize),
    /// A number of the schedule itself is out of its range.
    #[error("{key}: {value} where {wanted} is wanted: correct it there")]
    OutOfRange {
        /// Key of the number.
        key: &'static str,
        /// The number.
        value: f64,
        /// The range.
        wanted: &'static str,
    },
    /// Windows of more sites than are allowed overlap.
    #[error("windows {first} and {second} would empty {sites} sites at once at {at}, where {max_sites} may be: move one")]
    Overlap {
        /// Name of the window that begins first.
        first: String,
        /// Name of the other window.
        second: String,
        /// When the other window's site starts to drain, in UTC.
        at: String,
        /// Sites without traffic together.
        sites: usize,
        /// Sites that may be without traffic together.
        max_sites: usize,
    },
}

impl ScheduleError {
    /// Reports a TOML error with its line and column in `text`.
    pub(crate) fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let before = &text[..error.span().map_or(0, |span| span.start.min(text.len()))];
        ScheduleError::Form {
            line: before.matches('\n').count() + 1,
            column: before.chars().rev().take_while(|c| *c != '\n').count() + 1,
            what: error.message().replace('\n', ", "),
        }
    }
}
