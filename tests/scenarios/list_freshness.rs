//! Freshness of the endpoint list: whatever polls failed before, a change is applied within six seconds after the
//! discovery service has it and can be reached.

use crate::harness::*;
use nanorand::{Rng, WyRand};
use shelfgrade::balancer::{LoadBalancer, SlowStart};
use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

const APPLY_WITHIN: Duration = Duration::from_millis(6000);
/// The response time of the discovery service for a poll that it accepts, including queueing.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// The proxy's timeouts for a call without a response and for opening its connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(2800);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

fn proxy_in_fleet(proxy_count: usize, max_poll_interval: Option<Duration>, seed: u64) -> Proxy {
    let slow_start = SlowStart {
        initial_fraction: 0.3,
        duration: Duration::from_millis(8000),
        overload_factor: 3.0,
        overload_window: Duration::from_millis(2000),
        total_capacity: None,
        server_capacity: 30.0,
        proxy_count: proxy_count as f64,
    };
    let balancer =
        LoadBalancer::new(seed, Vec::new(), 4, Duration::from_millis(1000), max_poll_interval, slow_start);
    let mut proxy = Proxy::with_four_servers();
    proxy.host = RecordingHost::default();
    proxy.balancer = balancer;
    proxy
}

/// Runs until the list is polled again and returns the time. No earlier poll is in progress.
fn next_poll(proxy: &mut Proxy) -> Timestamp {
    while proxy.host.subscribed == 0 {
        let at = proxy.host.wakeups.iter().copied().min().expect("a wakeup");
        proxy.run_for(at.since(proxy.now).as_ms().ceil() as u64);
    }
    proxy.host.subscribed = 0;
    proxy.host.wakeups.clear();
    proxy.now
}

/// Makes a poll fail in a random way. The discovery service refuses no poll from `available_from` on.
fn fail_poll(proxy: &mut Proxy, rng: &mut WyRand, available_from: Timestamp) {
    let polled_at = proxy.now;
    let random_up_to = |max: Duration, rng: &mut WyRand| max.scaled(f64::from(rng.generate::<f32>()));
    match rng.generate_range(0..4) {
        // Refused or reset immediately; or queued and then refused, which ends once the discovery service can be
        // reached.
        0 => proxy.now = polled_at + random_up_to(Duration::from_millis(30), rng),
        1 => {
            proxy.now = (polled_at + random_up_to(Duration::from_millis(2000), rng))
                .min(available_from.max(polled_at))
        }
        2 => proxy.now = polled_at + CONNECT_TIMEOUT,
        _ => {
            proxy.now = polled_at + CALL_TIMEOUT;
            return proxy.balancer.on_watch_lost(polled_at + APPLY_WITHIN, &mut proxy.host);
        }
    }
    proxy.balancer.on_poll_failed(polled_at, proxy.now, &mut proxy.host);
}

/// For any number of proxies and any poll interval, because pauses depend on both.
#[test]
fn after_any_failures_a_change_is_applied_within_six_seconds_of_being_available() {
    let mut rng = WyRand::new_seed(11);
    for (proxies, max_poll_interval) in
        [(3, 10_000), (24, 10_000), (300, 10_000), (300, 60_000), (300, 1500), (3800, 10_000), (300, 0)]
    {
        for seed in 0..400 {
            let max_poll_interval =
                Some(Duration::from_millis(max_poll_interval)).filter(|time| *time > Duration::ZERO);
            let mut proxy = proxy_in_fleet(proxies, max_poll_interval, seed);
            proxy.now = Timestamp::from_ms(60_000.0);
            let mut available_from =
                proxy.now + Duration::from_millis(20_000).scaled(f64::from(rng.generate::<f32>()));
            let restarts = seed % 2 == 0;
            proxy.balancer.start(&TWELVE_SERVERS.map(endpoint), proxy.now, &mut proxy.host);
            if !restarts {
                // The proxy has received the list, and its watch is lost some time later.
                next_poll(&mut proxy);
                proxy.balancer.on_endpoints(&[], false, proxy.now);
                available_from = available_from.max(proxy.now);
                fail_poll(&mut proxy, &mut rng, available_from);
            }
            let mut polls = Vec::new();
            let answered = loop {
                let polled_at = next_poll(&mut proxy);
                polls.push(polled_at.since(available_from).as_ms());
                if polled_at >= available_from {
                    break polled_at + RESPONSE_TIME;
                }
                fail_poll(&mut proxy, &mut rng, available_from);
            };
            assert!(
                answered.since(available_from) < APPLY_WITHIN,
                "{proxies}, {max_poll_interval:?}, seed {seed}: {:?} after it was available, {polls:?}",
                answered.since(available_from)
            );
        }
    }
}

