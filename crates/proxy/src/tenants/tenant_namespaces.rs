//! Customers' namespaces in one process: loaded from a directory, replicated over the fleet, and looked up for each
//! session.
//!
//! The directory is the fleet file's `namespaces_dir`. It holds `grants.toml` and a file for each customer. A process
//! that loads a newer version replicates it; each namespace comes into force by itself, in one version.

use crate::tenants::replicated_store::{get_chunked, put_chunked, LoadError, ReplicatedStore};
use shelfgrade::host::{Endpoint, ServerId};
use shelfgrade_namespaces::grants::Grants;
use shelfgrade_namespaces::rules::Namespace;
use shelfgrade_namespaces::table::{member_max_connections, Lookup, MatchedRule, NamespaceTable};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Key of the grants in the replicated map, and their file's name without `.toml`.
const GRANTS: &str = "grants";
/// Before the customer's name, in the key of its namespace in the replicated map.
const NAMESPACE_KEY_PREFIX: &str = "space/";

/// What a customer's namespace decides for one session.
pub struct RuleDecision {
    /// Name of the customer.
    pub customer: Rc<str>,
    /// Servers that the session may go to, in the order of their ids; may be empty.
    pub servers: Rc<[ServerId]>,
    /// Counts the session among those of its rule for as long as it is kept.
    pub reservation: Rc<()>,
    /// The rule has no connection left, or no rule matches: the session is to be rejected.
    pub is_over_quota: bool,
}

/// A customer's namespace has come into force or has changed.
pub struct NamespaceUpdate {
    /// Name of the customer.
    pub customer: Rc<str>,
    /// Servers that the customer is granted, in the order of their ids.
    pub servers: Rc<[ServerId]>,
    /// The customer's fraction of what this process may send to warming servers.
    pub quota_share: f64,
}

/// A rule of a customer, by the names of both.
type RuleKey = (String, String);

/// The namespaces of all customers in one process.
pub struct TenantNamespaces {
    table: NamespaceTable,
    /// Each session of a rule holds a clone.
    reservations: BTreeMap<RuleKey, Rc<()>>,
    /// Index of this process in the fleet.
    member: usize,
    /// Processes in the fleet.
    members: usize,
    /// Customers with an entry in the replicated map, in force or not.
    customers: BTreeSet<String>,
}

impl TenantNamespaces {
    /// No namespaces, for a process with this index in a fleet of this size.
    pub fn new((member, members): (usize, usize)) -> Self {
        TenantNamespaces {
            table: NamespaceTable::default(),
            reservations: BTreeMap::new(),
            member,
            members,
            customers: BTreeSet::new(),
        }
    }

    /// Loads the directory and replicates what it holds. A file that cannot be used is logged and delays no other.
    pub fn load(&mut self, directory: &Path, store: &impl ReplicatedStore) {
        let files = match toml_files(directory) {
            Ok(files) => files,
            Err(error) => {
                return log::error!("{}: {error}: no namespaces are read from there", directory.display())
            }
        };
        for path in files {
            if let Err(error) = self.load_file(&path, store) {
                log::error!("{}: {error}; the version before stays in force", path.display());
            }
        }
    }

    /// Validates a file before it is replicated, as processes that start later have no version to fall back to.
    fn load_file(&mut self, path: &Path, store: &impl ReplicatedStore) -> Result<(), LoadError> {
        let text = std::fs::read_to_string(path)?;
        if is_grants_file(path) {
            let grants = Grants::parse(&text)?;
            put_chunked(GRANTS, grants.version, &grants, store)?;
            self.apply_grants(grants);
            return Ok(());
        }
        let namespace = Namespace::parse(&text)?;
        self.table.check(&namespace)?;
        put_chunked(&namespace_key(&namespace.customer), namespace.version, &namespace, store)
    }

    /// An entry of the replicated map has changed: what is complete there comes into force. Returns the namespaces that
    /// may have changed.
    pub fn on_shared_entry_changed(
        &mut self,
        key: &str,
        store: &impl ReplicatedStore,
    ) -> Vec<NamespaceUpdate> {
        if key.starts_with(GRANTS) {
            return self.on_grants_changed(store);
        }
        let customer = key.strip_prefix(NAMESPACE_KEY_PREFIX).and_then(|rest| rest.split('/').next());
        let Some(customer) = customer else { return Vec::new() };
        self.customers.insert(customer.to_owned());
        self.refresh_namespace(customer, store);
        self.update_for(customer).into_iter().collect()
    }

