//! The file format of the state that survives a restart.
//!
//! A snapshot is written to [`GENERATIONS`] files in turn, so that one of them is intact while another is being
//! written. Each has a magic number, the format's version, the length and checksum of the body, and the body in
//! postcard, which says whose it is.

use serde::{Deserialize, Serialize};
use shelfgrade_fleet::Entry;
use xxhash_rust::xxh3::xxh3_128;

/// The version of the format that is written. Older ones can be read, newer ones cannot.
pub const FORMAT: u16 = 1;
/// How many files there are.
pub const GENERATIONS: usize = 2;

const MAGIC: [u8; 8] = *b"SHELFGRD";
const FORMAT_AT: usize = MAGIC.len();
const LENGTH_AT: usize = FORMAT_AT + size_of::<u16>();
const CHECKSUM_AT: usize = LENGTH_AT + size_of::<u64>();
const HEADER_BYTES: usize = CHECKSUM_AT + size_of::<u128>();
/// The longest body, in bytes: far longer than any that is written.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The state of a process that survives its restart. Stored by the position of the fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The name of the fleet.
    pub fleet: String,
    /// The name of the process.
    pub name: String,
    /// Goes up with each snapshot.
    pub sequence: u64,
    /// When it was written: Unix time in milliseconds, by the writer's clock; informational.
    pub written_at_ms: u64,
    /// The highest incarnation number that the process has had, in microseconds of Unix time.
    pub started_at: u64,
    /// The replicated map, deleted entries included.
    pub entries: Vec<Entry>,
    /// The established sessions.
    pub held_sessions: Vec<HeldSession>,
}

/// An established session and its server. Stored by the position of the fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldSession {
    /// A hash of the client's key.
    pub key: u64,
    /// The name of the server that holds the session.
    pub server: String,
    /// When that server started: Unix time in milliseconds.
    pub started_ms: f64,
}

/// Why a snapshot file cannot be used. The process starts without it, and receives the state from its peers and
/// discovery.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file has no content.
    #[error("empty: power was lost as it was created, or the disk is full; it will be overwritten")]
    Empty,
    /// The file is truncated.
    #[error(
        "torn at {held} of {wanted} bytes: power was lost as it was written; the other generation is used"
    )]
    Torn {
        /// The length of the file in bytes.
        held: usize,
        /// The length that its header gives.
        wanted: usize,
    },
    /// The file does not begin with the magic number.
    #[error(
        "no snapshot: another program has written it; check that no other program uses this `state_dir`"
    )]
    NotASnapshot,
    /// The checksum does not match, or the content cannot be decoded.
    #[error("damaged: its checksum does not match; check the disk. It will be overwritten")]
    Damaged,
    /// A newer version of the format.
    #[error(
        "of format {0}, and this version reads up to {FORMAT}: start the newer version, or delete the file"
    )]
    UnsupportedFormat(u16),
    /// A snapshot of the fleet with this name.
    #[error("of the fleet {0}: give each fleet a `state_dir` of its own")]
    OtherFleet(String),
    /// A snapshot of the member with this name, as on a copied disk.
    #[error("of the process {0}: give each process a `state_dir` of its own, and copy no disks")]
    OtherMember(String),
}

/// The usable one of a process's snapshot files.
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

/// The bytes of a snapshot file.
pub fn encode(snapshot: &Snapshot) -> Vec<u8> {
    // Encoding numbers, strings and lists into memory cannot fail.
    let body = postcard::to_stdvec(snapshot).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(MAGIC);
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend((body.len() as u64).to_le_bytes());
    bytes.extend(xxh3_128(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Reads a snapshot file of the process `name` in `fleet`.
///
/// # Errors
///
/// If the file is damaged, of a newer format or of another process.
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

/// The body of a snapshot file whose header matches it.
fn checked_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    if bytes.is_empty() {
        return Err(SnapshotError::Empty);
    }
    let magic_bytes = bytes.len().min(MAGIC.len());
    if bytes[..magic_bytes] != MAGIC[..magic_bytes] {
        return Err(SnapshotError::NotASnapshot);
    }
    let torn = |wanted| SnapshotError::Torn { held: bytes.len(), wanted };
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

/// Selects the newest usable snapshot from the contents of the files, by their indices; none where a file does not
/// exist, which is no error.
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

/// The index of the file for a snapshot with this sequence number: never the one of the snapshot before it.
pub fn generation(sequence: u64) -> usize {
    (sequence % GENERATIONS as u64) as usize
}

#[cfg(test)]
#[path = "../tests/unit/snapshot.rs"]
mod tests;
