//! Implements the owner traits of this module for [`Proxy`].

use crate::downstream::lingering::{LingeringCloses, LingeringOwner};
use crate::downstream::listener::{Listener, ListenerOwner};
use crate::downstream::pending_connection::{AdmissionError, PendingConnectionOwner};
use crate::downstream::pending_connection_table::PendingConnectionTable;
use crate::metrics::Metrics;
use crate::net::open_request::OpenRequest;
use crate::net::socket::Socket;
use crate::proxy::Proxy;
use std::rc::Rc;

impl LingeringOwner for Proxy {
    fn lingering(&mut self) -> &mut LingeringCloses<Self> {
        &mut self.executor.lingering
    }
}

impl PendingConnectionOwner for Proxy {
    fn pending_connections(&mut self) -> &mut PendingConnectionTable<Self> {
        &mut self.listener.pending
    }

    fn metrics(&self) -> &Metrics {
        &self.executor.metrics
    }

    fn request_classes(&self) -> &[String] {
        &self.class_names
    }

    fn readiness(&self) -> Option<bool> {
        (!self.startup_gate.is_closed()).then(|| self.is_ready())
    }

    fn admit(&mut self, request_id: u64) -> Result<(), AdmissionError> {
        if self.executor.is_out_of_descriptors() {
            return Err(AdmissionError::OutOfDescriptors);
        }
        if self.rejects_new_sessions() {
            return Err(AdmissionError::ShuttingDown);
        }
        // A server responds to a second request with the same id with an error, which would count against its health.
        let is_duplicate = self.executor.sessions.has_request_id(request_id)
            || self.executor.recent_request_ids.contains(request_id);
        if is_duplicate {
            return Err(AdmissionError::DuplicateRequestId);
        }
        Ok(())
    }

    fn start_session(&mut self, request: OpenRequest, socket: Rc<Socket<Self>>) {
        Proxy::open_session(self, request, socket);
    }
}

impl ListenerOwner for Proxy {
    fn listener(&mut self) -> &mut Listener<Self> {
        &mut self.listener
    }

    fn max_pending_connections(&self) -> usize {
        self.executor.max_pending_connections()
    }
}

impl Proxy {
    /// Accepts the connections in the system's accept queue.
    pub fn accept(&mut self) {
        Listener::accept(self);
    }

    /// Closes connections without a session until the rest fit into the descriptor budget.
    pub fn evict_pending_connections(&mut self) {
        Listener::evict_pending_connections(self);
    }

    /// Closes connections that have not sent their first line in time.
    pub fn expire_pending_connections(&mut self) {
        Listener::expire_pending_connections(self);
    }
}
