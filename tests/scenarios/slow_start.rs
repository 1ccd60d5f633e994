//! Slow start: what is sent to servers that have just started.

use crate::harness::*;
use shelfgrade::host::*;

#[test]
fn a_warming_server_is_sent_few_sessions_until_it_is_warm() {
    let (mut while_warming, mut when_warm) = (0, 0);
    for seed in 0..10 {
        let mut proxy = Proxy::with_seed(seed, &["a1", "a2", "b1", "b2"].map(endpoint));
        (0..40).for_each(|i| drop(proxy.establish(arrival(&format!("early-{i}")))));
        let warming = Endpoint { started: Some(proxy.now), ..endpoint("a3") };
        proxy.balancer.on_endpoints(&[warming], false, proxy.now);
        let burst = |proxy: &mut Proxy, name: &str| {
            let before = proxy.host.attempts.len();
            (0..100).for_each(|i| drop(proxy.establish(arrival(&format!("{name}-{seed}-{i}")))));
            proxy.host.attempts[before..].iter().filter(|attempt| attempt.server == "a3").count()
        };
        while_warming += burst(&mut proxy, "storm");
        proxy.advance(8000);
        when_warm += burst(&mut proxy, "warm");
    }
    // An even share would be 200.
    assert!(while_warming <= 60 && when_warm > 100, "{while_warming} {when_warm}");
}

#[test]
fn few_or_many_proxies_together_send_a_warming_server_its_share() {
    let mut sent = Vec::new();
    for proxies in [4, 40] {
        let mut total = 0;
        for seed in 0..proxies {
            let mut proxy = Proxy::in_fleet(proxies as usize, None, seed, &TWELVE_SERVERS.map(endpoint));
            // Twelve servers that hold 240 connections in total.
            (0..240 / proxies).for_each(|i| drop(proxy.establish(arrival(&format!("early-{seed}-{i}")))));
            proxy.balancer.on_endpoints(
                &[Endpoint { started: Some(proxy.now), ..endpoint("a7") }],
                false,
                proxy.now,
            );
            let before = proxy.host.attempts.len();
            for i in 0..400 {
                proxy.arrive(arrival(&format!("storm-{seed}-{i}")));
                let session = SessionId(240 / proxies + 1 + i);
                proxy.balancer.on_client_closed(session);
                proxy.balancer.on_established(session, proxy.now);
                proxy.balancer.on_attempt_ended(
                    session,
                    AttemptOutcome::Completed,
                    true,
                    proxy.now,
                    &mut proxy.host,
                );
                proxy.advance(20);
            }
            total += proxy.host.attempts[before..].iter().filter(|attempt| attempt.server == "a7").count();
        }
        sent.push(total);
    }
    // A warm server holds 18. The budget is about half of three times that, and grows as the server warms up.
    assert!(sent.iter().all(|n| (6..=36).contains(n)), "{sent:?}");
}

#[test]
fn a_hundred_proxies_with_one_connection_each_send_a_warming_server_its_share() {
    // Every proxy holds one connection when a server restarts. Then this many sessions arrive at once.
    let sent = |proxy_capacity: Option<f64>, clients: u64| {
        let of_proxy = |seed: u64| {
            let mut proxy = Proxy::in_fleet(100, proxy_capacity, seed, &TWELVE_SERVERS.map(endpoint));
            proxy.establish(arrival(&format!("early-{seed}")));
            proxy.advance(5000);
            proxy.balancer.on_endpoints(
                &[Endpoint { started: Some(proxy.now), ..endpoint("a7") }],
                false,
                proxy.now,
            );
            for i in 0..clients {
                proxy.arrive(arrival(&format!("back-{seed}-{i}")));
            }
            proxy.attempts_by_server().get("a7").copied().unwrap_or(0)
        };
        (0..100).map(of_proxy).sum::<usize>()
    };
    // With one session per proxy, all sessions whose hash selects the server are admitted.
    let baseline = sent(None, 1);
    assert!((4..=14).contains(&baseline), "{baseline}");
    // Five sessions per proxy are a burst. An even share would be 38.
    let burst = sent(None, 5);
    assert!((4..=25).contains(&burst), "{burst}");
    // If the settings define a capacity of three times the connections that the servers hold, more of the burst is
    // admitted.
    let with_capacity = sent(Some(10.8), 5);
    assert!((burst + 3..=38).contains(&with_capacity), "{with_capacity} beside {burst}");
}

