//! How a namespace, or the grants, go round a fleet: in pieces that fit in an entry each, and in force when all are there.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// What a piece may hold, in bytes, and how many there may be.
pub const PIECE: usize = 800;
pub const MOST_PIECES: usize = 64;

/// What stands under the whole's own key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub version: u64,
    pub pieces: u16,
    pub sum: u64,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} bytes, where {most} are the most: shorten names, or join rules", most = PIECE * MOST_PIECES)]
pub struct TooLong(pub usize);

/// The key of a piece, below that of the whole.
pub fn key(whole: &str, piece: usize) -> String {
    format!("{whole}/{piece:02}")
}

pub fn cut<T: Serialize>(version: u64, whole: &T) -> Result<(Head, Vec<Vec<u8>>), TooLong> {
    let bytes = postcard::to_stdvec(whole).unwrap_or_default();
    let pieces: Vec<_> = bytes.chunks(PIECE).map(<[u8]>::to_vec).collect();
    if pieces.len() > MOST_PIECES {
        return Err(TooLong(bytes.len()));
    }
    Ok((Head { version, pieces: pieces.len() as u16, sum: xxh3_64(&bytes) }, pieces))
}

/// The whole, once all of its pieces are there. Guards against pieces of two versions making a third.
pub fn join<T: DeserializeOwned>(head: &Head, piece: impl Fn(usize) -> Option<Vec<u8>>) -> Option<T> {
    let pieces = usize::from(head.pieces);
    if pieces > MOST_PIECES {
        return None;
    }
    let bytes: Vec<u8> = (0..pieces).map(piece).collect::<Option<Vec<_>>>()?.concat();
    (xxh3_64(&bytes) == head.sum).then(|| postcard::from_bytes(&bytes).ok()).flatten()
}
