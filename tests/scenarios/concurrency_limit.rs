//! The concurrency limit, where something behind all servers is congested.

use crate::harness::*;
use shelfgrade::host::*;
use shelfgrade::time::DurationExt;

#[test]
fn congestion_limits_a_hundred_proxies_of_one_client_each() {
    // Every attempt ends in an error, and the client returns at once as a new session.
    let attempts_in_a_second = |seed: u64| {
        let mut proxy = Proxy::one_of(100, None, seed.wrapping_mul(SEED_MULTIPLIER), &TWELVE.map(server));
        let mut before = 0;
        for i in 0..40 {
            if i == 30 {
                before = proxy.host.attempts.len();
            }
            let key = format!("lift-{i}");
            let session = proxy.arrive(Arrival { reconnected: true, ..arrival(&key) });
            // While it is sent on to another server.
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
    assert!((1..=150).contains(&sent), "{sent} of a thousand sessions, with up to four attempts each");
}

#[test]
fn congestion_behind_all_servers_limits_attempts_and_the_rest_are_answered_at_once() {
    let mut proxy = Proxy::with(&["a1", "a2", "a3", "b1", "b2", "b3"].map(server));
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
    assert!(admitted <= 1, "no storm: {admitted}");
    assert_eq!(proxy.host.rejected.len() - rejected, 50 - admitted, "all others are answered at once");
}

/// How many of sixty proxies of a fleet of so many admit a session, so long after congestion in which attempts were
/// established after `established_after_ms`.
fn admitted_after(proxies: usize, established_after_ms: u64, ms: u64) -> usize {
    let admits = |seed: &u64| {
        let mut proxy = Proxy::one_of(proxies, None, *seed, &TWELVE.map(server));
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

/// A proxy with few clients hears too little to widen its window by their attempts alone.
#[test]
fn the_window_reopens_within_fourteen_seconds_after_congestion_for_any_number_of_proxies() {
    assert!(admitted_after(300, 301, 0) <= 6);
    assert!((3..40).contains(&admitted_after(300, 301, 8000)), "a few proxies after the other");
    assert_eq!(admitted_after(300, 301, 14_000), 60);
    // The window of one of three proxies stays above one attempt.
    assert_eq!(admitted_after(3, 301, 0), 60);
}

#[test]
fn attempts_established_late_narrow_the_window_and_those_in_time_do_not() {
    assert_eq!(admitted_after(300, 300, 0), 60);
    // Under congestion another server would do no better: an attempt has the full deadline.
    let mut proxy = Proxy::one_of(300, None, 1, &TWELVE.map(server));
    let wait = |proxy: &mut Proxy| {
        proxy.arrive(arrival("k"));
        proxy.host.attempts.last().map(|attempt| attempt.timeout)
    };
    assert_eq!(wait(&mut proxy), Some(REQUEST_TIMEOUT.scaled(0.5)));
    wait(&mut proxy);
    wait(&mut proxy);
    proxy.advance(301);
    (1..3).for_each(|session| proxy.balancer.on_established(SessionId(session), proxy.now));
    proxy.advance(200);
    for _ in 4..40 {
        wait(&mut proxy);
    }
    assert_eq!(wait(&mut proxy), Some(REQUEST_TIMEOUT));
}
