//! Validation errors of schedules.

use crate::schedule::MAX_WINDOWS;

/// Why a schedule was rejected. A rejected schedule has no effect: the previous one stays in force.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ScheduleError {
    /// The text is not valid TOML, or does not have the expected keys and types.
    #[error("line {line}, column {column}: {message}: correct it there")]
    Malformed {
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error in characters, from 1.
        column: usize,
        /// The message of the TOML parser.
        message: String,
    },
    /// The time zone is not in the IANA time zone database.
    #[error("time_zone: unknown time zone {0}: use an IANA name such as Africa/Dar_es_Salaam")]
    UnknownTimeZone(String),
    /// A window has an invalid value.
    #[error("window {window}, {key}: {problem}: correct it there")]
    Window {
        /// Name of the window.
        window: String,
        /// Key of the value.
        key: &'static str,
        /// What is wrong with the value.
        problem: String,
    },
    /// The schedule has more windows than are allowed.
    #[error("{0} windows exceed the limit of {MAX_WINDOWS}: use repeating windows, or remove past ones")]
    TooManyWindows(usize),
    /// A setting of the schedule is out of range.
    #[error("{key}: {value} is out of range, expected {expected}: correct it there")]
    OutOfRange {
        /// Key of the setting.
        key: &'static str,
        /// The invalid value.
        value: f64,
        /// The valid range.
        expected: &'static str,
    },
    /// The windows of too many sites overlap.
    #[error(
        "windows {first} and {second} would leave {sites} sites without traffic at once at {at}, the limit is \
         {max_sites}: move one"
    )]
    Overlap {
        /// Name of the window that begins first.
        first: String,
        /// Name of the window that begins second.
        second: String,
        /// When the site of the second window starts to drain, in UTC.
        at: String,
        /// Number of sites without traffic at that time.
        sites: usize,
        /// Maximum number of sites without traffic at the same time.
        max_sites: usize,
    },
}

impl ScheduleError {
    /// Converts a TOML error, with its line and column in `text`.
    pub(crate) fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let before = &text[..error.span().map_or(0, |span| span.start.min(text.len()))];
        ScheduleError::Malformed {
            line: before.matches('\n').count() + 1,
            column: before.chars().rev().take_while(|c| *c != '\n').count() + 1,
            message: error.message().replace('\n', ", "),
        }
    }
}
