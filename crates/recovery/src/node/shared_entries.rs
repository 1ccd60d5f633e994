//! Processes changes of the replicated map.

use super::Node;
use crate::environment::RecoveryEnvironment;
use crate::list_history::{ListHistory, LIST_KEY};
use crate::poller_election::{Heartbeat, HEARTBEAT_PREFIX};
use crate::server_record::decode_server;
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, MemberId, Version};

/// The writer's incarnation in the version of a corrected record, higher than any other.
const CORRECTION_INCARNATION: u64 = u64::MAX;

impl Node {
    /// Processes changed entries of the replicated map.
    pub(super) fn apply_entries(
        &mut self,
        entries: Vec<Entry>,
        now: Timestamp,
        environment: &mut dyn RecoveryEnvironment,
    ) {
        let mut changed_servers = Vec::new();
        for entry in &entries {
            changed_servers.extend(self.apply_entry(entry, now));
            self.reassert_restored_health(entry, environment);
        }
        self.apply_changed_servers(&changed_servers, now, environment);
        self.check_agreement(now, environment);
    }

    /// Applies the current state of servers whose record or address has changed, once the list is agreed.
    pub(super) fn apply_changed_servers(
        &self,
        servers: &[String],
        now: Timestamp,
        environment: &mut dyn RecoveryEnvironment,
    ) {
        let endpoints: Vec<_> = servers.iter().filter_map(|server| self.endpoint(server, now)).collect();
        if self.is_list_agreed && !endpoints.is_empty() {
            environment.apply_endpoints(endpoints, false);
        }
    }

    /// Processes one entry. Returns the server whose record it contains, if any.
    pub(super) fn apply_entry(&mut self, entry: &Entry, now: Timestamp) -> Option<String> {
        let value = entry.value.as_deref()?;
        if let Some((server, record)) = decode_server(entry) {
            self.records.insert(server.clone(), record);
            return Some(server);
        }
        if let Some(poller) = heartbeat_sender(&entry.key) {
            self.apply_heartbeat(poller, entry.version, postcard::from_bytes(value).ok()?, now);
        } else if entry.key == LIST_KEY {
            let list_history: ListHistory = postcard::from_bytes(value).ok()?;
            if list_history.is_at_least_as_new_as(&self.list_history) {
                self.list_history = list_history;
            }
        }
        None
    }

    fn apply_heartbeat(&mut self, poller: MemberId, version: Version, heartbeat: Heartbeat, now: Timestamp) {
        if poller == self.fleet.local_incarnation().member {
            return;
        }
        let incarnation = self.fleet.incarnation(poller);
        let is_current =
            incarnation.is_some_and(|incarnation| incarnation.started_at == version.writer_incarnation);
        self.election.on_heartbeat(poller, version.count, heartbeat, is_current, now);
    }

    /// Corrects a record of a new epoch that reports a server in service although the snapshot has it as draining or
    /// terminated: discovery and its pollers have lost that state. The correction is shared with the count of the
    /// record's own version, so that any later update from discovery replaces it.
    fn reassert_restored_health(&mut self, entry: &Entry, environment: &mut dyn RecoveryEnvironment) {
        let Some((server, received)) = decode_server(entry) else { return };
        let Some(known) = self.restored.records.remove(&server) else { return };
        let corrected = received.clone().with_known_health(Some(&known));
        let is_of_newer_epoch = ListHistory::epoch_of(entry.version.count) > self.restored.epoch;
        if is_of_newer_epoch && corrected != received {
            let version = Version { count: entry.version.count, writer_incarnation: CORRECTION_INCARNATION };
            let put = self.fleet.put_version(&entry.key, &corrected, version, environment);
            debug_assert!(put.is_ok(), "{put:?}");
            self.records.insert(server, corrected);
        }
    }
}

/// Whether a member has corrected the health in this entry; the rest of the record is another member's.
pub(super) fn is_health_correction(entry: &Entry) -> bool {
    entry.version.writer_incarnation == CORRECTION_INCARNATION
}

/// The member whose heartbeats are stored under this key.
fn heartbeat_sender(key: &str) -> Option<MemberId> {
    let number = key.strip_prefix(HEARTBEAT_PREFIX)?;
    number.parse().ok().map(MemberId)
}
