//! Changes that a process has submitted and whose outcome is not known yet.

use crate::change::Change;
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a response after which a change is sent to the next replica.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(500);

struct PendingChange {
    change: Change,
    retry_at: Timestamp,
    replica_cursor: usize,
}

/// A change that is due to be sent again.
pub struct Retry {
    /// The change.
    pub change: Change,
    /// Index of the replica, to be taken modulo the number of replicas.
    pub replica: usize,
}

/// Pending changes by ID.
#[derive(Default)]
pub struct PendingChanges(BTreeMap<u64, PendingChange>);

impl PendingChanges {
    /// Whether a change is pending.
    pub fn contains(&self, id: u64) -> bool {
        self.0.contains_key(&id)
    }

    /// Adds a change that was sent to the replica with this index.
    pub fn insert(&mut self, change: Change, replica: usize, now: Timestamp) {
        let pending = PendingChange { retry_at: now + SUBMIT_TIMEOUT, replica_cursor: replica + 1, change };
        self.0.insert(pending.change.id, pending);
    }

    /// Removes a decided change. Returns whether it was pending.
    pub fn remove(&mut self, id: u64) -> bool {
        self.0.remove(&id).is_some()
    }

    /// Returns the changes that are due to be sent again, each to its next replica, and restarts their timeouts.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<Retry> {
        let due = self.0.values_mut().filter(|pending| now >= pending.retry_at);
        let retries = due.map(|pending| {
            pending.retry_at = now + SUBMIT_TIMEOUT;
            pending.replica_cursor += 1;
            Retry { change: pending.change.clone(), replica: pending.replica_cursor }
        });
        retries.collect()
    }

    /// When the next retry is due.
    pub fn next_retry_at(&self) -> Timestamp {
        self.0.values().map(|pending| pending.retry_at).min().unwrap_or(Timestamp::NEVER)
    }
}
