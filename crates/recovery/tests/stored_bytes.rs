//! Guards the stored formats: snapshots and replicated map entries are compared with the bytes that an earlier release
//! wrote.

use recorded::{hex, Recorded};
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade_fleet::{Entry, MemberId, Version};
use shelfgrade_recovery::snapshot::{decode, encode, SessionRecord, Snapshot};
use shelfgrade_recovery::{
    list_digest, Heartbeat, ListHistory, ListVersion, ServerHealth, ServerRecord, HEARTBEAT_PREFIX, LIST_KEY,
    SERVER_PREFIX,
};
use std::fmt::Debug;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

const RECORDED: Recorded = Recorded(include_str!("fixtures/stored.hex"));

fn record(health: ServerHealth, address: Option<&str>) -> ServerRecord {
    ServerRecord {
        address: address.map(|address| address.parse().unwrap()),
        zone: "a".into(),
        kind: "m2".into(),
        cell: 300,
        health,
        started_ms: 1_790_000_000_000.5,
    }
}

fn assert_stable<T: Serialize + DeserializeOwned + Debug + PartialEq>(name: &str, value: &T) {
    assert_eq!(hex(&postcard::to_stdvec(value).unwrap()), RECORDED.digits(name), "{name}");
    assert_eq!(&postcard::from_bytes::<T>(&RECORDED.bytes(name)).unwrap(), value, "{name}");
}

#[test]
fn entries_are_encoded_and_decoded_as_in_an_earlier_release() {
    assert_stable("server in service", &record(ServerHealth::InService, Some("127.0.0.1:9001")));
    assert_stable("server terminating", &record(ServerHealth::Terminating, Some("[::1]:9001")));
    assert_stable("server terminated", &record(ServerHealth::Terminated, None));
    assert_stable("beat", &Heartbeat { epoch: 3, seq: 70_000, digest: u32::MAX, is_answered: true });
    assert_stable(
        "list",
        &ListHistory {
            epoch: 3,
            seq: 70_000,
            past: vec![ListVersion { seq: 69_999, digest: 1 }, ListVersion { seq: 70_000, digest: u32::MAX }],
        },
    );
    assert_eq!([SERVER_PREFIX, HEARTBEAT_PREFIX, LIST_KEY], ["server/", "beat/", "list"]);
}

#[test]
fn the_digest_of_a_list_is_the_same_as_in_an_earlier_release() {
    let records = [
        ("s-1", record(ServerHealth::InService, Some("127.0.0.1:9001"))),
        ("s-2", record(ServerHealth::Terminating, None)),
    ];
    let digest = list_digest(records.iter().map(|(server, record)| (*server, record)));
    assert_eq!(hex(&digest.to_le_bytes()), RECORDED.digits("digest"));
}

#[test]
fn a_snapshot_is_encoded_and_decoded_as_in_an_earlier_release() {
    let version = Version { count: 300, writer_incarnation: 1_790_000_000_000_123 };
    let entry = |key: &str, value| Entry { key: key.into(), version, owner: MemberId(2), value };
    let snapshot = Snapshot {
        fleet: "dar".into(),
        name: "n1".into(),
        sequence: 17,
        written_at_ms: 1_790_000_000_456,
        started_at: 1_790_000_000_000_123,
        entries: vec![
            entry(
                "server/s-1",
                postcard::to_stdvec(&record(ServerHealth::InService, Some("127.0.0.1:9001"))).ok(),
            ),
            entry("space/x", None),
        ],
        sessions: vec![SessionRecord {
            key: u64::MAX,
            server: "s-1".into(),
            started_ms: 1_790_000_000_000.5,
        }],
    };
    assert_eq!(hex(&encode(&snapshot)), RECORDED.digits("snapshot"));
    assert_eq!(decode(&RECORDED.bytes("snapshot"), "dar", "n1"), Ok(snapshot));
}
