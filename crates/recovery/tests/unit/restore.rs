//! Stories of `trust.rs` from within.

use super::*;
use crate::snapshot::HeldSession;
use shelfgrade_fleet::{MemberId, Version};

fn record(health: ServerHealth, started_ms: f64) -> ServerRecord {
    let address = "10.1.0.18:8000".parse().ok();
    ServerRecord { address, zone: "a".into(), kind: "m2".into(), cell: 3, health, started_ms }
}

/// What took the power from the proxies took it from the servers: one that was warm fell over as all came back to it.
#[test]
fn from_before_servers_are_cold_candidates_that_drain_if_they_drained() {
    let entry = |host: &str, record: ServerRecord| Entry {
        key: format!("{SERVER_PREFIX}{host}"),
        version: Version { count: 3, by: 1 },
        owner: MemberId(0),
        value: postcard::to_stdvec(&record).ok(),
    };
    let entries = vec![
        entry("s1", record(ServerHealth::InService, 0.0)),
        entry("s2", record(ServerHealth::Terminating, 5.0)),
        entry("s3", record(ServerHealth::Terminated, 5.0)),
        Entry { value: Some(vec![9]), ..entry("s4", record(ServerHealth::InService, 0.0)) },
    ];
    let held = vec![HeldSession { key: 8, server: "s1".into(), started_ms: 0.0 }];
    let (fleet, name) = ("dar".to_owned(), "n3".to_owned());
    let saved = Snapshot {
        fleet,
        name,
        sequence: 1,
        written_at_ms: 9,
        started_at: 40,
        entries: entries.clone(),
        held,
    };
    let now = Timestamp::from_ms(77_000.0);
    let restored = Restored::from(saved, now);
    let lines: Vec<_> = restored.candidates.iter().map(|l| (&*l.server, l.started, l.state)).collect();
    assert_eq!(lines, [("s1", Some(now), EndpointState::Active), ("s2", Some(now), EndpointState::Draining)]);
    assert_eq!((restored.entries, restored.started_at), (entries, 41));
    assert_eq!(restored.held, [(8, "s1".to_owned(), 0.0)]);
}

#[test]
fn a_new_count_takes_back_nothing_of_a_servers_life_but_a_new_start_does() {
    let after = |new: ServerRecord, known: ServerRecord| new.after(Some(&known)).health;
    let (serves, drains) = (record(ServerHealth::InService, 5.0), record(ServerHealth::Terminating, 5.0));
    assert_eq!(after(serves.clone(), drains.clone()), ServerHealth::Terminating, "discovery has forgotten");
    assert_eq!(
        after(record(ServerHealth::InService, 9.0), drains),
        ServerHealth::InService,
        "it was started anew"
    );
    assert_eq!(after(record(ServerHealth::Terminated, 5.0), serves.clone()), ServerHealth::Terminated);
    let digests = |records: &[(&str, &ServerRecord)]| list_digest(records.iter().copied());
    let gone = record(ServerHealth::Terminated, 5.0);
    assert_eq!(digests(&[("a", &serves), ("b", &gone)]), digests(&[("a", &serves)]));
    assert_ne!(digests(&[("a", &serves)]), digests(&[("b", &serves)]));
}
