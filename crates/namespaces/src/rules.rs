//! A customer's rules and what the operator grants it, as they are written, checked whole.

use serde::{Deserialize, Serialize};
use shelfgrade::host::Endpoint;
use std::collections::BTreeMap;

/// More would make a look-up's time the customer's to choose.
pub const MOST_RULES: usize = 64;
/// Names and patterns in one list, and the longest of them, in bytes.
pub const MOST_PATTERNS: usize = 64;
pub const LONGEST: usize = 64;

/// A name, or with a star at its end all names that begin so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pattern(String);

impl Pattern {
    pub fn matches(&self, name: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(prefix) => name.starts_with(prefix),
            None => self.0 == name,
        }
    }

    /// Whether all that the other one matches this one matches too.
    fn covers(&self, other: &Pattern) -> bool {
        match (self.0.strip_suffix('*'), other.0.strip_suffix('*')) {
            (Some(mine), Some(theirs)) => theirs.starts_with(mine),
            (Some(mine), None) => other.0.starts_with(mine),
            (None, theirs) => theirs.is_none() && self.0 == other.0,
        }
    }
}

/// A part of the fleet; a list that is left out leaves all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Part {
    pub zones: Vec<Pattern>,
    pub kinds: Vec<Pattern>,
    pub ids: Vec<Pattern>,
}

impl Part {
    pub fn has(&self, server: &Endpoint) -> bool {
        let any = |patterns: &[Pattern], name: &str| {
            patterns.is_empty() || patterns.iter().any(|p| p.matches(name))
        };
        any(&self.zones, &server.zone) && any(&self.kinds, &server.kind) && any(&self.ids, &server.server)
    }

    fn lists(&self) -> [(&'static str, &[Pattern]); 3] {
        [("zones", &self.zones), ("kinds", &self.kinds), ("ids", &self.ids)]
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    pub name: String,
    /// All request classes where none is named.
    #[serde(default)]
    pub offerings: Vec<String>,
    /// Client groups; all, and those without one, where none is named.
    #[serde(default)]
    pub groups: Vec<Pattern>,
    /// Where they go.
    #[serde(default)]
    pub to: Part,
    /// How many connections may stand there by this rule, over the whole fleet; the grant's room where it does not say.
    #[serde(default)]
    pub room: Option<u32>,
}

impl Rule {
    pub fn matches(&self, offering: &str, group: Option<&str>) -> bool {
        let by_group = || group.is_some_and(|group| self.groups.iter().any(|pattern| pattern.matches(group)));
        (self.offerings.is_empty() || self.offerings.iter().any(|name| name == offering))
            && (self.groups.is_empty() || by_group())
    }

    /// Whether all that the other one would decide this one decides before it.
    fn covers(&self, other: &Rule) -> bool {
        let offerings = self.offerings.is_empty()
            || !other.offerings.is_empty()
                && other.offerings.iter().all(|name| self.offerings.contains(name));
        let covered = |pattern: &Pattern| self.groups.iter().any(|mine| mine.covers(pattern));
        let groups = self.groups.is_empty() || !other.groups.is_empty() && other.groups.iter().all(covered);
        offerings && groups
    }
}

/// A customer's namespace; the first rule that matches decides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Space {
    pub customer: String,
    /// Goes up with each change.
    pub version: u64,
    #[serde(default, rename = "rule")]
    pub rules: Vec<Rule>,
}

/// What the operator grants one customer: a part of the fleet, which may overlap with others', and room there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    pub customer: String,
    #[serde(default)]
    pub part: Part,
    /// Connections over the whole fleet.
    pub room: u32,
}

/// All grants, in one place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    pub version: u64,
    /// Room for those without a namespace, in connections over the whole fleet.
    #[serde(default)]
    pub others: u32,
    #[serde(default, rename = "grant")]
    pub grants: Vec<Grant>,
}