    fn on_grants_changed(&mut self, store: &impl ReplicatedStore) -> Vec<NamespaceUpdate> {
        let Some(grants) = get_chunked::<Grants>(GRANTS, store) else { return Vec::new() };
        self.apply_grants(grants);
        // Namespaces that were refused for want of a grant may have one now.
        let customers: Vec<_> = self.customers.iter().cloned().collect();
        customers.iter().for_each(|customer| self.refresh_namespace(customer, store));
        customers.iter().filter_map(|customer| self.update_for(customer)).collect()
    }

    fn apply_grants(&mut self, grants: Grants) {
        let version = grants.version;
        match self.table.apply_grants(grants) {
            Ok(deactivated) => {
                log::info!("grants: version {version} is in force");
                for namespace in deactivated {
                    log::error!("namespace of {}: out of force: {}", namespace.customer, namespace.error);
                }
            }
            Err(error) => log::error!("grants: {error}; the version before stays in force"),
        }
    }

    fn refresh_namespace(&mut self, customer: &str, store: &impl ReplicatedStore) {
        let Some(namespace) = get_chunked::<Namespace>(&namespace_key(customer), store) else { return };
        let is_active = self.table.get(customer).is_some_and(|active| active.namespace == namespace);
        // An entry under another customer's key must not decide that customer's sessions.
        if namespace.customer != customer || is_active {
            return;
        }
        match self.table.insert(namespace) {
            Ok(active) => {
                log::info!("namespace of {customer}: version {} is in force", active.version());
                for shadowed in active.namespace.shadowed_rules() {
                    let (rule, covered_by) = (shadowed.rule, shadowed.covered_by);
                    log::warn!(
                        "namespace of {customer}: rule {rule} never matches, as {covered_by} covers it"
                    );
                }
            }
            Err(error) => log::error!("namespace of {customer}: {error}; the version before stays in force"),
        }
    }

    /// What a customer is granted now; none where it has no namespace in force.
    pub fn update_for(&mut self, customer: &str) -> Option<NamespaceUpdate> {
        let quota_share = self.table.quota_share(customer);
        let active = self.table.get(customer)?;
        Some(NamespaceUpdate {
            customer: customer.into(),
            servers: active.granted_servers().clone(),
            quota_share,
        })
    }

    /// Replaces the endpoint list.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.table.set_endpoints(endpoints);
    }

    /// Fraction of what this process may send to warming servers, for sessions whose customer has no namespace.
    pub fn default_quota_share(&self) -> f64 {
        self.table.default_quota_share()
    }

    /// Decides a session by the namespace of its customer; none where the customer has no namespace.
    pub fn decide(
        &mut self,
        customer: Option<&str>,
        class: &str,
        group: Option<&str>,
    ) -> Option<RuleDecision> {
        let customer = customer?;
        match self.table.look_up(Some(customer), class, group) {
            Lookup::NoNamespace => None,
            Lookup::NoMatchingRule => Some(RuleDecision {
                customer: customer.into(),
                servers: Rc::from([]),
                reservation: Rc::new(()),
                is_over_quota: true,
            }),
            Lookup::Matched(matched) => Some(self.reserve(customer, &matched)),
        }
    }

    fn reserve(&mut self, customer: &str, matched: &MatchedRule) -> RuleDecision {
        let max_connections = member_max_connections(matched.max_connections(), self.member, self.members);
        let rule_key = (customer.to_owned(), matched.rule().name.clone());
        let reservation = self.reservations.entry(rule_key).or_default();
        // The map itself holds one reference.
        let is_over_quota = Rc::strong_count(reservation) > max_connections as usize;
        RuleDecision {
            customer: customer.into(),
            servers: matched.servers(),
            reservation: reservation.clone(),
            is_over_quota,
        }
    }
}

fn namespace_key(customer: &str) -> String {
    format!("{NAMESPACE_KEY_PREFIX}{customer}")
}

fn is_grants_file(path: &Path) -> bool {
    path.file_stem().is_some_and(|name| name == GRANTS)
}

/// The TOML files of a directory: the grants first, as the namespaces are validated against them.
fn toml_files(directory: &Path) -> std::io::Result<Vec<PathBuf>> {
    let files = std::fs::read_dir(directory)?;
    let mut paths: Vec<_> = files.filter_map(|file| Some(file.ok()?.path())).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    paths.sort_by_key(|path| (!is_grants_file(path), path.clone()));
    Ok(paths)
}
