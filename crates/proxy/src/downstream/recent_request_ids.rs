//! The request ids that clients have sent recently.

use std::collections::{BTreeSet, VecDeque};

/// Maximum number of stored ids: those of a few minutes even if clients retry immediately after each rejection.
const MAX_IDS: usize = 4096;

/// A bounded set of request ids that evicts the oldest id first.
#[derive(Default)]
pub struct RecentRequestIds {
    order: VecDeque<u64>,
    ids: BTreeSet<u64>,
}

impl RecentRequestIds {
    /// Adds an id. Returns false if the set already contains it.
    pub fn insert(&mut self, id: u64) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_IDS {
            self.ids.remove(&self.order.pop_front().unwrap_or(id));
        }
        true
    }
}
