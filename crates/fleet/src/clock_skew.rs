//! The deviation of the local clock from those of the peers.

use crate::roster::MemberId;
use std::collections::BTreeMap;

/// Smaller deviations may be due to network latency, or do no harm.
const TOLERANCE_MS: i64 = 2000;
/// How many peers' clocks are kept.
const MAX_CLOCKS: usize = 32;
/// With fewer clocks a median does not show which of them deviates.
const MIN_CLOCKS: usize = 3;

/// The last observed clocks of some peers.
#[derive(Default)]
pub(crate) struct ClockSkew {
    /// By how much a peer's clock is ahead of the local one, in milliseconds.
    ahead_ms: BTreeMap<MemberId, i64>,
}

impl ClockSkew {
    /// A peer's clock showed `peer_ms` when the local one showed `local_ms`, both Unix time in milliseconds.
    pub(crate) fn observe(&mut self, peer: MemberId, peer_ms: u64, local_ms: u64) {
        let ahead_ms = peer_ms as i64 - local_ms as i64;
        if self.ahead_ms.len() < MAX_CLOCKS || self.ahead_ms.contains_key(&peer) {
            self.ahead_ms.insert(peer, ahead_ms);
        }
    }

    /// What to add to the local clock to have the median of all, in milliseconds; 0 within the tolerance.
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
