//! What a starting process takes over from the snapshot of its previous incarnation.

use crate::server_record::{decode_server, ServerHealth};
use crate::snapshot::{HeldSession, Snapshot};
use shelfgrade::host::Endpoint;
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::Entry;

/// State restored from a snapshot.
pub(crate) struct RestoredState {
    /// The replicated map with its versions. Newer entries of the peers win.
    pub(crate) entries: Vec<Entry>,
    /// Servers to use if no list is received in time. All are taken as started now, since whatever stopped this
    /// process may have restarted them too; discovery, or a peer that has polled it since, gives their true start.
    pub(crate) candidates: Vec<Endpoint>,
    /// Sessions by the hashes of their keys, valid for servers whose start has not changed.
    pub(crate) held_sessions: Vec<HeldSession>,
    /// The least incarnation number for this process, later than the previous one whatever the clock says.
    pub(crate) min_started_at: u64,
}

impl RestoredState {
    pub(crate) fn from_snapshot(snapshot: Snapshot, now: Timestamp) -> Self {
        let candidate = |entry: &Entry| -> Option<Endpoint> {
            let (server, record) = decode_server(entry)?;
            (record.health != ServerHealth::Terminated).then(|| record.endpoint(&server, Some(now)))
        };
        RestoredState {
            candidates: snapshot.entries.iter().filter_map(candidate).collect(),
            held_sessions: snapshot.held_sessions,
            entries: snapshot.entries,
            min_started_at: snapshot.started_at + 1,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/restore.rs"]
mod tests;
