//! The request ids of the sessions that were closed recently. A client that sends one of them again may repeat a request
//! that has run.

use crate::lifecycle::startup::Limits;
use shelfgrade::time::Timestamp;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// How long an id is kept, unless more are added than fit: many times the longest request timeout, which is 3 s.
const RETENTION: Duration = Duration::from_secs(60);
/// Ids that are added within this time of each other are kept and forgotten together.
const GROUP_DURATION: Duration = Duration::from_secs(2);
/// Maximum fraction of the ids in one group, so that only few are forgotten at once when no more ids fit.
const MAX_GROUP_FRACTION: usize = 16;
/// The memory that an id takes at most, in bytes: a hash table holds nine for each slot, and is at least 7/16 full.
const BYTES_PER_ID: usize = 21;
/// The fraction of the memory limit that the ids may take.
const MEMORY_FRACTION: usize = 16;

/// The ids that were added within [`GROUP_DURATION`] of each other.
struct Group {
    started_at: Timestamp,
    ids: HashSet<u64>,
}

/// A bounded set of request ids, which forgets the oldest ids first.
pub struct RecentRequestIds {
    /// Oldest first.
    groups: VecDeque<Group>,
    len: usize,
    max_len: usize,
}

impl RecentRequestIds {
    /// An empty set that takes at most a sixteenth of the memory limit.
    pub fn new(limits: Limits) -> Self {
        let max_bytes = (limits.memory_mb << 20) as usize / MEMORY_FRACTION;
        Self::with_max_len(max_bytes / BYTES_PER_ID)
    }

    fn with_max_len(max_len: usize) -> Self {
        RecentRequestIds { groups: VecDeque::new(), len: 0, max_len }
    }

    /// Adds the id of a session that is closed now.
    pub fn insert(&mut self, id: u64, now: Timestamp) {
        while self.oldest_has_expired(now) {
            self.forget_oldest_group();
        }
        if self.len >= self.max_len {
            self.forget_oldest_group();
        }
        if self.current_group(now).ids.insert(id) {
            self.len += 1;
        }
    }

    /// Whether a session with this id was closed recently.
    pub fn contains(&self, id: u64) -> bool {
        self.groups.iter().any(|group| group.ids.contains(&id))
    }

    fn oldest_has_expired(&self, now: Timestamp) -> bool {
        let expires_after = GROUP_DURATION + RETENTION;
        self.groups.front().is_some_and(|oldest| now.since(oldest.started_at) > expires_after)
    }

    fn forget_oldest_group(&mut self) {
        let forgotten = self.groups.pop_front().map_or(0, |oldest| oldest.ids.len());
        self.len -= forgotten;
    }

    /// The group for an id that is added now.
    fn current_group(&mut self, now: Timestamp) -> &mut Group {
        let max_group_len = (self.max_len / MAX_GROUP_FRACTION).max(1);
        let is_current = |group: &mut Group| {
            now.since(group.started_at) < GROUP_DURATION && group.ids.len() < max_group_len
        };
        let group = self.groups.pop_back_if(is_current);
        self.groups.push_back(group.unwrap_or_else(|| Group { started_at: now, ids: HashSet::new() }));
        let last = self.groups.len() - 1;
        &mut self.groups[last]
    }
}

#[cfg(test)]
#[path = "../tests/unit/recent_request_ids.rs"]
mod tests;
