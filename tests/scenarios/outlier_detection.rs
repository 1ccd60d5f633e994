//! Outlier detection: which servers are passed over, and for how long.

use crate::harness::*;
use shelfgrade::host::*;

#[test]
fn an_overloaded_server_gets_fewer_sessions_until_its_outlier_score_has_decayed() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_for("a2");
    proxy.establish(arrival(&key));
    proxy.report_message_latency(1, 200);
    assert_eq!(proxy.establish(arrival(&key)).as_deref(), Some("b1"));
    proxy.advance(60_000);
    assert_eq!(proxy.establish(arrival(&key)).as_deref(), Some("a2"));
}

#[test]
fn sessions_are_rejected_where_every_server_is_an_outlier() {
    let mut proxy = Proxy::with_four_servers();
    let sessions = ["a1", "a2", "b1", "b2"].map(|place| proxy.arrive(arrival(&key_for(place))));
    for session in sessions {
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.report_message_latency(session, 500);
    }
    let session = proxy.arrive(arrival("one more"));
    assert_eq!(proxy.host.rejected.iter().map(|rejection| rejection.session).collect::<Vec<_>>(), [session]);
}

#[test]
fn a_client_that_retries_at_once_is_not_admitted_to_an_overloaded_fleet() {
    let mut proxy = Proxy::with_four_servers();
    for place in ["a1", "a2", "b1", "b2"] {
        let session = proxy.arrive(arrival(&key_for(place)));
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.report_message_latency(session, 35);
    }
    // Servers with partial scores admit some clients and reject others, but admit none for retrying.
    let mut admitted = [0, 0];
    for client in 0..20 {
        let key = format!("client-{client}");
        let retries: Vec<bool> = (0..10).map(|_| proxy.establish(arrival(&key)).is_some()).collect();
        assert!(retries.iter().all(|t| *t == retries[0]), "{retries:?}");
        admitted[usize::from(retries[0])] += 1;
        proxy.now = shelfgrade::time::Timestamp::from_ms(60_100.0);
    }
    assert!(admitted[0] > 0 && admitted[1] > 0, "{admitted:?}");
    // The score does not decay between two latency reports.
    let mut proxy = Proxy::with(&[server("a1")]);
    proxy.establish(arrival("first"));
    proxy.report_message_latency(1, 100);
    proxy.advance(1200);
    for i in 0..100 {
        proxy.arrive(arrival(&format!("later-{i}")));
    }
    assert_eq!(proxy.host.attempts.len(), 1);
}

#[test]
fn a_session_that_fails_everywhere_raises_only_its_first_servers_outlier_score() {
    let mut proxy = Proxy::with_twelve_servers();
    for _ in 0..3 {
        let bad = proxy.arrive(arrival("bad"));
        for _ in 0..4 {
            proxy.end_attempt(bad, AttemptOutcome::Failed);
        }
        assert_eq!(proxy.servers_tried(bad).len(), 4, "it may still be the servers");
    }
    let before = proxy.host.attempts.len();
    let first = proxy.host.attempts[0].server.clone();
    for i in 0..100 {
        proxy.establish(arrival(&format!("good-{i}")));
    }
    let elsewhere = proxy.host.attempts[before..].iter().filter(|attempt| attempt.server != first).count();
    assert!(elsewhere >= 100 * 11 / 12 - 5, "the other servers keep their sessions: {elsewhere}");
    assert!(proxy.host.rejected.len() <= 5, "{:?}", proxy.host.rejected.len());
}

/// A zone or kind of machine that fails is met once, not server by server.
#[test]
fn an_unused_server_is_passed_over_by_the_excess_score_of_its_zone() {
    let list: Vec<_> =
        ["a", "b"].iter().flat_map(|z| (0..20).map(move |i| server(&format!("{z}{i:02}")))).collect();
    let unused_in_a = |bad: &[&str]| {
        let goes_to_unused_in_a = |seed: u64| {
            let mut proxy = Proxy::one_of(100, None, seed, &list);
            proxy.host.health_checks_refused = true;
            for place in ["a00", "a01", "a02", "b00", "b01", "b02"] {
                proxy.overload(&[place], if bad.contains(&place) { 500 } else { 1 });
            }
            let key = format!("key{seed}");
            let session = proxy.arrive(Arrival { group: Some(&key), ..arrival(&key) });
            proxy.servers_tried(session).first().is_some_and(|p| p.starts_with('a') && p.as_str() > "a02")
        };
        (0..200).filter(|seed| goes_to_unused_in_a(*seed)).count()
    };
    let (calm, outliers_in_a) = (unused_in_a(&[]), unused_in_a(&["a00", "a01", "a02"]));
    assert!(calm > 60 && outliers_in_a < calm / 2, "{outliers_in_a} of {calm}");
    // Overload that is everywhere says nothing of one zone, nor does a kind that all servers share.
    let all = unused_in_a(&["a00", "a01", "a02", "b00", "b01", "b02"]);
    assert!(all > calm / 2, "{all} of {calm}");
}

/// Retries by many proxies would together keep an overloaded server from recovering.
#[test]
fn many_proxies_together_retry_an_overloaded_server_no_more_often_than_few() {
    let nine: Vec<_> = TWELVE[..9].iter().map(|place| server(place)).collect();
    // Clients that reconnect fifteen seconds after each proxy's last report of the overload.
    let retried = |proxies: usize| {
        let retries = |seed: &u64| {
            let mut proxy = Proxy::one_of(proxies, Some(1000.0), *seed, &nine);
            let group_home = group_server(&mut proxy, "bank").expect("a server");
            proxy.overload(&[&group_home], 500);
            proxy.advance(15_000);
            proxy.establish(Arrival { group: Some("bank"), reconnected: true, ..arrival("back") })
                == Some(group_home)
        };
        (0..60).filter(retries).count()
    };
    let (of_three, of_ninety) = (retried(3), retried(90));
    assert!(of_three > 40 && of_ninety < 10, "{of_three} {of_ninety}");
}
