//! Access to the replicated map that is shared by all processes of the fleet.

use super::environment::NodeEnvironment;
use super::Peers;
use crate::tenants::replicated_store::ReplicatedStore;
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade_fleet::Version;

impl Peers {
    /// All keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let node = self.node.borrow();
        let keys = node.fleet().entries().into_iter().map(|entry| entry.key);
        keys.filter(|key| key.starts_with(prefix)).collect()
    }
}

impl ReplicatedStore for Peers {
    fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.node.borrow().fleet().get(key)
    }

    fn put<T: Serialize>(&self, key: &str, value: &T, version: u64) -> Result<(), String> {
        let version = Version { count: version, writer_incarnation: 0 };
        let mut node = self.node.borrow_mut();
        let put = node.fleet_mut().put_version(key, value, version, &mut NodeEnvironment { peers: self });
        put.map(|_| ()).map_err(|error| error.to_string())
    }
}