/// A proxy's first session has no recent arrivals with which to share the budget. Mid-flow sessions are sent to
/// warming servers too.
#[test]
fn proxies_with_one_client_each_keep_warming_servers_within_their_budget_together() {
    let list: Vec<_> = (0..20).map(|i| endpoint(&format!("a{i:02}"))).collect();
    let group = |i: usize| format!("g{}", i % 20);
    let sent = |mid_flow: bool| {
        let server_of = |i: usize| {
            let mut proxy = Proxy::in_fleet(600, None, i as u64, &list);
            proxy.host.health_checks_refused = true;
            let warming: Vec<_> = list
                .iter()
                .map(|listed| Endpoint { started: Some(proxy.now), ..listed.clone() })
                .take(10)
                .collect();
            proxy.balancer.on_endpoints(&warming, false, proxy.now);
            let (key, group) = (format!("key{i}"), group(i));
            let session = proxy.arrive(Arrival { group: Some(&group), mid_flow, ..arrival(&key) });
            proxy.servers_tried(session).first().cloned()
        };
        let servers: Vec<_> = (0..600).filter_map(server_of).collect();
        servers.iter().filter(|server| server.as_str() < "a10").count()
    };
    // Ten servers of 30 connections take 300 * 2/8 = 75 in two of the eight seconds. Three times that, at 0.3 of the
    // capacity, is 67.5, and half of this is 34. Without slow start, 300 would be sent.
    let (new, mid_flow) = (sent(false), sent(true));
    assert!((20..=50).contains(&new) && (20..=50).contains(&mid_flow), "{new} {mid_flow}");
}

/// During a migration, some proxies are configured with few proxies and a total capacity, and others with many
/// proxies and no total capacity.
#[test]
fn two_fleets_that_share_servers_keep_a_warming_one_within_its_bound_and_both_are_served() {
    let sent = |old: usize, new: usize| {
        let of_proxy = |i: usize| {
            let (proxies, proxy_capacity) = if i < old { (3, Some(40.0)) } else { (60, None) };
            let mut proxy = Proxy::in_fleet(proxies, proxy_capacity, i as u64, &TWELVE_SERVERS.map(endpoint));
            proxy.host.health_checks_refused = i >= old;
            proxy.balancer.on_endpoints(
                &[Endpoint { started: Some(proxy.now), ..endpoint("a1") }],
                false,
                proxy.now,
            );
            // As many sessions arrive at the 3 proxies as at the 60: together a third of the total capacity within
            // half a second.
            let clients = if i < old { 20 } else { 1 };
            let server_of = |client| {
                let (key, group) = (format!("key{i}-{client}"), format!("g{}", (i + client) % 24));
                proxy.establish(Arrival { group: Some(&group), ..arrival(&key) })
            };
            (0..clients).filter_map(server_of).collect::<Vec<_>>()
        };
        let servers: Vec<_> = (0..old + new).flat_map(of_proxy).collect();
        (servers.len(), servers.iter().filter(|server| *server == "a1").count())
    };
    let (old, new, both) = (sent(3, 0), sent(0, 60), sent(3, 60));
    // The server's capacity of 30 connections over eight seconds is 7.5 in two seconds. At three times that and 0.3
    // of the capacity, which is rising, nine attempts overload it. Without slow start, ten would be sent.
    assert!(both.1 < 9, "{old:?} {new:?} {both:?}");
    assert!(old.0 >= 55 && new.0 >= 55, "{old:?} {new:?}");
}

/// A group reconnects at once and to one server.
#[test]
fn a_reconnecting_group_is_admitted_to_a_warming_server_less_than_new_clients() {
    let sent = |reconnected: bool| {
        let of_proxy = |seed: u64| {
            let mut proxy = Proxy::in_fleet(100, None, seed, &TWELVE_SERVERS.map(endpoint));
            proxy.host.health_checks_refused = true;
            let warming: Vec<_> = TWELVE_SERVERS
                .iter()
                .map(|server| Endpoint { started: Some(proxy.now), ..endpoint(server) })
                .collect();
            proxy.balancer.on_endpoints(&warming, false, proxy.now);
            // By then, a single session is always admitted.
            proxy.advance(6000);
            let key = format!("key{seed}");
            let session = proxy.arrive(Arrival { group: Some("g"), reconnected, ..arrival(&key) });
            proxy.servers_tried(session).len()
        };
        (0..300).map(of_proxy).sum::<usize>()
    };
    let (new, reconnecting) = (sent(false), sent(true));
    assert!(new > 200 && reconnecting < new / 2, "{reconnecting} beside {new}");
}

/// With the same random draw for both, the sessions that pass over outliers would all be sent to the warming servers.
#[test]
fn sessions_that_pass_over_outliers_are_not_those_admitted_to_a_warming_server() {
    let sent = |overloaded: u64| {
        let of_proxy = |seed: u64| {
            let mut proxy = Proxy::in_fleet(100, None, seed, &TWELVE_SERVERS.map(endpoint));
            proxy.host.health_checks_refused = true;
            proxy.balancer.on_endpoints(
                &[Endpoint { started: Some(proxy.now), ..endpoint("a1") }],
                false,
                proxy.now,
            );
            TWELVE_SERVERS[1..]
                .iter()
                .for_each(|server| proxy.add_sessions_with_latency(&[server], overloaded));
            // Four sessions arrived just before, so that one in four is admitted.
            (0..4).for_each(|i| drop(proxy.establish(arrival(&format!("just-before-{seed}-{i}")))));
            let key = format!("key{seed}");
            let session = proxy.arrive(Arrival { group: Some(&key), reconnected: true, ..arrival(&key) });
            usize::from(proxy.servers_tried(session).first().is_some_and(|server| server == "a1"))
        };
        (0..800).map(of_proxy).sum::<usize>()
    };
    let (baseline, overloaded) = (sent(1), sent(35));
    assert!(baseline > 10 && overloaded < 2 * baseline, "{overloaded} beside {baseline}");
}

