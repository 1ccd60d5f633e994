//! The file format of the state that survives a restart.
//!
//! Snapshots are written to [`GENERATIONS`] files in turn, so that one of them is intact while another is being
//! written. A file consists of a magic number, the format version, the length and checksum of the body, and the body
//! encoded with postcard. The body contains the names of the fleet and the process that it belongs to.

use serde::{Deserialize, Serialize};
use shelfgrade_fleet::Entry;
use xxhash_rust::xxh3::xxh3_128;

/// The format version that is written. Older versions can be read, newer ones cannot.
pub const FORMAT: u16 = 1;
/// The number of snapshot files.
pub const GENERATIONS: usize = 2;

const MAGIC: [u8; 8] = *b"SHELFGRD";
const FORMAT_AT: usize = MAGIC.len();
const LENGTH_AT: usize = FORMAT_AT + size_of::<u16>();
const CHECKSUM_AT: usize = LENGTH_AT + size_of::<u64>();
const HEADER_BYTES: usize = CHECKSUM_AT + size_of::<u128>();
/// Maximum length of a body in bytes, far longer than any that is written.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The state of a process that survives a restart. Stored by field position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The name of the fleet.
    pub fleet: String,
    /// The name of the process.
    pub name: String,
    /// Incremented with each snapshot.
    pub sequence: u64,
    /// When the snapshot was written, as Unix time in milliseconds by the writer's clock. Informational.
    pub written_at_ms: u64,
    /// The highest incarnation number of the process so far, as Unix time in microseconds.
    pub started_at: u64,
    /// The entries of the replicated map, including deleted ones.
    pub entries: Vec<Entry>,
    /// The established sessions.
    pub sessions: Vec<SessionRecord>,
}

/// An established session and its server. Stored by field position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// A hash of the client's key.
    pub key: u64,
    /// The name of the server that holds the session.
    pub server: String,
    /// When that server started, as Unix time in milliseconds.
    pub started_ms: f64,
}

/// Why a snapshot file cannot be used. The process starts without it, and receives the state from its peers and from
/// discovery.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file has no content.
    #[error("empty: power was lost while it was created, or the disk is full; it will be overwritten")]
    Empty,
    /// The file is truncated.
    #[error(
        "torn at {actual} of {expected} bytes: power was lost while it was written; the other generation is used"
    )]
    Torn {
        /// The length of the file in bytes.
        actual: usize,
        /// The length of a complete file in bytes, as far as known from its header.
        expected: usize,
    },
    /// The file does not start with the magic number.
    #[error("not a snapshot: written by another program; check that no other program uses this `state_dir`")]
    NotASnapshot,
    /// The checksum does not match, or the content cannot be decoded.
    #[error("damaged: checksum or content is invalid; check the disk. The file will be overwritten")]
    Damaged,
    /// The file has a newer format version.
    #[error(
        "of format {0}, but this version reads formats up to {FORMAT}: start the newer version, or delete the file"
    )]
    UnsupportedFormat(u16),
    /// The snapshot belongs to the fleet with this name.
    #[error("of the fleet {0}: give each fleet its own `state_dir`")]
    OtherFleet(String),
    /// The snapshot belongs to the member with this name, for example because the disk was copied.
    #[error("of the process {0}: give each process its own `state_dir`, and do not copy disks")]
    OtherMember(String),
}

/// The result of reading a process's snapshot files.
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
    /// The index of the file, less than [`GENERATIONS`].
    pub generation: usize,
    /// Why it cannot be used.
    pub error: SnapshotError,
}

/// Encodes a snapshot as the content of a file.
pub fn encode(snapshot: &Snapshot) -> Vec<u8> {
    // Serializing numbers, strings and lists to memory cannot fail.
    let body = postcard::to_stdvec(snapshot).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(MAGIC);
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend((body.len() as u64).to_le_bytes());
    bytes.extend(xxh3_128(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Decodes the content of a snapshot file of the process `name` in `fleet`.
///
/// # Errors
///
/// If the file is damaged, has a newer format version, or belongs to another process.
pub fn decode(bytes: &[u8], fleet: &str, name: &str) -> Result<Snapshot, SnapshotError> {
    let body = checked_body(bytes)?;
    let snapshot: Snapshot = postcard::from_bytes(body).map_err(|_| SnapshotError::Damaged)?;
    if snapshot.fleet != fleet {
        return Err(SnapshotError::OtherFleet(snapshot.fleet));
    }
    if snapshot.name != name {
        return Err(SnapshotError::OtherMember(snapshot.name));
    }
    Ok(snapshot)
}

/// Returns the body of a snapshot file after checking it against the header.
fn checked_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    if bytes.is_empty() {
        return Err(SnapshotError::Empty);
    }
    let magic_bytes = bytes.len().min(MAGIC.len());
    if bytes[..magic_bytes] != MAGIC[..magic_bytes] {
        return Err(SnapshotError::NotASnapshot);
    }
    let torn = |expected| SnapshotError::Torn { actual: bytes.len(), expected };
    let (header, body) = bytes.split_at_checked(HEADER_BYTES).ok_or_else(|| torn(HEADER_BYTES))?;
    let format = u16::from_le_bytes([header[FORMAT_AT], header[FORMAT_AT + 1]]);
    if format > FORMAT {
        return Err(SnapshotError::UnsupportedFormat(format));
    }
    let length = header[LENGTH_AT..CHECKSUM_AT].try_into().map_or(u64::MAX, u64::from_le_bytes);
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > MAX_BODY_BYTES {
        return Err(SnapshotError::Damaged);
    }
    let body = body.get(..length).ok_or_else(|| torn(HEADER_BYTES + length))?;
    let checksum = header[CHECKSUM_AT..].try_into().map_or(0, u128::from_le_bytes);
    if xxh3_128(body) != checksum {
        return Err(SnapshotError::Damaged);
    }
    Ok(body)
}

/// Selects the newest usable snapshot from the contents of the files, in order of their indexes. `None` stands for a
/// file that does not exist, which is not an error.
pub fn select_newest(files: &[Option<Vec<u8>>], fleet: &str, name: &str) -> LoadedSnapshots {
    let mut loaded = LoadedSnapshots::default();
    for (generation, bytes) in files.iter().enumerate() {
        let Some(bytes) = bytes else { continue };
        match decode(bytes, fleet, name) {
            Ok(snapshot) => loaded.keep_newer(snapshot),
            Err(error) => loaded.rejected.push(RejectedGeneration { generation, error }),
        }
    }
    loaded
}

impl LoadedSnapshots {
    fn keep_newer(&mut self, snapshot: Snapshot) {
        if self.newest.as_ref().is_none_or(|newest| snapshot.sequence > newest.sequence) {
            self.newest = Some(snapshot);
        }
    }
}

/// The index of the file for a snapshot with this sequence number; never the same as for the previous one.
pub fn generation(sequence: u64) -> usize {
    (sequence % GENERATIONS as u64) as usize
}

#[cfg(test)]
#[path = "../tests/unit/snapshot.rs"]
mod tests;
