//! The customers' namespaces in one process: loads them from a directory, replicates them in the fleet, and looks up
//! the rule of each session.
//!
//! The fleet file's key `namespaces_dir` names the directory. It contains `grants.toml` and one file for each customer.
//! A process that loads a newer version of a file replicates it. Namespaces become active independently of each other,
//! each as a whole.

use crate::tenants::replicated_store::{get_chunked, put_chunked, LoadError, ReplicatedStore};
use shelfgrade::host::{Endpoint, ServerId};
use shelfgrade_namespaces::grants::Grants;
use shelfgrade_namespaces::rules::Namespace;
use shelfgrade_namespaces::table::{member_max_connections, Lookup, MatchedRule, NamespaceTable};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Key of the grants in the replicated map, and the name of the grants file without `.toml`.
const GRANTS: &str = "grants";
/// Prefix of the key of a namespace in the replicated map; the customer's name follows.
const NAMESPACE_KEY_PREFIX: &str = "space/";

/// The decision of a customer's namespace about one session.
pub struct RuleDecision {
    /// Name of the customer.
    pub customer: Rc<str>,
    /// Servers that the session may be placed on, in the order of their ids; may be empty.
    pub servers: Rc<[ServerId]>,
    /// Counts the session towards the connections of its rule until it is dropped.
    pub reservation: Rc<()>,
    /// Whether the session must be rejected, because its rule has no connection left or no rule matches.
    pub is_over_quota: bool,
}

/// The servers and the quota share of a customer with an active namespace.
pub struct NamespaceUpdate {
    /// Name of the customer.
    pub customer: Rc<str>,
    /// Servers granted to the customer, in the order of their ids.
    pub servers: Rc<[ServerId]>,
    /// The customer's fraction of this process's quota of load for servers in slow start.
    pub quota_share: f64,
}

/// Identifies a rule: the names of the customer and of the rule.
type RuleKey = (String, String);

/// The namespaces of all customers in one process.
pub struct TenantNamespaces {
    table: NamespaceTable,
    /// One reference-counted token for each rule. Each session of the rule holds a clone, so the reference count is the
    /// number of sessions plus one.
    reservations: BTreeMap<RuleKey, Rc<()>>,
    /// Index of this process in the fleet.
    member: usize,
    /// Number of processes in the fleet.
    member_count: usize,
    /// Customers with a namespace in the replicated map, whether it is active or not.
    customers: BTreeSet<String>,
}

impl TenantNamespaces {
    /// Starts without namespaces, for the process with the index `member` in a fleet of `member_count` processes.
    pub fn new((member, member_count): (usize, usize)) -> Self {
        TenantNamespaces {
            table: NamespaceTable::default(),
            reservations: BTreeMap::new(),
            member,
            member_count,
            customers: BTreeSet::new(),
        }
    }

    /// Loads the files of the directory and replicates them. An invalid file is logged and does not affect the others.
    pub fn load(&mut self, directory: &Path, store: &impl ReplicatedStore) {
        let files = match toml_files(directory) {
            Ok(files) => files,
            Err(error) => return log::error!("{}: {error}: no namespaces loaded", directory.display()),
        };
        for path in files {
            if let Err(error) = self.load_file(&path, store) {
                log::error!("{}: {error}; the previous version stays in force", path.display());
            }
        }
    }

    /// Loads one file. It is validated before it is replicated, because processes that start later have no previous
    /// version to fall back to.
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

    /// Called when an entry of the replicated map has changed. Activates the grants or the namespace that it belongs
    /// to, if all chunks are present, and returns the namespaces that may have changed.
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
        // Namespaces that were rejected because of a missing grant may be valid now.
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
                    log::error!("namespace of {}: deactivated: {}", namespace.customer, namespace.error);
                }
            }
            Err(error) => log::error!("grants: {error}; the previous version stays in force"),
        }
    }

    fn refresh_namespace(&mut self, customer: &str, store: &impl ReplicatedStore) {
        let Some(namespace) = get_chunked::<Namespace>(&namespace_key(customer), store) else { return };
        let is_active = self.table.get(customer).is_some_and(|active| active.namespace == namespace);
        // A namespace stored under the key of another customer must not be applied to that customer's sessions.
        if namespace.customer != customer || is_active {
            return;
        }
        match self.table.insert(namespace) {
            Ok(active) => {
                log::info!("namespace of {customer}: version {} is in force", active.version());
                for shadowed in active.namespace.shadowed_rules() {
                    let (rule, covered_by) = (shadowed.rule, shadowed.covered_by);
                    log::warn!(
                        "namespace of {customer}: rule {rule} never matches because rule {covered_by} covers it"
                    );
                }
            }
            Err(error) => {
                log::error!("namespace of {customer}: {error}; the previous version stays in force")
            }
        }
    }

    /// The servers and the quota share currently granted to a customer; none if it has no active namespace.
    pub fn update_for(&mut self, customer: &str) -> Option<NamespaceUpdate> {
        let quota_share = self.table.quota_share(customer);
        let active = self.table.get(customer)?;
        Some(NamespaceUpdate {
            customer: customer.into(),
            servers: active.granted_servers().clone(),
            quota_share,
        })
    }

    /// Replaces the endpoint list from which rules select servers.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.table.set_endpoints(endpoints);
    }

    /// Fraction of this process's quota of load for servers in slow start that is used for customers without a
    /// namespace.
    pub fn default_quota_share(&self) -> f64 {
        self.table.default_quota_share()
    }

    /// Looks up the rule of a session in the namespace of its customer; none if the customer has no namespace.
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
        let max_connections =
            member_max_connections(matched.max_connections(), self.member, self.member_count);
        let rule_key = (customer.to_owned(), matched.rule().name.clone());
        let reservation = self.reservations.entry(rule_key).or_default();
        // The map itself holds one of the references.
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

/// The TOML files of a directory. The grants come first, because the namespaces are validated against them.
fn toml_files(directory: &Path) -> std::io::Result<Vec<PathBuf>> {
    let files = std::fs::read_dir(directory)?;
    let mut paths: Vec<_> = files.filter_map(|file| Some(file.ok()?.path())).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    paths.sort_by_key(|path| (!is_grants_file(path), path.clone()));
    Ok(paths)
}
