//! The servers and connections that the operator grants to customers.

use crate::error::NamespaceError;
use crate::selector::{check_patterns, is_valid_name, ServerSelector};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The servers and connections granted to one customer. The servers may overlap with those of other customers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Name of the customer.
    pub customer: String,
    /// Servers that the customer's rules may use.
    #[serde(default, rename = "part")]
    pub servers: ServerSelector,
    /// Maximum number of connections over all processes of the fleet.
    #[serde(rename = "room")]
    pub max_connections: u32,
}

/// All grants: the content of the file `grants.toml`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    /// Increased with each change.
    pub version: u64,
    /// Maximum number of connections, over all processes of the fleet, of sessions whose customer has no namespace.
    #[serde(default, rename = "others")]
    pub default_max_connections: u32,
    /// One grant per customer.
    #[serde(default, rename = "grant")]
    pub grants: Vec<Grant>,
}

impl Grants {
    /// Parses and validates the text of `grants.toml`.
    ///
    /// # Errors
    ///
    /// [`NamespaceError::Malformed`] if it cannot be parsed, or an error of [`Grants::check`].
    pub fn parse(text: &str) -> Result<Self, NamespaceError> {
        let grants: Grants = toml::from_str(text).map_err(|error| NamespaceError::from_toml(text, &error))?;
        grants.check()?;
        Ok(grants)
    }

    /// Validates all grants.
    ///
    /// # Errors
    ///
    /// [`NamespaceError::DuplicateGrant`], or [`NamespaceError::Grant`] with the key of an invalid value.
    pub fn check(&self) -> Result<(), NamespaceError> {
        let mut customers = BTreeSet::new();
        for grant in &self.grants {
            grant.check_customer()?;
            if !customers.insert(&grant.customer) {
                return Err(NamespaceError::DuplicateGrant(grant.customer.clone()));
            }
            grant.check_servers()?;
        }
        Ok(())
    }
}

impl Grant {
    fn check_customer(&self) -> Result<(), NamespaceError> {
        if is_valid_name(&self.customer) {
            Ok(())
        } else {
            Err(self.error("customer", "expected letters, digits, dots, dashes and underscores".to_owned()))
        }
    }

    fn check_servers(&self) -> Result<(), NamespaceError> {
        for (key, patterns) in self.servers.pattern_lists() {
            check_patterns(patterns).map_err(|problem| self.error(key, problem))?;
        }
        Ok(())
    }

    fn error(&self, key: &'static str, problem: String) -> NamespaceError {
        NamespaceError::Grant { customer: self.customer.clone(), key, problem }
    }
}
