//! Validation errors of namespaces and grants.

use crate::rules::MAX_RULES;

/// Why a namespace or the grants were rejected. A rejected version has no effect: the previous one stays in force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NamespaceError {
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
    /// A rule has an invalid value.
    #[error("rule {rule}, {key}: {problem}: correct it there")]
    Rule {
        /// Name of the rule.
        rule: String,
        /// Key of the value.
        key: &'static str,
        /// What is wrong with the value.
        problem: String,
    },
    /// A namespace has more rules than are allowed.
    #[error("{0} rules exceed the limit of {MAX_RULES}: merge some of them")]
    TooManyRules(usize),
    /// The customer of a namespace has no grant.
    #[error("{0} has no grant: the operator has to grant it servers first")]
    NotGranted(String),
    /// The version is older than the one in force.
    #[error("version {offered} is older than the current version {current}: increase it with each change")]
    Stale {
        /// The version that was rejected.
        offered: u64,
        /// The version in force.
        current: u64,
    },
    /// A customer has two grants.
    #[error("{0} has two grants: merge them into one")]
    DuplicateGrant(String),
    /// A grant has an invalid value.
    #[error("grant of {customer}, {key}: {problem}: correct it there")]
    Grant {
        /// Customer that the grant belongs to.
        customer: String,
        /// Key of the value.
        key: &'static str,
        /// What is wrong with the value.
        problem: String,
    },
}

impl NamespaceError {
    /// Converts a TOML error, with its line and column in `text`.
    pub(crate) fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let before = &text[..error.span().map_or(0, |span| span.start.min(text.len()))];
        NamespaceError::Malformed {
            line: before.matches('\n').count() + 1,
            column: before.chars().rev().take_while(|c| *c != '\n').count() + 1,
            message: error.message().replace('\n', ", "),
        }
    }
}
