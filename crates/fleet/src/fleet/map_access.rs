//! Reads and writes the replicated map.

use super::Fleet;
use crate::entry::{Entry, Version, MAX_KEY_BYTES, MAX_VALUE_BYTES};
use crate::environment::Environment;
use crate::replicated_map::MergeOutcome;
use serde::{de::DeserializeOwned, Serialize};

/// Why a write to the replicated map failed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum PutError {
    /// The key exceeds [`MAX_KEY_BYTES`] or the value exceeds [`MAX_VALUE_BYTES`].
    #[error(
        "{key}: the key exceeds {MAX_KEY_BYTES} bytes, or its value of {length} bytes exceeds {MAX_VALUE_BYTES}: \
         shorten them, or split the value over several keys"
    )]
    TooLong {
        /// The key.
        key: String,
        /// The encoded length of the value in bytes.
        length: usize,
    },
    /// The map is full, and the entry with this key was not stored.
    #[error("{0}: the replicated map is full: delete entries that are no longer used")]
    Full(String),
}

impl Fleet {
    /// The value of a key; `None` if it does not exist, was deleted, or cannot be decoded.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        decode_value(self.replica.borrow().map.get(key)?)
    }

    /// The version of a key, also if it was deleted.
    pub fn version(&self, key: &str) -> Option<Version> {
        self.replica.borrow().map.get(key).map(|entry| entry.version)
    }

    /// The entries whose keys start with `prefix` and whose values can be decoded, in key order.
    pub fn entries_with_prefix<T: DeserializeOwned>(&self, prefix: &str) -> Vec<(Entry, T)> {
        let replica = self.replica.borrow();
        let entries = replica.map.entries_with_prefix(prefix);
        entries.filter_map(|entry| Some((entry.clone(), decode_value(entry)?))).collect()
    }

    /// All entries in key order, including deleted ones.
    pub fn entries(&self) -> Vec<Entry> {
        self.replica.borrow().map.iter().cloned().collect()
    }

    /// A digest of the map; members with the same entries have the same digest.
    pub fn state_digest(&self) -> u64 {
        let replica = self.replica.borrow();
        replica.map.bucket_digests().iter().fold(0, |digest, bucket| digest.rotate_left(5) ^ bucket)
    }

    /// Writes a value with a version newer than the current one.
    ///
    /// # Errors
    ///
    /// If the key or the value is too long, or the map is full.
    pub fn put<T: Serialize>(
        &mut self,
        key: &str,
        value: &T,
        environment: &mut dyn Environment,
    ) -> Result<Version, PutError> {
        let version = self.next_version(self.version(key));
        self.put_version(key, value, version, environment).map(|()| version)
    }

    /// Writes a value with the given version. Has no effect if the version is not newer than the current one.
    ///
    /// # Errors
    ///
    /// If the key or the value is too long, or the map is full.
    pub fn put_version<T: Serialize>(
        &mut self,
        key: &str,
        value: &T,
        version: Version,
        environment: &mut dyn Environment,
    ) -> Result<(), PutError> {
        let value = postcard::to_stdvec(value).unwrap_or_default();
        if value.len() > MAX_VALUE_BYTES || key.len() > MAX_KEY_BYTES {
            return Err(PutError::TooLong { key: key.to_owned(), length: value.len() });
        }
        self.write(key, Some(value), version, environment)
    }

    /// Deletes a key at all members. Deleting a key that does not exist is not an error.
    ///
    /// # Errors
    ///
    /// If the map is full.
    pub fn delete(&mut self, key: &str, environment: &mut dyn Environment) -> Result<(), PutError> {
        let Some(current) = self.version(key) else { return Ok(()) };
        self.write(key, None, self.next_version(Some(current)), environment)
    }

    fn next_version(&self, current: Option<Version>) -> Version {
        Version {
            count: current.map_or(1, |current| current.count + 1),
            writer_incarnation: self.me.started_at,
        }
    }

    fn write(
        &mut self,
        key: &str,
        value: Option<Vec<u8>>,
        version: Version,
        environment: &mut dyn Environment,
    ) -> Result<(), PutError> {
        let entry = Entry { key: key.to_owned(), version, owner: self.me.member, value };
        let outcome = self.replica.borrow_mut().map.merge(entry.clone());
        match outcome {
            MergeOutcome::Applied => {
                self.swim.gossip(&entry);
                environment.entry_changed(&entry);
                Ok(())
            }
            MergeOutcome::Stale => Ok(()),
            MergeOutcome::Rejected => Err(PutError::Full(entry.key)),
        }
    }

    /// Merges the entries of an earlier incarnation without gossiping them or reporting changes. Anti-entropy sends
    /// them to peers that lack them.
    pub fn restore(&mut self, entries: Vec<Entry>) {
        let mut replica = self.replica.borrow_mut();
        for entry in entries {
            replica.map.merge(entry);
        }
    }
}

fn decode_value<T: DeserializeOwned>(entry: &Entry) -> Option<T> {
    entry.value.as_deref().and_then(|value| postcard::from_bytes(value).ok())
}
