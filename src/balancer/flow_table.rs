//! The flow table: which server holds, or recently held, the connection of a client key.

use super::filter::{Filter, FilterStatus, Selection};
use crate::host::Host;
use crate::state::{Attempt, ProxyState, Server, Session};
use crate::time::Timestamp;
use crate::warm_restart::FlowEntry;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// How long an entry is kept after its connection has ended.
const FLOW_TIMEOUT: Duration = Duration::from_millis(30_000);
/// Limits the memory of the table to a few megabytes.
const MAX_FLOWS: usize = 100_000;

/// The server at which the connection of a client key is established, or was until recently.
pub(crate) struct TrackedFlow {
    server: Weak<Server>,
    /// The start time of the server as known when the connection was established.
    server_started: Option<Timestamp>,
    expires_at: Timestamp,
}

impl TrackedFlow {
    fn new(server: &Rc<Server>, expires_at: Timestamp) -> Self {
        TrackedFlow { server: Rc::downgrade(server), server_started: server.started.get(), expires_at }
    }

    fn is_on(&self, server: &Rc<Server>) -> bool {
        std::ptr::eq(self.server.as_ptr(), Rc::as_ptr(server))
    }

    /// Returns the server, unless it has restarted since: then it holds no earlier connection.
    fn server(&self) -> Option<Rc<Server>> {
        self.server.upgrade().filter(|server| server.started.get() == self.server_started)
    }
}

/// A bounded table, keyed by the hash of the client key, whose entries expire some time after their connections have
/// ended.
#[derive(Default)]
pub(crate) struct FlowTable {
    flows: RefCell<BTreeMap<u64, TrackedFlow>>,
    last_sweep: Cell<Timestamp>,
}

impl FlowTable {
    /// Returns the entries whose servers have not restarted, sorted by the hash of the key.
    pub(crate) fn entries(&self) -> Vec<FlowEntry> {
        let flows = self.flows.borrow();
        let entry = |(key, flow): (&u64, &TrackedFlow)| {
            let server = flow.server()?;
            Some(FlowEntry { key: *key, server: server.id.to_string(), started: server.started.get() })
        };
        flows.iter().filter_map(entry).collect()
    }

    /// Adds an entry for a key unless it already has one.
    pub(crate) fn restore(&self, key: u64, server: &Rc<Server>, expires_at: Timestamp) {
        self.flows.borrow_mut().entry(key).or_insert_with(|| TrackedFlow::new(server, expires_at));
    }

    fn find(&self, key: u64, now: Timestamp) -> Option<Rc<Server>> {
        self.flows.borrow().get(&key).filter(|flow| now < flow.expires_at).and_then(TrackedFlow::server)
    }

    fn sweep(&self, now: Timestamp) {
        if now.since(self.last_sweep.get()) > FLOW_TIMEOUT {
            self.last_sweep.set(now);
            self.flows.borrow_mut().retain(|_, flow| now < flow.expires_at);
        }
    }

    /// Records that the connection of a session is established or has ended.
    fn record(&self, session: &Session, attempt: &Attempt, now: Timestamp) {
        let expires_at = attempt.outcome.map_or(Timestamp::NEVER, |_| now + FLOW_TIMEOUT);
        let mut flows = self.flows.borrow_mut();
        let has_room = flows.len() < MAX_FLOWS;
        match flows.get_mut(&session.key) {
            // Keeps the recorded start time: the endpoint list may already have announced the restart that ended this
            // connection.
            Some(flow) if session.established.get() && flow.is_on(&attempt.server) => {
                flow.expires_at = expires_at
            }
            _ if (attempt.outcome.is_none() || session.established.get()) && has_room => {
                flows.insert(session.key, TrackedFlow::new(&attempt.server, expires_at));
            }
            _ => {}
        }
    }
}

/// First filter: selects the server that holds the connection of a mid-flow session.
pub(super) struct FlowLookup {
    pub(super) state: Rc<ProxyState>,
}

impl Filter for FlowLookup {
    fn on_request(
        &self,
        session: &Rc<Session>,
        selection: &mut Selection,
        now: Timestamp,
        _: &mut dyn Host,
    ) -> FilterStatus {
        if session.mid_flow && session.attempts.borrow().is_empty() {
            let server = self.state.flows.find(session.key, now);
            selection.server = server.filter(|server| server.is_active());
        }
        FilterStatus::Continue
    }

    fn on_outcome(&self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        self.state.flows.sweep(now);
        self.state.flows.record(session, attempt, now);
    }
}
