//! Stories of the clock by which a change of the list counts as told: six seconds after its service had it and could be
//! reached, whatever call failed before.

use crate::harness::*;
use nanorand::{Rng, WyRand};
use shelfgrade::balancer::{LoadBalancer, SlowStart};
use shelfgrade::time::{DurationExt, Timestamp};
use std::time::Duration;

const COUNTS_AFTER: Duration = Duration::from_millis(6000);
/// A call that is taken and worked through has its answer in this time, in its turn among others.
const ANSWERED_IN: Duration = Duration::from_millis(500);
/// As the program on sockets does: a call may be silent for so long, and a connection may take so long to come up.
const SILENT_FOR: Duration = Duration::from_millis(2800);
const DIALS_FOR: Duration = Duration::from_millis(1000);

fn one_of(proxies: usize, max_poll_interval: Option<Duration>, seed: u64) -> Proxy {
    let slow_start = SlowStart {
        initial_fraction: 0.3,
        duration: Duration::from_millis(8000),
        overload_factor: 3.0,
        overload_window: Duration::from_millis(2000),
        total_capacity: None,
        server_capacity: 30.0,
        proxies: proxies as f64,
    };
    let balancer =
        LoadBalancer::new(seed, Vec::new(), 4, Duration::from_millis(1000), max_poll_interval, slow_start);
    let mut proxy = Proxy::with_four_servers();
    proxy.host = RecordingHost::default();
    proxy.balancer = balancer;
    proxy
}

/// Lives until it asks for the list again, and says when; what it asked before is done with.
fn asks(proxy: &mut Proxy) -> Timestamp {
    while proxy.host.subscribed == 0 {
        let at = proxy.host.wakeups.iter().copied().min().expect("it will ask");
        proxy.run_for(at.since(proxy.now).as_ms().ceil() as u64);
    }
    proxy.host.subscribed = 0;
    proxy.host.wakeups.clear();
    proxy.now
}

/// What becomes of a call that brings nothing; where the service is there by `from`, it refuses nobody any longer.
fn fails(proxy: &mut Proxy, chance: &mut WyRand, from: Timestamp) {
    let began = proxy.now;
    let lasts = |most: Duration, chance: &mut WyRand| most.scaled(f64::from(chance.generate::<f32>()));
    match chance.generate_range(0..4) {
        // Refused or reset at once, or kept in turn and then refused: not once it can be reached.
        0 => proxy.now = began + lasts(Duration::from_millis(30), chance),
        1 => proxy.now = (began + lasts(Duration::from_millis(2000), chance)).min(from.max(began)),
        2 => proxy.now = began + DIALS_FOR,
        _ => {
            proxy.now = began + SILENT_FOR;
            return proxy.balancer.on_watch_lost(began + COUNTS_AFTER, &mut proxy.host);
        }
    }
    proxy.balancer.on_poll_failed(began, proxy.now, &mut proxy.host);
}

/// With three hundred proxies and ten seconds to ask in, the pause after a failure, and the one at the start, were up to
/// eight seconds: a server that had left the list 7.1 s before was sent a session.
#[test]
fn after_any_failures_a_change_is_applied_within_six_seconds_of_being_available() {
    let mut chance = WyRand::new_seed(11);
    for (proxies, max_poll_interval) in
        [(3, 10_000), (24, 10_000), (300, 10_000), (300, 60_000), (300, 1500), (3800, 10_000), (300, 0)]
    {
        for seed in 0..400 {
            let max_poll_interval =
                Some(Duration::from_millis(max_poll_interval)).filter(|time| *time > Duration::ZERO);
            let mut proxy = one_of(proxies, max_poll_interval, seed);
            proxy.now = Timestamp::from_ms(60_000.0);
            let mut from =
                proxy.now + Duration::from_millis(20_000).scaled(f64::from(chance.generate::<f32>()));
            let restarts = seed % 2 == 0;
            proxy.balancer.start(&TWELVE.map(server), proxy.now, &mut proxy.host);
            if !restarts {
                // It had the list, and its watch broke after a while.
                asks(&mut proxy);
                proxy.balancer.on_endpoints(&[], false, proxy.now);
                from = from.max(proxy.now);
                fails(&mut proxy, &mut chance, from);
            }
            let mut tries = Vec::new();
            let answered = loop {
                let asked = asks(&mut proxy);
                tries.push(asked.since(from).as_ms());
                if asked >= from {
                    break asked + ANSWERED_IN;
                }
                fails(&mut proxy, &mut chance, from);
            };
            assert!(
                answered.since(from) < COUNTS_AFTER,
                "{proxies}, {max_poll_interval:?}, seed {seed}: {:?} after it was available, {tries:?}",
                answered.since(from)
            );
        }
    }
}

