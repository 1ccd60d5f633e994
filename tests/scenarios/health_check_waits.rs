//! Sessions that wait for the answers to health checks: what holds when an answer arrives, not what held when the wait
//! began, decides where they are sent.

use crate::harness::*;
use shelfgrade::host::*;
use std::time::Duration;

/// Returns one of 300 proxies, whose servers are in two zones and whose load no proxy observes.
fn proxy_in_large_fleet_of_two_zones(seed: u64) -> Proxy {
    let zone = |i: usize| if i.is_multiple_of(2) { "a" } else { "b" };
    let list: Vec<_> = (0..80).map(|i| endpoint(&format!("{}{i:02}", zone(i)))).collect();
    Proxy::in_fleet(300, Some(8.0), seed, &list)
}

/// Guards against a request that takes effect twice: a late answer to a health check that was sent before the first
/// attempt placed the session in a zone that does not recognize its repeat.
#[test]
fn a_late_health_check_answer_does_not_send_a_keyed_request_to_another_zone() {
    let mut late_answers = 0;
    for seed in 0..40 {
        let mut proxy = proxy_in_large_fleet_of_two_zones(seed);
        let group = format!("g{seed}");
        let session = proxy.arrive(Arrival { class: Some(KEYED), group: Some(&group), ..arrival("k") });
        let health_checked = proxy.host.health_checked.clone();
        let Some((first, others)) = health_checked.split_first() else { continue };
        proxy.answer_health_check(first, 3);
        assert_eq!(proxy.servers_tried(session), [first.as_str()]);
        proxy.end_attempt(session, AttemptOutcome::Failed);
        let zone = &first[..1];
        for server in others.iter().filter(|server| !server.starts_with(zone)) {
            proxy.answer_health_check(server, 5);
            late_answers += 1;
        }
        proxy.run_for(1000);
        let tried = proxy.servers_tried(session);
        assert!(tried.iter().all(|server| server.starts_with(zone)), "{tried:?}");
    }
    assert!(late_answers > 20, "{late_answers}");
}

/// Guards against a cold server that is pushed over: each of the sessions that waited for it was admitted while none of
/// the others had been sent there.
#[test]
fn sessions_that_wait_for_a_warming_server_are_not_all_sent_there_when_it_answers() {
    let mut waited = 0;
    for seed in 0..40 {
        let mut proxy = proxy_in_large_fleet_of_two_zones(seed);
        let warming: Vec<_> = (0..80)
            .map(|i| format!("{}{i:02}", if i % 2 == 0 { "a" } else { "b" }))
            .map(|id| Endpoint { started: Some(proxy.now), ..endpoint(&id) })
            .collect();
        proxy.balancer.on_endpoints(&warming, false, proxy.now);
        // By then, a single session is always admitted.
        proxy.advance(6000);
        for i in 0..6 {
            proxy.arrive(Arrival { group: Some("g"), ..arrival(&format!("k{seed}-{i}")) });
        }
        for server in proxy.host.health_checked.clone() {
            let before = proxy.host.attempts.len();
            proxy.answer_health_check(&server, 3);
            let sent =
                proxy.host.attempts[before..].iter().filter(|attempt| attempt.server == server).count();
            assert!(
                sent <= 1,
                "{sent} attempts at once, where this proxy's part of the budget is less than one"
            );
            waited += sent;
        }
    }
    assert!(waited > 20, "{waited}");
}

/// Guards against a wait that outlives the window in which servers recognize a repeated request.
#[test]
fn a_health_check_answer_after_the_window_of_a_keyed_request_does_not_send_it_again() {
    let mut waits = 0;
    for seed in 0..40 {
        let mut proxy = proxy_in_large_fleet(seed);
        let deadline = proxy.now + Duration::from_millis(9000);
        let arrival = Arrival { class: Some(KEYED), deadline, group: Some("g"), ..arrival("k") };
        let session = proxy.arrive(arrival);
        let Some(first) = proxy.host.health_checked.first().cloned() else { continue };
        proxy.answer_health_check(&first, 3);
        // The window is 1,500 ms, of which 150 are left for a suspension of the process.
        proxy.advance(1340);
        let before = proxy.host.health_checked.len();
        proxy.end_attempt(session, AttemptOutcome::Failed);
        let Some(second) = proxy.host.health_checked.get(before).cloned() else { continue };
        proxy.advance(20);
        proxy.answer_health_check(&second, 20);
        assert_eq!((proxy.servers_tried(session).len(), &proxy.host.failed[..]), (1, &[session][..]));
        waits += 1;
    }
    assert!(waits > 20, "{waits}");
}

/// Guards against a wait that ends with an earlier one of the same session, before its own servers had time to answer.
#[test]
fn a_wait_for_health_checks_is_not_cut_short_by_the_end_of_an_earlier_wait() {
    let mut proxy = proxy_in_large_fleet(1);
    let session = proxy.arrive(Arrival { group: Some("g"), ..arrival("k") });
    let first = proxy.host.health_checked[0].clone();
    proxy.answer_health_check(&first, 3);
    proxy.run_for(40);
    proxy.end_attempt(session, AttemptOutcome::Failed);
    assert!(proxy.host.health_checked.len() > 3, "the session waits again");
    proxy.run_for(49);
    assert_eq!(proxy.servers_tried(session), [first.as_str()]);
    proxy.run_for(1);
    assert_eq!(proxy.servers_tried(session).len(), 2);
}
