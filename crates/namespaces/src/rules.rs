//! A customer's rules, and their validation against the customer's grant.

use crate::error::NamespaceError;
use crate::grants::Grant;
use crate::selector::{check_patterns, is_valid_name, Pattern, ServerSelector, MAX_PATTERNS};
use serde::{Deserialize, Serialize};

/// Maximum number of rules in a namespace. Bounds the time of a look-up.
pub const MAX_RULES: usize = 64;

/// Assigns matching sessions to servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name of the rule, unique in its namespace.
    pub name: String,
    /// Request classes that the rule matches; all if empty.
    #[serde(default, rename = "offerings")]
    pub classes: Vec<String>,
    /// Client groups that the rule matches; if empty, all groups and sessions without a group.
    #[serde(default)]
    pub groups: Vec<Pattern>,
    /// Servers that matching sessions are assigned to, among those granted to the customer.
    #[serde(default, rename = "to")]
    pub servers: ServerSelector,
    /// Maximum number of connections by this rule over all processes of the fleet; that of the grant if not set.
    #[serde(default, rename = "room")]
    pub max_connections: Option<u32>,
}

impl Rule {
    /// Whether the rule matches sessions of this request class and client group.
    pub fn matches(&self, class: &str, group: Option<&str>) -> bool {
        self.matches_class(class) && self.matches_group(group)
    }

    fn matches_class(&self, class: &str) -> bool {
        self.classes.is_empty() || self.classes.iter().any(|name| name == class)
    }

    fn matches_group(&self, group: Option<&str>) -> bool {
        self.groups.is_empty()
            || group.is_some_and(|group| self.groups.iter().any(|pattern| pattern.matches(group)))
    }

    /// Whether this rule matches every session that `other` matches.
    fn covers(&self, other: &Rule) -> bool {
        self.covers_classes(other) && self.covers_groups(other)
    }

    fn covers_classes(&self, other: &Rule) -> bool {
        self.classes.is_empty()
            || !other.classes.is_empty() && other.classes.iter().all(|name| self.classes.contains(name))
    }

    fn covers_groups(&self, other: &Rule) -> bool {
        let is_covered = |pattern: &Pattern| self.groups.iter().any(|own| own.covers(pattern));
        self.groups.is_empty() || !other.groups.is_empty() && other.groups.iter().all(is_covered)
    }

    fn check(&self, grant: &Grant) -> Result<(), NamespaceError> {
        if self.classes.len() > MAX_PATTERNS {
            return Err(self.error("offerings", format!("more than {MAX_PATTERNS} request classes")));
        }
        check_patterns(&self.groups).map_err(|problem| self.error("groups", problem))?;
        self.check_servers(grant)?;
        if self.max_connections.is_some_and(|connections| connections > grant.max_connections) {
            let problem = format!("more than the {} granted", grant.max_connections);
            return Err(self.error("room", problem));
        }
        Ok(())
    }

    fn check_servers(&self, grant: &Grant) -> Result<(), NamespaceError> {
        let lists = self.servers.pattern_lists().into_iter().zip(grant.servers.pattern_lists());
        for ((key, patterns), (_, granted)) in lists {
            check_patterns(patterns).map_err(|problem| self.error(key, problem))?;
            let is_granted = |pattern: &Pattern| {
                granted.is_empty() || granted.iter().any(|allowed| allowed.covers(pattern))
            };
            if let Some(not_granted) = patterns.iter().find(|pattern| !is_granted(pattern)) {
                return Err(
                    self.error(key, format!("{:?} is not covered by the grant", not_granted.as_str()))
                );
            }
        }
        Ok(())
    }

    fn error(&self, key: &'static str, problem: String) -> NamespaceError {
        NamespaceError::Rule { rule: self.name.clone(), key, problem }
    }
}

/// A rule that never matches, because an earlier rule matches all of its sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShadowedRule<'a> {
    /// Name of the rule that never matches.
    pub rule: &'a str,
    /// Name of the earlier rule that covers it.
    pub covered_by: &'a str,
}

/// The rules of one customer. The first rule that matches a session applies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Namespace {
    /// Name of the customer.
    pub customer: String,
    /// Increased with each change.
    pub version: u64,
    /// The rules, in the order in which they are matched.
    #[serde(default, rename = "rule")]
    pub rules: Vec<Rule>,
}

impl Namespace {
    /// Parses the text of a customer's file. Its values are validated by [`Namespace::check`].
    ///
    /// # Errors
    ///
    /// [`NamespaceError::Malformed`] with the line and column.
    pub fn parse(text: &str) -> Result<Self, NamespaceError> {
        toml::from_str(text).map_err(|error| NamespaceError::from_toml(text, &error))
    }

    /// Validates all rules against the customer's grant.
    ///
    /// # Errors
    ///
    /// [`NamespaceError::NotGranted`], [`NamespaceError::TooManyRules`], or [`NamespaceError::Rule`] with the key of an
    /// invalid value.
    pub fn check(&self, grant: Option<&Grant>) -> Result<(), NamespaceError> {
        let grant = grant.filter(|grant| is_valid_name(&self.customer) && grant.customer == self.customer);
        let grant = grant.ok_or_else(|| NamespaceError::NotGranted(self.customer.clone()))?;
        if self.rules.len() > MAX_RULES {
            return Err(NamespaceError::TooManyRules(self.rules.len()));
        }
        for (index, rule) in self.rules.iter().enumerate() {
            self.check_name(index)?;
            rule.check(grant)?;
        }
        Ok(())
    }

    fn check_name(&self, index: usize) -> Result<(), NamespaceError> {
        let rule = &self.rules[index];
        let is_taken = self.rules[..index].iter().any(|earlier| earlier.name == rule.name);
        if is_valid_name(&rule.name) && !is_taken {
            Ok(())
        } else {
            Err(rule.error(
                "name",
                format!(
                    "rule {} needs a unique name of letters, digits, dots, dashes and underscores",
                    index + 1
                ),
            ))
        }
    }

    /// Returns the rules that never match, each with the first earlier rule that covers it.
    pub fn shadowed_rules(&self) -> Vec<ShadowedRule<'_>> {
        let shadowed = self.rules.iter().enumerate().filter_map(|(index, rule)| {
            let covering = self.rules[..index].iter().find(|earlier| earlier.covers(rule))?;
            Some(ShadowedRule { rule: &rule.name, covered_by: &covering.name })
        });
        shadowed.collect()
    }
}
