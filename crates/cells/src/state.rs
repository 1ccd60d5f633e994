//! The state that the log has left: the latest record under each key, also in the order of versions.

use crate::delta::{Delta, DeltaError, Merged};
use crate::record::{Key, Record, Scope, Value, Version};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The records of a scope that a process or a replica holds.
///
/// For every key of the scope the record held is the latest one up to [`State::complete_to`] or a later one, unless a
/// later one up to [`State::head`] is still missing.
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
    /// A state without records.
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

    /// Which records it holds.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// No record up to this version is missing.
    pub fn complete_to(&self) -> Version {
        self.complete_to
    }

    /// The latest version that is known to exist.
    pub fn head(&self) -> Version {
        self.head
    }

    /// Up to this version, deleted records and ids of changes are dropped.
    pub fn horizon(&self) -> Version {
        self.horizon
    }

    /// Whether no record is known to be missing.
    pub fn is_complete(&self) -> bool {
        self.complete_to >= self.head
    }

    /// Hash of all records: equal in two states that are complete and hold the same records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The record of a key.
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key).map(Rc::as_ref)
    }

    /// All records in the order of their keys, those without a value included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(Rc::as_ref)
    }

    /// The records from a key on, in the order of their keys.
    pub fn records_from(&self, first: &Key) -> impl Iterator<Item = &Record> {
        self.records.range(first.clone()..).map(|(_, record)| record.as_ref())
    }

    /// Number of records, those without a value included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether it holds no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of entries with a value.
    pub fn entries(&self) -> usize {
        self.entries
    }

    fn account(&mut self, record: &Record, is_added: bool) {
        self.digest ^= record.digest();
        if matches!(record.value, Some(Value::Entry(_))) {
            self.entries = if is_added { self.entries + 1 } else { self.entries.saturating_sub(1) };
        }
    }

    /// Stores a record, unless one of the same or a later version is held under its key. Returns whether it was stored.
    pub(crate) fn insert(&mut self, record: Record) -> bool {
        if let Some(held) = self.records.get(&record.key).cloned() {
            if held.version >= record.version {
                return false;
            }
            self.by_version.remove(&held.version);
            self.account(&held, false);
        }
        let record = Rc::new(record);
        self.account(&record, true);
        self.by_version.insert(record.version, record.clone());
        self.head = self.head.max(record.version);
        self.records.insert(record.key.clone(), record);
        true
    }

    /// No record up to this version is missing any more.
    pub(crate) fn set_complete_to(&mut self, version: Version) {
        self.complete_to = self.complete_to.max(version);
        self.head = self.head.max(version);
    }

    /// A version up to this one is known to exist.
    pub fn observe_head(&mut self, head: Version) {
        self.head = self.head.max(head);
    }

    /// Drops deleted records and ids of changes up to the horizon. A state that is complete only up to an earlier version
    /// then needs a snapshot.
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

    /// Whether a state that is complete up to this version needs a snapshot, as records deleted since are dropped here.
    pub fn needs_snapshot(&self, after: Version) -> bool {
        after < self.horizon && after > Version(0)
    }

    /// The records of a scope after a version, within so many bytes. A record that is larger goes alone.
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
        let (mut left, mut before) = (max_bytes, after);
        for (version, record) in self.by_version.range(after.next()..=last) {
            if scope.contains(&record.key) {
                let size = record.estimated_bytes();
                if size > left && !delta.records.is_empty() {
                    delta.to = before;
                    return delta;
                }
                left = left.saturating_sub(size);
                delta.records.push(record.as_ref().clone());
            }
            before = *version;
        }
        delta
    }

    /// Applies a delta of another holder.
    ///
    /// # Errors
    ///
    /// [`DeltaError`]; except for a gap, nothing has changed then.
    pub fn merge(&mut self, delta: &Delta) -> Result<Merged, DeltaError> {
        self.check_order(delta)?;
        if delta.records.iter().any(|record| self.is_forked_by(record)) || self.differs_from(delta) {
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
        // The delta of a holder that is behind is empty, and its head may be behind too.
        let is_ahead = delta.to > delta.after;
        if (is_ahead && delta.head < delta.to) || delta.horizon > delta.head {
            return Err(DeltaError::OutOfOrder);
        }
        Ok(())
    }

    /// Whether another record is held under the version, which is unique in one log.
    fn is_forked_by(&self, record: &Record) -> bool {
        self.by_version.get(&record.version).is_some_and(|held| held.as_ref() != record)
    }

    /// Whether both are complete up to the same version, and hold different records.
    fn differs_from(&self, delta: &Delta) -> bool {
        let is_comparable = self.is_complete()
            && delta.head == self.complete_to
            && delta.to == self.complete_to
            && delta.after == self.complete_to
            && delta.digest != 0;
        is_comparable && delta.digest != self.digest
    }
}
