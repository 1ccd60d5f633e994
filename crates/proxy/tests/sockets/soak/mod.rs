//! A seeded soak test of a real proxy process: servers accept, reject, hang, disconnect and drain, discovery and system
//! calls fail, and clients continue until the process would be killed, at the earliest permitted time.
//!
//! `SOAK_SEEDS=60 cargo test -p shelfgrade-proxy --test sockets soak` runs more seeds than CI does.

mod fake_peers;

use crate::failure_injection::{Call, Failure, Plan};
use crate::harness::{FakeServer, ProxyProcess, Settings, DEFAULT};
use fake_peers::{check_invariants, pause, run_client, run_discovery, run_server, Run, WINDOW_MS};
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
const CLIENTS: usize = 24;
/// The process would be killed this long plus the clients' request timeout after the signal. Clients open new
/// connections for at most this long after the signal.
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// Time until the clients notice the shutdown and open no more connections.
const SHUTDOWN_NOTICED_AFTER: Duration = Duration::from_millis(300);

/// Makes system calls fail at random rates.
fn inject_failures(plan: &Plan, rng: &mut WyRand) {
    let error =
        |numbers: &[i32], rng: &mut WyRand| Failure::Error(numbers[rng.generate_range(0..numbers.len())]);
    let accept = error(&[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::ENETDOWN], rng);
    let connect = error(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EAGAIN, libc::ECONNREFUSED], rng);
    let send = if rng.generate() { Failure::Short } else { error(&[libc::ENOBUFS, libc::EINTR], rng) };
    let receive = if rng.generate() { Failure::Short } else { error(&[libc::ENOMEM, libc::EINTR], rng) };
    let socket = error(&[libc::ENOBUFS, libc::ENFILE, libc::ENOMEM], rng);
    let calls = [
        (Call::Accept, accept),
        (Call::Connect, connect),
        (Call::Send, send),
        (Call::Receive, receive),
        (Call::Socket, socket),
    ];
    for (call, failure) in calls {
        let per_mille = [0, 0, 50, 400][rng.generate_range(0..4_usize)];
        plan.fail(call, per_mille, failure);
    }
}

