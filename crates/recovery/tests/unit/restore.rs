//! Unit tests of restoring a snapshot.

use super::*;
use crate::server_record::{ServerRecord, SERVER_PREFIX};
use shelfgrade::host::EndpointState;
use shelfgrade_fleet::{MemberId, Version};

fn record(health: ServerHealth, started_ms: f64) -> ServerRecord {
    let address = "10.1.0.18:8000".parse().ok();
    ServerRecord { address, zone: "a".into(), kind: "m2".into(), cell: 3, health, started_ms }
}

/// A power outage stops proxies and servers alike, so restored servers must not be treated as warm.
#[test]
fn restored_servers_count_as_just_started_and_draining_servers_keep_draining() {
    let entry = |server: &str, record: ServerRecord| Entry {
        key: format!("{SERVER_PREFIX}{server}"),
        version: Version { count: 3, writer_incarnation: 1 },
        owner: MemberId(0),
        value: postcard::to_stdvec(&record).ok(),
    };
    let entries = vec![
        entry("s1", record(ServerHealth::InService, 0.0)),
        entry("s2", record(ServerHealth::Terminating, 5.0)),
        entry("s3", record(ServerHealth::Terminated, 5.0)),
        Entry { value: Some(vec![9]), ..entry("s4", record(ServerHealth::InService, 0.0)) },
    ];
    let sessions = vec![SessionRecord { key: 8, server: "s1".into(), started_ms: 0.0 }];
    let snapshot = Snapshot {
        fleet: "dar".to_owned(),
        name: "n3".to_owned(),
        sequence: 1,
        written_at_ms: 9,
        started_at: 40,
        entries: entries.clone(),
        sessions: sessions.clone(),
    };
    let now = Timestamp::from_ms(77_000.0);
    let restored = RestoredState::from_snapshot(snapshot, now);
    let fallback_endpoints: Vec<_> = restored
        .fallback_endpoints
        .iter()
        .map(|endpoint| (&*endpoint.server, endpoint.started, endpoint.state))
        .collect();
    assert_eq!(
        fallback_endpoints,
        [("s1", Some(now), EndpointState::Active), ("s2", Some(now), EndpointState::Draining)]
    );
    assert_eq!((restored.entries, restored.min_started_at), (entries, 41));
    assert_eq!(restored.sessions, sessions);
}
