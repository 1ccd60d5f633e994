//! Stories of jams behind all servers.

use crate::harness::*;
use shelfgrade::host::*;
use shelfgrade::time::DurationExt;

#[test]
fn congestion_limits_a_hundred_proxies_of_one_client_each() {
    // Whatever is sent ends in an error, and the client comes straight back, as a new session each time.
    let sent_in_a_second_of_the_jam = |seed: u64| {
        let mut proxy = Proxy::one_of(100, None, seed.wrapping_mul(SEED_MULTIPLIER), &TWELVE.map(server));
        let mut before = 0;
        for i in 0..40 {
            if i == 30 {
                before = proxy.host.attempts.len();
            }
            let key = format!("lift-{i}");
            let session = proxy.arrive(Arrival { reconnected: true, ..arrival(&key) });
            // As long as it is sent somewhere else.
            for tried in 1..=4 {
                if proxy.servers_tried(session).len() == tried {
                    proxy.end_attempt(session, AttemptOutcome::Failed);
                }
            }
            proxy.advance(100);
        }
        proxy.host.attempts.len() - before
    };
    let sent: usize = (0..100).map(sent_in_a_second_of_the_jam).sum();
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
    let (sent, pushed) = (proxy.host.attempts.len(), proxy.host.rejected.len());
    for i in 0..50 {
        proxy.arrive(arrival(&format!("storm-{i}")));
    }
    let went = proxy.host.attempts.len() - sent;
    assert!(went <= 1, "no storm: {went}");
    assert_eq!(proxy.host.rejected.len() - pushed, 50 - went, "all others are answered at once");
}

/// How many of sixty, each one of so many proxies, let a client in, so long after a jam behind all servers in which
/// what was let in stood after such a time.
fn let_in_after(proxies: usize, stood_after: u64, ms: u64) -> usize {
    let lets_in = |seed: &u64| {
        let mut proxy = Proxy::one_of(proxies, None, *seed, &TWELVE.map(server));
        for round in 0..15 {
            let came: Vec<_> = (0..30).map(|i| proxy.arrive(arrival(&format!("jam-{round}-{i}")))).collect();
            proxy.advance(stood_after);
            came.iter().for_each(|session| proxy.balancer.on_established(SessionId(*session), proxy.now));
        }
        proxy.advance(ms);
        let attempts = proxy.host.attempts.len();
        proxy.arrive(arrival("new"));
        proxy.host.attempts.len() > attempts
    };
    (0..60).filter(lets_in).count()
}

/// A jam of two seconds on a day of three hundred proxies had them turn nearly everybody away for twelve more.
#[test]
fn the_window_reopens_within_fourteen_seconds_after_congestion_for_any_number_of_proxies() {
    assert!(let_in_after(300, 301, 0) <= 6);
    assert!((3..40).contains(&let_in_after(300, 301, 8000)), "a few proxies after the other");
    assert_eq!(let_in_after(300, 301, 14_000), 60);
    // Three proxies have whole attempts of their own to tell by.
    assert_eq!(let_in_after(3, 301, 0), 60);
}

#[test]
fn attempts_established_late_narrow_the_window_and_those_in_time_do_not() {
    assert_eq!(let_in_after(300, 300, 0), 60);
    // Where there is a jam another server would do no better: an attempt waits its client's request timeout out.
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
