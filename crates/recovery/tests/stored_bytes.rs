//! What lasts keeps its bytes: the snapshot on disk and the entries that a fleet shares are compared with what an
//! earlier release wrote.

use recorded::{hex, Recorded};
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade_fleet::{Entry, Seat, Version};
use shelfgrade_recovery::asking::Beat;
use shelfgrade_recovery::counting::Counting;
use shelfgrade_recovery::snapshot::{read, write, Held, Saved};
use shelfgrade_recovery::trust::{digest, Fact, Health, BEATS, LIST, SERVERS};
use std::fmt::Debug;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

const RECORDED: Recorded = Recorded(include_str!("fixtures/stored.hex"));

fn fact(health: Health, dial: Option<&str>) -> Fact {
    Fact {
        dial: dial.map(|dial| dial.parse().unwrap()),
        site: "a".into(),
        kind: "m2".into(),
        block: 300,
        health,
        born_ms: 1_790_000_000_000.5,
    }
}

fn keeps<T: Serialize + DeserializeOwned + Debug + PartialEq>(name: &str, value: &T) {
    assert_eq!(hex(&postcard::to_stdvec(value).unwrap()), RECORDED.digits(name), "{name}");
    assert_eq!(&postcard::from_bytes::<T>(&RECORDED.bytes(name)).unwrap(), value, "{name}");
}

#[test]
fn entries_are_written_and_read_as_an_earlier_release_wrote_them() {
    keeps("server in service", &fact(Health::InService, Some("127.0.0.1:9001")));
    keeps("server terminating", &fact(Health::Terminating, Some("[::1]:9001")));
    keeps("server terminated", &fact(Health::Terminated, None));
    keeps("beat", &Beat { epoch: 3, seq: 70_000, digest: u32::MAX, answered: true });
    keeps("list", &Counting { epoch: 3, seq: 70_000, past: vec![(69_999, 1), (70_000, u32::MAX)] });
    assert_eq!([SERVERS, BEATS, LIST], ["server/", "beat/", "list"]);
}

#[test]
fn a_list_has_the_digest_that_an_earlier_release_gave_it() {
    let facts =
        [("s-1", fact(Health::InService, Some("127.0.0.1:9001"))), ("s-2", fact(Health::Terminating, None))];
    let digest = digest(facts.iter().map(|(host, fact)| (*host, fact)));
    assert_eq!(hex(&digest.to_le_bytes()), RECORDED.digits("digest"));
}

#[test]
fn a_snapshot_is_written_and_read_as_an_earlier_release_wrote_it() {
    let version = Version { count: 300, by: 1_790_000_000_000_123 };
    let entry = |key: &str, value| Entry { key: key.into(), version, owner: Seat(2), value };
    let saved = Saved {
        fleet: "dar".into(),
        name: "n1".into(),
        number: 17,
        at_ms: 1_790_000_000_456,
        born: 1_790_000_000_000_123,
        entries: vec![
            entry("server/s-1", postcard::to_stdvec(&fact(Health::InService, Some("127.0.0.1:9001"))).ok()),
            entry("space/x", None),
        ],
        held: vec![Held { key: u64::MAX, server: "s-1".into(), started_ms: 1_790_000_000_000.5 }],
    };
    assert_eq!(hex(&write(&saved)), RECORDED.digits("snapshot"));
    assert_eq!(read(&RECORDED.bytes("snapshot"), "dar", "n1"), Ok(saved));
}
