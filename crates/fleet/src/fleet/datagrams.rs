//! Processes received datagrams.

use super::{map_digest, Fleet};
use crate::environment::Environment;
use crate::outbox::Outbox;
use crate::packet::{self, Message, Packet, PacketError};
use crate::roster::{Incarnation, MemberId};
use shelfgrade::time::Timestamp;

const MALFORMED: &str = "fleet datagrams malformed";

impl Fleet {
    /// Processes a received datagram. `wall_ms` is the local Unix time in milliseconds, without clock correction.
    pub fn on_datagram(
        &mut self,
        datagram: &[u8],
        now: Timestamp,
        wall_ms: u64,
        environment: &mut dyn Environment,
    ) {
        let packet = match self.accept(datagram) {
            Ok(packet) => packet,
            Err(reason) => return environment.datagram_rejected(reason),
        };
        if packet.from.member == self.me.member {
            // Either a delayed datagram from an earlier incarnation of this member, or a second process with its name.
            if packet.from.started_at != self.me.started_at {
                environment.datagram_rejected("fleet datagrams from a duplicate member");
            }
            return;
        }
        self.clock_skew.observe(packet.from.member, packet.wall_ms, wall_ms);
        let renewed = self.on_message(packet, now, wall_ms, environment);
        self.finish_call(renewed, environment);
    }

    /// Decodes and validates a datagram; the error is the name of the counter for rejected datagrams.
    fn accept(&self, datagram: &[u8]) -> Result<Packet, &'static str> {
        let packet = packet::decode(&self.roster, datagram).map_err(|error| match error {
            PacketError::OtherFleet => "fleet datagrams from other fleets",
            PacketError::Damaged => "fleet datagrams damaged",
            PacketError::Malformed | PacketError::UnknownMember => MALFORMED,
        })?;
        if packet.message.is_within_roster(self.roster.size()) {
            Ok(packet)
        } else {
            Err("fleet datagrams naming unknown members")
        }
    }

    /// Processes a peer's message. Returns the new local incarnation if it was renewed.
    fn on_message(
        &mut self,
        packet: Packet,
        now: Timestamp,
        wall_ms: u64,
        environment: &mut dyn Environment,
    ) -> Option<Incarnation> {
        let from = packet.from;
        // Cloned (it shares its contents) so that the outbox does not borrow from `self`.
        let roster = self.roster.clone();
        let mut outbox = Outbox::new(&roster, self.me, wall_ms, environment);
        match packet.message {
            Message::Swim(bytes) => {
                if !self.swim.on_datagram(&bytes, now, &mut outbox) {
                    outbox.environment.datagram_rejected(MALFORMED);
                }
            }
            Message::MapDigest { buckets, is_reply } => {
                let replies = self.replies_to_digest(&buckets, is_reply);
                self.send_replies(replies, from.member, now, &mut outbox);
            }
            Message::BucketSummary { bucket, entries } => {
                let difference = self.replica.borrow().map.compare_bucket(usize::from(bucket), &entries);
                let request = Some(difference.keys_to_request).filter(|keys| !keys.is_empty());
                let entries = Some(difference.entries_to_send).filter(|entries| !entries.is_empty());
                let replies = request.map(Message::EntryRequest).into_iter();
                let replies = replies.chain(entries.map(Message::Entries)).collect();
                self.send_replies(replies, from.member, now, &mut outbox);
            }
            Message::EntryRequest(key_hashes) => {
                let entries = self.replica.borrow().map.requested_entries(&key_hashes);
                let reply = Some(entries).filter(|entries| !entries.is_empty()).map(Message::Entries);
                self.send_replies(reply.into_iter().collect(), from.member, now, &mut outbox);
            }
            Message::Entries(entries) => {
                for entry in entries {
                    self.replica.borrow_mut().merge(entry);
                }
            }
            Message::LeaseRequest(request) => {
                let grant = self.quota_leases.on_request(from, &request, now);
                outbox.send(from.member, Message::LeaseGrant(grant));
            }
            Message::LeaseGrant(grant) => self.quota_leases.on_grant(from.member, &grant),
        }
        outbox.renewed
    }

    /// The replies to a peer's bucket digests. The local digests are only included if the peer's message was not a
    /// reply itself, so that two members do not reply to each other forever.
    fn replies_to_digest(&mut self, peer_digests: &[u64], is_reply: bool) -> Vec<Message> {
        let replica = self.replica.borrow();
        let differing = replica.map.differing_buckets(peer_digests);
        let mut replies = replica.map.reply_to_digests(&differing, &mut self.rng);
        if !is_reply && !differing.is_empty() {
            replies.push(map_digest(&replica, true));
        }
        replies
    }

    /// Sends as many of the replies as the rate limit allows.
    fn send_replies(&mut self, replies: Vec<Message>, to: MemberId, now: Timestamp, outbox: &mut Outbox) {
        for reply in replies {
            if self.reply_limit.try_take(now) {
                outbox.send(to, reply);
            }
        }
    }
}
