//! Removes redundant membership updates from SWIM messages before they are passed to `foca`.
//!
//! `foca` searches its member list linearly for each member that a message names. While a large fleet starts, every
//! message names dozens of members, most of them already known, and these searches dominate the CPU time. The filter
//! removes only updates that `foca` would ignore.

use crate::roster::{Incarnation, MemberId};
use foca::{Header, Member, Message, State};

/// The incarnations of the members that are alive.
pub(crate) struct Incarnations {
    /// Indexed by member id; 0 if the member is not alive.
    started_at: Vec<u64>,
}

impl Incarnations {
    pub(crate) fn new(size: usize) -> Self {
        Incarnations { started_at: vec![0; size] }
    }

    pub(crate) fn member_joined(&mut self, incarnation: Incarnation) {
        if let Some(started_at) = self.started_at.get_mut(usize::from(incarnation.member.0)) {
            *started_at = incarnation.started_at;
        }
    }

    /// Replaces `previous`, if it is the current one, with another incarnation of the member.
    pub(crate) fn member_renewed(&mut self, previous: Incarnation, incarnation: Incarnation) {
        if self.of(previous.member) == Some(previous) {
            self.member_joined(incarnation);
        }
    }

    pub(crate) fn member_left(&mut self, member: MemberId) {
        self.member_joined(Incarnation { member, started_at: 0 });
    }

    pub(crate) fn of(&self, member: MemberId) -> Option<Incarnation> {
        let started_at = self.started_at.get(usize::from(member.0)).copied().filter(|at| *at > 0)?;
        Some(Incarnation { member, started_at })
    }
}

/// The size of the member count in a message.
const COUNT_BYTES: usize = size_of::<u16>();

/// Returns the message without the members that are known to be alive with the same incarnation. `None` if there is
/// nothing to remove, or if the message cannot be decoded, which `foca` reports.
pub(crate) fn without_known_members(
    message: &[u8],
    incarnations: &Incarnations,
    me: MemberId,
) -> Option<Vec<u8>> {
    let (header, after_header): (Header<Incarnation>, _) = postcard::take_from_bytes(message).ok()?;
    if header.message == Message::Broadcast || after_header.len() < COUNT_BYTES {
        return None;
    }
    let count_at = message.len() - after_header.len();
    let (count, mut rest) = after_header.split_at(COUNT_BYTES);
    let count = u16::from_be_bytes([count[0], count[1]]);
    let mut filtered = message[..count_at + COUNT_BYTES].to_vec();
    let mut kept = 0u16;
    for _ in 0..count {
        let (member, after): (Member<Incarnation>, _) = postcard::take_from_bytes(rest).ok()?;
        if may_be_new(&member, incarnations, me) {
            filtered.extend_from_slice(&rest[..rest.len() - after.len()]);
            kept += 1;
        }
        rest = after;
    }
    filtered[count_at..count_at + COUNT_BYTES].copy_from_slice(&kept.to_be_bytes());
    filtered.extend_from_slice(rest);
    (kept < count).then_some(filtered)
}

/// Whether `foca` may not know this update yet: it concerns the local member, an unknown incarnation, or a suspected or
/// failed member, or it refutes a suspicion.
fn may_be_new(member: &Member<Incarnation>, incarnations: &Incarnations, me: MemberId) -> bool {
    let incarnation = *member.id();
    let is_alive_and_never_suspected = member.incarnation() == 0 && member.state() == State::Alive;
    !is_alive_and_never_suspected
        || incarnation.member == me
        || incarnations.of(incarnation.member) != Some(incarnation)
}
