//! The request ids that clients sent of late.

use std::collections::{BTreeSet, VecDeque};

/// How many ids are remembered: some minutes of clients that come again as soon as they are rejected.
const MAX_IDS: usize = 4096;

/// A bounded set of request ids, which evicts the oldest first.
#[derive(Default)]
pub struct RecentRequestIds {
    order: VecDeque<u64>,
    ids: BTreeSet<u64>,
}

impl RecentRequestIds {
    /// Remembers an id; false if it is remembered already.
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
