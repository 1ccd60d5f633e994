//! Entries of the replicated map.

use crate::roster::MemberId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum length of a key in bytes; an entry has to fit in one datagram.
pub const MAX_KEY_BYTES: usize = 96;
/// Maximum length of an encoded value in bytes; an entry has to fit in one datagram.
pub const MAX_VALUE_BYTES: usize = 900;
/// Maximum version count. Incrementing never gets this far, so a higher count is invalid.
const MAX_COUNT: u64 = 1 << 62;

/// The version of an entry; the greatest version wins. Encoded by field position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Incremented with each write.
    pub count: u64,
    /// The start of the writer's incarnation, which breaks ties between concurrent writes.
    pub writer_incarnation: u64,
}

/// A key-value pair of the replicated map. Encoded by field position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key, at most [`MAX_KEY_BYTES`] long.
    pub key: String,
    /// Determines which of two states of the entry is newer.
    pub version: Version,
    /// The member that wrote this version.
    pub owner: MemberId,
    /// The encoded value, at most [`MAX_VALUE_BYTES`] long; `None` is the tombstone of a deleted entry.
    pub value: Option<Vec<u8>>,
}

/// A short digest of an entry's key and state. Encoded by field position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryDigest {
    pub(crate) key: u32,
    pub(crate) state: u32,
}

impl Entry {
    /// A hash of the key, version, owner and value.
    pub(crate) fn state_hash(&self) -> u64 {
        let version_seed = self.version.count ^ self.version.writer_incarnation.rotate_left(32);
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

/// The low 32 bits of the key's hash, as used in entry digests.
pub(crate) fn short_key_hash(key: &str) -> u32 {
    key_hash(key) as u32
}
