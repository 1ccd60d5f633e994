//! The ordinary path by hash, and sessions that arrive mid-flow.

use crate::harness::*;
use shelfgrade::host::*;
use std::time::Duration;

#[test]
fn a_key_has_the_same_server_at_every_proxy_and_keys_use_all_servers() {
    let (mut one, mut other) =
        (Proxy::with_four_servers(), Proxy::with(&["b2", "a2", "b1", "a1"].map(server)));
    for i in 0..40 {
        let key = format!("lift-{}", i % 20);
        assert_eq!(one.establish(arrival(&key)), other.establish(arrival(&key)));
    }
    assert_eq!(one.attempts_by_server().len(), 4);
}

#[test]
fn a_draining_or_removed_server_passes_its_keys_to_the_next_in_order() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_for("a2");
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..server("a2") }],
        false,
        proxy.now,
    );
    assert_eq!(proxy.establish(arrival(&key)).as_deref(), Some("b1"));
    proxy.balancer.on_endpoints(&["b1", "b2"].map(server), true, proxy.now);
    for i in 0..50 {
        proxy.establish(arrival(&format!("after-{i}")));
    }
    assert!(proxy.host.attempts[1..].iter().all(|attempt| attempt.server.starts_with('b')));
}

#[test]
fn a_hot_key_passes_to_the_next_server_once_its_own_holds_twice_the_mean() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_for("a1");
    for _ in 0..40 {
        proxy.establish(arrival(&key));
    }
    let attempts = proxy.attempts_by_server();
    assert!(attempts["a1"] >= 10 && attempts["a1"] <= 21, "{attempts:?}");
    assert!(attempts["a2"] > 0);
}

#[test]
fn a_mid_flow_session_goes_to_its_flow_entrys_server_until_the_entry_expires() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_for("a2");
    // About the tenth session finds its server overfull.
    let was_skipped = (0..100).any(|_| proxy.establish(arrival(&key)).as_deref() != Some("a2"));
    assert!(was_skipped);
    let other_server = proxy.last_server().to_owned();
    let last = proxy.host.attempts.len() as u64;
    let mid_flow = Arrival { mid_flow: true, ..arrival(&key) };
    assert_eq!(proxy.establish(mid_flow).as_deref(), Some(other_server.as_str()));
    for session in 1..=last + 1 {
        proxy.end_attempt(session, AttemptOutcome::Completed);
    }
    proxy.advance(31_000);
    assert_eq!(proxy.establish(mid_flow).as_deref(), Some("a2"));
}

#[test]
fn a_mid_flow_session_passes_over_a_draining_server() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_for("a2");
    let mid_flow = Arrival { mid_flow: true, ..arrival(&key) };
    assert_eq!(proxy.establish(mid_flow).as_deref(), Some("a2"));
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..server("a2") }],
        false,
        proxy.now,
    );
    assert_eq!(proxy.establish(mid_flow).as_deref(), Some("b1"));
}

#[test]
fn sessions_without_a_server_are_rejected_at_once_and_unknown_ids_are_ignored() {
    let mut proxy = Proxy::with(&[]);
    let keyless = Arrival { key: None, ..arrival("") };
    assert_eq!(proxy.establish(keyless), None);
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..server("a1") }],
        true,
        proxy.now,
    );
    assert_eq!(proxy.establish(arrival("any")), None);
    assert_eq!(proxy.host.rejected.len(), 2);
    assert!(proxy.host.rejected.iter().all(|rejection| rejection.retry_after > Duration::ZERO));
    proxy.end_attempt(77, AttemptOutcome::Completed);
    proxy.report_message_latency(77, 500);
    proxy.balancer.on_client_closed(SessionId(77));
    proxy.balancer.restore_session(&arrival("open"), "unheard-of", proxy.now);
    proxy.balancer.on_endpoints(&[server("a1")], true, proxy.now);
    assert_eq!(proxy.establish(keyless).as_deref(), Some("a1"));
}

#[test]
fn pending_attempts_at_a_slow_server_make_it_overfull_at_equal_connections() {
    let mut proxy = Proxy::with_four_servers();
    for i in 0..60 {
        proxy.establish(arrival(&format!("calm-{i}")));
    }
    let before = proxy.host.attempts.len();
    for i in 0..12 {
        let key = format!("back-{i}");
        proxy.arrive(Arrival { group: Some("lifts"), reconnected: true, ..arrival(&key) });
    }
    let pending = &proxy.host.attempts[before..];
    let most = pending.iter().map(|a| pending.iter().filter(|b| b.server == a.server).count()).max();
    assert_eq!(pending.len(), 12);
    assert!(most.is_some_and(|most| most <= 6), "{most:?}");
}

/// Its connection was placed by group, so that the key's hash would lead to a server that does not hold it.
#[test]
fn where_load_is_unobserved_a_mid_flow_session_goes_to_its_groups_servers() {
    let is_found = |i: u64| {
        let key = format!("key{i}");
        let (mut placed_it, mut knows_nothing) = (one_of_many(i), one_of_many(i + 100));
        let place = placed_it.establish(Arrival { group: Some("g"), ..arrival(&key) });
        // An overload does not keep a client from the connection that it has there.
        knows_nothing.overload(&[place.as_deref().expect("a place")], 500);
        let checked = knows_nothing.host.health_checked.len();
        let again = knows_nothing.establish(Arrival { group: Some("g"), mid_flow: true, ..arrival(&key) });
        assert_eq!(
            knows_nothing.host.health_checked.len(),
            checked,
            "a health check does not tell which server holds it"
        );
        again == place
    };
    let is_found = (0..30).filter(|i| is_found(*i)).count();
    // Whether a key goes by its hash is the same at every proxy, though their random draws differ.
    assert_eq!(is_found, 30);
}

#[test]
fn restored_sessions_have_flow_entries() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_for("a2");
    let open = Arrival { session: SessionId(900), ..arrival(&key) };
    proxy.balancer.restore_session(&open, "b2", proxy.now);
    assert_eq!(proxy.establish(Arrival { mid_flow: true, ..arrival(&key) }).as_deref(), Some("b2"));
}

#[test]
fn a_reset_of_a_mid_flow_connection_does_not_raise_the_outlier_score() {
    let mut proxy = Proxy::with_four_servers();
    for i in 0..20 {
        let session = proxy.arrive(Arrival { mid_flow: true, ..arrival(&format!("stray-{i}")) });
        proxy.end_attempt(session, AttemptOutcome::ConnectionLost);
        assert_eq!(proxy.servers_tried(session).len(), 2, "and the next may hold it");
        proxy.balancer.on_established(SessionId(session), proxy.now);
    }
    for place in ["a1", "a2", "b1", "b2"] {
        let key = key_for(place);
        proxy.establish(arrival(&key));
        assert_eq!(proxy.last_server(), place);
    }
}
