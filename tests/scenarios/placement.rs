//! Placement by hash, which is the normal case, and sessions that arrive mid-flow.

use crate::harness::*;
use shelfgrade::host::*;
use std::time::Duration;

#[test]
fn a_key_has_the_same_server_at_every_proxy_and_keys_use_all_servers() {
    let (mut one, mut other) =
        (Proxy::with_four_servers(), Proxy::with_servers(&["b2", "a2", "b1", "a1"].map(endpoint)));
    for i in 0..40 {
        let key = format!("lift-{}", i % 20);
        assert_eq!(one.establish(arrival(&key)), other.establish(arrival(&key)));
    }
    assert_eq!(one.attempts_by_server().len(), 4);
}

#[test]
fn a_draining_or_removed_server_passes_its_keys_to_the_next_in_order() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_hashed_to("a2");
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..endpoint("a2") }],
        false,
        proxy.now,
    );
    assert_eq!(proxy.establish(arrival(&key)).as_deref(), Some("b1"));
    proxy.balancer.on_endpoints(&["b1", "b2"].map(endpoint), true, proxy.now);
    for i in 0..50 {
        proxy.establish(arrival(&format!("after-{i}")));
    }
    assert!(proxy.host.attempts[1..].iter().all(|attempt| attempt.server.starts_with('b')));
}

#[test]
fn a_hot_key_passes_to_the_next_server_once_its_own_holds_twice_the_mean() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_hashed_to("a1");
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
    let key = key_hashed_to("a2");
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
    let key = key_hashed_to("a2");
    let mid_flow = Arrival { mid_flow: true, ..arrival(&key) };
    assert_eq!(proxy.establish(mid_flow).as_deref(), Some("a2"));
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..endpoint("a2") }],
        false,
        proxy.now,
    );
    assert_eq!(proxy.establish(mid_flow).as_deref(), Some("b1"));
}

#[test]
fn sessions_without_a_server_are_rejected_immediately_and_unknown_ids_are_ignored() {
    let mut proxy = Proxy::with_servers(&[]);
    let keyless = Arrival { key: None, ..arrival("") };
    assert_eq!(proxy.establish(keyless), None);
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..endpoint("a1") }],
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
    proxy.balancer.on_endpoints(&[endpoint("a1")], true, proxy.now);
    assert_eq!(proxy.establish(keyless).as_deref(), Some("a1"));
}

#[test]
fn pending_attempts_make_a_slow_server_overfull_even_if_connections_are_equal() {
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
    let max_pending = pending.iter().map(|a| pending.iter().filter(|b| b.server == a.server).count()).max();
    assert_eq!(pending.len(), 12);
    assert!(max_pending.is_some_and(|count| count <= 6), "{max_pending:?}");
}

/// The connection was placed by group, so that the key's hash would select a server that does not hold it.
#[test]
fn with_unobserved_load_a_mid_flow_session_is_sent_to_its_groups_servers() {
    let is_found = |i: u64| {
        let key = format!("key{i}");
        let (mut placing_proxy, mut other_proxy) = (proxy_in_large_fleet(i), proxy_in_large_fleet(i + 100));
        let server = placing_proxy.establish(Arrival { group: Some("g"), ..arrival(&key) });
        // An overload does not keep a client away from the server that holds its connection.
        other_proxy.add_sessions_with_latency(&[server.as_deref().expect("a server")], 500);
        let checked = other_proxy.host.health_checked.len();
        let again = other_proxy.establish(Arrival { group: Some("g"), mid_flow: true, ..arrival(&key) });
        assert_eq!(
            other_proxy.host.health_checked.len(),
            checked,
            "a health check does not show which server holds the connection"
        );
        again == server
    };
    let is_found = (0..30).filter(|i| is_found(*i)).count();
    // Whether a key is placed by its hash is the same at every proxy, although their random draws differ.
    assert_eq!(is_found, 30);
}

#[test]
fn restored_sessions_have_flow_entries() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_hashed_to("a2");
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
        assert_eq!(proxy.servers_tried(session).len(), 2, "the next server may hold the connection");
        proxy.balancer.on_established(SessionId(session), proxy.now);
    }
    for server in ["a1", "a2", "b1", "b2"] {
        let key = key_hashed_to(server);
        proxy.establish(arrival(&key));
        assert_eq!(proxy.last_server(), server);
    }
}
