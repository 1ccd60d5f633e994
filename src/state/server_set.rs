//! The servers of the endpoint list.

use super::{OutlierScore, Server};
use crate::host::{Endpoint, EndpointState};
use crate::time::Timestamp;
use std::cell::{Ref, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The listed servers, sorted by id.
#[derive(Default)]
pub(crate) struct ServerSet(RefCell<Vec<Rc<Server>>>);

impl ServerSet {
    /// Returns all servers, sorted by id.
    pub(crate) fn all(&self) -> Ref<'_, Vec<Rc<Server>>> {
        self.0.borrow()
    }

    /// Returns the server with this id.
    pub(crate) fn find(&self, id: &str) -> Option<Rc<Server>> {
        let servers = self.0.borrow();
        servers.binary_search_by(|server| server.id.as_ref().cmp(id)).ok().map(|i| servers[i].clone())
    }

    /// Returns the number of attempts pending at all servers together.
    pub(crate) fn pending_attempts(&self) -> u32 {
        self.0.borrow().iter().map(|server| server.pending_attempts.get()).sum()
    }

    /// Applies a complete endpoint list, or changes to it. Servers that a complete list lacks count as removed, and
    /// removed servers are forgotten.
    pub(crate) fn update(&self, endpoints: &[Endpoint], is_complete: bool, now: Timestamp) {
        for endpoint in endpoints {
            let server = self.find(&endpoint.server).unwrap_or_else(|| self.insert(endpoint));
            if endpoint.started > server.started.get() {
                server.started.set(endpoint.started);
                server.outlier_score.set(OutlierScore { value: 0.0, updated_at: now });
            }
            server.state.set(endpoint.state);
        }
        if is_complete {
            self.mark_absent_as_removed(endpoints);
        }
        self.0.borrow_mut().retain(|server| server.state.get() != EndpointState::Removed);
    }

    fn insert(&self, endpoint: &Endpoint) -> Rc<Server> {
        let server = Rc::new(Server::new(endpoint));
        let mut servers = self.0.borrow_mut();
        let index = servers.partition_point(|other| other.id < server.id);
        servers.insert(index, server.clone());
        server
    }

    fn mark_absent_as_removed(&self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<_> = endpoints.iter().map(|endpoint| &endpoint.server).collect();
        for server in self.0.borrow().iter().filter(|server| !listed.contains(&server.id)) {
            server.state.set(EndpointState::Removed);
        }
    }
}
