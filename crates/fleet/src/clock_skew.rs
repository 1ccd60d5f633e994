//! How far this machine's clock is from what most of the fleet goes by.

use crate::roster::MemberId;
use std::collections::BTreeMap;

/// Less than this is the network's doing or does no harm.
const HARMLESS_MS: i64 = 2000;
/// How many fellows' clocks are remembered.
const REMEMBERED: usize = 32;

#[derive(Default)]
pub struct Skew {
    ahead_ms: BTreeMap<MemberId, i64>,
}

impl Skew {
    pub fn observe(&mut self, from: MemberId, theirs_ms: u64, mine_ms: u64) {
        let ahead = theirs_ms as i64 - mine_ms as i64;
        if self.ahead_ms.len() < REMEMBERED || self.ahead_ms.contains_key(&from) {
            self.ahead_ms.insert(from, ahead);
        }
    }

    /// What to add to this machine's time to have that of the most, in milliseconds: the median of all clocks heard,
    /// this one's included, where there are three and they are not next to each other anyway.
    pub fn correction_ms(&self) -> i64 {
        let mut all: Vec<i64> = self.ahead_ms.values().copied().chain([0]).collect();
        all.sort_unstable();
        let median = all[all.len() / 2];
        if all.len() >= 3 && median.abs() > HARMLESS_MS {
            median
        } else {
            0
        }
    }
}
