//! A bounded last-writer-wins map that converges regardless of the order in which entries are merged, including
//! deletions.
//!
//! Of two entries with the same key, the one with the greater version wins; with equal versions, the one with the
//! greater value, and then the one with the greater owner. A merge thus takes the maximum, and is commutative,
//! associative and idempotent. A full map keeps the keys with the lowest hashes, which does not depend on the order of
//! arrival either.

use crate::entry::{key_hash, short_key_hash, Entry};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;

/// The number of buckets that keys are divided into for anti-entropy.
pub(crate) const BUCKETS: usize = 64;

/// The outcome of merging an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The entry was added or has replaced an older one.
    Applied,
    /// The map already has this entry or a newer one.
    Stale,
    /// The entry exceeds a size limit, or the map is full.
    Rejected,
}

/// One member's replica of the map.
pub struct ReplicatedMap {
    entries: BTreeMap<Rc<str>, Entry>,
    /// The keys by hash; the last one is evicted first when the map is full.
    eviction_order: BTreeSet<HashedKey>,
    /// The keys of each bucket: an index for anti-entropy, which often reads single buckets.
    bucket_keys: [BTreeSet<Rc<str>>; BUCKETS],
    bucket_digests: [u64; BUCKETS],
    max_entries: usize,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct HashedKey {
    hash: u64,
    key: Rc<str>,
}

impl HashedKey {
    fn new(key: Rc<str>) -> Self {
        HashedKey { hash: key_hash(&key), key }
    }
}

impl ReplicatedMap {
    /// An empty map for up to `max_entries` entries, including deleted ones.
    pub fn new(max_entries: usize) -> Self {
        ReplicatedMap {
            entries: BTreeMap::new(),
            eviction_order: BTreeSet::new(),
            bucket_keys: std::array::from_fn(|_| BTreeSet::new()),
            bucket_digests: [0; BUCKETS],
            max_entries,
        }
    }

    /// The entry of a key, also if it was deleted.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All entries in key order, including deleted ones.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The entries whose keys start with `prefix`, in key order, including deleted ones.
    pub(crate) fn entries_with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> {
        let from_prefix = self.entries.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        from_prefix.map(|(_, entry)| entry).take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// A digest of each bucket.
    pub(crate) fn bucket_digests(&self) -> &[u64; BUCKETS] {
        &self.bucket_digests
    }

    /// The entries of a bucket in key order; empty if there is no such bucket.
    pub(crate) fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = &Entry> {
        let keys = self.bucket_keys.get(bucket).into_iter().flatten();
        keys.filter_map(|key| self.entries.get(key))
    }

    /// The entries with these short key hashes, in key order.
    pub(crate) fn with_key_hashes(&self, hashes: &BTreeSet<u32>) -> Vec<&Entry> {
        // The bucket is determined by the low bits of the hash, which the short hash contains.
        let buckets: BTreeSet<usize> = hashes.iter().map(|hash| *hash as usize % BUCKETS).collect();
        let entries = buckets.into_iter().flat_map(|bucket| self.in_bucket(bucket));
        let mut found: Vec<_> =
            entries.filter(|entry| hashes.contains(&short_key_hash(&entry.key))).collect();
        found.sort_unstable_by_key(|entry| &entry.key);
        found
    }

    /// Merges an entry into the map.
    pub fn merge(&mut self, entry: Entry) -> MergeOutcome {
        if !entry.is_within_limits() {
            return MergeOutcome::Rejected;
        }
        if let Some(present) = self.entries.get(entry.key.as_str()) {
            if (present.version, &present.value, present.owner) >= (entry.version, &entry.value, entry.owner)
            {
                return MergeOutcome::Stale;
            }
        } else if self.entries.len() >= self.max_entries && !self.evict_for(&entry.key) {
            return MergeOutcome::Rejected;
        }
        self.remove(&entry.key);
        self.insert(entry);
        MergeOutcome::Applied
    }

    /// Makes room for `key` by removing the last key of the eviction order if `key` precedes it. Returns whether it
    /// does.
    fn evict_for(&mut self, key: &str) -> bool {
        let Some(last) = self.eviction_order.last().cloned() else { return false };
        let precedes = (key_hash(key), key) < (last.hash, &*last.key);
        if precedes {
            self.remove(&last.key);
        }
        precedes
    }

    fn insert(&mut self, entry: Entry) {
        let key: Rc<str> = entry.key.as_str().into();
        self.bucket_digests[bucket(&key)] ^= entry.state_hash();
        self.eviction_order.insert(HashedKey::new(key.clone()));
        self.bucket_keys[bucket(&key)].insert(key.clone());
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &str) {
        if let Some((key, entry)) = self.entries.remove_entry(key) {
            self.bucket_digests[bucket(&key)] ^= entry.state_hash();
            self.bucket_keys[bucket(&key)].remove(&key);
            self.eviction_order.remove(&HashedKey::new(key));
        }
    }
}

fn bucket(key: &str) -> usize {
    (key_hash(key) as usize) % BUCKETS
}
