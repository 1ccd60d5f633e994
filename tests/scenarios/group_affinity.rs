//! Group affinity: where sessions of one group meet.

use crate::harness::*;
use shelfgrade::host::*;
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn a_group_that_reconnects_at_a_proxy_just_started_spreads_by_its_share() {
    let mut proxy = Proxy::with_twelve_servers();
    for i in 0..48 {
        // The group is half of all arrivals.
        let (key, group) = (format!("back-{i}"), if i % 2 == 0 { "lifts" } else { &format!("other-{i}") });
        proxy.establish(Arrival { group: Some(group), reconnected: true, ..arrival(&key) });
    }
    let servers: std::collections::BTreeSet<_> = proxy
        .host
        .attempts
        .iter()
        .filter(|attempt| attempt.session % 2 == 1)
        .map(|attempt| &attempt.server)
        .collect();
    assert!(servers.len() >= 4, "{servers:?}");
}

#[test]
fn unreachable_servers_that_are_still_listed_take_no_place_in_a_groups_ranking() {
    let mut proxy = Proxy::with(&["a1", "a2", "b1", "b2", "b3"].map(server));
    let gone = ["a1", "a2", "b1"];
    for i in 0..200 {
        let key = format!("back-{i}");
        let group = format!("group-{}", i % 10);
        let session = proxy.arrive(Arrival { group: Some(&group), reconnected: true, ..arrival(&key) });
        while proxy.servers_tried(session).last().is_some_and(|place| gone.contains(&place.as_str())) {
            let tried = proxy.servers_tried(session).len();
            proxy.end_attempt(session, AttemptOutcome::Unreachable);
            if proxy.servers_tried(session).len() == tried {
                break;
            }
        }
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.advance(20);
    }
    assert_eq!(proxy.host.rejected.len(), 0, "two servers can be reached");
}

#[test]
fn a_removed_server_moves_only_the_groups_that_it_had() {
    let (mut before, mut after) = (Proxy::with_twelve_servers(), Proxy::with_twelve_servers());
    after.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Removed, ..server("a3") }],
        false,
        after.now,
    );
    let groups: Vec<String> = (0..60).map(|i| format!("bank-{i}")).collect();
    let homes: Vec<_> =
        groups.iter().map(|g| (group_server(&mut before, g), group_server(&mut after, g))).collect();
    let moved = homes.iter().filter(|(was, is)| was != is).collect::<Vec<_>>();
    assert!(moved.iter().all(|(was, _)| was.as_deref() == Some("a3")) && !moved.is_empty(), "{moved:?}");
}

#[test]
fn a_reconnecting_group_meets_on_as_many_servers_as_its_share_needs() {
    let mut proxy = Proxy::with_twelve_servers();
    for i in 0..60 {
        let group = if i % 2 == 0 { "large".to_owned() } else { format!("small-{i}") };
        proxy.establish(Arrival { group: Some(&group), ..arrival(&format!("new-{i}")) });
    }
    let mut places = |group: &str| {
        let reconnected_to = |i| {
            let key = format!("back-{i}");
            proxy.establish(Arrival { group: Some(group), reconnected: true, ..arrival(&key) })
        };
        (0..30).map(reconnected_to).collect::<BTreeSet<_>>().len()
    };
    let (large, small) = (places("large"), places("small-1"));
    assert!((5..=9).contains(&large) && small <= 2, "{large} {small}");
}

/// Hundreds of proxies that observe no load would otherwise overload servers with groups spread by hash.
#[test]
fn where_load_is_unobserved_a_group_meets_from_its_first_clients_on() {
    let list: Vec<_> = (0..80).map(|i| server(&format!("a{i:02}"))).collect();
    let places = |proxies: usize, proxy_capacity: Option<f64>| -> BTreeSet<_> {
        let first = |i| {
            let mut proxy = Proxy::one_of(proxies, proxy_capacity, i, &list);
            proxy.establish(Arrival { group: Some("g"), ..arrival(&format!("key{i}")) })
        };
        let placed: Vec<_> = (0..30).filter_map(first).collect();
        assert_eq!(placed.len(), 30);
        placed.into_iter().collect()
    };
    // Eighty servers can hold 30 connections each; a few keys still go by their hash.
    assert!(places(300, Some(8.0)).len() <= 10);
    assert!(places(3, Some(800.0)).len() > 20);
    assert!(places(3, None).len() > 20);
    // Without a total capacity, the numbers of proxies and servers decide.
    assert!(places(300, None).len() <= 10);
}

/// No proxy observes which of a group's servers is loaded, but the first to answer has the least to do.
#[test]
fn where_load_is_unobserved_the_first_server_to_answer_a_health_check_gets_the_session() {
    let mut placed = 0;
    for seed in 0..30 {
        let mut proxy = one_of_many(seed);
        let session = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
        // A few keys go by their hash without a health check.
        let [_, second, third] = &proxy.host.health_checked.clone()[..] else { continue };
        assert!(proxy.servers_tried(session).is_empty());
        proxy.advance(9);
        proxy.answer_health_check(second, 9);
        proxy.answer_health_check(third, 10);
        proxy.run_for(1000);
        assert_eq!(proxy.servers_tried(session), [second.as_str()]);
        placed += 1;
    }
    assert!(placed > 20, "{placed}");
}

