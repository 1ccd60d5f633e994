//! Rebalancing: which servers are health-checked, and which sessions are migrated.

use crate::harness::*;
use shelfgrade::host::*;
use shelfgrade::time::DurationExt;
use std::time::Duration;

#[test]
fn a_hundred_proxies_that_learn_of_an_overload_do_not_empty_the_server_at_once() {
    let migrations = |seed: u64| {
        let mut proxy = Proxy::seeded(seed.wrapping_mul(SEED_MULTIPLIER), &TWELVE.map(server));
        proxy.establish(arrival("lift-1"));
        proxy.report_message_latency(1, 500);
        proxy.host.migrated.len()
    };
    let migrated: usize = (0..100).map(migrations).sum();
    assert!((20..=50).contains(&migrated), "{migrated}");
}

#[test]
fn sessions_outside_their_group_are_migrated_from_an_overloaded_server_and_rejoin_the_group() {
    let mut proxy = Proxy::with_four_servers();
    let member = |key| Arrival { group: Some("bank-1"), ..arrival(key) };
    let reconnecting = |key| Arrival { reconnected: true, ..member(key) };
    let group_home = proxy.establish(reconnecting("k1")).expect("a place");
    let elsewhere = ["a1", "a2", "b1", "b2"].into_iter().find(|place| *place != group_home).expect("another");
    let (light, heavy) = (key_for(elsewhere), key_for(elsewhere));
    proxy.establish(member(&light));
    proxy.establish(member(&heavy));
    proxy.balancer.on_load_report(SessionId(3), 9.0);
    while proxy.host.migrated.is_empty() {
        proxy.report_message_latency(2, 200);
    }
    assert_eq!(proxy.host.migrated, [3], "the heavier session outside its group");
    (0..50).for_each(|_| proxy.report_message_latency(2, 200));
    assert_eq!(proxy.host.migrated, [3, 2], "each once, and none at its group's server");
    assert_eq!(proxy.establish(reconnecting(&heavy)).as_deref(), Some(group_home.as_str()));
}

#[test]
fn where_work_has_piled_up_sessions_at_their_groups_server_are_migrated_too() {
    let mut proxy = Proxy::with_four_servers();
    group_server(&mut proxy, "bank");
    (0..50).for_each(|_| proxy.report_message_latency(1, 100));
    assert!(proxy.host.migrated.is_empty());
    (0..50).for_each(|_| proxy.report_message_latency(1, 500));
    assert_eq!(proxy.host.migrated, [1]);
}

/// Where the others are overloaded too, the usual probability would never empty a server.
#[test]
fn migrations_increase_where_the_other_servers_are_overloaded_too() {
    let migrated = |others: u64| {
        let migrations = |seed: u64| {
            let mut proxy = Proxy::seeded(seed.wrapping_mul(SEED_MULTIPLIER), &TWELVE.map(server));
            proxy.overload(&["a2", "a3", "a4"], others);
            let before = proxy.host.migrated.len();
            proxy.overload(&["a1"], 500);
            proxy.host.migrated.len() - before
        };
        (0..100).map(migrations).sum::<usize>()
    };
    let (alone, all_overloaded) = (migrated(1), migrated(500));
    assert!((20..=50).contains(&alone) && all_overloaded > 80, "{alone} {all_overloaded}");
}

#[test]
fn without_message_latencies_slow_health_checks_start_rebalancing() {
    let mut proxy = Proxy::with_four_servers();
    proxy.balancer.start_periodic_checks(true, proxy.now, &mut proxy.host);
    assert!(proxy.host.health_checked.is_empty(), "nothing is held anywhere");
    let sessions: Vec<u64> = (0..12)
        .map(|i| {
            let key = format!("lift-{i}");
            proxy.establish(Arrival { group: Some(&key), ..arrival(&key) }).expect("a server");
            i + 1
        })
        .collect();
    proxy.run_for(300);
    let place = proxy.servers_tried(sessions[0])[0].clone();
    assert!(proxy.host.health_checked.contains(&place));
    for ms in [2, 3] {
        proxy.balancer.on_health_check(&place, Duration::from_millis(ms), proxy.now, &mut proxy.host);
    }
    assert!(proxy.host.migrated.is_empty(), "half as long again is within chance");
    for _ in 0..12 {
        proxy.balancer.on_health_check(&place, Duration::from_millis(30), proxy.now, &mut proxy.host);
    }
    assert!(!proxy.host.migrated.is_empty());
    assert!(proxy.host.migrated.iter().all(|c| proxy.servers_tried(*c) == [place.clone()]));
    let before = proxy.host.health_checked.iter().filter(|p| **p == place).count();
    proxy.run_for(2200);
    let after = proxy.host.health_checked.iter().filter(|p| **p == place).count();
    assert!(after >= before + 2, "an overloaded server is checked each second");
}

#[test]
fn a_draining_server_has_all_its_sessions_migrated() {
    let mut proxy = Proxy::with_four_servers();
    for i in 0..8 {
        proxy.establish(arrival(&format!("lift-{i}")));
    }
    let place = proxy.servers_tried(1)[0].clone();
    let held: Vec<u64> = (1..=8).filter(|c| proxy.servers_tried(*c) == [place.clone()]).collect();
    let draining = Endpoint { state: EndpointState::Draining, ..server(&place) };
    proxy.balancer.on_endpoints(&[draining], false, proxy.now);
    proxy.balancer.start_periodic_checks(true, proxy.now, &mut proxy.host);
    assert!(proxy.host.migrated.len() <= 1, "one at a time");
    proxy.run_for(8000);
    let mut migrated = proxy.host.migrated.clone();
    migrated.sort_unstable();
    assert_eq!(migrated, held);
}

#[test]
fn a_client_without_answers_is_migrated_once() {
    let mut proxy = Proxy::with_four_servers();
    proxy.establish(arrival("lift-1"));
    proxy.report_message_latency(1, 4000);
    proxy.report_message_latency(1, 5000);
    assert_eq!(proxy.host.migrated, [1]);
}

#[test]
fn an_unusually_short_health_check_is_not_the_reference_for_good() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_for("a1");
    proxy.balancer.on_health_check("a1", Duration::from_ms(0.05), proxy.now, &mut proxy.host);
    for _ in 0..40 {
        proxy.balancer.on_health_check("a1", Duration::from_millis(2), proxy.now, &mut proxy.host);
    }
    proxy.advance(60_000);
    assert_eq!(proxy.establish(arrival(&key)).as_deref(), Some("a1"));
    proxy.balancer.on_health_check("a1", Duration::from_millis(2), proxy.now, &mut proxy.host);
    assert!(proxy.host.migrated.is_empty());
}
