//! The wire's lines: a name, then `name=value` fields separated by single spaces.

use anyhow::{bail, Context, Result};
use shelfgrade::host::SessionId;
use shelfgrade::time::{DurationExt, Timestamp};
use std::str::FromStr;
use std::time::Duration;

/// The field whose value runs to the end of its line.
const TEXT_FIELD: &str = "env";

/// A line of the wire, whose fields are read by name.
pub struct Line<'a> {
    /// What the line is.
    pub name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    /// Splits the name from the fields.
    pub fn parse(text: &'a str) -> Self {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        Line { name, rest }
    }

    /// The value of a field, where the line has it.
    pub fn optional(&self, wanted: &str) -> Option<&'a str> {
        let mut rest = self.rest;
        while !rest.is_empty() {
            let (part, after) = rest.split_once(' ').unwrap_or((rest, ""));
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            let is_text = name == TEXT_FIELD;
            if name == wanted {
                return Some(if is_text { &rest[name.len() + 1..] } else { value });
            }
            if is_text {
                return None;
            }
            rest = after;
        }
        None
    }

    /// The value of a field that must be there and not be empty.
    pub fn required(&self, name: &str) -> Result<&'a str> {
        self.optional(name).filter(|v| !v.is_empty()).with_context(|| format!("{} lacks {name}", self.name))
    }

    /// A numeric field.
    pub fn number<T: FromStr>(&self, name: &str) -> Result<T> {
        let value = self.required(name)?;
        value.parse().ok().with_context(|| format!("{name}={value} is not a number that fits"))
    }

    /// A field that is an unsigned integer.
    pub fn integer(&self, name: &str) -> Result<u64> {
        self.number(name)
    }

    fn milliseconds(&self, name: &str) -> Result<f64> {
        let ms: f64 = self.number(name)?;
        if !ms.is_finite() || ms < 0.0 {
            bail!("{name}={ms} is no time");
        }
        Ok(ms)
    }

    /// A timestamp in milliseconds.
    pub fn timestamp(&self, name: &str) -> Result<Timestamp> {
        self.milliseconds(name).map(Timestamp::from_ms)
    }

    /// A duration in milliseconds.
    pub fn duration(&self, name: &str) -> Result<Duration> {
        self.milliseconds(name).map(Duration::from_ms)
    }

    /// A field that is 0 or 1; false where the line lacks it.
    pub fn flag(&self, name: &str) -> Result<bool> {
        match self.optional(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => bail!("{name}={value} is neither 0 nor 1"),
        }
    }

    /// The session that the line is about.
    pub fn session(&self) -> Result<SessionId> {
        let value = self.required("ref")?;
        let id = u64::from_str_radix(value, 16).ok().filter(|_| value.len() == 16);
        id.map(SessionId).with_context(|| format!("ref={value} is not 16 hex digits"))
    }
}
