//! The snapshot that a node leaves for its next incarnation.

use super::Node;
use crate::snapshot::{HeldSession, Snapshot};

impl Node {
    /// A snapshot with the next sequence number. `flows` are the key hashes of the established sessions with their
    /// servers; those whose server is not in the endpoint list are left out.
    pub fn snapshot(&mut self, flows: impl Iterator<Item = (u64, String)>, wall_ms: u64) -> Snapshot {
        self.snapshot_sequence += 1;
        let held_session = |(key, server): (u64, String)| {
            let started_ms = self.records.get(&server)?.started_ms;
            Some(HeldSession { key, server, started_ms })
        };
        let held_sessions = flows.filter_map(held_session).collect();
        let me = self.fleet.me();
        let roster = self.fleet.roster();
        Snapshot {
            fleet: roster.fleet().to_owned(),
            name: roster.name(me.member).unwrap_or_default().to_owned(),
            sequence: self.snapshot_sequence,
            written_at_ms: wall_ms,
            started_at: me.started_at,
            entries: self.fleet.entries(),
            held_sessions,
        }
    }
}
