//! Stores namespaces and maintenance schedules in the fleet's replicated map. Each value is written and read in chunks,
//! as it may be larger than one entry of the map.

use serde::{de::DeserializeOwned, Serialize};
use shelfgrade_maintenance::error::ScheduleError;
use shelfgrade_namespaces::chunks::{chunk_key, reassemble, split, ChunkHeader, ChunkedValue, TooLargeError};
use shelfgrade_namespaces::error::NamespaceError;

/// Access to the fleet's replicated map.
pub trait ReplicatedStore {
    /// Returns the value of a key.
    fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T>;

    /// Stores a value under a key, unless the stored version is at least as new.
    ///
    /// # Errors
    ///
    /// A message for the operator if the value cannot be replicated.
    fn put<T: Serialize>(&self, key: &str, value: &T, version: u64) -> Result<(), String>;
}

/// Why a namespace, grants or schedule file was not replicated.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// The file contains no valid namespace or grants.
    #[error(transparent)]
    Namespace(#[from] NamespaceError),
    /// The file contains no valid maintenance schedule.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    /// The value is too large for the replicated map.
    #[error(transparent)]
    TooLarge(#[from] TooLargeError),
    /// The replicated map rejected the value.
    #[error("{0}")]
    Store(String),
}

/// Writes a value to the replicated map in chunks. The header is written last, because readers use the value only when
/// they have received the header.
pub fn put_chunked<T: Serialize>(
    key: &str,
    version: u64,
    value: &T,
    store: &impl ReplicatedStore,
) -> Result<(), LoadError> {
    let ChunkedValue { header, chunks } = split(version, value)?;
    for (index, chunk) in chunks.iter().enumerate() {
        store.put(&chunk_key(key, index), chunk, version).map_err(LoadError::Store)?;
    }
    store.put(key, &header, version).map_err(LoadError::Store)
}

/// Reads a value written by [`put_chunked`]; none until the header and all chunks have been received.
pub fn get_chunked<T: DeserializeOwned>(key: &str, store: &impl ReplicatedStore) -> Option<T> {
    let header: ChunkHeader = store.get(key)?;
    reassemble(&header, |index| store.get(&chunk_key(key, index)))
}
