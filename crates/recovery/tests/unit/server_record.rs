//! Unit tests of shared server records.

use super::*;

fn record(health: ServerHealth, started_ms: f64) -> ServerRecord {
    let address = "10.1.0.18:8000".parse().ok();
    ServerRecord { address, zone: "a".into(), kind: "m2".into(), cell: 3, health, started_ms }
}

#[test]
fn known_health_is_kept_within_a_server_incarnation_and_discarded_after_a_restart() {
    let merged_health = |new: ServerRecord, known: ServerRecord| new.with_known_health(Some(&known)).health;
    let (serving, draining) = (record(ServerHealth::InService, 5.0), record(ServerHealth::Terminating, 5.0));
    assert_eq!(
        merged_health(serving.clone(), draining.clone()),
        ServerHealth::Terminating,
        "discovery has lost the draining state"
    );
    assert_eq!(
        merged_health(record(ServerHealth::InService, 9.0), draining),
        ServerHealth::InService,
        "the server was restarted"
    );
    let terminated = record(ServerHealth::Terminated, 5.0);
    assert_eq!(merged_health(terminated.clone(), serving.clone()), ServerHealth::Terminated);
    let digest = |records: &[(&str, &ServerRecord)]| list_digest(records.iter().copied());
    assert_eq!(digest(&[("a", &serving), ("b", &terminated)]), digest(&[("a", &serving)]));
    assert_ne!(digest(&[("a", &serving)]), digest(&[("b", &serving)]));
}