/// Two refusals by a service that has too many callers, each after it kept the caller in turn, leave time for a third try.
#[test]
fn after_two_late_refusals_a_third_poll_is_in_time() {
    for proxies in [3, 300] {
        for seed in 0..200 {
            let mut proxy = one_of(proxies, Some(MAX_POLL_INTERVAL), seed);
            proxy.balancer.start(&TWELVE.map(server), proxy.now, &mut proxy.host);
            // Down for long, and back just as a call was taken.
            for _ in 0..9 {
                let began = asks(&mut proxy);
                proxy.balancer.on_poll_failed(began, began, &mut proxy.host);
            }
            let from = asks(&mut proxy);
            for _ in 0..2 {
                let began = proxy.now;
                proxy.advance(1500);
                proxy.balancer.on_poll_failed(began, proxy.now, &mut proxy.host);
                asks(&mut proxy);
            }
            let took = (proxy.now + ANSWERED_IN).since(from);
            assert!(took < COUNTS_AFTER, "{proxies}, seed {seed}: {took:?}");
        }
    }
}

/// A spread in place of a pause: refused at the start or after a loss that all noticed, nobody asks again before all have
/// asked once; and a fleet that hears nothing asks no more often, together, than its pauses say.
#[test]
fn no_proxy_polls_twice_before_every_other_has_polled_once() {
    for proxies in [3usize, 24, 300] {
        let mut calls = Vec::new();
        for seed in 0..proxies as u64 {
            let mut proxy = one_of(proxies, Some(MAX_POLL_INTERVAL), seed.wrapping_mul(SEED_MULTIPLIER));
            let start = proxy.now;
            proxy.balancer.start(&TWELVE.map(server), proxy.now, &mut proxy.host);
            let mut own = Vec::new();
            while proxy.now.since(start) < Duration::from_millis(30_000) {
                let began = asks(&mut proxy);
                own.push(began.since(start));
                proxy.balancer.on_poll_failed(began, began, &mut proxy.host);
            }
            calls.push(own);
        }
        let last_first = calls.iter().map(|own| own[0]).max().expect("proxies");
        let first_second = calls.iter().map(|own| own[1]).min().expect("proxies");
        assert!(last_first <= first_second, "{proxies}: {last_first:?} {first_second:?}");
        // Once the pauses have their full length: 1.4 s, whatever the number of proxies.
        let late = Duration::from_millis(20_000)..Duration::from_millis(30_000);
        let late = calls.iter().flatten().filter(|at| late.contains(at)).count();
        let a_second = late as f64 / 10.0;
        assert!(a_second <= proxies as f64 / 1.25, "{proxies}: {a_second}");
    }
}

/// Where there is little time to ask in, two tenths of a second and 0.8 of it were longer than that time.
#[test]
fn no_pause_exceeds_four_fifths_of_the_poll_interval() {
    for (ms, proxies) in [100, 300, 800, 10_000].into_iter().flat_map(|ms| [(ms, 3), (ms, 300)]) {
        for seed in 0..50 {
            let mut proxy = one_of(proxies, Some(Duration::from_millis(ms)), seed);
            let mut last = proxy.now;
            proxy.balancer.start(&TWELVE.map(server), proxy.now, &mut proxy.host);
            for _ in 0..6 {
                let began = asks(&mut proxy);
                let pause = began.since(last);
                assert!(
                    pause <= Duration::from_millis(ms).scaled(0.8) + Duration::from_millis(1),
                    "{ms}, {proxies}: {pause:?}"
                );
                last = began;
                proxy.balancer.on_poll_failed(began, began, &mut proxy.host);
            }
        }
    }
}
