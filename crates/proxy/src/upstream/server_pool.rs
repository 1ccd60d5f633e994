//! The servers in the endpoint list, and their health check connections.

use crate::upstream::health_check::HealthCheckOwner;
use crate::upstream::server::Server;
use shelfgrade::host::{Endpoint, EndpointState, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// The active and draining servers, by id.
pub struct ServerPool<T: HealthCheckOwner>(BTreeMap<ServerId, Rc<Server<T>>>);

impl<T: HealthCheckOwner> Default for ServerPool<T> {
    fn default() -> Self {
        ServerPool(BTreeMap::new())
    }
}

impl<T: HealthCheckOwner> ServerPool<T> {
    pub fn get(&self, id: &str) -> Option<&Rc<Server<T>>> {
        self.0.get(id)
    }

    /// All servers in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Rc<Server<T>>> {
        self.0.values()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Applies endpoints, each with its address if it has one. If the list is complete, servers that it does not
    /// contain are removed.
    pub fn apply_endpoints<'a>(
        &mut self,
        endpoints: impl Iterator<Item = (&'a Endpoint, Option<SocketAddr>)> + Clone,
        is_complete: bool,
    ) {
        if is_complete {
            let listed: BTreeSet<_> = endpoints.clone().map(|(endpoint, _)| &endpoint.server).collect();
            let unlisted = self.0.iter().filter(|(id, _)| !listed.contains(id));
            unlisted.for_each(|(_, server)| server.state.set(EndpointState::Removed));
        }
        endpoints.for_each(|(endpoint, address)| self.apply_endpoint(endpoint, address));
        self.0.retain(|_, server| server.state.get() != EndpointState::Removed);
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint, address: Option<SocketAddr>) {
        let existing = self.0.get(&endpoint.server).cloned();
        let create = || Some(Rc::new(Server::new(endpoint, address?)));
        let Some(server) = existing.or_else(create) else { return };
        server.state.set(endpoint.state);
        server.address.set(address.unwrap_or(server.address.get()));
        self.0.insert(endpoint.server.clone(), server);
    }

    /// The number of open health check connections.
    pub fn health_check_count(&self) -> usize {
        self.0.values().filter(|server| server.health_check.borrow().is_some()).count()
    }

    /// Closes health check connections until at most `max` are left, the least recently used first.
    pub fn close_excess_health_checks(&self, max: usize) {
        let last_used = |server: &Rc<Server<T>>| {
            Some((server.health_check.borrow().as_ref()?.last_used.get(), server.clone()))
        };
        let mut open: Vec<_> = self.0.values().filter_map(last_used).collect();
        let excess = open.len().saturating_sub(max);
        open.sort_by_key(|(last_used, _)| *last_used);
        open.iter().take(excess).for_each(|(_, server)| drop(server.health_check.take()));
    }
}
