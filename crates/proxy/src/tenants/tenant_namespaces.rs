//! Customers' namespaces in one process: read from a folder, spread over the fleet, and looked up for each session.
//!
//! The folder is the fleet file's `namespaces_dir`: `grants.toml` and a file for each customer. Whoever has a newer
//! version of one spreads it; each is in force by itself, whole, or refused with its place.

use serde::{de::DeserializeOwned, Serialize};
use shelfgrade::host::{Endpoint, ServerId};
use shelfgrade_namespaces::rules::{Grants, Space};
use shelfgrade_namespaces::spread::{cut, join, key, Head};
use shelfgrade_namespaces::table::{part_of_room, Found, Table};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

/// The keys of what all share here.
const GRANTS: &str = "grants";
pub const SPACES: &str = "space/";

/// What all share, as far as namespaces need it.
pub trait ReplicatedStore {
    fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T>;
    /// Puts a value under a version; one that is not newer changes nothing.
    fn put<T: Serialize>(&self, key: &str, value: &T, version: u64) -> Result<(), String>;
}

/// What a session's rule says.
pub struct RuleDecision {
    pub customer: Rc<str>,
    pub servers: Rc<[ServerId]>,
    /// Held for as long as the session is: how many there are is how full the room is.
    pub reservation: Rc<()>,
    /// The room is full.
    pub is_over_quota: bool,
}

/// A customer whose namespace came or changed, what it is granted, and its part of the whole.
pub struct NamespaceUpdate {
    pub customer: Rc<str>,
    pub servers: Rc<[ServerId]>,
    pub quota_share: f64,
}

pub struct TenantNamespaces {
    table: Table,
    /// By customer and rule: what stands there holds one each.
    rooms: BTreeMap<(String, String), Rc<()>>,
    /// This process's place among so many.
    member: (usize, usize),
    versions: BTreeMap<String, u64>,
}

impl TenantNamespaces {
    pub fn new(member: (usize, usize)) -> Self {
        TenantNamespaces {
            table: Table::default(),
            rooms: BTreeMap::new(),
            member,
            versions: BTreeMap::new(),
        }
    }

    /// Reads the folder and spreads what is in it; each file by itself, so that a bad one holds up no other.
    pub fn load(&mut self, folder: &Path, shared: &impl ReplicatedStore) {
        let files = match std::fs::read_dir(folder) {
            Ok(files) => files,
            Err(error) => {
                return log::error!("{}: {error}: no namespaces are read from there", folder.display())
            }
        };
        let mut paths: Vec<_> = files.filter_map(|file| Some(file.ok()?.path())).collect();
        paths.retain(|path| path.extension().is_some_and(|end| end == "toml"));
        // What is granted comes first: the others are checked against it.
        paths.sort_by_key(|path| (path.file_stem().is_none_or(|name| name != GRANTS), path.clone()));
        for path in paths {
            if let Err(error) = self.read_file(&path, shared) {
                log::error!("{}: {error}; what was there before stays", path.display());
            }
        }
    }

    /// Guards against a bad file reaching the others, or those that start later and have nothing from before.
    fn read_file(&mut self, path: &Path, shared: &impl ReplicatedStore) -> Result<(), String> {
        let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
        if path.file_stem().is_some_and(|name| name == GRANTS) {
            let grants = Grants::parse(&text).map_err(|error| error.to_string())?;
            put(GRANTS, grants.version, &grants, shared)?;
            self.grant(grants);
            return Ok(());
        }
        let space = Space::parse(&text).map_err(|error| error.to_string())?;
        self.table.check(&space).map_err(|error| error.to_string())?;
        put(&format!("{SPACES}{}", space.customer), space.version, &space, shared)
    }

