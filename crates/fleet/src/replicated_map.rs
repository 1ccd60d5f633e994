//! What all know: a bounded map of entries that merges to the same in any order, deletions included.
//!
//! Of two entries with one key the one with the greater version stays, of two with one version the one with the greater
//! value, so that merging is a maximum: who has heard the same has the same. Where there are more keys than the bound
//! the ones whose hashes are least stay, whatever order they came in.

use crate::roster::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The longest key and value, in bytes: an entry has to fit in one datagram with what is round it.
pub const MAX_KEY_BYTES: usize = 96;
pub const MAX_VALUE_BYTES: usize = 900;
/// How many parts of the map are compared by themselves.
pub const BUCKETS: usize = 64;
/// Counts beyond this are none that anybody reached by counting.
const MOST_COUNT: u64 = 1 << 62;

/// Which of two states of an entry is newer, the same at every process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    pub count: u64,
    /// Tells apart what two counted to at once.
    pub by: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub key: String,
    pub version: Version,
    /// Who wrote it.
    pub owner: MemberId,
    /// None where it was deleted.
    pub value: Option<Vec<u8>>,
}

/// What became of an entry that was merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    Applied,
    Stale,
    Rejected,
}

impl Entry {
    fn hash(&self) -> u64 {
        let stamp =
            xxh3_64_with_seed(self.key.as_bytes(), self.version.count ^ self.version.by.rotate_left(32));
        let value = self.value.as_deref().map_or(1, xxh3_64);
        xxh3_64_with_seed(&value.to_le_bytes(), stamp ^ u64::from(self.owner.0))
    }

    pub fn fits(&self) -> bool {
        self.key.len() <= MAX_KEY_BYTES
            && self.value.as_ref().is_none_or(|value| value.len() <= MAX_VALUE_BYTES)
            && self.version.count <= MOST_COUNT
    }
}

/// By the hash of its key: what stands where the bound is reached, and which part of the map it is in.
fn place(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

pub fn bucket(key: &str) -> usize {
    (place(key) as usize) % BUCKETS
}

pub struct ReplicatedMap {
    entries: BTreeMap<Rc<str>, Entry>,
    /// The keys by the hashes that decide who stays.
    places: BTreeSet<(u64, Rc<str>)>,
    /// The keys of each part. Guards against hashing all keys for each part that is compared.
    parts: [BTreeSet<Rc<str>>; BUCKETS],
    digest: [u64; BUCKETS],
    most: usize,
}

impl ReplicatedMap {
    /// `most`: how many entries it holds, deleted ones included.
    pub fn new(most: usize) -> Self {
        ReplicatedMap {
            entries: BTreeMap::new(),
            places: BTreeSet::new(),
            parts: std::array::from_fn(|_| BTreeSet::new()),
            digest: [0; BUCKETS],
            most,
        }
    }

    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All entries in the order of their keys, deleted ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The entries whose keys begin so.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> {
        let from = self.entries.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        from.map(|(_, entry)| entry).take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// What each part of the map holds, in one number.
    pub fn digest(&self) -> &[u64; BUCKETS] {
        &self.digest
    }

    pub fn in_bucket(&self, of: usize) -> impl Iterator<Item = &Entry> {
        self.parts.get(of).into_iter().flatten().filter_map(|key| self.entries.get(key))
    }

    /// The entries with these short hashes of their keys, as in [`state`], in the order of their keys. A short hash
    /// names its part too.
    pub fn with_hashes(&self, wanted: &BTreeSet<u32>) -> Vec<&Entry> {
        let parts: BTreeSet<usize> = wanted.iter().map(|hash| *hash as usize % BUCKETS).collect();
        let entries = parts.into_iter().flat_map(|part| self.in_bucket(part));
        let mut found: Vec<_> =
            entries.filter(|entry| wanted.contains(&(place(&entry.key) as u32))).collect();
        found.sort_unstable_by_key(|entry| &entry.key);
        found
    }

    pub fn merge(&mut self, entry: Entry) -> MergeOutcome {
        if !entry.fits() {
            return MergeOutcome::Rejected;
        }
        if let Some(held) = self.entries.get(entry.key.as_str()) {
            if (held.version, &held.value, held.owner) >= (entry.version, &entry.value, entry.owner) {
                return MergeOutcome::Stale;
            }
        } else if self.entries.len() >= self.most {
            let last = self.places.last().cloned();
            let Some(last) = last.filter(|last| (place(&entry.key), &*entry.key) < (last.0, &*last.1)) else {
                return MergeOutcome::Rejected;
            };
            self.forget(&last.1);
        }
        self.forget(&entry.key);
        self.digest[bucket(&entry.key)] ^= entry.hash();
        let key: Rc<str> = entry.key.as_str().into();
        self.places.insert((place(&key), key.clone()));
        self.parts[bucket(&key)].insert(key.clone());
        self.entries.insert(key, entry);
        MergeOutcome::Applied
    }

    fn forget(&mut self, key: &str) {
        if let Some((key, held)) = self.entries.remove_entry(key) {
            self.digest[bucket(&key)] ^= held.hash();
            self.parts[bucket(&key)].remove(&key);
            self.places.remove(&(place(&key), key));
        }
    }
}

/// What tells one state of an entry from another, short.
pub fn state(entry: &Entry) -> (u32, u32) {
    (place(&entry.key) as u32, entry.hash() as u32)
}
