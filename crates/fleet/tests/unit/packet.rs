//! Datagrams keep their bytes: each kind is compared with what an earlier release sent.

use super::*;
use crate::replicated_map::Version;
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
    let version = Version { count: 300, by: 1_790_000_000_000_123 };
    Entry { key: "server/s-1".into(), version, owner: MemberId(2), value }
}

#[test]
fn each_kind_of_datagram_is_written_and_read_as_an_earlier_release_wrote_it() {
    let kinds = [
        ("swim", Message::Swim(vec![1, 2, 255])),
        ("digest", Message::Digest { parts: vec![0, 1 << 40, u64::MAX], answer: false }),
        ("digest answer", Message::Digest { parts: vec![9; 64], answer: true }),
        ("summary", Message::Summary { part: 63, states: vec![(7, 0), (u32::MAX, 300)] }),
        ("want", Message::Want(vec![7, u32::MAX])),
        ("entries", Message::Entries(vec![entry(Some(vec![4, 5, 6])), entry(None)])),
        ("ask", Message::Ask { number: 70_000, units: vec![1, 300], releases: vec![2] }),
        ("grant", Message::Grant { number: 70_000, units: vec![1, 300] }),
    ];
    for (name, message) in kinds {
        let packet = packet(message);
        assert_eq!(hex(&write(&roster(), &packet)), RECORDED.digits(name), "{name}");
        assert_eq!(read(&roster(), &RECORDED.bytes(name)), Ok(packet), "{name}");
    }
}

#[derive(Default)]
struct Sent(Vec<(MemberId, Vec<u8>)>);

impl Environment for Sent {
    fn send(&mut self, to: MemberId, datagram: Vec<u8>) {
        self.0.push((to, datagram));
    }
    fn entry_changed(&mut self, _: &Entry) {}
    fn member_joined(&mut self, _: MemberId) {}
    fn member_left(&mut self, _: MemberId) {}
    fn datagram_rejected(&mut self, _: &'static str) {}
}

/// What the membership puts into its own messages, and the order of what is sent at the start.
#[test]
fn the_first_datagrams_of_a_process_keep_their_bytes() {
    let now = Timestamp::from_ms(50.0);
    let mut fleet = Fleet::new(roster(), 1_790_000_000_000_123, 42, now);
    let mut sent = Sent::default();
    fleet.on_timer(now, 1_790_000_000_456, &mut sent);
    let sent: Vec<_> = sent.0.iter().map(|(to, bytes)| format!("{} {}", to.0, hex(bytes))).collect();
    assert_eq!(sent.join(" "), RECORDED.digits("first"));
}
