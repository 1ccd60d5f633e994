//! What a message of the membership says that is not known already, so that only this is looked up.
//!
//! The library looks for each member that a message names from the first to the last of its list. While a whole fleet
//! starts each message names seventy, mostly known: that cost a process more than all else, and the more the larger
//! the fleet. What is left out here is what the library would find to be no news.

use crate::roster::{Incarnation, MemberId};
use foca::{Header, Member, Message, State};

/// The incarnations of those that are there, by their members; 0 for all others.
pub struct Incarnations(Vec<u64>);

impl Incarnations {
    pub fn new(size: usize) -> Self {
        Incarnations(vec![0; size])
    }

    pub fn member_joined(&mut self, incarnation: Incarnation) {
        if let Some(started_at) = self.0.get_mut(usize::from(incarnation.member.0)) {
            *started_at = incarnation.started_at;
        }
    }

    /// Another life has taken the place of one that was there.
    pub fn follows(&mut self, before: Incarnation, incarnation: Incarnation) {
        if self.of(before.member) == Some(before) {
            self.member_joined(incarnation);
        }
    }

    pub fn member_left(&mut self, member: MemberId) {
        self.member_joined(Incarnation { member, started_at: 0 });
    }

    pub fn of(&self, member: MemberId) -> Option<Incarnation> {
        let started_at = self.0.get(usize::from(member.0)).copied().filter(|started_at| *started_at > 0)?;
        Some(Incarnation { member, started_at })
    }
}

/// The message without the members that are known to be there, by just these incarnations, and of which it says no more. None
/// where there are none, and where it cannot be read: that is for the library to say.
///
/// Guards against leaving out news: one that has defended itself against a suspicion, one that is suspected or gone,
/// and whatever is said of this process itself stays.
pub fn news(bytes: &[u8], incarnations: &Incarnations, me: MemberId) -> Option<Vec<u8>> {
    let (header, rest): (Header<Incarnation>, _) = postcard::take_from_bytes(bytes).ok()?;
    if header.message == Message::Broadcast || rest.len() < 2 {
        return None;
    }
    let begin = bytes.len() - rest.len();
    let (number, mut rest) = rest.split_at(2);
    let number = u16::from_be_bytes([number[0], number[1]]);
    let mut sifted = bytes[..begin + 2].to_vec();
    let mut left = 0u16;
    for _ in 0..number {
        let (member, after): (Member<Incarnation>, _) = postcard::take_from_bytes(rest).ok()?;
        let incarnation = *member.id();
        let plain = member.incarnation() == 0 && member.state() == State::Alive;
        if !plain || incarnation.member == me || incarnations.of(incarnation.member) != Some(incarnation) {
            sifted.extend_from_slice(&rest[..rest.len() - after.len()]);
            left += 1;
        }
        rest = after;
    }
    sifted[begin..begin + 2].copy_from_slice(&left.to_be_bytes());
    sifted.extend_from_slice(rest);
    (left < number).then_some(sifted)
}
