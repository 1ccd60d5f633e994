//! Determines which state a starting process takes over from the snapshot of its previous incarnation.

use crate::server_record::{decode_server, ServerHealth};
use crate::snapshot::{SessionRecord, Snapshot};
use shelfgrade::host::Endpoint;
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::Entry;

/// State restored from a snapshot.
pub(crate) struct RestoredState {
    /// The entries of the replicated map with their versions. Newer entries from peers replace them.
    pub(crate) entries: Vec<Entry>,
    /// The endpoints to use if no endpoint list is received in time. All are treated as just started, since whatever
    /// stopped this process may have restarted them too. Their actual start times are received with the endpoint list.
    pub(crate) fallback_endpoints: Vec<Endpoint>,
    /// The sessions of the previous incarnation. Valid if the start time of their server has not changed.
    pub(crate) sessions: Vec<SessionRecord>,
    /// The lowest incarnation number for this process: higher than the previous one, even if the clock was set back.
    pub(crate) min_started_at: u64,
}

impl RestoredState {
    pub(crate) fn from_snapshot(snapshot: Snapshot, now: Timestamp) -> Self {
        let fallback_endpoint = |entry: &Entry| -> Option<Endpoint> {
            let (server, record) = decode_server(entry)?;
            (record.health != ServerHealth::Terminated).then(|| record.endpoint(&server, Some(now)))
        };
        RestoredState {
            fallback_endpoints: snapshot.entries.iter().filter_map(fallback_endpoint).collect(),
            sessions: snapshot.sessions,
            entries: snapshot.entries,
            min_started_at: snapshot.started_at + 1,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/restore.rs"]
mod tests;