/// A zone restarts, and its clients reconnect to 300 proxies that all know of the restart. Each server must be sent
/// at most N + 2 * sqrt(N) + 2 attempts in two seconds, where N is three times what fills it over its warm-up, at its
/// current capacity.
#[test]
fn three_hundred_proxies_keep_a_restarted_zone_of_ten_servers_within_their_bound() {
    const SERVERS: usize = 81;
    const RESTARTED: usize = 10;
    let ids: Vec<_> =
        (0..SERVERS).map(|i| format!("{}{i:02}", if i < RESTARTED { "z" } else { "a" })).collect();
    let server_capacity = 30.0;
    let mut sent = std::collections::BTreeMap::new();
    for seed in 0..300u64 {
        let list: Vec<_> = ids.iter().map(|id| endpoint(id)).collect();
        let proxy_capacity = server_capacity * SERVERS as f64 / 300.0;
        let mut proxy = Proxy::in_fleet(300, Some(proxy_capacity), seed.wrapping_mul(SEED_MULTIPLIER), &list);
        (0..4).for_each(|i| drop(proxy.establish(arrival(&format!("early-{seed}-{i}")))));
        proxy.advance(5000);
        let started = Some(proxy.now);
        let restarted: Vec<_> =
            ids[..RESTARTED].iter().map(|id| Endpoint { started, ..endpoint(id) }).collect();
        proxy.balancer.on_endpoints(&restarted, false, proxy.now);
        let before = proxy.host.attempts.len();
        // The clients that the zone held, and as many new ones.
        for i in 0..8 {
            let (key, group) = (format!("back-{seed}-{i}"), format!("bank-{}", (seed + i) % 40));
            proxy.establish(Arrival { group: Some(&group), reconnected: i % 2 == 0, ..arrival(&key) });
            proxy.advance(240);
        }
        for attempt in proxy.host.attempts[before..].iter().filter(|attempt| attempt.server.starts_with('z'))
        {
            *sent.entry(attempt.server.clone()).or_insert(0.0) += 1.0;
        }
    }
    // Two of eight seconds, at 0.3 of the capacity.
    let allowed = 3.0 * server_capacity * 2.0 / 8.0 * 0.3;
    let bound = allowed + 2.0 * f64::sqrt(allowed) + 2.0;
    assert!(sent.len() > RESTARTED / 2 && sent.values().all(|n| *n <= bound), "{bound} {sent:?}");
}

/// A restarted server holds none of its earlier connections. Their ends are reported before the endpoint list shows
/// the restart, after it, or not at all.
#[test]
fn mid_flow_sessions_are_not_sent_to_their_server_once_it_has_restarted() {
    for ends_reported_first in [None, Some(true), Some(false)] {
        let mut proxy = Proxy::with_four_servers();
        let keys: Vec<_> = (0..160).map(|i| format!("key-{i}")).collect();
        let servers: Vec<_> =
            keys.iter().map(|key| proxy.establish(arrival(key)).expect("a server")).collect();
        let from_a1: Vec<_> = (0..keys.len()).filter(|i| servers[*i] == "a1").collect();
        let end_sessions = |proxy: &mut Proxy| {
            from_a1.iter().for_each(|i| proxy.end_attempt(*i as u64 + 1, AttemptOutcome::ConnectionLost))
        };
        proxy.advance(1000);
        if ends_reported_first == Some(true) {
            end_sessions(&mut proxy);
        }
        let restarted = Endpoint { started: Some(proxy.now), ..endpoint("a1") };
        proxy.balancer.on_endpoints(&[restarted], false, proxy.now);
        if ends_reported_first == Some(false) {
            end_sessions(&mut proxy);
        }
        let before = proxy.attempts_by_server()["a1"];
        for i in &from_a1 {
            proxy.arrive(Arrival { mid_flow: true, ..arrival(&keys[*i]) });
        }
        let sent = proxy.attempts_by_server()["a1"] - before;
        // 6.75 is N in two seconds, for a server with a capacity of 30 that starts with 0.3 of it.
        let bound = 6.75 + 2.0 * 6.75_f64.sqrt() + 2.0;
        assert!(
            from_a1.len() > 25 && sent as f64 <= bound,
            "{sent} of {}, {ends_reported_first:?}",
            from_a1.len()
        );
    }
}
