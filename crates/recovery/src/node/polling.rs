//! Starts and stops polling of discovery, and shares the pollers' heartbeats.

use super::Node;
use crate::environment::{DiscoveryUse, RecoveryEnvironment};
use crate::poller_election::{Heartbeat, HEARTBEAT_PREFIX};
use crate::server_record::ServerHealth;
use shelfgrade::time::Timestamp;
use std::time::Duration;

/// How long after an answer discovery counts as reachable: longer than the duration of a watch, which is four seconds.
const ANSWER_VALIDITY: Duration = Duration::from_millis(6000);

impl Node {
    /// Starts or stops polling according to the election and the addresses that this process knows, and shares a
    /// heartbeat as a poller.
    pub(super) fn update_polling(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        self.update_discovery_use(now, environment);
        if self.discovery_use == DiscoveryUse::Poller {
            self.share_heartbeat(now, environment);
        }
    }

    pub(super) fn update_discovery_use(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        let discovery_use = if self.election.is_poller(self.fleet.alive(), now) {
            DiscoveryUse::Poller
        } else if self.needs_own_addresses() {
            DiscoveryUse::OwnAddresses
        } else {
            DiscoveryUse::Unused
        };
        let previous = std::mem::replace(&mut self.discovery_use, discovery_use);
        if discovery_use != previous {
            self.last_discovery_answer = self.last_discovery_answer.filter(|_| previous.is_polling());
            environment.set_discovery_use(discovery_use);
        }
        if !discovery_use.is_polling() {
            self.forget_received_list(now, environment);
        }
    }

    /// Leaves it to the pollers to report changes of what this process has received itself.
    fn forget_received_list(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        self.received_epoch = None;
        let servers: Vec<_> = std::mem::take(&mut self.received_later).into_keys().collect();
        self.apply_changed_servers(&servers, now, environment);
    }

    /// Whether this process does not know the address of a server, or knows another one than the members share. The
    /// pollers cannot tell it then when its address changes.
    fn needs_own_addresses(&self) -> bool {
        let present = self.records.iter().filter(|(_, record)| record.health != ServerHealth::Terminated);
        let is_unconfirmed =
            |server: &str, shared| self.addresses.get(server).is_none_or(|at| Some(at) != shared);
        present.into_iter().any(|(server, record)| is_unconfirmed(server, record.address))
    }

    fn share_heartbeat(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        let me = self.fleet.local_incarnation().member;
        let heartbeat = self.heartbeat(now);
        let put = self.fleet.put(&format!("{HEARTBEAT_PREFIX}{}", me.0), &heartbeat, environment);
        debug_assert!(put.is_ok(), "{put:?}");
        let number = put.map_or(0, |version| version.count);
        self.election.on_heartbeat(me, number, heartbeat, true, now);
    }

    fn heartbeat(&self, now: Timestamp) -> Heartbeat {
        Heartbeat {
            epoch: self.list_history.epoch,
            seq: self.list_history.seq,
            digest: self.list_digest(),
            is_answered: self.last_discovery_answer.is_some_and(|at| now.since(at) < ANSWER_VALIDITY),
        }
    }
}
