//! Replication of values that are larger than one entry of the replicated map: a value is split into chunks under keys
//! of their own, and a header under its own key says when all chunks of one version have arrived.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Size of every chunk but the last, so that a chunk with its key fits in one datagram.
pub const CHUNK_BYTES: usize = 800;
/// Chunks of one value at most.
pub const MAX_CHUNKS: usize = 64;

/// What stands under the key of the value itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkHeader {
    /// Version of the value.
    pub version: u64,
    /// Number of chunks.
    pub chunks: u16,
    /// XXH3 of the encoded value, so that chunks of different versions are never taken for one value.
    pub checksum: u64,
}

/// A value with its header, ready to be replicated.
pub struct ChunkedValue {
    /// Goes under the key of the value.
    pub header: ChunkHeader,
    /// Go under the keys of [`chunk_key`], in their order.
    pub chunks: Vec<Vec<u8>>,
}

/// A value has more bytes than the chunks can hold.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} bytes, where {most} are the most: shorten names, or join rules", most = CHUNK_BYTES * MAX_CHUNKS)]
pub struct TooLargeError(pub usize);

/// The key of a chunk of the value under `key`.
pub fn chunk_key(key: &str, index: usize) -> String {
    format!("{key}/{index:02}")
}

/// Encodes a value and splits it into chunks.
///
/// # Errors
///
/// [`TooLargeError`] with the encoded size.
pub fn split<T: Serialize>(version: u64, value: &T) -> Result<ChunkedValue, TooLargeError> {
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    let chunks: Vec<_> = bytes.chunks(CHUNK_BYTES).map(<[u8]>::to_vec).collect();
    if chunks.len() > MAX_CHUNKS {
        return Err(TooLargeError(bytes.len()));
    }
    let header = ChunkHeader { version, chunks: chunks.len() as u16, checksum: xxh3_64(&bytes) };
    Ok(ChunkedValue { header, chunks })
}

/// The value, once all of its chunks are there; none while one is missing or of another version.
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
