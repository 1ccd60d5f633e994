//! The wire's lines: a name, then `name=value` parts set apart by single spaces.

use anyhow::{bail, Context, Result};
use shelfgrade::host::SessionId;
use shelfgrade::time::{DurationExt, Timestamp};
use std::str::FromStr;
use std::time::Duration;

/// Values of these names run to the end of their line.
const TEXTS: [&str; 1] = ["env"];

pub struct Line<'a> {
    pub name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Self {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        Line { name, rest }
    }

    pub fn optional(&self, wanted: &str) -> Option<&'a str> {
        let mut rest = self.rest;
        while !rest.is_empty() {
            let (part, after) = rest.split_once(' ').unwrap_or((rest, ""));
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            let text = TEXTS.contains(&name);
            if name == wanted {
                return Some(if text { &rest[name.len() + 1..] } else { value });
            }
            if text {
                return None;
            }
            rest = after;
        }
        None
    }

    pub fn required(&self, name: &str) -> Result<&'a str> {
        self.optional(name).filter(|v| !v.is_empty()).with_context(|| format!("{} lacks {name}", self.name))
    }

    pub fn number<T: FromStr>(&self, name: &str) -> Result<T> {
        let value = self.required(name)?;
        value.parse().ok().with_context(|| format!("{name}={value} is not a number that fits"))
    }

    pub fn whole(&self, name: &str) -> Result<u64> {
        self.number(name)
    }

    fn ms(&self, name: &str) -> Result<f64> {
        let ms: f64 = self.number(name)?;
        if !ms.is_finite() || ms < 0.0 {
            bail!("{name}={ms} is no time");
        }
        Ok(ms)
    }

    pub fn point(&self, name: &str) -> Result<Timestamp> {
        self.ms(name).map(Timestamp::from_ms)
    }

    pub fn span(&self, name: &str) -> Result<Duration> {
        self.ms(name).map(Duration::from_ms)
    }

    pub fn flag(&self, name: &str) -> Result<bool> {
        match self.optional(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => bail!("{name}={value} is neither 0 nor 1"),
        }
    }

    pub fn session(&self) -> Result<SessionId> {
        let value = self.required("ref")?;
        let id = u64::from_str_radix(value, 16).ok().filter(|_| value.len() == 16);
        id.map(SessionId).with_context(|| format!("ref={value} is not 16 hex digits"))
    }
}
