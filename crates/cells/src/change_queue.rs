//! Changes that wait at a replica until they are chosen.

use crate::change::{Batch, Change, MAX_BATCH_CHANGES};
use crate::packet::MAX_PAYLOAD_BYTES;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of queued changes at a replica; submitters retry rejected changes.
const MAX_QUEUED_CHANGES: usize = 8192;

struct QueuedChange {
    change: Change,
    /// Receives the outcome; `None` for a change that was submitted locally.
    submitter: Option<SocketAddr>,
}

/// Queued changes in order of arrival.
#[derive(Default)]
pub struct ChangeQueue(VecDeque<QueuedChange>);

impl ChangeQueue {
    /// Adds a change unless it is queued already. Returns false if the queue is full. A change that is forwarded by
    /// another replica (`is_forwarded`) does not replace the submitter of the queued change.
    pub fn push(&mut self, change: Change, submitter: Option<SocketAddr>, is_forwarded: bool) -> bool {
        if let Some(queued) = self.0.iter_mut().find(|queued| queued.change.id == change.id) {
            if !is_forwarded {
                queued.submitter = submitter;
            }
            return true;
        }
        let has_capacity = self.0.len() < MAX_QUEUED_CHANGES;
        if has_capacity {
            self.0.push_back(QueuedChange { change, submitter });
        }
        has_capacity
    }

    /// Whether no change is queued.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The first changes of the queue, as many as fit in one datagram.
    pub fn batch(&self) -> Batch {
        let mut remaining_bytes = MAX_PAYLOAD_BYTES;
        let fits = |queued: &&QueuedChange| {
            let bytes = queued.change.estimated_bytes();
            let fits = bytes <= remaining_bytes;
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
            fits
        };
        let first = self.0.iter().take(MAX_BATCH_CHANGES).take_while(fits);
        first.map(|queued| queued.change.clone()).collect()
    }

    /// Removes a decided change and returns its submitter; `None` if the change is not queued here.
    pub fn remove(&mut self, id: u64) -> Option<Option<SocketAddr>> {
        let index = self.0.iter().position(|queued| queued.change.id == id)?;
        self.0.remove(index).map(|queued| queued.submitter)
    }
}
