//! Creates snapshots of the shared state and the flow table, and decides when they are written.

use super::{wall_ms, Peers};
use crate::fleet::peer_events::PeerEvents;
use crate::fleet::snapshot_writer::SnapshotJob;
use shelfgrade::time::Timestamp;
use shelfgrade_recovery::snapshot;

/// The last snapshot that was queued for writing.
#[derive(Clone, Copy)]
pub(super) struct LastSave {
    /// Digest of the shared state in the snapshot.
    pub(super) state_digest: u64,
    /// When the snapshot was queued.
    pub(super) at: Timestamp,
}

impl Peers {
    /// Queues a snapshot if the shared state has changed and the save interval has passed.
    pub(super) fn save_if_due(&self, now: Timestamp, events: &impl PeerEvents) {
        let last = self.last_save.get();
        let is_due = now.since(last.at) >= self.file.borrow().save_interval;
        let state_digest = self.node.borrow().fleet().state_digest();
        let has_changed = state_digest != last.state_digest;
        if let Some(writer) = self.snapshot_writer.borrow().as_ref().filter(|_| is_due && has_changed) {
            if writer.write(self.encode_snapshot(now, events)) {
                self.last_save.set(LastSave { state_digest, at: now });
            }
        }
    }

    /// Writes the last snapshot and stops the writer thread.
    pub(super) fn write_last_snapshot(&self, now: Timestamp, events: &impl PeerEvents) {
        if let Some(writer) = self.snapshot_writer.borrow_mut().take() {
            writer.finish(self.encode_snapshot(now, events));
        }
    }

    fn encode_snapshot(&self, now: Timestamp, events: &impl PeerEvents) -> SnapshotJob {
        let flows = events.flow_entries().into_iter().map(|flow| (flow.key, flow.server));
        let snapshot = self.node.borrow_mut().snapshot(flows, wall_ms(now));
        SnapshotJob { sequence: snapshot.sequence, bytes: snapshot::encode(&snapshot) }
    }
}
