//! The namespaces in force, and the look-up of a session's rule: in its own customer's namespace and nowhere else.

use crate::error::NamespaceError;
use crate::grants::{Grant, Grants};
use crate::rules::{Namespace, Rule};
use shelfgrade::host::{Endpoint, ServerId};
use std::collections::HashMap;
use std::rc::Rc;

/// The endpoint list, and how often it has changed.
#[derive(Default)]
struct Endpoints {
    list: Vec<Endpoint>,
    generation: u64,
}

impl Endpoints {
    /// Ids of the servers that match, sorted.
    fn select(&self, matches: impl Fn(&Endpoint) -> bool) -> Rc<[ServerId]> {
        let matching = self.list.iter().filter(|endpoint| matches(endpoint));
        let mut servers: Vec<_> = matching.map(|endpoint| endpoint.server.clone()).collect();
        servers.sort();
        Rc::from(servers)
    }
}

/// One version of a namespace in force, with the servers that its rules select from the endpoint list.
pub struct ActiveNamespace {
    /// The rules.
    pub namespace: Namespace,
    /// What the customer is granted.
    pub grant: Grant,
    /// For each rule.
    selected_servers: Vec<Rc<[ServerId]>>,
    granted_servers: Rc<[ServerId]>,
    /// Of the endpoint list that the servers were selected from.
    generation: u64,
}

impl ActiveNamespace {
    fn new(namespace: Namespace, grant: Grant, endpoints: &Endpoints) -> Self {
        let select = |rule: &Rule| {
            endpoints.select(|endpoint| grant.servers.matches(endpoint) && rule.servers.matches(endpoint))
        };
        ActiveNamespace {
            selected_servers: namespace.rules.iter().map(select).collect(),
            granted_servers: endpoints.select(|endpoint| grant.servers.matches(endpoint)),
            generation: endpoints.generation,
            namespace,
            grant,
        }
    }

    /// Version of the namespace.
    pub fn version(&self) -> u64 {
        self.namespace.version
    }

    /// Servers that the customer is granted, in the order of their ids.
    pub fn granted_servers(&self) -> &Rc<[ServerId]> {
        &self.granted_servers
    }
}

/// The rule that decides a session, with the version of the namespace that it belongs to: a later version does not
/// change what was decided.
#[derive(Clone)]
pub struct MatchedRule {
    /// The namespace as it was looked up.
    pub active: Rc<ActiveNamespace>,
    index: usize,
}

impl MatchedRule {
    /// The rule itself.
    pub fn rule(&self) -> &Rule {
        &self.active.namespace.rules[self.index]
    }

    /// Servers that the rule selects, in the order of their ids; may be empty.
    pub fn servers(&self) -> Rc<[ServerId]> {
        self.active.selected_servers[self.index].clone()
    }

    /// Connections by this rule over all processes of the fleet.
    pub fn max_connections(&self) -> u32 {
        self.rule().max_connections.unwrap_or(self.active.grant.max_connections)
    }
}

/// Result of looking up a session.
pub enum Lookup {
    /// The session has no customer, or one without a namespace: no rule applies to it.
    NoNamespace,
    /// The namespace of its customer has no rule for it: it is rejected.
    NoMatchingRule,
    /// The first rule that matches.
    Matched(MatchedRule),
}

/// A namespace that went out of force, as it no longer fits its grant.
#[derive(Debug)]
pub struct DeactivatedNamespace {
    /// Name of the customer.
    pub customer: String,
    /// Why it does not fit.
    pub error: NamespaceError,
}

/// The grants and the namespaces in force.
#[derive(Default)]
pub struct NamespaceTable {
    /// Never iterated where the order would show.
    namespaces: HashMap<String, Rc<ActiveNamespace>>,
    grants: HashMap<String, Grant>,
    grants_version: u64,
    default_max_connections: u32,
    endpoints: Endpoints,
}

impl NamespaceTable {
    /// Replaces all grants. Returns the namespaces that went out of force, sorted by customer.
    ///
    /// # Errors
    ///
    /// Those of [`Grants::check`], and [`NamespaceError::Stale`]; the grants before then stay.
    pub fn apply_grants(&mut self, grants: Grants) -> Result<Vec<DeactivatedNamespace>, NamespaceError> {
        grants.check()?;
        if grants.version < self.grants_version {
            return Err(NamespaceError::Stale { offered: grants.version, held: self.grants_version });
        }
        self.grants_version = grants.version;
        self.default_max_connections = grants.default_max_connections;
        self.grants = grants.grants.into_iter().map(|grant| (grant.customer.clone(), grant)).collect();
        Ok(self.apply_grants_to_namespaces())
    }

