//! Implements `foca`'s identity trait for incarnations: the address is the member id, and the later incarnation wins.

use crate::roster::{Incarnation, MemberId};
use foca::Identity;

/// How much later a renewed incarnation is than the previous one, in microseconds: six hours, more than a clock is
/// expected to be off.
const RENEWAL_STEP_US: u64 = 6 * 3_600_000_000;

impl Identity for Incarnation {
    type Addr = MemberId;

    /// The incarnation with which a member rejoins after its peers have declared it failed. It is later than the failed
    /// one even if the clock was set back.
    fn renew(&self) -> Option<Self> {
        Some(Incarnation { member: self.member, started_at: self.started_at.saturating_add(RENEWAL_STEP_US) })
    }

    fn addr(&self) -> MemberId {
        self.member
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.started_at > other.started_at
    }
}