#[test]
fn a_session_is_sent_without_a_health_check_answer_in_time_and_sessions_share_an_answer() {
    let mut proxy = one_of_many(1);
    let first = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    let second = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    assert_eq!(proxy.host.health_checked.len(), 3, "a pending health check is shared");
    proxy.run_for(49);
    assert!(proxy.host.attempts.is_empty());
    proxy.run_for(1);
    assert_eq!((proxy.servers_tried(first).len(), proxy.servers_tried(second).len()), (1, 1));
    [first, second].iter().for_each(|session| proxy.balancer.on_established(SessionId(*session), proxy.now));
    // An answer past the objective, or one that was given up, sends nothing.
    let place = proxy.host.health_checked[2].clone();
    proxy.answer_health_check(&place, 51);
    assert_eq!(proxy.host.attempts.len(), 2);
    let third = proxy.arrive(Arrival {
        group: Some("g"),
        deadline: proxy.now + Duration::from_millis(20),
        ..arrival("k")
    });
    let fourth = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    proxy.answer_health_check(&place, 4);
    assert_eq!((proxy.servers_tried(third), proxy.servers_tried(fourth)), (vec![place.clone()], vec![place]));
}

#[test]
fn a_health_check_answer_sends_nothing_for_a_closed_client_nor_to_a_draining_server() {
    let mut proxy = one_of_many(1);
    let left = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    let asked = proxy.host.health_checked.clone();
    proxy.balancer.on_client_closed(SessionId(left));
    asked.iter().for_each(|place| proxy.answer_health_check(place, 3));
    proxy.run_for(1000);
    assert!(proxy.host.attempts.is_empty() && proxy.host.rejected.is_empty());
    let stays = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..server(&asked[0]) }],
        false,
        proxy.now,
    );
    proxy.answer_health_check(&asked[0], 3);
    assert!(proxy.servers_tried(stays).len() == 1 && proxy.last_server() != asked[0]);
}

#[test]
fn in_an_overloaded_fleet_new_sessions_meet_their_group_at_unobserved_servers_too() {
    let at_b4 =
        |group: &String| group_server(&mut Proxy::with_twelve_servers(), group).as_deref() == Some("b4");
    let group = (0..).map(|i| format!("bank-{i}")).find(at_b4).expect("a group");
    let places = |overloaded: &[&str]| {
        let new = |i| {
            let mut proxy = Proxy::with_twelve_servers();
            proxy.overload(overloaded, 500);
            proxy.establish(Arrival { group: Some(&group), ..arrival(&format!("new-{i}")) })
        };
        (0..12).map(new).filter(|place| place.as_deref() == Some("b4")).count()
    };
    assert!(places(&[]) < 6);
    assert_eq!(places(&["a1", "a2", "a3"]), 12);
}

#[test]
fn in_an_overloaded_fleet_a_group_is_not_spread_over_the_remaining_servers() {
    let mut proxy = Proxy::with_twelve_servers();
    let first = group_server(&mut proxy, "bank").expect("a server");
    proxy.overload(&[&first], 500);
    let second = group_server(&mut proxy, "bank").expect("the next in rank");
    proxy.overload(&[&second], 500);
    let third = group_server(&mut proxy, "bank").expect("the one after");
    proxy.overload(&[&third], 500);
    assert_eq!(group_server(&mut proxy, "bank"), None);
    assert_eq!(proxy.host.rejected.len(), 1);
}

/// Each server that holds any member of a group does the group's work, so that reconnecting members share one.
#[test]
fn without_health_checks_a_group_starts_on_three_servers_and_reconnects_to_one() {
    let list: Vec<_> = (0..50).map(|i| server(&format!("a{i:02}"))).collect();
    let places = |reconnected: bool, warming: &str| -> BTreeSet<_> {
        let place_of = |seed: u64| {
            let mut proxy = Proxy::one_of(150, None, seed, &list);
            proxy.host.health_checks_refused = true;
            proxy.balancer.on_endpoints(
                &[Endpoint { started: Some(proxy.now), ..server(warming) }],
                false,
                proxy.now,
            );
            // By then it may be sent nearly all that it can bear.
            proxy.advance(7900);
            proxy.establish(Arrival { group: Some("g"), reconnected, ..arrival(&format!("key{seed}")) })
        };
        (0..60).filter_map(place_of).collect()
    };
    let reconnected_to = places(true, "a00");
    let first_server = reconnected_to.first().expect("a place").clone();
    let (first, past_a_warming_one) = (places(false, "a00"), places(true, &first_server));
    // A few in a hundred go by their hash at first.
    assert!((3..=6).contains(&first.len()) && reconnected_to.len() == 1, "{first:?} {reconnected_to:?}");
    // A warming server may rank first for several groups, so that each spreads past it.
    assert!(past_a_warming_one.len() >= 3, "{past_a_warming_one:?}");
}
