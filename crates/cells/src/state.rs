//! The replicated state: the latest record of each key, indexed by key and by version.

use crate::delta::{Delta, DeltaError, Merged};
use crate::record::{Key, Record, Scope, Value, Version};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The records of a scope, as stored by a process or a replica.
///
/// For each key of the scope, all versions up to [`State::complete_to`] have been applied. Records with later versions,
/// up to [`State::head`], may be present or missing.
#[derive(Clone, Debug)]
pub struct State {
    scope: Scope,
    records: BTreeMap<Key, Rc<Record>>,
    by_version: BTreeMap<Version, Rc<Record>>,
    complete_to: Version,
    head: Version,
    horizon: Version,
    digest: u64,
    entries: usize,
}

impl State {
    /// An empty state.
    pub fn new(scope: Scope) -> Self {
        State {
            scope,
            records: BTreeMap::new(),
            by_version: BTreeMap::new(),
            complete_to: Version(0),
            head: Version(0),
            horizon: Version(0),
            digest: 0,
            entries: 0,
        }
    }

    /// The scope of the records in this state.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// The version up to which no record is missing.
    pub fn complete_to(&self) -> Version {
        self.complete_to
    }

    /// The latest version that is known to exist.
    pub fn head(&self) -> Version {
        self.head
    }

    /// The version up to which deleted records and change IDs have been dropped.
    pub fn horizon(&self) -> Version {
        self.horizon
    }

    /// Whether no record is known to be missing.
    pub fn is_complete(&self) -> bool {
        self.complete_to >= self.head
    }

    /// Hash of all records; equal for complete states with the same records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The record with this key.
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key).map(Rc::as_ref)
    }

    /// All records ordered by key, including deleted ones.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(Rc::as_ref)
    }

    /// The records starting at this key, ordered by key.
    pub fn records_from(&self, first: &Key) -> impl Iterator<Item = &Record> {
        self.records.range(first.clone()..).map(|(_, record)| record.as_ref())
    }

    /// Number of records, including deleted ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the state contains no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of entries, without deleted ones.
    pub fn entry_count(&self) -> usize {
        self.entries
    }

    /// Updates the digest and the number of entries for an added or removed record.
    fn update_aggregates(&mut self, record: &Record, is_added: bool) {
        self.digest ^= record.digest();
        if matches!(record.value, Some(Value::Entry(_))) {
            self.entries = if is_added { self.entries + 1 } else { self.entries.saturating_sub(1) };
        }
    }

    /// Stores a record, unless the state has the same or a later version for its key. Returns whether it was stored.
    pub(crate) fn insert(&mut self, record: Record) -> bool {
        if let Some(previous) = self.records.get(&record.key).cloned() {
            if previous.version >= record.version {
                return false;
            }
            self.by_version.remove(&previous.version);
            self.update_aggregates(&previous, false);
        }
        let record = Rc::new(record);
        self.update_aggregates(&record, true);
        self.by_version.insert(record.version, record.clone());
        self.head = self.head.max(record.version);
        self.records.insert(record.key.clone(), record);
        true
    }

    /// Records that no record up to this version is missing any more.
    pub(crate) fn set_complete_to(&mut self, version: Version) {
        self.complete_to = self.complete_to.max(version);
        self.head = self.head.max(version);
    }

    /// Records that a version is known to exist.
    pub fn observe_head(&mut self, head: Version) {
        self.head = self.head.max(head);
    }

    /// Drops deleted records and change IDs up to the horizon. A node whose state is only complete up to an earlier
    /// version then needs a snapshot.
    pub(crate) fn compact(&mut self, horizon: Version) {
        let horizon = horizon.min(self.complete_to);
        if horizon <= self.horizon {
            return;
        }
        let old: Vec<_> = self.by_version.range(..=horizon).map(|(_, record)| record.clone()).collect();
        for record in old.iter().filter(|record| record.is_dropped_by_compaction()) {
            self.by_version.remove(&record.version);
            self.records.remove(&record.key);
        }
        self.horizon = horizon;
    }

    /// Whether a node whose state is complete up to `after` needs a snapshot, because records deleted since have been
    /// dropped here.
    pub fn needs_snapshot(&self, after: Version) -> bool {
        after < self.horizon && after > Version(0)
    }

    /// The records of a scope after a version, limited to `max_bytes`. A record that exceeds the limit is sent alone.
    pub fn delta_after(&self, scope: Scope, after: Version, max_bytes: usize) -> Delta {
        let last = self.complete_to;
        let mut delta = Delta {
            after,
            to: last.max(after),
            head: self.head,
            horizon: self.horizon,
            digest: if self.is_complete() && scope == self.scope { self.digest } else { 0 },
            records: Vec::new(),
        };
        if after >= last {
            return delta;
        }
        let (mut remaining_bytes, mut previous) = (max_bytes, after);
        for (version, record) in self.by_version.range(after.next()..=last) {
            if scope.contains(&record.key) {
                let size = record.estimated_bytes();
                if size > remaining_bytes && !delta.records.is_empty() {
                    delta.to = previous;
                    return delta;
                }
                remaining_bytes = remaining_bytes.saturating_sub(size);
                delta.records.push(record.as_ref().clone());
            }
            previous = *version;
        }
        delta
    }

    /// Applies a delta of another node.
    ///
    /// # Errors
    ///
    /// [`DeltaError`]. The state is unchanged, except that [`State::head`] is updated for [`DeltaError::Gap`].
    pub fn merge(&mut self, delta: &Delta) -> Result<Merged, DeltaError> {
        self.check_order(delta)?;
        if delta.records.iter().any(|record| self.conflicts_with(record)) || self.has_digest_mismatch(delta) {
            return Err(DeltaError::Fork);
        }
        let mut merged = Merged::default();
        let complete_to = self.complete_to;
        for record in delta.records.iter().filter(|record| record.version > complete_to) {
            if self.insert(record.clone()) {
                merged.new_records.push(record.clone());
            }
        }
        self.head = self.head.max(delta.head);
        if delta.after > self.complete_to {
            return if merged.new_records.is_empty() { Err(DeltaError::Gap) } else { Ok(merged) };
        }
        merged.is_advanced = delta.to > self.complete_to;
        self.complete_to = self.complete_to.max(delta.to);
        self.compact(delta.horizon);
        Ok(merged)
    }

    fn check_order(&self, delta: &Delta) -> Result<(), DeltaError> {
        let mut last = delta.after;
        for record in &delta.records {
            if record.version <= last || record.version > delta.to || !self.scope.contains(&record.key) {
                return Err(DeltaError::OutOfOrder);
            }
            last = record.version;
        }
        // A delta from a node that is behind is empty, and its head may be lower than `to`.
        let is_ahead = delta.to > delta.after;
        if (is_ahead && delta.head < delta.to) || delta.horizon > delta.head {
            return Err(DeltaError::OutOfOrder);
        }
        Ok(())
    }

    /// Whether the state has a different record with the same version; versions are unique in a log.
    fn conflicts_with(&self, record: &Record) -> bool {
        self.by_version.get(&record.version).is_some_and(|existing| existing.as_ref() != record)
    }

    /// Whether this state and the sender's are complete up to the same version, but have different records.
    fn has_digest_mismatch(&self, delta: &Delta) -> bool {
        let is_comparable = self.is_complete()
            && delta.head == self.complete_to
            && delta.to == self.complete_to
            && delta.after == self.complete_to
            && delta.digest != 0;
        is_comparable && delta.digest != self.digest
    }
}
