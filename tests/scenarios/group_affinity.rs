//! Group affinity: the servers to which sessions of one group are sent.

use crate::harness::*;
use shelfgrade::host::*;
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn a_group_that_reconnects_to_a_new_proxy_is_spread_in_proportion_to_its_share() {
    let mut proxy = Proxy::with_twelve_servers();
    for i in 0..48 {
        // The group has half of all arrivals.
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
fn unreachable_servers_that_are_still_listed_are_not_ranked_for_groups() {
    let mut proxy = Proxy::with_servers(&["a1", "a2", "b1", "b2", "b3"].map(endpoint));
    let unreachable = ["a1", "a2", "b1"];
    for i in 0..200 {
        let key = format!("back-{i}");
        let group = format!("group-{}", i % 10);
        let session = proxy.arrive(Arrival { group: Some(&group), reconnected: true, ..arrival(&key) });
        while proxy.servers_tried(session).last().is_some_and(|server| unreachable.contains(&server.as_str()))
        {
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
        &[Endpoint { state: EndpointState::Removed, ..endpoint("a3") }],
        false,
        after.now,
    );
    let groups: Vec<String> = (0..60).map(|i| format!("bank-{i}")).collect();
    let group_servers: Vec<_> =
        groups.iter().map(|g| (group_server(&mut before, g), group_server(&mut after, g))).collect();
    let moved = group_servers.iter().filter(|(before, after)| before != after).collect::<Vec<_>>();
    assert!(
        moved.iter().all(|(before, _)| before.as_deref() == Some("a3")) && !moved.is_empty(),
        "{moved:?}"
    );
}

#[test]
fn a_reconnecting_group_is_sent_to_as_many_servers_as_its_share_needs() {
    let mut proxy = Proxy::with_twelve_servers();
    for i in 0..60 {
        let group = if i % 2 == 0 { "large".to_owned() } else { format!("small-{i}") };
        proxy.establish(Arrival { group: Some(&group), ..arrival(&format!("new-{i}")) });
    }
    let mut servers_of = |group: &str| {
        let reconnected_to = |i| {
            let key = format!("back-{i}");
            proxy.establish(Arrival { group: Some(group), reconnected: true, ..arrival(&key) })
        };
        (0..30).map(reconnected_to).collect::<BTreeSet<_>>().len()
    };
    let (large, small) = (servers_of("large"), servers_of("small-1"));
    assert!((5..=9).contains(&large) && small <= 2, "{large} {small}");
}

/// Otherwise, hundreds of proxies that observe no load would overload servers with groups spread by hash.
#[test]
fn with_unobserved_load_a_group_is_kept_together_from_its_first_clients_on() {
    let list: Vec<_> = (0..80).map(|i| endpoint(&format!("a{i:02}"))).collect();
    let servers_of_fleet = |proxies: usize, proxy_capacity: Option<f64>| -> BTreeSet<_> {
        let first = |i| {
            let mut proxy = Proxy::in_fleet(proxies, proxy_capacity, i, &list);
            proxy.establish(Arrival { group: Some("g"), ..arrival(&format!("key{i}")) })
        };
        let placed: Vec<_> = (0..30).filter_map(first).collect();
        assert_eq!(placed.len(), 30);
        placed.into_iter().collect()
    };
    // Eighty servers have a capacity of 30 connections each. A few keys are still placed by their hash.
    assert!(servers_of_fleet(300, Some(8.0)).len() <= 10);
    assert!(servers_of_fleet(3, Some(800.0)).len() > 20);
    assert!(servers_of_fleet(3, None).len() > 20);
    // Without a total capacity, the numbers of proxies and servers decide.
    assert!(servers_of_fleet(300, None).len() <= 10);
}

/// No proxy observes the load of a group's servers, but the first server to answer is the least loaded.
#[test]
fn with_unobserved_load_the_first_server_to_answer_a_health_check_gets_the_session() {
    let mut placed = 0;
    for seed in 0..30 {
        let mut proxy = proxy_in_large_fleet(seed);
        let session = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
        // A few keys are placed by their hash, without a health check.
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
fn a_session_is_sent_if_no_health_check_is_answered_in_time_and_sessions_share_an_answer() {
    let mut proxy = proxy_in_large_fleet(1);
    let first = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    let second = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    assert_eq!(proxy.host.health_checked.len(), 3, "a pending health check is shared");
    proxy.run_for(49);
    assert!(proxy.host.attempts.is_empty());
    proxy.run_for(1);
    assert_eq!((proxy.servers_tried(first).len(), proxy.servers_tried(second).len()), (1, 1));
    [first, second].iter().for_each(|session| proxy.balancer.on_established(SessionId(*session), proxy.now));
    // An answer that exceeds the latency objective, or a health check that was given up, does not place a session.
    let server = proxy.host.health_checked[2].clone();
    proxy.answer_health_check(&server, 51);
    assert_eq!(proxy.host.attempts.len(), 2);
    let third = proxy.arrive(Arrival {
        group: Some("g"),
        deadline: proxy.now + Duration::from_millis(20),
        ..arrival("k")
    });
    let fourth = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    proxy.answer_health_check(&server, 4);
    assert_eq!(
        (proxy.servers_tried(third), proxy.servers_tried(fourth)),
        (vec![server.clone()], vec![server])
    );
}

#[test]
fn a_health_check_answer_places_no_session_of_a_closed_client_and_none_at_a_draining_server() {
    let mut proxy = proxy_in_large_fleet(1);
    let closed = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    let health_checked = proxy.host.health_checked.clone();
    proxy.balancer.on_client_closed(SessionId(closed));
    health_checked.iter().for_each(|server| proxy.answer_health_check(server, 3));
    proxy.run_for(1000);
    assert!(proxy.host.attempts.is_empty() && proxy.host.rejected.is_empty());
    let open = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..endpoint(&health_checked[0]) }],
        false,
        proxy.now,
    );
    proxy.answer_health_check(&health_checked[0], 3);
    assert!(proxy.servers_tried(open).len() == 1 && proxy.last_server() != health_checked[0]);
}

#[test]
fn with_overloaded_servers_new_sessions_join_their_group_at_unobserved_servers_too() {
    let at_b4 =
        |group: &String| group_server(&mut Proxy::with_twelve_servers(), group).as_deref() == Some("b4");
    let group = (0..).map(|i| format!("bank-{i}")).find(at_b4).expect("a group");
    let sent_to_b4 = |overloaded: &[&str]| {
        let new = |i| {
            let mut proxy = Proxy::with_twelve_servers();
            proxy.add_sessions_with_latency(overloaded, 500);
            proxy.establish(Arrival { group: Some(&group), ..arrival(&format!("new-{i}")) })
        };
        (0..12).map(new).filter(|server| server.as_deref() == Some("b4")).count()
    };
    assert!(sent_to_b4(&[]) < 6);
    assert_eq!(sent_to_b4(&["a1", "a2", "a3"]), 12);
}

#[test]
fn with_overloaded_servers_a_group_is_not_spread_over_the_remaining_servers() {
    let mut proxy = Proxy::with_twelve_servers();
    let first = group_server(&mut proxy, "bank").expect("a server");
    proxy.add_sessions_with_latency(&[&first], 500);
    let second = group_server(&mut proxy, "bank").expect("the server with the second rank");
    proxy.add_sessions_with_latency(&[&second], 500);
    let third = group_server(&mut proxy, "bank").expect("the server with the third rank");
    proxy.add_sessions_with_latency(&[&third], 500);
    assert_eq!(group_server(&mut proxy, "bank"), None);
    assert_eq!(proxy.host.rejected.len(), 1);
}

/// Each server that holds any member of a group does the group's work, so that reconnecting members should share one.
#[test]
fn without_health_checks_a_group_starts_on_three_servers_and_reconnects_to_one() {
    let list: Vec<_> = (0..50).map(|i| endpoint(&format!("a{i:02}"))).collect();
    let servers_of_group = |reconnected: bool, warming: &str| -> BTreeSet<_> {
        let server_of = |seed: u64| {
            let mut proxy = Proxy::in_fleet(150, None, seed, &list);
            proxy.host.health_checks_refused = true;
            proxy.balancer.on_endpoints(
                &[Endpoint { started: Some(proxy.now), ..endpoint(warming) }],
                false,
                proxy.now,
            );
            // By then the server may be sent almost its full share.
            proxy.advance(7900);
            proxy.establish(Arrival { group: Some("g"), reconnected, ..arrival(&format!("key{seed}")) })
        };
        (0..60).filter_map(server_of).collect()
    };
    let reconnected_to = servers_of_group(true, "a00");
    let first_server = reconnected_to.first().expect("a server").clone();
    let (first, past_a_warming_server) =
        (servers_of_group(false, "a00"), servers_of_group(true, &first_server));
    // A few percent of the keys are placed by their hash at first.
    assert!((3..=6).contains(&first.len()) && reconnected_to.len() == 1, "{first:?} {reconnected_to:?}");
    // A warming server may rank first for several groups, so that each of them also uses other servers.
    assert!(past_a_warming_server.len() >= 3, "{past_a_warming_server:?}");
}
