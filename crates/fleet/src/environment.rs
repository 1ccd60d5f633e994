//! The interface between [`Fleet`](crate::Fleet) and the process that runs it.

use crate::entry::Entry;
use crate::roster::MemberId;

/// Effects and events of [`Fleet`](crate::Fleet).
pub trait Environment {
    /// Sends a datagram of at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES) to a member. It may be lost,
    /// duplicated or reordered.
    fn send(&mut self, to: MemberId, datagram: Vec<u8>);
    /// An entry of the replicated map is new or has changed.
    fn entry_changed(&mut self, entry: &Entry);
    /// A member is alive.
    fn member_joined(&mut self, member: MemberId);
    /// A member has left or failed.
    fn member_left(&mut self, member: MemberId);
    /// A received datagram, or an entry in it, was rejected; `reason` is the name of the counter.
    fn datagram_rejected(&mut self, reason: &'static str);
}
