//! Starts a node: restores its snapshot, and falls back to known endpoints if no endpoint list is received in time.

use super::{Node, RestoredRecords};
use crate::admission::RecoveryRamp;
use crate::environment::{ClockReading, EndpointAddress, RecoveryEnvironment};
use crate::list_history::ListHistory;
use crate::poller_election::PollerElection;
use crate::restore::RestoredState;
use crate::server_record::{decode_server, SERVER_PREFIX};
use crate::settings::RecoverySettings;
use crate::snapshot::Snapshot;
use nanorand::WyRand;
use shelfgrade::host::Endpoint;
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Fleet, Roster};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Keeps this crate's random sequence distinct from others that are derived from the same seed.
const SEED_SALT: u64 = 0xc0;

impl Node {
    /// Starts a node from the snapshot of its previous incarnation, if there is one.
    pub fn new(
        roster: Roster,
        settings: RecoverySettings,
        snapshot: Option<Snapshot>,
        seed: u64,
        clock: ClockReading,
    ) -> Self {
        let now = clock.now;
        let snapshot_sequence = snapshot.as_ref().map_or(0, |snapshot| snapshot.sequence);
        let restored = snapshot.map(|snapshot| RestoredState::from_snapshot(snapshot, now));
        let min_started_at = restored.as_ref().map_or(0, |restored| restored.min_started_at);
        let started_at_us = min_started_at.max(clock.wall_ms * 1000);
        let mut node = Node {
            election: PollerElection::new(roster.local_member(), roster.members(), roster.tag(), now),
            fleet: Fleet::new(roster, started_at_us, seed, now),
            list_history: ListHistory::default(),
            ramp: RecoveryRamp::new(settings, now),
            records: BTreeMap::new(),
            restored: RestoredRecords::default(),
            fallback_endpoints: Vec::new(),
            startup_addresses: BTreeMap::new(),
            restored_sessions: Vec::new(),
            is_list_agreed: false,
            is_poller: false,
            last_discovery_answer: None,
            next_heartbeat: now,
            applied_correction_ms: 0,
            snapshot_sequence,
            rng: WyRand::new_seed(seed ^ SEED_SALT),
        };
        if let Some(restored) = restored {
            node.restore(restored, now);
        }
        node
    }

    /// Restores the snapshot. Server records are kept out of the replicated map, where they would be shared as if
    /// discovery had just confirmed them.
    fn restore(&mut self, restored: RestoredState, now: Timestamp) {
        let is_server = |entry: &Entry| entry.key.starts_with(SERVER_PREFIX);
        let (servers, others): (Vec<_>, Vec<_>) = restored.entries.into_iter().partition(is_server);
        for entry in &others {
            self.apply_entry(entry, now);
        }
        self.restored.epoch = self.list_history.epoch;
        self.restored.records.extend(servers.iter().filter_map(decode_server));
        self.fleet.restore(others);
        self.fallback_endpoints = restored.fallback_endpoints;
        self.restored_sessions = restored.sessions;
    }

    /// Adds the servers of the start-up file that are not in the snapshot to the fallback endpoints.
    pub fn add_startup_endpoints(&mut self, listed: impl Iterator<Item = EndpointAddress>, now: Timestamp) {
        let restored: BTreeSet<_> =
            self.fallback_endpoints.iter().map(|endpoint| endpoint.server.clone()).collect();
        for EndpointAddress { endpoint, address } in listed {
            if let Some(address) = address {
                self.startup_addresses.insert(endpoint.server.clone(), address);
            }
            if !restored.contains(&endpoint.server) {
                self.fallback_endpoints.push(Endpoint { started: Some(now), ..endpoint });
            }
        }
    }

    /// Applies the fallback endpoints because no endpoint list was received in time. All count as warming up.
    pub(super) fn serve_fallback_endpoints(
        &mut self,
        now: Timestamp,
        environment: &mut dyn RecoveryEnvironment,
    ) {
        let with_address = |endpoint: &Endpoint| EndpointAddress {
            address: self.known_address(endpoint),
            endpoint: endpoint.clone(),
        };
        let endpoints: Vec<_> = self.fallback_endpoints.iter().map(with_address).collect();
        let reason =
            format!("no list in time; using {} restored servers, all treated as warming up", endpoints.len());
        self.ramp.on_endpoint_list(endpoints.iter().map(|fallback| fallback.endpoint.started), now);
        environment.apply_endpoints(endpoints, true);
        environment.state_changed(self.ramp.state(), &reason);
    }

    /// The address of an endpoint from the snapshot, or else from the start-up file.
    fn known_address(&self, endpoint: &Endpoint) -> Option<SocketAddr> {
        let restored = self.restored.records.get(&*endpoint.server).and_then(|record| record.address);
        restored.or(self.startup_addresses.get(&endpoint.server).copied())
    }
}
