//! Starts a node: restores its snapshot, and falls back to known endpoints if no endpoint list is received in time.

use super::shared_entries::is_health_correction;
use super::{Node, RestoredRecords};
use crate::admission::RecoveryRamp;
use crate::environment::{ClockReading, DiscoveryUse, EndpointAddress, RecoveryEnvironment};
use crate::list_history::ListHistory;
use crate::local_addresses::LocalAddresses;
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
            addresses: LocalAddresses::default(),
            received_later: BTreeMap::new(),
            restored: RestoredRecords::default(),
            fallback_endpoints: Vec::new(),
            restored_sessions: Vec::new(),
            is_list_agreed: false,
            discovery_use: DiscoveryUse::Unused,
            received_epoch: None,
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
        self.restore_addresses(&servers);
        self.fleet.restore(others);
        self.fallback_endpoints = restored.fallback_endpoints;
        self.restored_sessions = restored.sessions;
    }

    /// Restores the addresses that this process received itself. Those of other members' entries are not used.
    fn restore_addresses(&mut self, servers: &[Entry]) {
        let me = self.fleet.local_incarnation().member;
        for entry in servers.iter().filter(|entry| entry.owner == me && !is_health_correction(entry)) {
            if let Some((server, address)) =
                decode_server(entry).and_then(|(s, record)| Some((s, record.address?)))
            {
                self.addresses.add_known(&server, address);
            }
        }
    }

    /// Adds the servers of the start-up file that are not in the snapshot to the fallback endpoints.
    pub fn add_startup_endpoints(&mut self, listed: impl Iterator<Item = EndpointAddress>, now: Timestamp) {
        let restored: BTreeSet<_> =
            self.fallback_endpoints.iter().map(|endpoint| endpoint.server.clone()).collect();
        for EndpointAddress { endpoint, address } in listed {
            if let Some(address) = address {
                self.addresses.add_known(&endpoint.server, address);
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
        let with_address = |endpoint: &Endpoint| {
            let address = Some(self.addresses.get(&endpoint.server)?);
            Some(EndpointAddress { endpoint: endpoint.clone(), address })
        };
        let endpoints: Vec<_> = self.fallback_endpoints.iter().filter_map(with_address).collect();
        let reason =
            format!("no list in time; using {} restored servers, all treated as warming up", endpoints.len());
        self.ramp.on_endpoint_list(endpoints.iter().map(|fallback| fallback.endpoint.started), now);
        environment.apply_endpoints(endpoints, true);
        environment.state_changed(self.ramp.state(), &reason);
    }
}
