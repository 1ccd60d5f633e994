//! The file that outlives a process: two generations, each with a checksum, the format's version, and whose it is.

use serde::{Deserialize, Serialize};
use shelfgrade_fleet::Entry;
use xxhash_rust::xxh3::xxh3_128;

/// The format that is written; an older one could be read, a newer one cannot.
pub const FORMAT: u16 = 1;
/// How many files there are: while one is written the other is whole.
pub const GENERATIONS: usize = 2;
const MAGIC: [u8; 8] = *b"SHELFGRD";
const HEAD: usize = MAGIC.len() + 2 + 8 + 16;
/// Far more than all that is kept takes.
const LONGEST: usize = 64 << 20;

/// What is kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Whose it is.
    pub fleet: String,
    pub name: String,
    /// Counts up with each writing.
    pub sequence: u64,
    /// Unix time by the clock of the machine that wrote it, in milliseconds; for the log, nothing is decided by it.
    pub written_at_ms: u64,
    /// The greatest number that a life of this process has had.
    pub started_at: u64,
    /// All that the fleet shares, deleted entries included.
    pub entries: Vec<Entry>,
    /// Where connections stood.
    pub held: Vec<HeldSession>,
}

/// A client key's hash, the server that holds its connection, and that server's start, in Unix milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldSession {
    pub key: u64,
    pub server: String,
    pub started_ms: f64,
}

/// Why a file is not used. The process starts without it, and asks its fellows and discovery.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    #[error("empty: the power went as it was made, or the disk is full; it is written anew")]
    Empty,
    #[error(
        "torn at {held} of {wanted} bytes: the power went as it was written; the other generation serves"
    )]
    Torn { held: usize, wanted: usize },
    #[error("no snapshot: something else has this name; see that `state_dir` is this process's alone")]
    NotASnapshot,
    #[error("damaged: its checksum does not match; see the disk. It is written anew")]
    Damaged,
    #[error(
        "of format {0}, where this program reads {FORMAT} at most: start the newer program, or go without it"
    )]
    UnsupportedFormat(u16),
    #[error("of the fleet {0}: each fleet needs a `state_dir` of its own")]
    OtherFleet(String),
    #[error("of the process {0}: a copied disk? Each process needs a `state_dir` of its own")]
    OtherMember(String),
}

/// What the snapshot files of a process yield.
#[derive(Debug, Default, PartialEq)]
pub struct LoadedSnapshots {
    /// The usable snapshot with the highest sequence number.
    pub newest: Option<Snapshot>,
    /// The files that cannot be used.
    pub rejected: Vec<RejectedGeneration>,
}

/// A snapshot file that cannot be used.
#[derive(Debug, PartialEq)]
pub struct RejectedGeneration {
    /// The index of the file, below [`GENERATIONS`].
    pub generation: usize,
    /// Why it is not used.
    pub error: SnapshotError,
}

pub fn encode(saved: &Snapshot) -> Vec<u8> {
    // What is kept is made of numbers, texts and lists: it has no way to fail.
    let body = postcard::to_stdvec(saved).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend(MAGIC);
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend((body.len() as u64).to_le_bytes());
    bytes.extend(xxh3_128(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

pub fn decode(bytes: &[u8], fleet: &str, name: &str) -> Result<Snapshot, SnapshotError> {
    if bytes.is_empty() {
        return Err(SnapshotError::Empty);
    }
    let known = bytes.len().min(MAGIC.len());
    if bytes[..known] != MAGIC[..known] {
        return Err(SnapshotError::NotASnapshot);
    }
    let torn = |wanted| SnapshotError::Torn { held: bytes.len(), wanted };
    let Some((head, body)) = bytes.split_at_checked(HEAD) else { return Err(torn(HEAD)) };
    let format = u16::from_le_bytes([head[8], head[9]]);
    if format > FORMAT {
        return Err(SnapshotError::UnsupportedFormat(format));
    }
    let length = head[10..18].try_into().map_or(u64::MAX, u64::from_le_bytes);
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > LONGEST {
        return Err(SnapshotError::Damaged);
    }
    if body.len() < length {
        return Err(torn(HEAD + length));
    }
    let sum = head[18..].try_into().map_or(0, u128::from_le_bytes);
    let body = &body[..length];
    if xxh3_128(body) != sum {
        return Err(SnapshotError::Damaged);
    }
    let saved: Snapshot = postcard::from_bytes(body).map_err(|_| SnapshotError::Damaged)?;
    if saved.fleet != fleet {
        return Err(SnapshotError::OtherFleet(saved.fleet));
    }
    if saved.name != name {
        return Err(SnapshotError::OtherMember(saved.name));
    }
    Ok(saved)
}

/// Of two generations the newer one that can be used, and what is wrong with the others; a file that is not there is
/// no fault.
pub fn select_newest(files: &[Option<Vec<u8>>], fleet: &str, name: &str) -> LoadedSnapshots {
    let mut best: Option<Snapshot> = None;
    let mut rejected = Vec::new();
    for (generation, bytes) in files.iter().enumerate().filter_map(|(i, bytes)| Some((i, bytes.as_ref()?))) {
        match decode(bytes, fleet, name) {
            Ok(saved) if best.as_ref().is_none_or(|best| saved.sequence > best.sequence) => {
                best = Some(saved)
            }
            Ok(_) => {}
            Err(error) => rejected.push(RejectedGeneration { generation, error }),
        }
    }
    LoadedSnapshots { newest: best, rejected }
}

/// Which file a writing goes to: never the one that holds the last good state.
pub fn generation(number: u64) -> usize {
    (number % GENERATIONS as u64) as usize
}

#[cfg(test)]
#[path = "../tests/unit/snapshot.rs"]
mod tests;
