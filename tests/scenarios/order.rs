//! Stories of the ordinary path, and of what arrives mid-flow.

use crate::fake::*;
use shelfgrade::host::*;
use std::time::Duration;

#[test]
fn a_key_keeps_its_server_at_every_proxy_and_keys_use_them_all() {
    let (mut one, mut other) = (Proxy::of_four(), Proxy::with(&["b2", "a2", "b1", "a1"].map(server)));
    for i in 0..40 {
        let key = format!("lift-{}", i % 20);
        assert_eq!(one.settles(plain(&key)), other.settles(plain(&key)));
    }
    assert_eq!(one.shares().len(), 4);
}

#[test]
fn a_draining_or_gone_pick_passes_to_the_next_in_order() {
    let mut proxy = Proxy::of_four();
    let key = key_for("a2");
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..server("a2") }],
        false,
        proxy.now,
    );
    assert_eq!(proxy.settles(plain(&key)).as_deref(), Some("b1"));
    proxy.balancer.on_endpoints(&["b1", "b2"].map(server), true, proxy.now);
    for i in 0..50 {
        proxy.settles(plain(&format!("after-{i}")));
    }
    assert!(proxy.notes.attempts[1..].iter().all(|(_, place, _)| place.starts_with('b')));
}

#[test]
fn a_hot_key_is_skipped_on_once_its_server_holds_twice_the_mean() {
    let mut proxy = Proxy::of_four();
    let key = key_for("a1");
    for _ in 0..40 {
        proxy.settles(plain(&key));
    }
    let shares = proxy.shares();
    assert!(shares["a1"] >= 10 && shares["a1"] <= 21, "{shares:?}");
    assert!(shares["a2"] > 0);
}

#[test]
fn a_mid_flow_session_goes_where_the_table_says_until_that_has_aged() {
    let mut proxy = Proxy::of_four();
    let key = key_for("a2");
    // The skip puts the tenth or so away from the hash's pick.
    let skipped = (0..100).any(|_| proxy.settles(plain(&key)).as_deref() != Some("a2"));
    assert!(skipped);
    let away = proxy.last_place().to_owned();
    let last = proxy.notes.attempts.len() as u64;
    let stray = Arrival { mid_flow: true, ..plain(&key) };
    assert_eq!(proxy.settles(stray).as_deref(), Some(away.as_str()));
    for session in 1..=last + 1 {
        proxy.attempt_ends(session, AttemptOutcome::Completed);
    }
    proxy.passes(31_000);
    assert_eq!(proxy.settles(stray).as_deref(), Some("a2"));
}

#[test]
fn a_mid_flow_session_passes_over_a_draining_server() {
    let mut proxy = Proxy::of_four();
    let key = key_for("a2");
    let stray = Arrival { mid_flow: true, ..plain(&key) };
    assert_eq!(proxy.settles(stray).as_deref(), Some("a2"));
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..server("a2") }],
        false,
        proxy.now,
    );
    assert_eq!(proxy.settles(stray).as_deref(), Some("b1"));
}

#[test]
fn nowhere_to_go_is_answered_at_once_and_oddities_are_survived() {
    let mut proxy = Proxy::with(&[]);
    let keyless = Arrival { key: None, ..plain("") };
    assert_eq!(proxy.settles(keyless), None);
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..server("a1") }],
        true,
        proxy.now,
    );
    assert_eq!(proxy.settles(plain("any")), None);
    assert_eq!(proxy.notes.rejected.len(), 2);
    assert!(proxy.notes.rejected.iter().all(|(_, pause)| *pause > Duration::ZERO));
    proxy.attempt_ends(77, AttemptOutcome::Completed);
    proxy.on_message_latency(77, 500);
    proxy.balancer.on_client_closed(SessionId(77));
    proxy.balancer.restore_session(&plain("open"), "unheard-of", proxy.now);
    proxy.balancer.on_endpoints(&[server("a1")], true, proxy.now);
    assert_eq!(proxy.settles(keyless).as_deref(), Some("a1"));
}

#[test]
fn attempts_that_pile_up_at_a_slow_server_pass_it_by_though_all_hold_as_much() {
    let mut proxy = Proxy::of_four();
    for i in 0..60 {
        proxy.settles(plain(&format!("calm-{i}")));
    }
    let before = proxy.notes.attempts.len();
    for i in 0..12 {
        let key = format!("back-{i}");
        proxy.arrives(Arrival { group: Some("lifts"), reconnected: true, ..plain(&key) });
    }
    let under_way = &proxy.notes.attempts[before..];
    let most = under_way.iter().map(|c| under_way.iter().filter(|d| d.1 == c.1).count()).max();
    assert_eq!(under_way.len(), 12);
    assert!(most.is_some_and(|most| most <= 6), "{most:?}");
}

/// After a step of a rolling restart 215 connections came mid-flow in a second, 296 were set up anew: nobody held them
/// where their key's hash led, as they had met their group.
#[test]
fn a_mid_flow_session_looks_for_its_server_where_its_group_meets() {
    let found = |i: u64| {
        let key = format!("key{i}");
        let (mut placed_it, mut knows_nothing) = (one_of_many(i), one_of_many(i + 100));
        let place = placed_it.settles(Arrival { group: Some("g"), ..plain(&key) });
        // What strains the server does not keep a client from the connection that it has there.
        knows_nothing.strains(&[place.as_deref().expect("a place")], 500);
        let asked = knows_nothing.notes.probed.len();
        let again = knows_nothing.settles(Arrival { group: Some("g"), mid_flow: true, ..plain(&key) });
        assert_eq!(knows_nothing.notes.probed.len(), asked, "a sign of life does not tell who holds it");
        again == place
    };
    let found = (0..30).filter(|i| found(*i)).count();
    // Every proxy knows of a key alike whether it goes by its hash, though their other draws differ.
    assert_eq!(found, 30);
}

#[test]
fn connections_open_at_the_start_count_and_are_known_mid_flow() {
    let mut proxy = Proxy::of_four();
    let key = key_for("a2");
    let open = Arrival { session: SessionId(900), ..plain(&key) };
    proxy.balancer.restore_session(&open, "b2", proxy.now);
    assert_eq!(proxy.settles(Arrival { mid_flow: true, ..plain(&key) }).as_deref(), Some("b2"));
}

#[test]
fn a_server_that_resets_a_mid_flow_connection_it_does_not_hold_is_not_distrusted() {
    let mut proxy = Proxy::of_four();
    for i in 0..20 {
        let session = proxy.arrives(Arrival { mid_flow: true, ..plain(&format!("stray-{i}")) });
        proxy.attempt_ends(session, AttemptOutcome::ConnectionLost);
        assert_eq!(proxy.sent_to(session).len(), 2, "and the next may hold it");
        proxy.balancer.on_established(SessionId(session), proxy.now);
    }
    for place in ["a1", "a2", "b1", "b2"] {
        let key = key_for(place);
        proxy.settles(plain(&key));
        assert_eq!(proxy.last_place(), place);
    }
}
