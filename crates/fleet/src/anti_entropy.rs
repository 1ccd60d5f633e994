//! Anti-entropy: finds and repairs differences between two replicas that gossip did not resolve.
//!
//! A member sends its bucket digests to a peer. If many buckets differ, the replicas have little in common, and the
//! peer replies with entries right away. If only a few differ, the peer replies with the entry digests of one of these
//! buckets, and the two members exchange the entries that differ.

use crate::entry::{Entry, EntryDigest};
use crate::packet::Message;
use crate::replicated_map::{ReplicatedMap, BUCKETS};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// Payload budget for entries or digests in one datagram, in bytes.
const PAYLOAD_BYTES: usize = 1200;
/// Upper bound on the encoded size of an entry beyond its key and value, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Maximum number of entry digests in one datagram, at eight bytes each.
const MAX_DIGESTS: usize = 140;
/// Maximum number of keys requested in one datagram.
const MAX_REQUESTED_KEYS: usize = PAYLOAD_BYTES / 8;
/// If at most this many buckets differ, entry digests are compared before entries are sent.
const MAX_BUCKETS_TO_COMPARE: usize = 8;
/// Maximum number of entry datagrams sent at once if more buckets differ.
const MAX_ENTRY_DATAGRAMS: usize = 4;

/// The differences between the local and a peer's copy of one bucket.
pub(crate) struct BucketDifference {
    /// Entries that the peer lacks or has in another state, limited to one datagram.
    pub(crate) entries_to_send: Vec<Entry>,
    /// Short key hashes of the entries to request from the peer.
    pub(crate) keys_to_request: Vec<u32>,
}

impl ReplicatedMap {
    /// Returns the buckets whose digests differ from the peer's.
    pub(crate) fn differing_buckets(&self, peer_digests: &[u64]) -> Vec<usize> {
        if peer_digests.len() != BUCKETS {
            return Vec::new();
        }
        let own_digests = self.bucket_digests();
        (0..BUCKETS).filter(|bucket| own_digests[*bucket] != peer_digests[*bucket]).collect()
    }

    /// Builds the reply to a peer whose digests differ in these buckets, starting with a random one.
    pub(crate) fn reply_to_digests(&self, differing: &[usize], rng: &mut WyRand) -> Vec<Message> {
        if differing.is_empty() {
            return Vec::new();
        }
        let first = rng.generate_range(0..differing.len());
        if differing.len() > MAX_BUCKETS_TO_COMPARE {
            return self.entries_of_buckets(differing, first);
        }
        vec![self.bucket_summary(differing[first], rng)]
    }

    fn entries_of_buckets(&self, buckets: &[usize], first: usize) -> Vec<Message> {
        let rotated = buckets[first..].iter().chain(&buckets[..first]);
        let entries = rotated.flat_map(|bucket| self.in_bucket(*bucket)).cloned();
        let datagrams = pack_datagrams(entries).into_iter().take(MAX_ENTRY_DATAGRAMS);
        datagrams.map(Message::Entries).collect()
    }

    /// The entry digests of a bucket; if they do not fit in one datagram, as many as fit, from a random one on.
    fn bucket_summary(&self, bucket: usize, rng: &mut WyRand) -> Message {
        let mut entries: Vec<_> = self.in_bucket(bucket).map(Entry::digest).collect();
        if entries.len() > MAX_DIGESTS {
            let first = rng.generate_range(0..entries.len());
            entries.rotate_left(first);
            entries.truncate(MAX_DIGESTS);
        }
        Message::BucketSummary { bucket: bucket as u16, entries }
    }

    /// Compares a bucket with a peer's entry digests.
    pub(crate) fn compare_bucket(&self, bucket: usize, peer: &[EntryDigest]) -> BucketDifference {
        let peer: BTreeMap<u32, u32> = peer.iter().map(|digest| (digest.key, digest.state)).collect();
        let own: BTreeMap<u32, &Entry> =
            self.in_bucket(bucket).map(|entry| (entry.digest().key, entry)).collect();
        let differs_at_peer = |(key, entry): &(&u32, &&Entry)| peer.get(key) != Some(&entry.digest().state);
        let missing_at_peer = own.iter().filter(differs_at_peer).map(|(_, entry)| (*entry).clone());
        let own_state = |key: &u32| own.get(key).map(|entry| entry.digest().state);
        let missing_here = peer.iter().filter(|(key, state)| own_state(key) != Some(**state));
        BucketDifference {
            entries_to_send: first_datagram(missing_at_peer),
            keys_to_request: missing_here.map(|(key, _)| *key).take(MAX_REQUESTED_KEYS).collect(),
        }
    }

    /// Returns the entries that a peer has requested by short key hash, limited to one datagram.
    pub(crate) fn requested_entries(&self, key_hashes: &[u32]) -> Vec<Entry> {
        let key_hashes = key_hashes.iter().copied().collect();
        first_datagram(self.with_key_hashes(&key_hashes).into_iter().cloned())
    }
}

fn first_datagram(entries: impl Iterator<Item = Entry>) -> Vec<Entry> {
    pack_datagrams(entries).into_iter().next().unwrap_or_default()
}

/// Packs entries into datagrams, in order. Stops after one datagram more than [`MAX_ENTRY_DATAGRAMS`].
fn pack_datagrams(entries: impl Iterator<Item = Entry>) -> Vec<Vec<Entry>> {
    let mut datagrams: Vec<Vec<Entry>> = Vec::new();
    let mut remaining_bytes = 0;
    for entry in entries {
        let size = encoded_bytes(&entry);
        match datagrams.last_mut().filter(|_| size <= remaining_bytes) {
            Some(datagram) => datagram.push(entry),
            None => {
                datagrams.push(vec![entry]);
                remaining_bytes = PAYLOAD_BYTES;
            }
        }
        remaining_bytes = remaining_bytes.saturating_sub(size);
        if datagrams.len() > MAX_ENTRY_DATAGRAMS {
            break;
        }
    }
    datagrams
}

/// Estimates the encoded size of an entry.
fn encoded_bytes(entry: &Entry) -> usize {
    entry.key.len() + entry.value.as_ref().map_or(0, Vec::len) + ENTRY_OVERHEAD_BYTES
}
