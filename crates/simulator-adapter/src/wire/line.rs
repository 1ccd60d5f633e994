//! The lines of the protocol: a name, followed by `name=value` fields separated by single spaces.

use anyhow::{bail, Context, Result};
use shelfgrade::host::SessionId;
use shelfgrade::time::{DurationExt, Timestamp};
use std::str::FromStr;
use std::time::Duration;

/// The field whose value extends to the end of its line.
const TRAILING_FIELD: &str = "env";

/// A line of the protocol, whose fields are read by name.
pub struct Line<'a> {
    /// The name of the message.
    pub name: &'a str,
    fields: &'a str,
}

impl<'a> Line<'a> {
    /// Splits a line into its name and its fields.
    pub fn parse(text: &'a str) -> Self {
        let (name, fields) = text.split_once(' ').unwrap_or((text, ""));
        Line { name, fields }
    }

    /// Returns the value of a field, or `None` if the line does not have it.
    pub fn optional(&self, wanted: &str) -> Option<&'a str> {
        let mut rest = self.fields;
        while !rest.is_empty() {
            let (part, after) = rest.split_once(' ').unwrap_or((rest, ""));
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            let is_trailing = name == TRAILING_FIELD;
            if name == wanted {
                return Some(if is_trailing { &rest[name.len() + 1..] } else { value });
            }
            if is_trailing {
                return None;
            }
            rest = after;
        }
        None
    }

    /// Returns the value of a field that must be present and not empty.
    pub fn required(&self, name: &str) -> Result<&'a str> {
        self.optional(name)
            .filter(|v| !v.is_empty())
            .with_context(|| format!("{} is missing field {name}", self.name))
    }

    /// Parses a numeric field.
    pub fn number<T: FromStr>(&self, name: &str) -> Result<T> {
        let value = self.required(name)?;
        value.parse().ok().with_context(|| format!("{name}={value} is not a valid number"))
    }

    /// Parses a field that is an unsigned integer.
    pub fn integer(&self, name: &str) -> Result<u64> {
        self.number(name)
    }

    fn milliseconds(&self, name: &str) -> Result<f64> {
        let ms: f64 = self.number(name)?;
        if !ms.is_finite() || ms < 0.0 {
            bail!("{name}={ms} is not a valid time");
        }
        Ok(ms)
    }

    /// Parses a timestamp in milliseconds.
    pub fn timestamp(&self, name: &str) -> Result<Timestamp> {
        self.milliseconds(name).map(Timestamp::from_ms)
    }

    /// Parses a duration in milliseconds.
    pub fn duration(&self, name: &str) -> Result<Duration> {
        self.milliseconds(name).map(Duration::from_ms)
    }

    /// Parses a field that is 0 or 1; false if the line does not have it.
    pub fn flag(&self, name: &str) -> Result<bool> {
        match self.optional(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => bail!("{name}={value} is neither 0 nor 1"),
        }
    }

    /// Parses the id of the session that the line is about.
    pub fn session(&self) -> Result<SessionId> {
        let value = self.required("ref")?;
        let id = u64::from_str_radix(value, 16).ok().filter(|_| value.len() == 16);
        id.map(SessionId).with_context(|| format!("ref={value} is not 16 hex digits"))
    }
}
