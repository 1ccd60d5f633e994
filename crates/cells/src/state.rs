//! What the log came to: the latest record under each key, in the order of versions too, and who has which of them.

use crate::record::{Key, Record, Scope, Value, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The records that one holds, and up to where they are all there are.
///
/// For every key of its scope the record held is the latest of those up to `to`, or a later one, or there is a later one
/// by `head` still to come.
#[derive(Clone, Debug)]
pub struct State {
    scope: Scope,
    records: BTreeMap<Key, Rc<Record>>,
    by_version: BTreeMap<Version, Rc<Record>>,
    to: Version,
    /// The latest version heard of.
    head: Version,
    horizon: Version,
    digest: u64,
    entries: usize,
}

/// Records with versions after one and up to another: all of the scope that there are, in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    pub after: Version,
    pub to: Version,
    /// The latest version that the sender heard of; until that is reached, a record that it has in a later version may lack.
    pub head: Version,
    /// What is gone since before then is forgotten.
    pub horizon: Version,
    /// Of all that the sender holds, where it holds all up to `head`.
    pub digest: u64,
    pub records: Vec<Record>,
}

/// Why a delta changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    #[error("a gap before it: what lies between is asked for")]
    Gap,
    #[error("a record that is not in its span or out of order: see that all processes run one version")]
    Disorder,
    #[error(
        "two values for one version: a process or acceptor holds another log; start it with an empty state"
    )]
    Fork,
}

/// What merging brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Those that are new here.
    pub news: Vec<Record>,
    /// True where more is held all through than before.
    pub further: bool,
}

impl State {
    pub fn new(scope: Scope) -> Self {
        State {
            scope,
            records: BTreeMap::new(),
            by_version: BTreeMap::new(),
            to: Version(0),
            head: Version(0),
            horizon: Version(0),
            digest: 0,
            entries: 0,
        }
    }

    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// All up to here is held.
    pub fn to(&self) -> Version {
        self.to
    }

    pub fn head(&self) -> Version {
        self.head
    }

    pub fn horizon(&self) -> Version {
        self.horizon
    }

    /// True where nothing is known to be missing.
    pub fn whole(&self) -> bool {
        self.to >= self.head
    }

    /// One number for all that is there: equal where two that are whole hold the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key).map(Rc::as_ref)
    }

    /// All records, those without a value included, in the order of the keys.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(Rc::as_ref)
    }

    pub fn from(&self, first: &Key) -> impl Iterator<Item = &Record> {
        self.records.range(first.clone()..).map(|(_, record)| record.as_ref())
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many entries have a value.
    pub fn entries(&self) -> usize {
        self.entries
    }

    fn count(&mut self, record: &Record, add: bool) {
        self.digest ^= record.digest();
        if matches!(record.value, Some(Value::Entry(_))) {
            self.entries = if add { self.entries + 1 } else { self.entries.saturating_sub(1) };
        }
    }

    /// Takes a record in where it is later than what is held.
    pub(crate) fn set(&mut self, record: Record) -> bool {
        if let Some(held) = self.records.get(&record.key).cloned() {
            if held.version >= record.version {
                return false;
            }
            self.by_version.remove(&held.version);
            self.count(&held, false);
        }
        let record = Rc::new(record);
        self.count(&record, true);
        self.by_version.insert(record.version, record.clone());
        self.head = self.head.max(record.version);
        self.records.insert(record.key.clone(), record);
        true
    }

    pub(crate) fn reach(&mut self, to: Version) {
        self.to = self.to.max(to);
        self.head = self.head.max(to);
    }

    /// Somebody holds all up to there.
    pub fn heard_of(&mut self, head: Version) {
        self.head = self.head.max(head);
    }

    /// Forgets what was gone, or counted, by then: who holds less than that is given a snapshot.
    pub(crate) fn forget(&mut self, horizon: Version) {
        let horizon = horizon.min(self.to);
        if horizon <= self.horizon {
            return;
        }
        let old: Vec<_> = self.by_version.range(..=horizon).map(|(_, record)| record.clone()).collect();
        for record in old.iter().filter(|record| matches!(record.value, None | Some(Value::Done))) {
            self.by_version.remove(&record.version);
            self.records.remove(&record.key);
        }
        self.horizon = horizon;
    }

    /// True where who holds all up to there needs all anew: what went since is forgotten here.
    pub fn needs_snapshot(&self, after: Version) -> bool {
        after < self.horizon && after > Version(0)
    }

    /// What is newer than `after`, up to `until`, within so many bytes.
    pub fn newer(&self, scope: Scope, after: Version, until: Version, room: usize) -> Delta {
        let last = until.min(self.to);
        let mut delta = Delta {
            after,
            to: last.max(after),
            head: self.head,
            horizon: self.horizon,
            digest: if self.whole() && scope == self.scope { self.digest } else { 0 },
            records: Vec::new(),
        };
        if after >= last {
            return delta;
        }
        let (mut left, mut before) = (room, after);
        for (version, record) in self.by_version.range(after.next()..=last) {
            if scope.has(&record.key) {
                let size = record.size();
                // One that is longer than the room goes alone.
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

    /// Versions that cut what is newer than `after` into parts of so many bytes, the last one `to`.
    pub fn cuts(&self, scope: Scope, after: Version, room: usize, most: usize) -> Vec<Version> {
        let mut cuts = Vec::new();
        if after >= self.to {
            return cuts;
        }
        let (mut left, mut before) = (room, after);
        for (version, record) in self.by_version.range(after.next()..=self.to) {
            if scope.has(&record.key) {
                if record.size() > left && before > after {
                    cuts.push(before);
                    if cuts.len() == most {
                        return cuts;
                    }
                    left = room;
                }
                left = left.saturating_sub(record.size());
            }
            before = *version;
        }
        cuts.push(self.to);
        cuts
    }

    /// Takes in what another holds.
    pub fn merge(&mut self, delta: &Delta) -> Result<Merged, DeltaError> {
        let mut last = delta.after;
        for record in &delta.records {
            if record.version <= last || record.version > delta.to || !self.scope.has(&record.key) {
                return Err(DeltaError::Disorder);
            }
            last = record.version;
        }
        // Who holds less than the asker has nothing to give.
        let gives = delta.to > delta.after;
        if (gives && delta.head < delta.to) || delta.horizon > delta.head {
            return Err(DeltaError::Disorder);
        }
        if delta.records.iter().any(|record| self.forks(record)) || self.differs(delta) {
            return Err(DeltaError::Fork);
        }
        let to = self.to;
        let newer = delta.records.iter().filter(|record| record.version > to);
        let mut merged = Merged::default();
        for record in newer {
            if self.set(record.clone()) {
                merged.news.push(record.clone());
            }
        }
        self.head = self.head.max(delta.head);
        if delta.after > self.to {
            return if merged.news.is_empty() { Err(DeltaError::Gap) } else { Ok(merged) };
        }
        merged.further = delta.to > self.to;
        self.to = self.to.max(delta.to);
        self.forget(delta.horizon);
        Ok(merged)
    }

    /// Two values for one version: one log has only one.
    fn forks(&self, record: &Record) -> bool {
        self.by_version.get(&record.version).is_some_and(|held| held.as_ref() != record)
    }

    /// Both hold all up to the same version, and not the same.
    fn differs(&self, delta: &Delta) -> bool {
        let same_place = self.whole() && delta.head == self.to && delta.to == self.to && delta.digest != 0;
        same_place && delta.after == self.to && delta.digest != self.digest
    }
}
