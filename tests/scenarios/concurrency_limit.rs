//! The concurrency limit, where a resource behind all servers is congested.

use crate::harness::*;
use shelfgrade::host::*;
use shelfgrade::time::DurationExt;

#[test]
fn congestion_limits_a_hundred_proxies_with_one_client_each() {
    // Every attempt ends in an error, and the client returns immediately as a new session.
    let attempts_in_a_second = |seed: u64| {
        let mut proxy =
            Proxy::in_fleet(100, None, seed.wrapping_mul(SEED_MULTIPLIER), &TWELVE_SERVERS.map(endpoint));
        let mut before = 0;
        for i in 0..40 {
            if i == 30 {
                before = proxy.host.attempts.len();
            }
            let key = format!("lift-{i}");
            let session = proxy.arrive(Arrival { reconnected: true, ..arrival(&key) });
            // As long as the session is sent to another server.
            for attempt in 1..=4 {
                if proxy.servers_tried(session).len() == attempt {
                    proxy.end_attempt(session, AttemptOutcome::Failed);
                }
            }
            proxy.advance(100);
        }
        proxy.host.attempts.len() - before
    };
    let sent: usize = (0..100).map(attempts_in_a_second).sum();
    assert!((1..=150).contains(&sent), "{sent} of 1000 sessions, with up to 4 attempts each");
}

#[test]
fn congestion_behind_all_servers_limits_attempts_and_the_rest_are_rejected_immediately() {
    let mut proxy = Proxy::with_servers(&["a1", "a2", "a3", "b1", "b2", "b3"].map(endpoint));
    for i in 0..6 {
        let session = proxy.arrive(arrival(&format!("jam-{i}")));
        for _ in 0..4 {
            proxy.end_attempt(session, AttemptOutcome::Failed);
        }
    }
    let (sent, rejected) = (proxy.host.attempts.len(), proxy.host.rejected.len());
    for i in 0..50 {
        proxy.arrive(arrival(&format!("storm-{i}")));
    }
    let admitted = proxy.host.attempts.len() - sent;
    assert!(admitted <= 1, "sessions admitted under congestion: {admitted}");
    assert_eq!(
        proxy.host.rejected.len() - rejected,
        50 - admitted,
        "all other sessions are rejected immediately"
    );
}

/// Returns how many of 60 proxies of a fleet of this size admit a session, `ms` after congestion in which attempts
/// took `established_after_ms` to be established.
fn admitted_after(proxies: usize, established_after_ms: u64, ms: u64) -> usize {
    let admits = |seed: &u64| {
        let mut proxy = Proxy::in_fleet(proxies, None, *seed, &TWELVE_SERVERS.map(endpoint));
        for round in 0..15 {
            let sessions: Vec<_> =
                (0..30).map(|i| proxy.arrive(arrival(&format!("jam-{round}-{i}")))).collect();
            proxy.advance(established_after_ms);
            sessions.iter().for_each(|session| proxy.balancer.on_established(SessionId(*session), proxy.now));
        }
        proxy.advance(ms);
        let attempts = proxy.host.attempts.len();
        proxy.arrive(arrival("new"));
        proxy.host.attempts.len() > attempts
    };
    (0..60).filter(admits).count()
}

/// A proxy with few clients does not have enough attempts to widen its window by them alone.
#[test]
fn the_window_reopens_within_fourteen_seconds_after_congestion_for_any_number_of_proxies() {
    assert!(admitted_after(300, 301, 0) <= 6);
    assert!(
        (3..40).contains(&admitted_after(300, 301, 8000)),
        "the windows of the proxies reopen one after the other"
    );
    assert_eq!(admitted_after(300, 301, 14_000), 60);
    // The window of one of three proxies stays above one attempt.
    assert_eq!(admitted_after(3, 301, 0), 60);
}

#[test]
fn attempts_established_late_narrow_the_window_and_those_in_time_do_not() {
    assert_eq!(admitted_after(300, 300, 0), 60);
    // Under congestion, another server would not respond sooner, so that an attempt has the full time until the
    // deadline.
    let mut proxy = Proxy::in_fleet(300, None, 1, &TWELVE_SERVERS.map(endpoint));
    let attempt_timeout = |proxy: &mut Proxy| {
        proxy.arrive(arrival("k"));
        proxy.host.attempts.last().map(|attempt| attempt.timeout)
    };
    assert_eq!(attempt_timeout(&mut proxy), Some(REQUEST_TIMEOUT.scaled(0.5)));
    attempt_timeout(&mut proxy);
    attempt_timeout(&mut proxy);
    proxy.advance(301);
    (1..3).for_each(|session| proxy.balancer.on_established(SessionId(session), proxy.now));
    proxy.advance(200);
    for _ in 4..40 {
        attempt_timeout(&mut proxy);
    }
    assert_eq!(attempt_timeout(&mut proxy), Some(REQUEST_TIMEOUT));
}
