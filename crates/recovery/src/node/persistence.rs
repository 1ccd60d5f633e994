//! Creates the snapshot that the next incarnation is restored from.

use super::Node;
use crate::server_record::{decode_server, ServerRecord};
use crate::snapshot::{SessionRecord, Snapshot};
use shelfgrade_fleet::{Entry, Version};

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
            entries: self.fleet.entries().into_iter().map(|entry| self.with_local_address(entry)).collect(),
            sessions,
        }
    }

    /// Replaces the address in a server's entry, which is another member's, by the one that this process has received,
    /// if any. This process becomes the writer of an entry with such an address, which shows that it may use it.
    fn with_local_address(&self, entry: Entry) -> Entry {
        let Some((server, record)) = decode_server(&entry) else { return entry };
        let address = self.addresses.get(&server);
        // Serializing to memory cannot fail.
        let value = postcard::to_stdvec(&ServerRecord { address, ..record }).ok();
        if address.is_none() {
            return Entry { value, ..entry };
        }
        let me = self.fleet.local_incarnation();
        let version = Version { writer_incarnation: me.started_at, ..entry.version };
        Entry { owner: me.member, version, value, ..entry }
    }
}
