//! The environment of the recovery state machine: sends its datagrams, and queues its events for the owner.

use super::notification::Notification;
use super::Peers;
use shelfgrade::time::Timestamp;
use shelfgrade::warm_restart::FlowEntry;
use shelfgrade_fleet::{Entry, Environment, MemberId};
use shelfgrade_recovery::{
    DiscoveryUse, EndpointAddress, RecoveryEnvironment, RecoveryState, HEARTBEAT_PREFIX, LIST_KEY,
    SERVER_PREFIX,
};

/// Key prefixes of entries in the shared map that the recovery state machine handles itself; changes are not reported.
const INTERNAL_KEY_PREFIXES: [&str; 3] = [SERVER_PREFIX, HEARTBEAT_PREFIX, LIST_KEY];

/// Passed to every call of the node that needs an environment.
pub(super) struct NodeEnvironment<'a> {
    pub(super) peers: &'a Peers,
}

impl NodeEnvironment<'_> {
    fn notify(&self, notification: Notification) {
        self.peers.notifications.borrow_mut().push(notification);
    }

    fn member_name(&self, member: MemberId) -> String {
        self.peers.file.borrow().roster.name(member).unwrap_or("?").to_owned()
    }
}

impl Environment for NodeEnvironment<'_> {
    fn send(&mut self, to: MemberId, datagram: Vec<u8>) {
        let address = self.peers.file.borrow().addresses.get(usize::from(to.0)).copied();
        // Errors are ignored: the protocol repeats the contents of lost datagrams.
        let _ = address.map(|address| self.peers.socket.send_to(&datagram, address));
    }

    fn entry_changed(&mut self, entry: &Entry) {
        log::trace!("entry {} has version {:?}", entry.key, entry.version);
        if !INTERNAL_KEY_PREFIXES.iter().any(|prefix| entry.key.starts_with(prefix)) {
            self.notify(Notification::SharedEntryChanged(entry.key.clone()));
        }
    }

    fn member_joined(&mut self, member: MemberId) {
        log::info!("peer {} joined", self.member_name(member));
    }

    fn member_left(&mut self, member: MemberId) {
        log::info!("peer {} left", self.member_name(member));
    }

    fn datagram_rejected(&mut self, counter: &'static str) {
        self.notify(Notification::Warning(counter));
    }
}

impl RecoveryEnvironment for NodeEnvironment<'_> {
    fn apply_endpoints(&mut self, endpoints: Vec<EndpointAddress>, is_complete: bool) {
        self.notify(Notification::Endpoints { endpoints, is_complete });
    }

    fn set_discovery_use(&mut self, discovery_use: DiscoveryUse) {
        let role = match discovery_use {
            DiscoveryUse::Unused => "peers now poll discovery",
            DiscoveryUse::OwnAddresses => "now polling discovery for this process's addresses of the servers",
            DiscoveryUse::Poller => "now polling discovery for the fleet",
        };
        log::info!("{role}");
        self.notify(Notification::DiscoveryUse(discovery_use));
    }

    fn state_changed(&mut self, state: RecoveryState, reason: &str) {
        log::info!("recovery: {}; {reason}", state.name());
        self.notify(Notification::StateChanged(state));
    }

    fn restore_flow(&mut self, key: u64, server: &str, started_ms: f64) {
        let started = (started_ms > 0.0).then(|| Timestamp::from_ms(started_ms));
        self.notify(Notification::RestoredFlow(FlowEntry { key, server: server.to_owned(), started }));
    }

    fn list_rejected(&mut self, reason: &str) {
        log::warn!("endpoint list rejected: {reason}");
        self.notify(Notification::ListRejected);
    }
}
