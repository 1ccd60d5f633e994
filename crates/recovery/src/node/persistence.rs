//! Creates the snapshot that the next incarnation is restored from.

use super::Node;
use crate::snapshot::{SessionRecord, Snapshot};

impl Node {
    /// Creates a snapshot with the next sequence number. `flows` are the key hashes and servers of the established
    /// sessions; those whose server is not in the endpoint list are omitted.
    pub fn snapshot(&mut self, flows: impl Iterator<Item = (u64, String)>, wall_ms: u64) -> Snapshot {
        self.snapshot_sequence += 1;
        let session_record = |(key, server): (u64, String)| {
            let started_ms = self.records.get(&server)?.started_ms;
            Some(SessionRecord { key, server, started_ms })
        };
        let sessions = flows.filter_map(session_record).collect();
        let me = self.fleet.local_incarnation();
        let roster = self.fleet.roster();
        Snapshot {
            fleet: roster.fleet().to_owned(),
            name: roster.name(me.member).unwrap_or_default().to_owned(),
            sequence: self.snapshot_sequence,
            written_at_ms: wall_ms,
            started_at: me.started_at,
            entries: self.fleet.entries(),
            sessions,
        }
    }
}
