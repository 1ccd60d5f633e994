//! The interface between [`Fleet`](crate::Fleet) and the process that embeds it.

use crate::entry::Entry;
use crate::roster::MemberId;

/// Receives the datagrams that [`Fleet`](crate::Fleet) sends and the events that it reports.
pub trait Environment {
    /// Sends a datagram of at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES) to a member. It may be lost,
    /// duplicated or reordered.
    fn send(&mut self, to: MemberId, datagram: Vec<u8>);
    /// Called when an entry of the replicated map was added or changed.
    fn entry_changed(&mut self, entry: &Entry);
    /// Called when a member is detected as alive.
    fn member_joined(&mut self, member: MemberId);
    /// Called when a member has left or was declared failed.
    fn member_left(&mut self, member: MemberId);
    /// Called when a received datagram, or an entry in it, was rejected. `reason` is the name of the counter to
    /// increment.
    fn datagram_rejected(&mut self, reason: &'static str);
}
