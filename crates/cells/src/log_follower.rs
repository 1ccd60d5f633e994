//! Follows the log by deltas, or by a snapshot if the log was compacted beyond the version of the local state.

use crate::delta::{Delta, DeltaError, Merged};
use crate::packet::{Message, MAX_PAYLOAD_BYTES};
use crate::record::{Record, Scope, Version};
use crate::state::State;

/// A state, and the snapshot in transfer that replaces it when complete.
pub struct LogFollower {
    state: State,
    transfer: Option<SnapshotTransfer>,
}

/// A snapshot that is received in several deltas.
struct SnapshotTransfer {
    state: State,
    /// Records deleted up to this version are not in the snapshot; later deletions must be in the deltas.
    horizon: Version,
}

impl SnapshotTransfer {
    fn new(scope: Scope, head: Version, horizon: Version) -> Self {
        let mut state = State::new(scope);
        // Records up to `head` may have been acknowledged or passed on to others, so the snapshot must include them.
        state.observe_head(head);
        SnapshotTransfer { state, horizon }
    }
}

impl LogFollower {
    /// Follows the log, starting from this state.
    pub fn new(state: State) -> Self {
        LogFollower { state, transfer: None }
    }

    /// The state, without any snapshot still in transfer.
    pub fn state(&self) -> &State {
        &self.state
    }

    pub(crate) fn state_mut(&mut self) -> &mut State {
        &mut self.state
    }

    /// The message that pulls the next records.
    pub fn next_pull(&self) -> Message {
        let (after, snapshot) = match &self.transfer {
            Some(transfer) => (transfer.state.complete_to(), true),
            None => (self.state.complete_to(), false),
        };
        Message::Pull { scope: self.state.scope(), after, snapshot }
    }

    /// Whether a snapshot transfer is in progress.
    pub fn is_transferring_snapshot(&self) -> bool {
        self.transfer.is_some()
    }

    /// Applies the response to a pull. All records of a snapshot are reported as new when it is complete.
    ///
    /// # Errors
    ///
    /// Those of [`State::merge`].
    pub fn on_delta(&mut self, delta: &Delta) -> Result<Merged, DeltaError> {
        if self.transfer.is_none() && !self.state.starts_snapshot(delta) {
            return self.state.merge(delta);
        }
        let (scope, head) = (self.state.scope(), self.state.head());
        let start = || SnapshotTransfer::new(scope, head, delta.horizon);
        let transfer = self.transfer.get_or_insert_with(start);
        if delta.horizon > transfer.horizon.max(transfer.state.complete_to()) {
            // Records may have been deleted and compacted between two deltas of the transfer; restart it.
            *transfer = start();
        }
        let merged = transfer.state.merge(delta)?;
        if !transfer.state.is_complete() {
            return Ok(Merged { new_records: Vec::new(), is_advanced: merged.is_advanced });
        }
        if let Some(transfer) = self.transfer.take() {
            self.state = transfer.state;
        }
        let new_records: Vec<Record> = self.state.records().cloned().collect();
        Ok(Merged { new_records, is_advanced: true })
    }
}

impl State {
    /// Whether a delta is the first of a snapshot that this state needs, because the state is empty or the sender has
    /// dropped deleted records that this state may still contain.
    fn starts_snapshot(&self, delta: &Delta) -> bool {
        let needs_snapshot = self.complete_to() == Version(0) || delta.horizon > self.complete_to();
        needs_snapshot && delta.after == Version(0) && delta.to > Version(0)
    }

    /// The response to a pull; fits in one datagram.
    pub fn pull_response(&self, scope: Scope, after: Version, snapshot: bool) -> Delta {
        let after = if !snapshot && self.needs_snapshot(after) { Version(0) } else { after };
        self.delta_after(scope, after, MAX_PAYLOAD_BYTES)
    }
}
