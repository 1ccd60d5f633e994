//! Why a namespace or the grants are refused.

use crate::rules::MAX_RULES;

/// Why a namespace or the grants are refused. A refused version changes nothing: the one before it stays in force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NamespaceError {
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
    /// A rule has an invalid value.
    #[error("rule {rule}, {place}: {what}: correct it there")]
    Rule {
        /// Name of the rule.
        rule: String,
        /// Key of the value.
        place: &'static str,
        /// What is wrong with the value.
        what: String,
    },
    /// A namespace has more rules than are allowed.
    #[error("{0} rules where {MAX_RULES} are the most: join some")]
    TooManyRules(usize),
    /// The customer of a namespace has no grant.
    #[error("{0} has no grant: have the operator grant it a part of the fleet first")]
    NotGranted(String),
    /// The version is older than the one in force.
    #[error("version {offered} where {held} is held: count it up with each change")]
    Stale {
        /// The version that is refused.
        offered: u64,
        /// The version in force.
        held: u64,
    },
    /// A customer has two grants.
    #[error("{0} is granted twice: join both grants")]
    GrantedTwice(String),
    /// A grant has an invalid value.
    #[error("grant of {customer}, {place}: {what}: correct it there")]
    Grant {
        /// Customer that the grant is for.
        customer: String,
        /// Key of the value.
        place: &'static str,
        /// What is wrong with the value.
        what: String,
    },
}

impl NamespaceError {
    /// Reports a TOML error with its line and column in `text`.
    pub(crate) fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let before = &text[..error.span().map_or(0, |span| span.start.min(text.len()))];
        NamespaceError::Form {
            line: before.matches('\n').count() + 1,
            column: before.chars().rev().take_while(|c| *c != '\n').count() + 1,
            what: error.message().replace('\n', ", "),
        }
    }
}
