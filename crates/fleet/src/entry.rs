//! Entries of the replicated map.

use crate::roster::MemberId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The longest key, in bytes; an entry has to fit in one datagram.
pub const MAX_KEY_BYTES: usize = 96;
/// The longest value, in bytes; an entry has to fit in one datagram.
pub const MAX_VALUE_BYTES: usize = 900;
/// Higher counts cannot result from counting, so they are rejected.
const MAX_COUNT: u64 = 1 << 62;

/// Orders the states of an entry; the greatest wins. Encoded by the position of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Goes up with each write.
    pub count: u64,
    /// Decides between concurrent writes: the start of the writer's incarnation.
    pub by: u64,
}

/// One key of the replicated map with its value. Encoded by the position of the fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// At most [`MAX_KEY_BYTES`] long.
    pub key: String,
    /// Which of two states of the entry is newer.
    pub version: Version,
    /// The member that wrote it.
    pub owner: MemberId,
    /// At most [`MAX_VALUE_BYTES`] long; none where the entry was deleted.
    pub value: Option<Vec<u8>>,
}

/// A short digest of an entry's state. Encoded by the position of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryDigest {
    pub(crate) key: u32,
    pub(crate) state: u32,
}

impl Entry {
    /// A hash of everything in the entry.
    pub(crate) fn state_hash(&self) -> u64 {
        let version_seed = self.version.count ^ self.version.by.rotate_left(32);
        let key_and_version = xxh3_64_with_seed(self.key.as_bytes(), version_seed);
        let value = self.value.as_deref().map_or(1, xxh3_64);
        xxh3_64_with_seed(&value.to_le_bytes(), key_and_version ^ u64::from(self.owner.0))
    }

    pub(crate) fn digest(&self) -> EntryDigest {
        EntryDigest { key: short_key_hash(&self.key), state: self.state_hash() as u32 }
    }

    pub(crate) fn is_within_limits(&self) -> bool {
        self.key.len() <= MAX_KEY_BYTES
            && self.value.as_ref().is_none_or(|value| value.len() <= MAX_VALUE_BYTES)
            && self.version.count <= MAX_COUNT
    }
}

pub(crate) fn key_hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// The part of the key's hash that digests have.
pub(crate) fn short_key_hash(key: &str) -> u32 {
    key_hash(key) as u32
}