    fn apply_grants_to_namespaces(&mut self) -> Vec<DeactivatedNamespace> {
        let mut deactivated = Vec::new();
        let (endpoints, grants) = (&self.endpoints, &self.grants);
        self.namespaces.retain(|customer, active| {
            let grant = grants.get(customer);
            match (active.namespace.check(grant), grant) {
                (Ok(()), Some(grant)) => {
                    let namespace = active.namespace.clone();
                    *active = Rc::new(ActiveNamespace::new(namespace, grant.clone(), endpoints));
                    true
                }
                (checked, _) => {
                    let customer = customer.clone();
                    deactivated.extend(checked.err().map(|error| DeactivatedNamespace { customer, error }));
                    false
                }
            }
        });
        deactivated.sort_by(|a, b| a.customer.cmp(&b.customer));
        deactivated
    }

    /// Validates a namespace against the grants in force.
    ///
    /// # Errors
    ///
    /// Those of [`Namespace::check`].
    pub fn check(&self, namespace: &Namespace) -> Result<(), NamespaceError> {
        namespace.check(self.grants.get(&namespace.customer))
    }

    /// Brings a namespace into force in place of the customer's last one.
    ///
    /// # Errors
    ///
    /// Those of [`Namespace::check`], and [`NamespaceError::Stale`]; the last one then stays.
    pub fn insert(&mut self, namespace: Namespace) -> Result<Rc<ActiveNamespace>, NamespaceError> {
        self.check(&namespace)?;
        let held = self.namespaces.get(&namespace.customer).map(|active| active.version());
        if let Some(held) = held.filter(|held| *held > namespace.version) {
            return Err(NamespaceError::Stale { offered: namespace.version, held });
        }
        let customer = namespace.customer.clone();
        let grant = self.grants.get(&customer).cloned();
        let grant = grant.ok_or_else(|| NamespaceError::NotGranted(customer.clone()))?;
        let active = Rc::new(ActiveNamespace::new(namespace, grant, &self.endpoints));
        self.namespaces.insert(customer, active.clone());
        Ok(active)
    }

    /// Removes a customer's namespace: its sessions are then decided as those of customers without one.
    pub fn remove(&mut self, customer: &str) {
        self.namespaces.remove(customer);
    }

    /// Replaces the endpoint list. Each namespace selects its servers anew when it is next looked up, so that the time
    /// of this call does not grow with the number of namespaces.
    pub fn set_endpoints(&mut self, list: Vec<Endpoint>) {
        self.endpoints.list = list;
        self.endpoints.generation += 1;
    }

    /// A customer's namespace, with its servers selected from the current endpoint list.
    pub fn get(&mut self, customer: &str) -> Option<&Rc<ActiveNamespace>> {
        let active = self.namespaces.get_mut(customer)?;
        if active.generation != self.endpoints.generation {
            let (namespace, grant) = (active.namespace.clone(), active.grant.clone());
            *active = Rc::new(ActiveNamespace::new(namespace, grant, &self.endpoints));
        }
        Some(active)
    }

    /// The customer's fraction of what this process may send to warming servers: its connections among all that are
    /// granted. Customers that share a server then together send it no more than one process may.
    pub fn quota_share(&self, customer: &str) -> f64 {
        self.grants
            .get(customer)
            .map_or(0.0, |grant| f64::from(grant.max_connections) / self.total_max_connections())
    }

    /// The same fraction for sessions whose customer has no namespace; 1 where there are no grants.
    pub fn default_quota_share(&self) -> f64 {
        if self.grants.is_empty() {
            1.0
        } else {
            f64::from(self.default_max_connections) / self.total_max_connections()
        }
    }

    fn total_max_connections(&self) -> f64 {
        let granted: f64 = self.grants.values().map(|grant| f64::from(grant.max_connections)).sum();
        (granted + f64::from(self.default_max_connections)).max(1.0)
    }

    /// The rule that decides a session of this customer, request class and client group.
    pub fn look_up(&mut self, customer: Option<&str>, class: &str, group: Option<&str>) -> Lookup {
        let Some(active) = customer.and_then(|customer| self.get(customer)) else {
            return Lookup::NoNamespace;
        };
        match active.namespace.rules.iter().position(|rule| rule.matches(class, group)) {
            Some(index) => Lookup::Matched(MatchedRule { active: active.clone(), index }),
            None => Lookup::NoMatchingRule,
        }
    }
}

/// Connections of `max_connections` that fall to one of a number of members; those of all members add up to all.
pub fn member_max_connections(max_connections: u32, member: usize, members: usize) -> u32 {
    let total_of_first = |members_before: usize| {
        (u64::from(max_connections) * members_before as u64 / members.max(1) as u64) as u32
    };
    total_of_first(member + 1) - total_of_first(member)
}
