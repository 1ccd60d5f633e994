//! Removes what is known already from SWIM messages before they reach the library.
//!
//! The library searches its list of members linearly for each member that a message names. While a large fleet starts
//! every message names dozens of members, most of them known, and the search dominates the CPU time. The filter
//! removes only what the library would ignore.

use crate::roster::{Incarnation, MemberId};
use foca::{Header, Member, Message, State};

/// The current incarnations of the members that are alive.
pub(crate) struct Incarnations {
    /// By the members; 0 for those that are not alive.
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

    /// Another incarnation of a member has replaced `previous`.
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

/// The length of the number of members in a message.
const COUNT_BYTES: usize = size_of::<u16>();

/// The message without the members that are known to be alive in just these incarnations. None where nothing is to be
/// removed, or the message cannot be decoded, which the library reports.
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
        if is_news(&member, incarnations, me) {
            filtered.extend_from_slice(&rest[..rest.len() - after.len()]);
            kept += 1;
        }
        rest = after;
    }
    filtered[count_at..count_at + COUNT_BYTES].copy_from_slice(&kept.to_be_bytes());
    filtered.extend_from_slice(rest);
    (kept < count).then_some(filtered)
}

/// Whether an update may be new to the library: one about this member itself, about another incarnation, about a
/// suspected or failed member, or one that refutes a suspicion.
fn is_news(member: &Member<Incarnation>, incarnations: &Incarnations, me: MemberId) -> bool {
    let incarnation = *member.id();
    let is_plainly_alive = member.incarnation() == 0 && member.state() == State::Alive;
    !is_plainly_alive || incarnation.member == me || incarnations.of(incarnation.member) != Some(incarnation)
}