    /// Something under a key has changed in what all share: what is whole now comes into force. Gives whose namespaces
    /// are to be gone by.
    pub fn on_shared_entry_changed(
        &mut self,
        changed: &str,
        shared: &impl ReplicatedStore,
    ) -> Vec<NamespaceUpdate> {
        if changed.starts_with(GRANTS) {
            if let Some(grants) = whole::<Grants>(GRANTS, shared) {
                self.grant(grants);
                // Those that were refused for want of a grant may have one now.
                let all: Vec<_> = self.versions.keys().cloned().collect();
                all.iter().for_each(|customer| self.space(customer, shared));
                return all.iter().filter_map(|customer| self.update_for(customer)).collect();
            }
        } else if let Some(customer) = changed.strip_prefix(SPACES).and_then(|rest| rest.split('/').next()) {
            self.versions.entry(customer.to_owned()).or_default();
            self.space(customer, shared);
            return self.update_for(customer).into_iter().collect();
        }
        Vec::new()
    }

    fn grant(&mut self, grants: Grants) {
        let version = grants.version;
        match self.table.grant(grants) {
            Ok(out) => {
                log::info!("grants: version {version} is in force");
                for (customer, error) in out {
                    log::error!("namespace of {customer}: out of force: {error}");
                }
            }
            Err(error) => log::error!("grants: {error}; what was there before stays"),
        }
    }

    fn space(&mut self, customer: &str, shared: &impl ReplicatedStore) {
        let Some(space) = whole::<Space>(&format!("{SPACES}{customer}"), shared) else { return };
        // Guards against one customer's rules under another's name.
        if space.customer != customer || self.table.get(customer).is_some_and(|held| held.space == space) {
            return;
        }
        match self.table.put(space) {
            Ok(held) => {
                log::info!("namespace of {customer}: version {} is in force", held.version());
                self.versions.insert(customer.to_owned(), held.version());
                for (rule, earlier) in held.space.shadowed() {
                    log::warn!("namespace of {customer}: rule {rule} can never act, as {earlier} covers it");
                }
            }
            Err(error) => log::error!("namespace of {customer}: {error}; what was there before stays"),
        }
    }

    /// What a customer is granted now, where its namespace is in force.
    pub fn update_for(&mut self, customer: &str) -> Option<NamespaceUpdate> {
        let share = self.table.share(customer);
        let held = self.table.get(customer)?;
        Some(NamespaceUpdate {
            customer: customer.into(),
            servers: held.granted().clone(),
            quota_share: share,
        })
    }

    /// The list of servers has changed.
    pub fn set_endpoints(&mut self, list: Vec<Endpoint>) {
        self.table.follow(list);
    }

    /// The part of the whole for those without a namespace.
    pub fn default_quota_share(&self) -> f64 {
        self.table.common_share()
    }

    /// What decides a session; none where its customer has no namespace.
    pub fn decide(
        &mut self,
        customer: Option<&str>,
        class: &str,
        group: Option<&str>,
    ) -> Option<RuleDecision> {
        let customer = customer?;
        let (member, members) = self.member;
        match self.table.look_up(Some(customer), class, group) {
            Found::NoSpace => None,
            // Nothing of the fleet is left for it.
            Found::NoRule => {
                let among: Rc<[ServerId]> = Rc::from([]);
                Some(RuleDecision {
                    customer: customer.into(),
                    servers: among,
                    reservation: Rc::new(()),
                    is_over_quota: true,
                })
            }
            Found::Rule(ruled) => {
                let room = part_of_room(ruled.room(), member, members) as usize;
                let place = self.rooms.entry((customer.to_owned(), ruled.rule().name.clone())).or_default();
                let full = Rc::strong_count(place) > room;
                Some(RuleDecision {
                    customer: customer.into(),
                    servers: ruled.among(),
                    reservation: place.clone(),
                    is_over_quota: full,
                })
            }
        }
    }
}

/// Puts something into what all share, in pieces.
pub fn put<T: Serialize>(
    whole: &str,
    version: u64,
    value: &T,
    shared: &impl ReplicatedStore,
) -> Result<(), String> {
    let (head, pieces) = cut(version, value).map_err(|error| error.to_string())?;
    for (index, piece) in pieces.iter().enumerate() {
        shared.put(&key(whole, index), piece, version)?;
    }
    shared.put(whole, &head, version)
}

/// What was put so, once all of it is there.
pub fn whole<T: DeserializeOwned>(whole: &str, shared: &impl ReplicatedStore) -> Option<T> {
    let head: Head = shared.get(whole)?;
    join(&head, |piece| shared.get(&key(whole, piece)))
}
