//! Outlier detection: which servers are passed over, and for how long.

use crate::harness::*;
use shelfgrade::host::*;

#[test]
fn an_overloaded_server_gets_fewer_sessions_until_its_outlier_score_has_decayed() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_hashed_to("a2");
    proxy.establish(arrival(&key));
    proxy.report_message_latency(1, 200);
    assert_eq!(proxy.establish(arrival(&key)).as_deref(), Some("b1"));
    proxy.advance(60_000);
    assert_eq!(proxy.establish(arrival(&key)).as_deref(), Some("a2"));
}

#[test]
fn sessions_are_rejected_where_every_server_is_an_outlier() {
    let mut proxy = Proxy::with_four_servers();
    let sessions = ["a1", "a2", "b1", "b2"].map(|server| proxy.arrive(arrival(&key_hashed_to(server))));
    for session in sessions {
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.report_message_latency(session, 500);
    }
    let session = proxy.arrive(arrival("one more"));
    assert_eq!(proxy.host.rejected.iter().map(|rejection| rejection.session).collect::<Vec<_>>(), [session]);
}

#[test]
fn a_client_that_retries_immediately_is_not_admitted_to_overloaded_servers() {
    let mut proxy = Proxy::with_four_servers();
    for server in ["a1", "a2", "b1", "b2"] {
        let session = proxy.arrive(arrival(&key_hashed_to(server)));
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.report_message_latency(session, 35);
    }
    // Servers with scores between 0 and 1 admit some clients and reject others, but do not admit a client because it
    // retries.
    let mut admitted = [0, 0];
    for client in 0..20 {
        let key = format!("client-{client}");
        let retries: Vec<bool> = (0..10).map(|_| proxy.establish(arrival(&key)).is_some()).collect();
        assert!(retries.iter().all(|admitted| *admitted == retries[0]), "{retries:?}");
        admitted[usize::from(retries[0])] += 1;
        proxy.now = shelfgrade::time::Timestamp::from_ms(60_100.0);
    }
    assert!(admitted[0] > 0 && admitted[1] > 0, "{admitted:?}");
    // The score does not decay between two latency reports.
    let mut proxy = Proxy::with_servers(&[endpoint("a1")]);
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
        let failing_session = proxy.arrive(arrival("bad"));
        for _ in 0..4 {
            proxy.end_attempt(failing_session, AttemptOutcome::Failed);
        }
        assert_eq!(
            proxy.servers_tried(failing_session).len(),
            4,
            "the errors may still be caused by the servers"
        );
    }
    let before = proxy.host.attempts.len();
    let first = proxy.host.attempts[0].server.clone();
    for i in 0..100 {
        proxy.establish(arrival(&format!("good-{i}")));
    }
    let elsewhere = proxy.host.attempts[before..].iter().filter(|attempt| attempt.server != first).count();
    assert!(elsewhere >= 100 * 11 / 12 - 5, "the other servers still get their sessions: {elsewhere}");
    assert!(proxy.host.rejected.len() <= 5, "{:?}", proxy.host.rejected.len());
}

/// The failure of a zone or a kind of machine is discovered once instead of server by server.
#[test]
fn an_unused_server_is_passed_over_by_the_excess_score_of_its_zone() {
    let list: Vec<_> =
        ["a", "b"].iter().flat_map(|zone| (0..20).map(move |i| endpoint(&format!("{zone}{i:02}")))).collect();
    let unused_in_a = |overloaded: &[&str]| {
        let is_sent_to_unused_in_a = |seed: u64| {
            let mut proxy = Proxy::in_fleet(100, None, seed, &list);
            proxy.host.health_checks_refused = true;
            for server in ["a00", "a01", "a02", "b00", "b01", "b02"] {
                proxy
                    .add_sessions_with_latency(&[server], if overloaded.contains(&server) { 500 } else { 1 });
            }
            let key = format!("key{seed}");
            let session = proxy.arrive(Arrival { group: Some(&key), ..arrival(&key) });
            proxy
                .servers_tried(session)
                .first()
                .is_some_and(|server| server.starts_with('a') && server.as_str() > "a02")
        };
        (0..200).filter(|seed| is_sent_to_unused_in_a(*seed)).count()
    };
    let (baseline, outliers_in_a) = (unused_in_a(&[]), unused_in_a(&["a00", "a01", "a02"]));
    assert!(baseline > 60 && outliers_in_a < baseline / 2, "{outliers_in_a} of {baseline}");
    // An overload of all servers does not count against one zone, nor does a kind that all servers share.
    let all = unused_in_a(&["a00", "a01", "a02", "b00", "b01", "b02"]);
    assert!(all > baseline / 2, "{all} of {baseline}");
}

/// Retries by many proxies together would keep an overloaded server from recovering.
#[test]
fn many_proxies_together_retry_an_overloaded_server_no_more_often_than_few() {
    let nine_servers: Vec<_> = TWELVE_SERVERS[..9].iter().map(|server| endpoint(server)).collect();
    // Clients that reconnect 15 s after each proxy's last report of the overload.
    let retried = |proxies: usize| {
        let retries = |seed: &u64| {
            let mut proxy = Proxy::in_fleet(proxies, Some(1000.0), *seed, &nine_servers);
            let first_server = group_server(&mut proxy, "bank").expect("a server");
            proxy.add_sessions_with_latency(&[&first_server], 500);
            proxy.advance(15_000);
            proxy.establish(Arrival { group: Some("bank"), reconnected: true, ..arrival("back") })
                == Some(first_server)
        };
        (0..60).filter(retries).count()
    };
    let (of_three, of_ninety) = (retried(3), retried(90));
    assert!(of_three > 40 && of_ninety < 10, "{of_three} {of_ninety}");
}