/// Runs the test with one seed. Returns the violations found.
fn soak(seed: u64) -> Vec<String> {
    let mut rng = WyRand::new_seed(seed);
    let idempotency = ["repeatable", "by_key", "once"][rng.generate_range(0..3_usize)];
    let request_timeout_ms = [900, 1800, 3000][rng.generate_range(0..3_usize)];
    let has_idle_clients = rng.generate_range(0..3_u32) == 0;
    let max_descriptors = if has_idle_clients { 160 } else { 512 };
    let servers: Vec<_> = (0..SERVERS).map(|i| FakeServer::new(&format!("s{i}"))).collect();
    let settings = Settings {
        idempotency,
        request_timeout_ms,
        max_descriptors,
        idempotency_window_ms: WINDOW_MS,
        health_checks_allowed: rng.generate(),
        servers_report_latency: rng.generate(),
        list_delivery: if rng.generate() { "subscribe" } else { "automatic" },
        proxy_count: "1",
        customer_quota: "200",
        ..DEFAULT
    };
    let plan = Plan::new();
    let proxy = plan.start(settings, &servers.iter().collect::<Vec<_>>());
    let run = Arc::new(Run {
        seed,
        idempotency,
        request_timeout: Duration::from_millis(request_timeout_ms),
        address: proxy.address,
        observed: Mutex::default(),
        clients_stop: AtomicBool::new(false),
        peers_stop: AtomicBool::new(false),
    });
    let entries =
        servers.iter().map(|server| ["in_service", "terminating"].map(|health| server.endpoint(health)));
    let (entries, discovery_run, discovery) = (entries.collect(), run.clone(), proxy.discovery.clone());
    thread::spawn(move || run_discovery(discovery_run, discovery, entries));
    for (index, server) in servers.into_iter().enumerate() {
        let run = run.clone();
        thread::spawn(move || run_server(run, index, server));
    }
    inject_failures(&plan, &mut rng);
    let idle_clients: Vec<_> = (0..if has_idle_clients { 120 } else { 0 }).map(|_| proxy.connect()).collect();
    let clients: Vec<_> = (0..CLIENTS as u64)
        .map(|index| {
            let run = run.clone();
            thread::spawn(move || run_client(run, index))
        })
        .collect();
    for _ in 0..rng.generate_range(1..6_u32) {
        pause(rng.generate_range(100..400));
        if rng.generate() {
            suspend_briefly(&proxy);
        }
        plan.step_wall_clock([0, 3_600_000, -3_600_000, 5000][rng.generate_range(0..4_usize)]);
    }
    for _ in 0..rng.generate_range(0..4_u32) {
        proxy.signal(Signal::HUP);
        pause(rng.generate_range(0..30));
    }
    shut_down(&run, proxy, &mut rng);
    clients.into_iter().for_each(|client| client.join().unwrap());
    run.peers_stop.store(true, SeqCst);
    drop(idle_clients);
    check_invariants(&run);
    let mut observed = run.observed.lock().unwrap();
    println!(
        "seed {seed}: {idempotency}, {request_timeout_ms} ms, {max_descriptors} descriptors: \
        {} requests forwarded, {} sessions ended by servers, {} servers drained, {} calls failed",
        observed.received.len(),
        observed.ended_by_server.len(),
        observed.drains.len().min(1),
        [Call::Accept, Call::Connect, Call::Send, Call::Receive, Call::Socket]
            .map(|call| plan.failed(call))
            .iter()
            .sum::<u64>()
    );
    std::mem::take(&mut observed.violations)
}

/// Suspends the proxy for 150 ms, the longest pause in which it must still meet its time limits.
fn suspend_briefly(proxy: &ProxyProcess) {
    proxy.signal(Signal::STOP);
    pause(150);
    proxy.signal(Signal::CONT);
}

/// Sends a series of signals, and expects that the proxy exits before the earliest time at which it would be killed.
fn shut_down(run: &Run, mut proxy: ProxyProcess, rng: &mut WyRand) {
    proxy.terminate();
    let signalled_at = Instant::now();
    for _ in 0..rng.generate_range(0..3_u32) {
        pause(rng.generate_range(0..60));
        proxy.signal(if rng.generate() { Signal::HUP } else { Signal::TERM });
        if rng.generate() {
            suspend_briefly(&proxy);
        }
    }
    thread::sleep(SHUTDOWN_NOTICED_AFTER.saturating_sub(signalled_at.elapsed()));
    run.clients_stop.store(true, SeqCst);
    while signalled_at.elapsed() < run.request_timeout + KILLED_AFTER {
        if proxy.child.try_wait().unwrap().is_some() {
            let (code, log) = proxy.wait_for_exit();
            if code != Some(0) || log.contains("panicked") || log.contains("invariant violated") {
                run.report_violation(format!("the proxy exited with {code:?}: {log}"));
            }
            return;
        }
        pause(2);
    }
    run.report_violation("the proxy did not exit before it would be killed".to_owned());
}

#[test]
fn every_request_is_answered_and_no_invariant_is_violated_under_random_faults() {
    const SEEDS_IN_CI: u64 = 12;
    const PARALLEL_RUNS: usize = 4;
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS_IN_CI);
    let first: u64 = std::env::var("SOAK_FIRST").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut violations = Vec::new();
    for group in (first..first + seeds).collect::<Vec<_>>().chunks(PARALLEL_RUNS) {
        let runs: Vec<_> = group.iter().copied().map(|seed| thread::spawn(move || soak(seed))).collect();
        runs.into_iter().for_each(|run| violations.extend(run.join().unwrap()));
    }
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}
