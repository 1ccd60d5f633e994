//! Sends the messages that result from one call of [`Fleet`](crate::Fleet).

use crate::environment::Environment;
use crate::packet::{self, Message, Packet};
use crate::roster::{Incarnation, MemberId, Roster};
use crate::swim::SwimEvents;

/// Encodes messages as datagrams and forwards membership events.
pub(crate) struct Outbox<'a> {
    roster: &'a Roster,
    me: Incarnation,
    wall_ms: u64,
    pub(crate) environment: &'a mut dyn Environment,
    /// The new local incarnation, if it was renewed during this call.
    pub(crate) renewed: Option<Incarnation>,
}

impl<'a> Outbox<'a> {
    /// `wall_ms` is the local Unix time in milliseconds, without clock correction.
    pub(crate) fn new(
        roster: &'a Roster,
        me: Incarnation,
        wall_ms: u64,
        environment: &'a mut dyn Environment,
    ) -> Self {
        Outbox { roster, me, wall_ms, environment, renewed: None }
    }

    pub(crate) fn send(&mut self, to: MemberId, message: Message) {
        let packet = Packet { from: self.me, wall_ms: self.wall_ms, message };
        self.environment.send(to, packet::encode(self.roster, &packet));
    }
}

impl SwimEvents for Outbox<'_> {
    fn send_swim(&mut self, to: MemberId, bytes: Vec<u8>) {
        self.send(to, Message::Swim(bytes));
    }
    fn member_joined(&mut self, member: MemberId) {
        self.environment.member_joined(member);
    }
    fn member_left(&mut self, member: MemberId) {
        self.environment.member_left(member);
    }
    fn incarnation_renewed(&mut self, incarnation: Incarnation) {
        self.me = incarnation;
        self.renewed = Some(incarnation);
    }
}
