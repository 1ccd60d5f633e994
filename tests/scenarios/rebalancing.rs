//! Rebalancing: which servers are health-checked, and which sessions are migrated.

use crate::harness::*;
use shelfgrade::host::*;
use shelfgrade::time::DurationExt;
use std::time::Duration;

#[test]
fn a_hundred_proxies_that_observe_an_overload_do_not_empty_the_server_at_once() {
    let migrations = |seed: u64| {
        let mut proxy = Proxy::with_seed(seed.wrapping_mul(SEED_MULTIPLIER), &TWELVE_SERVERS.map(endpoint));
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
    let group_server_id = proxy.establish(reconnecting("k1")).expect("a server");
    let elsewhere =
        ["a1", "a2", "b1", "b2"].into_iter().find(|server| *server != group_server_id).expect("another");
    let (light, heavy) = (key_hashed_to(elsewhere), key_hashed_to(elsewhere));
    proxy.establish(member(&light));
    proxy.establish(member(&heavy));
    proxy.balancer.on_load_report(SessionId(3), 9.0);
    while proxy.host.migrated.is_empty() {
        proxy.report_message_latency(2, 200);
    }
    assert_eq!(proxy.host.migrated, [3], "the heavier session outside its group");
    (0..50).for_each(|_| proxy.report_message_latency(2, 200));
    assert_eq!(
        proxy.host.migrated,
        [3, 2],
        "each session is migrated once, and none that is at its group's server"
    );
    assert_eq!(proxy.establish(reconnecting(&heavy)).as_deref(), Some(group_server_id.as_str()));
}

#[test]
fn with_a_backlog_sessions_at_their_groups_server_are_migrated_too() {
    let mut proxy = Proxy::with_four_servers();
    group_server(&mut proxy, "bank");
    (0..50).for_each(|_| proxy.report_message_latency(1, 100));
    assert!(proxy.host.migrated.is_empty());
    (0..50).for_each(|_| proxy.report_message_latency(1, 500));
    assert_eq!(proxy.host.migrated, [1]);
}

/// With the usual probability, a server would never be emptied while the other servers are overloaded too.
#[test]
fn migrations_increase_if_the_other_servers_are_overloaded_too() {
    let migrated = |others: u64| {
        let migrations = |seed: u64| {
            let mut proxy =
                Proxy::with_seed(seed.wrapping_mul(SEED_MULTIPLIER), &TWELVE_SERVERS.map(endpoint));
            proxy.add_sessions_with_latency(&["a2", "a3", "a4"], others);
            let before = proxy.host.migrated.len();
            proxy.add_sessions_with_latency(&["a1"], 500);
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
    assert!(proxy.host.health_checked.is_empty(), "no server holds a session");
    let sessions: Vec<u64> = (0..12)
        .map(|i| {
            let key = format!("lift-{i}");
            proxy.establish(Arrival { group: Some(&key), ..arrival(&key) }).expect("a server");
            i + 1
        })
        .collect();
    proxy.run_for(300);
    let server = proxy.servers_tried(sessions[0])[0].clone();
    assert!(proxy.host.health_checked.contains(&server));
    for ms in [2, 3] {
        proxy.balancer.on_health_check(&server, Duration::from_millis(ms), proxy.now, &mut proxy.host);
    }
    assert!(proxy.host.migrated.is_empty(), "a latency 50 % above the shortest one may be random");
    for _ in 0..12 {
        proxy.balancer.on_health_check(&server, Duration::from_millis(30), proxy.now, &mut proxy.host);
    }
    assert!(!proxy.host.migrated.is_empty());
    assert!(proxy.host.migrated.iter().all(|session| proxy.servers_tried(*session) == [server.clone()]));
    let before = proxy.host.health_checked.iter().filter(|checked| **checked == server).count();
    proxy.run_for(2200);
    let after = proxy.host.health_checked.iter().filter(|checked| **checked == server).count();
    assert!(after >= before + 2, "an overloaded server is checked each second");
}

#[test]
fn a_draining_server_has_all_its_sessions_migrated() {
    let mut proxy = Proxy::with_four_servers();
    for i in 0..8 {
        proxy.establish(arrival(&format!("lift-{i}")));
    }
    let server = proxy.servers_tried(1)[0].clone();
    let held: Vec<u64> =
        (1..=8).filter(|session| proxy.servers_tried(*session) == [server.clone()]).collect();
    let draining = Endpoint { state: EndpointState::Draining, ..endpoint(&server) };
    proxy.balancer.on_endpoints(&[draining], false, proxy.now);
    proxy.balancer.start_periodic_checks(true, proxy.now, &mut proxy.host);
    assert!(proxy.host.migrated.len() <= 1, "one at a time");
    proxy.run_for(8000);
    let mut migrated = proxy.host.migrated.clone();
    migrated.sort_unstable();
    assert_eq!(migrated, held);
}

#[test]
fn a_client_whose_messages_are_not_answered_is_migrated_once() {
    let mut proxy = Proxy::with_four_servers();
    proxy.establish(arrival("lift-1"));
    proxy.report_message_latency(1, 4000);
    proxy.report_message_latency(1, 5000);
    assert_eq!(proxy.host.migrated, [1]);
}

#[test]
fn an_unusually_short_health_check_does_not_remain_the_reference() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_hashed_to("a1");
    proxy.balancer.on_health_check("a1", Duration::from_ms(0.05), proxy.now, &mut proxy.host);
    for _ in 0..40 {
        proxy.balancer.on_health_check("a1", Duration::from_millis(2), proxy.now, &mut proxy.host);
    }
    proxy.advance(60_000);
    assert_eq!(proxy.establish(arrival(&key)).as_deref(), Some("a1"));
    proxy.balancer.on_health_check("a1", Duration::from_millis(2), proxy.now, &mut proxy.host);
    assert!(proxy.host.migrated.is_empty());
}

/// The processor time that the balancer takes for many reports in turn on all of these sessions, which are all at one
/// server and wait for a reply.
fn cost_of_reports_on_waiting_sessions(sessions: u64) -> Duration {
    const REPORTS: u64 = 20_000;
    let mut proxy = Proxy::with_servers(&["a1"].map(endpoint));
    let groups: Vec<_> = (1..=sessions).map(|i| format!("bank-{i}")).collect();
    for (session, group) in (1..).map(SessionId).zip(&groups) {
        let open = Arrival { session, group: Some(group), ..arrival(group) };
        proxy.balancer.restore_session(&open, "a1", proxy.now);
    }
    let before = thread_cpu_time();
    (0..REPORTS).for_each(|i| proxy.report_message_latency(1 + i % sessions, 100));
    let cost = thread_cpu_time() - before;
    assert!(proxy.host.migrated.is_empty(), "all sessions are at their group's server");
    cost
}

/// Guards against reports that each cost a walk over all sessions of the server: when one with many sessions stops
/// responding, the reports on all of them held up everyone else.
#[test]
fn reports_on_all_sessions_of_a_server_cost_the_same_however_many_they_are() {
    // The system counts processor time in steps of some milliseconds.
    const MEASURABLE: Duration = Duration::from_millis(50);
    let [few, many] = [100, 1600].map(cost_of_reports_on_waiting_sessions);
    assert!(many < 4 * few.max(MEASURABLE), "{many:?} with 1600 sessions, {few:?} with 100");
}
