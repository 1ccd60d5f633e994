//! Namespaces and schedules in the map that the fleet replicates: each value is written and read in chunks.

use serde::{de::DeserializeOwned, Serialize};
use shelfgrade_maintenance::error::ScheduleError;
use shelfgrade_namespaces::chunks::{chunk_key, reassemble, split, ChunkHeader, ChunkedValue, TooLargeError};
use shelfgrade_namespaces::error::NamespaceError;

/// The replicated map of the fleet, as far as this folder uses it.
pub trait ReplicatedStore {
    /// The value under a key.
    fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T>;

    /// Puts a value under a key; a version that is not newer than the one there changes nothing.
    ///
    /// # Errors
    ///
    /// Why the value cannot be replicated, for the operator.
    fn put<T: Serialize>(&self, key: &str, value: &T, version: u64) -> Result<(), String>;
}

/// Why a file was not replicated.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It cannot be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// It holds no valid namespace or grants.
    #[error(transparent)]
    Namespace(#[from] NamespaceError),
    /// It holds no valid schedule.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    /// It is too large for the replicated map.
    #[error(transparent)]
    TooLarge(#[from] TooLargeError),
    /// The replicated map refused it.
    #[error("{0}")]
    Store(String),
}

/// Puts a value into the replicated map in chunks. The header goes last, as readers wait for it.
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

/// Reads a value that [`put_chunked`] wrote; none until all of its chunks are there.
pub fn get_chunked<T: DeserializeOwned>(key: &str, store: &impl ReplicatedStore) -> Option<T> {
    let header: ChunkHeader = store.get(key)?;
    reassemble(&header, |index| store.get(&chunk_key(key, index)))
}
