//! What the operator grants to customers.

use crate::error::NamespaceError;
use crate::selector::{check_patterns, is_name, ServerSelector};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Servers and connections that the operator grants to one customer. The servers may overlap with those of others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Name of the customer.
    pub customer: String,
    /// Servers that the customer's rules may use.
    #[serde(default, rename = "part")]
    pub servers: ServerSelector,
    /// Connections over all processes of the fleet.
    #[serde(rename = "room")]
    pub max_connections: u32,
}

/// All grants: the file `grants.toml`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    /// Goes up with each change.
    pub version: u64,
    /// Connections of sessions whose customer has no namespace, over all processes of the fleet.
    #[serde(default, rename = "others")]
    pub default_max_connections: u32,
    /// One for each customer.
    #[serde(default, rename = "grant")]
    pub grants: Vec<Grant>,
}

impl Grants {
    /// Reads and validates the text of `grants.toml`.
    ///
    /// # Errors
    ///
    /// [`NamespaceError::Form`] where it cannot be read, else as [`Grants::check`].
    pub fn parse(text: &str) -> Result<Self, NamespaceError> {
        let grants: Grants = toml::from_str(text).map_err(|error| NamespaceError::from_toml(text, &error))?;
        grants.check()?;
        Ok(grants)
    }

    /// Validates all grants.
    ///
    /// # Errors
    ///
    /// [`NamespaceError::GrantedTwice`], or [`NamespaceError::Grant`] with the place of an invalid value.
    pub fn check(&self) -> Result<(), NamespaceError> {
        let mut customers = BTreeSet::new();
        for grant in &self.grants {
            grant.check_customer()?;
            if !customers.insert(&grant.customer) {
                return Err(NamespaceError::GrantedTwice(grant.customer.clone()));
            }
            grant.check_servers()?;
        }
        Ok(())
    }
}

impl Grant {
    fn check_customer(&self) -> Result<(), NamespaceError> {
        if is_name(&self.customer) {
            Ok(())
        } else {
            Err(self.error("customer", "letters, digits, dots and dashes are wanted".to_owned()))
        }
    }

    fn check_servers(&self) -> Result<(), NamespaceError> {
        for (key, patterns) in self.servers.lists() {
            check_patterns(patterns).map_err(|what| self.error(key, what))?;
        }
        Ok(())
    }

    fn error(&self, place: &'static str, what: String) -> NamespaceError {
        NamespaceError::Grant { customer: self.customer.clone(), place, what }
    }
}
