//! The addresses at which this process reaches the servers.
//!
//! Discovery may give each process another address for the same server, so an address holds only for the process that
//! received it. The records that the members share contain an address too, the one that their writer received. No other
//! member connects to it: it only shows that the address of a server may have changed, when it differs from the one that
//! a member knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The address of each server that this process has received from discovery, or has known since it started.
#[derive(Default)]
pub(crate) struct LocalAddresses(BTreeMap<String, SocketAddr>);

impl LocalAddresses {
    /// Adds an address that was known before the start, unless the server has one already.
    pub(crate) fn add_known(&mut self, server: &str, address: SocketAddr) {
        self.0.entry(server.to_owned()).or_insert(address);
    }

    /// Records an address received from discovery. Returns whether it has changed.
    pub(crate) fn update(&mut self, server: &str, address: SocketAddr) -> bool {
        self.0.insert(server.to_owned(), address) != Some(address)
    }

    /// The address at which this process reaches a server.
    pub(crate) fn get(&self, server: &str) -> Option<SocketAddr> {
        self.0.get(server).copied()
    }

    /// The address to share for a server that discovery has listed at `received`, where the members share `shared`.
    ///
    /// The shared address stays as it is while this process's own does. Otherwise members with different addresses would
    /// replace each other's with every list, and take each other's lists for different ones.
    pub(crate) fn address_to_share(
        &self,
        server: &str,
        received: Option<SocketAddr>,
        shared: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let is_unchanged = received.is_some() && received == self.get(server);
        shared.filter(|_| is_unchanged).or(received)
    }
}

#[cfg(test)]
#[path = "../tests/unit/local_addresses.rs"]
mod tests;
