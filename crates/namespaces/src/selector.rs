//! Name patterns, and the servers that they select.

use serde::{Deserialize, Serialize};
use shelfgrade::host::Endpoint;

/// Maximum number of patterns in a list. Bounds the time of a look-up.
pub const MAX_PATTERNS: usize = 64;
/// Maximum length of a name or pattern in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name, or a prefix followed by a star that matches all names with this prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pattern(String);

impl Pattern {
    /// Creates a pattern without validating it: patterns are validated together with the namespace or grant that
    /// contains them.
    pub fn new(text: &str) -> Self {
        Pattern(text.to_owned())
    }

    /// Whether the pattern matches a name.
    pub fn matches(&self, name: &str) -> bool {
        match self.prefix() {
            Some(prefix) => name.starts_with(prefix),
            None => self.0 == name,
        }
    }

    /// Whether this pattern matches every name that `other` matches.
    pub(crate) fn covers(&self, other: &Pattern) -> bool {
        match (self.prefix(), other.prefix()) {
            (Some(prefix), Some(other_prefix)) => other_prefix.starts_with(prefix),
            (Some(prefix), None) => other.0.starts_with(prefix),
            (None, other_prefix) => other_prefix.is_none() && self.0 == other.0,
        }
    }

    /// The text of the pattern, including a star.
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    fn prefix(&self) -> Option<&str> {
        self.0.strip_suffix('*')
    }

    fn is_valid(&self) -> bool {
        !self.0.is_empty() && self.0.len() <= MAX_NAME_BYTES && !self.0.trim_end_matches('*').contains('*')
    }
}

/// Validates the patterns of a list. The error describes the problem.
pub(crate) fn check_patterns(patterns: &[Pattern]) -> Result<(), String> {
    if patterns.len() > MAX_PATTERNS {
        return Err(format!("{} patterns exceed the limit of {MAX_PATTERNS}", patterns.len()));
    }
    match patterns.iter().find(|pattern| !pattern.is_valid()) {
        Some(invalid) => Err(format!("{:?} is not a name or a prefix followed by a star", invalid.0)),
        None => Ok(()),
    }
}

/// Whether a text is a valid name of a customer or a rule. Restricted because customer names become part of file names
/// and of keys in the replicated map.
pub(crate) fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Selects the servers that match at least one pattern of each list. An empty list matches all servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerSelector {
    /// Patterns for the zone.
    pub zones: Vec<Pattern>,
    /// Patterns for the kind of machine.
    pub kinds: Vec<Pattern>,
    /// Patterns for the server id.
    pub ids: Vec<Pattern>,
}

impl ServerSelector {
    /// Whether the selector matches a server.
    pub fn matches(&self, server: &Endpoint) -> bool {
        let any_matches = |patterns: &[Pattern], name: &str| {
            patterns.is_empty() || patterns.iter().any(|pattern| pattern.matches(name))
        };
        any_matches(&self.zones, &server.zone)
            && any_matches(&self.kinds, &server.kind)
            && any_matches(&self.ids, &server.server)
    }

    /// The lists with their keys in the file, always in the same order.
    pub(crate) fn pattern_lists(&self) -> [(&'static str, &[Pattern]); 3] {
        [("zones", &self.zones), ("kinds", &self.kinds), ("ids", &self.ids)]
    }
}
