//! Guards the datagram format: every kind of datagram is compared with the bytes that an earlier release sent.

use super::*;
use crate::entry::Version;
use crate::{Environment, Fleet};
use recorded::{hex, Recorded};
use shelfgrade::time::Timestamp;

#[path = "../../../../tests/support/recorded.rs"]
mod recorded;

const RECORDED: Recorded = Recorded(include_str!("../fixtures/datagrams.hex"));

fn roster() -> Roster {
    Roster::new("dar", ["n0", "n1", "n2"].map(str::to_owned), "n1").unwrap()
}

fn packet(message: Message) -> Packet {
    let from = Incarnation { member: MemberId(1), started_at: 1_790_000_000_000_123 };
    Packet { from, wall_ms: 1_790_000_000_456, message }
}

fn entry(value: Option<Vec<u8>>) -> Entry {
    let version = Version { count: 300, writer_incarnation: 1_790_000_000_000_123 };
    Entry { key: "server/s-1".into(), version, owner: MemberId(2), value }
}

#[test]
fn every_kind_of_datagram_is_encoded_and_decoded_as_in_an_earlier_release() {
    let kinds = [
        ("swim", Message::Swim(vec![1, 2, 255])),
        ("digest", Message::MapDigest { buckets: vec![0, 1 << 40, u64::MAX], is_reply: false }),
        ("digest answer", Message::MapDigest { buckets: vec![9; 64], is_reply: true }),
        (
            "summary",
            Message::BucketSummary {
                bucket: 63,
                entries: vec![EntryDigest { key: 7, state: 0 }, EntryDigest { key: u32::MAX, state: 300 }],
            },
        ),
        ("want", Message::EntryRequest(vec![7, u32::MAX])),
        ("entries", Message::Entries(vec![entry(Some(vec![4, 5, 6])), entry(None)])),
        (
            "ask",
            Message::LeaseRequest(LeaseRequest { number: 70_000, units: vec![1, 300], releases: vec![2] }),
        ),
        ("grant", Message::LeaseGrant(LeaseGrant { number: 70_000, units: vec![1, 300] })),
    ];
    for (name, message) in kinds {
        let packet = packet(message);
        assert_eq!(hex(&encode(&roster(), &packet)), RECORDED.digits(name), "{name}");
        assert_eq!(decode(&roster(), &RECORDED.bytes(name)), Ok(packet), "{name}");
    }
}

#[derive(Default)]
struct SentDatagrams(Vec<(MemberId, Vec<u8>)>);

impl Environment for SentDatagrams {
    fn send(&mut self, to: MemberId, datagram: Vec<u8>) {
        self.0.push((to, datagram));
    }
    fn entry_changed(&mut self, _: &Entry) {}
    fn member_joined(&mut self, _: MemberId) {}
    fn member_left(&mut self, _: MemberId) {}
    fn datagram_rejected(&mut self, _: &'static str) {}
}

/// Covers the messages of `foca`, and the order in which a member sends its first messages.
#[test]
fn the_first_datagrams_of_a_member_are_unchanged_since_an_earlier_release() {
    let now = Timestamp::from_ms(50.0);
    let mut fleet = Fleet::new(roster(), 1_790_000_000_000_123, 42, now);
    let mut sent = SentDatagrams::default();
    fleet.on_timer(now, 1_790_000_000_456, &mut sent);
    let sent: Vec<_> = sent.0.iter().map(|(to, bytes)| format!("{} {}", to.0, hex(bytes))).collect();
    assert_eq!(sent.join(" "), RECORDED.digits("first"));
}
