//! Changes that wait at a replica to be chosen.

use crate::change::{Batch, Change, MAX_BATCH_CHANGES};
use crate::packet::MAX_PAYLOAD_BYTES;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Changes that wait at one replica at most; writers submit again what is refused.
const MAX_QUEUED_CHANGES: usize = 8192;

struct QueuedChange {
    change: Change,
    /// Who is notified of the outcome; none for a change of this machine.
    writer: Option<SocketAddr>,
}

/// Changes in the order in which they came.
#[derive(Default)]
pub struct ChangeQueue(VecDeque<QueuedChange>);

impl ChangeQueue {
    /// Adds a change, unless it waits already. Returns false where the queue is full. `is_forwarded`: another replica
    /// sent it, which does not take the place of the writer.
    pub fn push(&mut self, change: Change, writer: Option<SocketAddr>, is_forwarded: bool) -> bool {
        if let Some(queued) = self.0.iter_mut().find(|queued| queued.change.id == change.id) {
            if !is_forwarded {
                queued.writer = writer;
            }
            return true;
        }
        let has_capacity = self.0.len() < MAX_QUEUED_CHANGES;
        if has_capacity {
            self.0.push_back(QueuedChange { change, writer });
        }
        has_capacity
    }

    /// Whether no change waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The first changes, as many as fit in one datagram.
    pub fn batch(&self) -> Batch {
        let mut left = MAX_PAYLOAD_BYTES;
        let fits = |queued: &&QueuedChange| {
            let bytes = queued.change.estimated_bytes();
            let fits = bytes <= left;
            left = left.saturating_sub(bytes);
            fits
        };
        let first = self.0.iter().take(MAX_BATCH_CHANGES).take_while(fits);
        first.map(|queued| queued.change.clone()).collect()
    }

    /// Removes a change that is decided and returns its writer; none where it does not wait here.
    pub fn remove(&mut self, id: u64) -> Option<Option<SocketAddr>> {
        let index = self.0.iter().position(|queued| queued.change.id == id)?;
        self.0.remove(index).map(|queued| queued.writer)
    }
}