/// The discovery service is overloaded: it queues a poll before it refuses it.
#[test]
fn after_two_late_refusals_a_third_poll_is_in_time() {
    for proxies in [3, 300] {
        for seed in 0..200 {
            let mut proxy = proxy_in_fleet(proxies, Some(MAX_POLL_INTERVAL), seed);
            proxy.balancer.start(&TWELVE_SERVERS.map(endpoint), proxy.now, &mut proxy.host);
            // It is down for a long time, and becomes available just as a poll is queued.
            for _ in 0..9 {
                let polled_at = next_poll(&mut proxy);
                proxy.balancer.on_poll_failed(polled_at, polled_at, &mut proxy.host);
            }
            let available_from = next_poll(&mut proxy);
            for _ in 0..2 {
                let polled_at = proxy.now;
                proxy.advance(1500);
                proxy.balancer.on_poll_failed(polled_at, proxy.now, &mut proxy.host);
                next_poll(&mut proxy);
            }
            let applied_after = (proxy.now + RESPONSE_TIME).since(available_from);
            assert!(applied_after < APPLY_WITHIN, "{proxies}, seed {seed}: {applied_after:?}");
        }
    }
}

/// Proxies that start together, or lose their watches together, poll no more often than their pauses allow.
#[test]
fn no_proxy_polls_twice_before_every_other_has_polled_once() {
    for proxies in [3usize, 24, 300] {
        let mut polls_by_proxy = Vec::new();
        for seed in 0..proxies as u64 {
            let mut proxy =
                proxy_in_fleet(proxies, Some(MAX_POLL_INTERVAL), seed.wrapping_mul(SEED_MULTIPLIER));
            let start = proxy.now;
            proxy.balancer.start(&TWELVE_SERVERS.map(endpoint), proxy.now, &mut proxy.host);
            let mut own_polls = Vec::new();
            while proxy.now.since(start) < Duration::from_millis(30_000) {
                let polled_at = next_poll(&mut proxy);
                own_polls.push(polled_at.since(start));
                proxy.balancer.on_poll_failed(polled_at, polled_at, &mut proxy.host);
            }
            polls_by_proxy.push(own_polls);
        }
        let latest_first_poll = polls_by_proxy.iter().map(|own_polls| own_polls[0]).max().expect("proxies");
        let earliest_second_poll =
            polls_by_proxy.iter().map(|own_polls| own_polls[1]).min().expect("proxies");
        assert!(
            latest_first_poll <= earliest_second_poll,
            "{proxies}: {latest_first_poll:?} {earliest_second_poll:?}"
        );
        // Once the pauses have reached their full length, which is 1.4 s for any number of proxies.
        let late = Duration::from_millis(20_000)..Duration::from_millis(30_000);
        let late = polls_by_proxy.iter().flatten().filter(|at| late.contains(at)).count();
        let polls_per_s = late as f64 / 10.0;
        assert!(polls_per_s <= proxies as f64 / 1.25, "{proxies}: {polls_per_s}");
    }
}

/// Even for poll intervals as short as 100 ms.
#[test]
fn no_pause_exceeds_four_fifths_of_the_poll_interval() {
    for (ms, proxies) in [100, 300, 800, 10_000].into_iter().flat_map(|ms| [(ms, 3), (ms, 300)]) {
        for seed in 0..50 {
            let mut proxy = proxy_in_fleet(proxies, Some(Duration::from_millis(ms)), seed);
            let mut last = proxy.now;
            proxy.balancer.start(&TWELVE_SERVERS.map(endpoint), proxy.now, &mut proxy.host);
            for _ in 0..6 {
                let polled_at = next_poll(&mut proxy);
                let pause = polled_at.since(last);
                assert!(
                    pause <= Duration::from_millis(ms).scaled(0.8) + Duration::from_millis(1),
                    "{ms}, {proxies}: {pause:?}"
                );
                last = polled_at;
                proxy.balancer.on_poll_failed(polled_at, polled_at, &mut proxy.host);
            }
        }
    }
}
