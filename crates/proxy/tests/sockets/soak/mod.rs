//! A seeded soak: a real process among servers that answer, refuse, hang, break and drain, a discovery that fails, system
//! calls that fail, and clients that go on until it is killed, at the earliest moment that the platform names.
//!
//! `SOAK_SEEDS=60 cargo test -p shelfgrade-proxy --test sockets soak` plays more seeds than CI does.

mod parts;

use crate::plan::{Call, Failure, Plan};
use crate::stand::{Place, Program, Settings, USUAL};
use nanorand::{Rng, WyRand};
use parts::{client, discovery, pause, rules, server, Run, WINDOW_MS};
use rustix::process::Signal;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
const CLIENTS: usize = 24;
/// Killing comes so long after the signal and the clients' request timeout; new connections come for as long at the most.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const FRONT_NOTICES: Duration = Duration::from_millis(300);

/// Has calls fail as often as is drawn.
fn fails(plan: &Plan, chance: &mut WyRand) {
    let error = |numbers: &[i32], chance: &mut WyRand| {
        Failure::Error(numbers[chance.generate_range(0..numbers.len())])
    };
    let accept = error(&[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::ENETDOWN], chance);
    let connect = error(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EAGAIN, libc::ECONNREFUSED], chance);
    let send = if chance.generate() { Failure::Short } else { error(&[libc::ENOBUFS, libc::EINTR], chance) };
    let receive =
        if chance.generate() { Failure::Short } else { error(&[libc::ENOMEM, libc::EINTR], chance) };
    let socket = error(&[libc::ENOBUFS, libc::ENFILE, libc::ENOMEM], chance);
    let calls = [
        (Call::Accept, accept),
        (Call::Connect, connect),
        (Call::Send, send),
        (Call::Receive, receive),
        (Call::Socket, socket),
    ];
    for (call, failure) in calls {
        let often = [0, 0, 50, 400][chance.generate_range(0..4_usize)];
        plan.fail(call, often, failure);
    }
}

fn soak(seed: u64) -> Vec<String> {
    let mut chance = WyRand::new_seed(seed);
    let effect = ["repeatable", "by_key", "once"][chance.generate_range(0..3_usize)];
    let request_timeout_ms = [900, 1800, 3000][chance.generate_range(0..3_usize)];
    let is_crowded = chance.generate_range(0..3_u32) == 0;
    let sockets = if is_crowded { 160 } else { 512 };
    let places: Vec<_> = (0..SERVERS).map(|i| Place::new(&format!("s{i}"))).collect();
    let settings = Settings {
        effect,
        request_timeout_ms,
        sockets,
        window_ms: WINDOW_MS,
        probes: chance.generate(),
        tells_delay: chance.generate(),
        discovery: if chance.generate() { "subscribe" } else { "automatic" },
        balancers: "1",
        quota: "200",
        ..USUAL
    };
    let plan = Plan::new();
    let program = plan.start(settings, &places.iter().collect::<Vec<_>>());
    let run = Arc::new(Run {
        seed,
        effect,
        request_timeout: Duration::from_millis(request_timeout_ms),
        address: program.address,
        seen: Mutex::default(),
        front_has_left: AtomicBool::new(false),
        over: AtomicBool::new(false),
    });
    let entries = places.iter().map(|place| ["in_service", "terminating"].map(|health| place.entry(health)));
    let (entries, discovers, place) = (entries.collect(), run.clone(), program.discovery.clone());
    thread::spawn(move || discovery(discovers, place, entries));
    for (index, place) in places.into_iter().enumerate() {
        let run = run.clone();
        thread::spawn(move || server(run, index, place));
    }
    fails(&plan, &mut chance);
    let crowd: Vec<_> = (0..if is_crowded { 120 } else { 0 }).map(|_| program.client()).collect();
    let clients: Vec<_> = (0..CLIENTS as u64)
        .map(|index| {
            let run = run.clone();
            thread::spawn(move || client(run, index))
        })
        .collect();
    for _ in 0..chance.generate_range(1..6_u32) {
        pause(chance.generate_range(100..400));
        if chance.generate() {
            held_up(&program);
        }
        plan.step_wall_clock([0, 3_600_000, -3_600_000, 5000][chance.generate_range(0..4_usize)]);
    }
    for _ in 0..chance.generate_range(0..4_u32) {
        program.signal(Signal::HUP);
        pause(chance.generate_range(0..30));
    }
    ends(&run, program, &mut chance);
    clients.into_iter().for_each(|client| client.join().unwrap());
    run.over.store(true, SeqCst);
    drop(crowd);
    rules(&run);
    let mut seen = run.seen.lock().unwrap();
    println!(
        "seed {seed}: {effect}, {request_timeout_ms} ms, {sockets} sockets: {} requests sent on, {} ended by servers, {} drained, {} calls failed",
        seen.sent.len(),
        seen.ended_by_server.len(),
        seen.drains.len().min(1),
        [Call::Accept, Call::Connect, Call::Send, Call::Receive, Call::Socket].map(|call| plan.failed(call)).iter().sum::<u64>()
    );
    std::mem::take(&mut seen.breaches)
}

/// It is held up, as long as may be.
fn held_up(program: &Program) {
    program.signal(Signal::STOP);
    pause(150);
    program.signal(Signal::CONT);
}

/// Signals in series, and the kill at its earliest.
fn ends(run: &Run, mut program: Program, chance: &mut WyRand) {
    program.terminate();
    let told = Instant::now();
    for _ in 0..chance.generate_range(0..3_u32) {
        pause(chance.generate_range(0..60));
        program.signal(if chance.generate() { Signal::HUP } else { Signal::TERM });
        if chance.generate() {
            held_up(&program);
        }
    }
    thread::sleep(FRONT_NOTICES.saturating_sub(told.elapsed()));
    run.front_has_left.store(true, SeqCst);
    while told.elapsed() < run.request_timeout + KILLED_AFTER {
        if program.child.try_wait().unwrap().is_some() {
            let (code, log) = program.exit();
            if code != Some(0) || log.contains("panicked") || log.contains("does not hold") {
                run.breach(format!("ended with {code:?}: {log}"));
            }
            return;
        }
        pause(2);
    }
    run.breach("it had to be killed".to_owned());
}

#[test]
fn whatever_happens_each_request_has_its_answer_and_no_rule_breaks() {
    const IN_CI: u64 = 12;
    const SIDE_BY_SIDE: usize = 4;
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(IN_CI);
    let first: u64 = std::env::var("SOAK_FIRST").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut breaches = Vec::new();
    for group in (first..first + seeds).collect::<Vec<_>>().chunks(SIDE_BY_SIDE) {
        let runs: Vec<_> = group.iter().copied().map(|seed| thread::spawn(move || soak(seed))).collect();
        runs.into_iter().for_each(|run| breaches.extend(run.join().unwrap()));
    }
    assert!(breaches.is_empty(), "{} breaches:\n{}", breaches.len(), breaches.join("\n"));
}
