//! Estimates the offset between the local clock and the peers' clocks.

use crate::roster::MemberId;
use std::collections::BTreeMap;

/// Offsets up to this many milliseconds are ignored: they may be caused by network latency, or do no harm.
const TOLERANCE_MS: i64 = 2000;
/// Maximum number of peers whose clock offsets are kept.
const MAX_CLOCKS: usize = 32;
/// Minimum number of clocks, including the local one: with fewer, the median does not tell which clock is off.
const MIN_CLOCKS: usize = 3;

/// The most recent clock offsets of a sample of the peers.
#[derive(Default)]
pub(crate) struct ClockSkew {
    /// How far each peer's clock is ahead of the local one, in milliseconds.
    ahead_ms: BTreeMap<MemberId, i64>,
}

impl ClockSkew {
    /// Records that a peer's clock showed `peer_ms` when the local one showed `local_ms`, both as Unix time in
    /// milliseconds.
    pub(crate) fn observe(&mut self, peer: MemberId, peer_ms: u64, local_ms: u64) {
        let ahead_ms = peer_ms as i64 - local_ms as i64;
        if self.ahead_ms.len() < MAX_CLOCKS || self.ahead_ms.contains_key(&peer) {
            self.ahead_ms.insert(peer, ahead_ms);
        }
    }

    /// Milliseconds to add to the local clock to match the median of all known clocks; 0 within the tolerance.
    pub(crate) fn correction_ms(&self) -> i64 {
        const LOCAL_CLOCK: i64 = 0;
        let mut all: Vec<i64> = self.ahead_ms.values().copied().chain([LOCAL_CLOCK]).collect();
        all.sort_unstable();
        let median = all[all.len() / 2];
        if all.len() >= MIN_CLOCKS && median.abs() > TOLERANCE_MS {
            median
        } else {
            0
        }
    }
}
