//! Replication of values that are too large for one entry of the replicated map. The encoded value is split into
//! chunks, each stored under its own key. A header stored under the key of the value tells whether all chunks of one
//! version have arrived.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Size of all chunks except the last one. Small enough for a chunk and its key to fit in one datagram.
pub const CHUNK_BYTES: usize = 800;
/// Maximum number of chunks of a value.
pub const MAX_CHUNKS: usize = 64;

/// The header of a chunked value, stored under the key of the value. Encoded by field position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkHeader {
    /// Version of the value.
    pub version: u64,
    /// Number of chunks.
    pub chunks: u16,
    /// XXH3 hash of the encoded value, so that chunks of different versions are never combined.
    pub checksum: u64,
}

/// The header and chunks of a value.
pub struct ChunkedValue {
    /// To be stored under the key of the value.
    pub header: ChunkHeader,
    /// To be stored under the keys that [`chunk_key`] returns for their indexes.
    pub chunks: Vec<Vec<u8>>,
}

/// The encoded value, of this many bytes, does not fit in [`MAX_CHUNKS`] chunks.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} bytes exceed the limit of {limit}: shorten names, or merge rules", limit = CHUNK_BYTES * MAX_CHUNKS)]
pub struct TooLargeError(pub usize);

/// The key of the chunk with this index of the value stored under `key`.
pub fn chunk_key(key: &str, index: usize) -> String {
    format!("{key}/{index:02}")
}

/// Encodes a value and splits it into chunks.
///
/// # Errors
///
/// [`TooLargeError`] if the encoded value is too large.
pub fn split<T: Serialize>(version: u64, value: &T) -> Result<ChunkedValue, TooLargeError> {
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    let chunks: Vec<_> = bytes.chunks(CHUNK_BYTES).map(<[u8]>::to_vec).collect();
    if chunks.len() > MAX_CHUNKS {
        return Err(TooLargeError(bytes.len()));
    }
    let header = ChunkHeader { version, chunks: chunks.len() as u16, checksum: xxh3_64(&bytes) };
    Ok(ChunkedValue { header, chunks })
}

/// Reassembles and decodes a value. `None` if a chunk is missing or belongs to another version.
pub fn reassemble<T: DeserializeOwned>(
    header: &ChunkHeader,
    chunk: impl Fn(usize) -> Option<Vec<u8>>,
) -> Option<T> {
    let count = usize::from(header.chunks);
    if count > MAX_CHUNKS {
        return None;
    }
    let bytes = (0..count).map(chunk).collect::<Option<Vec<_>>>()?.concat();
    if xxh3_64(&bytes) != header.checksum {
        return None;
    }
    postcard::from_bytes(&bytes).ok()
}
