//! The namespaces in force, and the look-up of the rule for a session, which only searches the namespace of the
//! session's customer.

use crate::error::NamespaceError;
use crate::grants::{Grant, Grants};
use crate::rules::{Namespace, Rule};
use shelfgrade::host::{Endpoint, ServerId};
use std::collections::HashMap;
use std::rc::Rc;

/// The endpoint list, with a generation number that is incremented with each change.
#[derive(Default)]
struct Endpoints {
    list: Vec<Endpoint>,
    generation: u64,
}

impl Endpoints {
    /// The ids of the matching servers, sorted.
    fn select(&self, matches: impl Fn(&Endpoint) -> bool) -> Rc<[ServerId]> {
        let matching = self.list.iter().filter(|endpoint| matches(endpoint));
        let mut servers: Vec<_> = matching.map(|endpoint| endpoint.server.clone()).collect();
        servers.sort();
        Rc::from(servers)
    }
}

/// A namespace in force, with the servers that its rules select from the endpoint list.
pub struct ActiveNamespace {
    /// The namespace itself.
    pub namespace: Namespace,
    /// The customer's grant.
    pub grant: Grant,
    /// The selected servers of each rule, in the order of the rules.
    selected_servers: Vec<Rc<[ServerId]>>,
    granted_servers: Rc<[ServerId]>,
    /// Generation of the endpoint list that the servers were selected from.
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

    /// The servers granted to the customer, sorted by id.
    pub fn granted_servers(&self) -> &Rc<[ServerId]> {
        &self.granted_servers
    }
}

/// The rule that applies to a session, together with its version of the namespace. Later versions do not change the
/// result of a look-up.
#[derive(Clone)]
pub struct MatchedRule {
    /// The namespace at the time of the look-up.
    pub active: Rc<ActiveNamespace>,
    index: usize,
}

impl MatchedRule {
    /// The rule itself.
    pub fn rule(&self) -> &Rule {
        &self.active.namespace.rules[self.index]
    }

    /// The servers that the rule selects, sorted by id. May be empty.
    pub fn servers(&self) -> Rc<[ServerId]> {
        self.active.selected_servers[self.index].clone()
    }

    /// Maximum number of connections by this rule over all processes of the fleet.
    pub fn max_connections(&self) -> u32 {
        self.rule().max_connections.unwrap_or(self.active.grant.max_connections)
    }
}

/// The result of looking up the rule for a session.
pub enum Lookup {
    /// The session has no customer, or its customer has no namespace: no rules apply to it.
    NoNamespace,
    /// No rule in the namespace of its customer matches: the session is rejected.
    NoMatchingRule,
    /// The first matching rule.
    Matched(MatchedRule),
}

/// A namespace that was deactivated because it is no longer covered by the customer's grant.
#[derive(Debug)]
pub struct DeactivatedNamespace {
    /// Name of the customer.
    pub customer: String,
    /// Why it is not covered.
    pub error: NamespaceError,
}

/// The grants and the namespaces in force.
#[derive(Default)]
pub struct NamespaceTable {
    /// The map's iteration order must not affect results.
    namespaces: HashMap<String, Rc<ActiveNamespace>>,
    grants: HashMap<String, Grant>,
    grants_version: u64,
    default_max_connections: u32,
    endpoints: Endpoints,
}

impl NamespaceTable {
    /// Replaces all grants. Returns the namespaces that were deactivated, sorted by customer.
    ///
    /// # Errors
    ///
    /// Those of [`Grants::check`], and [`NamespaceError::Stale`]; the previous grants then stay in force.
    pub fn apply_grants(&mut self, grants: Grants) -> Result<Vec<DeactivatedNamespace>, NamespaceError> {
        grants.check()?;
        if grants.version < self.grants_version {
            return Err(NamespaceError::Stale { offered: grants.version, current: self.grants_version });
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

    /// Activates a namespace, replacing the customer's previous one.
    ///
    /// # Errors
    ///
    /// Those of [`Namespace::check`], and [`NamespaceError::Stale`]; the previous namespace then stays in force.
    pub fn insert(&mut self, namespace: Namespace) -> Result<Rc<ActiveNamespace>, NamespaceError> {
        self.check(&namespace)?;
        let current = self.namespaces.get(&namespace.customer).map(|active| active.version());
        if let Some(current) = current.filter(|current| *current > namespace.version) {
            return Err(NamespaceError::Stale { offered: namespace.version, current });
        }
        let customer = namespace.customer.clone();
        let grant = self.grants.get(&customer).cloned();
        let grant = grant.ok_or_else(|| NamespaceError::NotGranted(customer.clone()))?;
        let active = Rc::new(ActiveNamespace::new(namespace, grant, &self.endpoints));
        self.namespaces.insert(customer, active.clone());
        Ok(active)
    }

    /// Removes a customer's namespace. Its sessions are then treated like those of customers without a namespace.
    pub fn remove(&mut self, customer: &str) {
        self.namespaces.remove(customer);
    }

    /// Replaces the endpoint list. The servers of each namespace are selected again at its next look-up, so that the
    /// time of this call does not depend on the number of namespaces.
    pub fn set_endpoints(&mut self, list: Vec<Endpoint>) {
        self.endpoints.list = list;
        self.endpoints.generation += 1;
    }

    /// Returns a customer's namespace, with servers selected from the current endpoint list.
    pub fn get(&mut self, customer: &str) -> Option<&Rc<ActiveNamespace>> {
        let active = self.namespaces.get_mut(customer)?;
        if active.generation != self.endpoints.generation {
            let (namespace, grant) = (active.namespace.clone(), active.grant.clone());
            *active = Rc::new(ActiveNamespace::new(namespace, grant, &self.endpoints));
        }
        Some(active)
    }

    /// The customer's fraction of what this process may send to servers that are warming up: its granted connections
    /// relative to all granted connections. All customers that share a server thus stay within the limit of one process
    /// together.
    pub fn quota_share(&self, customer: &str) -> f64 {
        self.grants
            .get(customer)
            .map_or(0.0, |grant| f64::from(grant.max_connections) / self.total_max_connections())
    }

    /// The same fraction for sessions whose customer has no namespace; 1 if there are no grants.
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

    /// Looks up the rule for a session of this customer, request class and client group.
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

/// One member's part of `max_connections`. The parts of all `members` add up to `max_connections`.
pub fn member_max_connections(max_connections: u32, member: usize, members: usize) -> u32 {
    let total_of_first = |members_before: usize| {
        (u64::from(max_connections) * members_before as u64 / members.max(1) as u64) as u32
    };
    total_of_first(member + 1) - total_of_first(member)
}