/// Why a namespace or the grants are refused, whole; what was there before stays.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpaceError {
    #[error("line {line}, column {column}: {what}: correct it there")]
    Form { line: usize, column: usize, what: String },
    #[error("rule {rule}, {place}: {what}: correct it there")]
    Rule { rule: String, place: &'static str, what: String },
    #[error("{0} rules where {MOST_RULES} are the most: join some")]
    TooMany(usize),
    #[error("{0} has no grant: have the operator grant it a part of the fleet first")]
    NotGranted(String),
    #[error("version {told} where {held} is held: count it up with each change")]
    Old { told: u64, held: u64 },
    #[error("{0} is granted twice: join both grants")]
    GrantedTwice(String),
    #[error("grant of {customer}, {place}: {what}: correct it there")]
    Grant { customer: String, place: &'static str, what: String },
}

fn form(text: &str, error: &toml::de::Error) -> SpaceError {
    let before = &text[..error.span().map_or(0, |span| span.start.min(text.len()))];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    SpaceError::Form { line, column, what: error.message().replace('\n', ", ") }
}

/// A name of a customer's: it stands in a file's name and in the key that all share.
fn is_name(text: &str) -> bool {
    let letters = text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
    !text.is_empty() && text.len() <= LONGEST && letters
}

fn sound(patterns: &[Pattern]) -> Result<(), String> {
    if patterns.len() > MOST_PATTERNS {
        return Err(format!("{} names where {MOST_PATTERNS} are the most", patterns.len()));
    }
    let bad = |p: &&Pattern| p.0.is_empty() || p.0.len() > LONGEST || p.0.trim_end_matches('*').contains('*');
    match patterns.iter().find(bad) {
        Some(bad) => Err(format!("{:?} is no name, nor one with a star at its end", bad.0)),
        None => Ok(()),
    }
}

impl Grants {
    pub fn parse(text: &str) -> Result<Self, SpaceError> {
        let grants: Grants = toml::from_str(text).map_err(|error| form(text, &error))?;
        grants.check().map(|()| grants)
    }

    pub fn check(&self) -> Result<(), SpaceError> {
        let mut seen = BTreeMap::new();
        for grant in &self.grants {
            let error = |place, what| SpaceError::Grant { customer: grant.customer.clone(), place, what };
            if !is_name(&grant.customer) {
                return Err(error("customer", "letters, digits, dots and dashes are wanted".into()));
            }
            if seen.insert(&grant.customer, ()).is_some() {
                return Err(SpaceError::GrantedTwice(grant.customer.clone()));
            }
            for (place, patterns) in grant.part.lists() {
                sound(patterns).map_err(|what| error(place, what))?;
            }
        }
        Ok(())
    }
}

impl Space {
    pub fn parse(text: &str) -> Result<Self, SpaceError> {
        toml::from_str(text).map_err(|error| form(text, &error))
    }

    /// Checks it whole against what its customer is granted.
    pub fn check(&self, grant: Option<&Grant>) -> Result<(), SpaceError> {
        let grant = grant.filter(|grant| is_name(&self.customer) && grant.customer == self.customer);
        let grant = grant.ok_or_else(|| SpaceError::NotGranted(self.customer.clone()))?;
        if self.rules.len() > MOST_RULES {
            return Err(SpaceError::TooMany(self.rules.len()));
        }
        for (index, rule) in self.rules.iter().enumerate() {
            let error = |place, what: String| SpaceError::Rule { rule: rule.name.clone(), place, what };
            if !is_name(&rule.name) || self.rules[..index].iter().any(|before| before.name == rule.name) {
                return Err(error("name", format!("rule {} needs a name that no other has", index + 1)));
            }
            if rule.offerings.len() > MOST_PATTERNS {
                return Err(error("offerings", format!("more than {MOST_PATTERNS}")));
            }
            sound(&rule.groups).map_err(|what| error("groups", what))?;
            for ((place, patterns), (_, granted)) in rule.to.lists().into_iter().zip(grant.part.lists()) {
                sound(patterns).map_err(|what| error(place, what))?;
                let granted = |p: &&Pattern| granted.is_empty() || granted.iter().any(|mine| mine.covers(p));
                if let Some(beyond) = patterns.iter().find(|pattern| !granted(pattern)) {
                    return Err(error(place, format!("{:?} is beyond what is granted", beyond.0)));
                }
            }
            if rule.room.is_some_and(|room| room > grant.room) {
                return Err(error("room", format!("more than the {} that are granted", grant.room)));
            }
        }
        Ok(())
    }

    /// Rules that can never act, each with the earlier one that covers it.
    pub fn shadowed(&self) -> Vec<(&str, &str)> {
        let before = |index: usize| self.rules[..index].iter().find(|early| early.covers(&self.rules[index]));
        let named = |index: usize| Some((self.rules[index].name.as_str(), before(index)?.name.as_str()));
        (0..self.rules.len()).filter_map(named).collect()
    }
}

#[cfg(test)]
#[path = "../tests/unit/rules.rs"]
mod tests;
