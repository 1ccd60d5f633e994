//! A seeded soak: a real process among servers that answer, refuse, hang, break and drain, a discovery that fails, system
//! calls that fail, and clients that go on until it is killed, at the earliest moment that the platform names.
//!
//! `SOAK_SEEDS=60 cargo test -p shelfgrade-proxy --test sockets soak` plays more seeds than CI does.

use crate::plan::{Call, Failure, Plan};
use crate::stand::{list, next_call, Place, Program, Terms, Wire, USUAL};
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
const CLIENTS: usize = 24;
/// Repeats are dropped for so long, where they are.
const WINDOW_MS: u64 = 700;
/// Nothing new comes to a server so long after its drain was written to the process, and an answer comes so late at most.
const DRAIN_GRACE: Duration = Duration::from_millis(400);
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Killing comes so long after the signal and the clients' patience; new connections come for as long at the most.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const FRONT_NOTICES: Duration = Duration::from_millis(300);

/// What a server saw of one request.
#[derive(Clone, Copy)]
struct Sent {
    server: usize,
    at: Instant,
    /// It was not turned away.
    may_have_run: bool,
}

/// What all stand-ins saw.
#[derive(Default)]
struct Seen {
    /// By the request's id.
    sent: BTreeMap<String, Vec<Sent>>,
    /// Requests whose connection its server ended.
    ended_by_server: Vec<String>,
    /// Since when the process has been told that a server drains.
    drains: Vec<(usize, Instant)>,
    breaches: Vec<String>,
}

/// One run.
struct Run {
    seed: u64,
    effect: &'static str,
    patience: Duration,
    address: SocketAddr,
    seen: Mutex<Seen>,
    /// New connections have stopped.
    front_has_left: AtomicBool,
    over: AtomicBool,
}

impl Run {
    fn breach(&self, what: String) {
        let line = format!("seed {}: {what}", self.seed);
        self.seen.lock().unwrap().breaches.push(line);
    }

    fn chance(&self, of: u64) -> WyRand {
        WyRand::new_seed(self.seed * 1000 + of)
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn send(wire: &mut Wire, text: &str) -> bool {
    wire.stream.write_all(text.as_bytes()).is_ok()
}

/// One connection at a server.
fn serves(run: &Run, server: usize, mut wire: Wire, mut chance: WyRand) {
    let line = wire.line();
    if line == "PING" {
        send(&mut wire, "PONG\r\n");
        return;
    }
    let Some(id) = line.strip_prefix("OPEN ").and_then(|rest| rest.split(' ').next()) else {
        if !line.is_empty() && line != "reset" {
            run.breach(format!("server {server} got {line:?}"));
        }
        return;
    };
    let id = id.to_owned();
    let what = chance.generate_range(0..40_u32);
    let sent = Sent { server, at: Instant::now(), may_have_run: what != 0 };
    run.seen.lock().unwrap().sent.entry(id.clone()).or_default().push(sent);
    match what {
        0 => drop(send(&mut wire, "BUSY\r\n")),
        1 => drop(send(&mut wire, "ERR\r\n")),
        2 => wire.reset(),
        3 => drop(send(&mut wire, "U")),
        // It hangs.
        4 => wire.lasts(),
        _ => {
            pause(chance.generate_range(0..40));
            send(&mut wire, "UP 0123\r\n");
            let lines = if what < 14 { chance.generate_range(0..20) } else { usize::MAX };
            for _ in 0..lines {
                let line = wire.line();
                if line.is_empty() || line == "reset" {
                    return;
                }
                send(&mut wire, &format!("{line}\r\n"));
            }
            run.seen.lock().unwrap().ended_by_server.push(id);
            if chance.generate() {
                send(&mut wire, "BYE\r\n");
            }
        }
    }
}

fn server(run: Arc<Run>, index: usize, place: Place) {
    let mut connections = 0;
    while !run.over.load(SeqCst) {
        let Some(wire) = place.try_accept() else {
            pause(1);
            continue;
        };
        connections += 1;
        let (run, chance) = (run.clone(), run.chance(100 * (index as u64 + 1) + connections));
        thread::spawn(move || serves(&run, index, wire, chance));
    }
}

/// Discovery tells one server's drain at a drawn moment, and is slow, refuses or hangs in between.
fn discovery(run: Arc<Run>, place: Arc<Place>, entries: Vec<[String; 2]>) {
    let mut chance = run.chance(1);
    let (drains_after, drained) = (chance.generate_range(2..12_u32), chance.generate_range(0..entries.len()));
    let (mut seq, mut calls) = (7, 0);
    while !run.over.load(SeqCst) {
        let Some(mut wire) = place.try_accept() else {
            pause(1);
            continue;
        };
        while !run.over.load(SeqCst) {
            let path = next_call(&mut wire);
            if path.is_empty() {
                break;
            }
            calls += 1;
            pause(chance.generate_range(0..150));
            let answer = match chance.generate_range(0..8_u32) {
                0 => "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
                1 => break,
                _ if calls > drains_after => {
                    seq += 1;
                    list(seq, false, &[entries[drained][1].clone()])
                }
                _ => {
                    seq += 1;
                    list(seq, true, &entries.iter().map(|entry| entry[0].clone()).collect::<Vec<_>>())
                }
            };
            let tells = answer.contains("terminating");
            if send(&mut wire, &answer) && tells {
                run.seen.lock().unwrap().drains.push((drained, Instant::now()));
            }
        }
    }
}

/// What a client does with one connection.
fn asks(run: &Run, id: &str, chance: &mut WyRand) {
    let Ok(stream) = TcpStream::connect(run.address) else { return };
    let mut wire = Wire::new(stream);
    let (ms, key) = (run.patience.as_millis(), chance.generate::<u16>());
    let line = format!("OPEN {id} lift-{key} c=alarm,d={ms}\r\n");
    let what = chance.generate_range(0..14_u32);
    match what {
        0 => {
            // It stops in the middle of its line, and stays.
            send(&mut wire, &line[..20]);
            let answer = wire.line();
            if !["ERR", "BUSY", ""].contains(&&*answer) {
                run.breach(format!("half a line was answered {answer:?}"));
            }
            return;
        }
        1 => {
            send(&mut wire, "PING\r\n");
            if wire.line() != "PONG" {
                return;
            }
            pause(chance.generate_range(0..300));
        }
        _ => {}
    }
    let asked = Instant::now();
    for piece in line.as_bytes().chunks(chance.generate_range(5..80)) {
        let _ = wire.stream.write_all(piece);
    }
    if what == 2 {
        // It gives up early.
        return pause(chance.generate_range(0..60));
    }
    let answer = wire.line();
    let late = asked.elapsed() > run.patience + ANSWER_SLACK;
    let is_final = answer == "UP 0123" || answer == "ERR" || answer == "BUSY" || answer.starts_with("BUSY ");
    if late || !is_final {
        return run.breach(format!("{id}: {answer:?} after {:?}", asked.elapsed()));
    }
    if answer != "UP 0123" {
        let rest = wire.line();
        if !rest.is_empty() {
            run.breach(format!("{id}: {rest:?} behind {answer:?}"));
        }
        return;
    }
    let stays = [3, 20, 400][chance.generate_range(0..3_usize)];
    for i in 0..stays {
        let line = format!("M {i}");
        send(&mut wire, &format!("{line}\r\n"));
        let heard = wire.line();
        match &*heard {
            heard if heard == line => pause(5),
            "MOVE" => return,
            "BYE" | "" | "reset" => {
                let by_server = run.seen.lock().unwrap().ended_by_server.iter().any(|ended| ended == id);
                if !by_server {
                    run.breach(format!("{id}: cut off with {heard:?} behind line {i}"));
                }
                return;
            }
            _ => return run.breach(format!("{id}: {heard:?} in place of {line:?}")),
        }
    }
}

fn client(run: Arc<Run>, index: u64) {
    static LAST_ID: AtomicU32 = AtomicU32::new(0);
    let mut chance = run.chance(10_000 + index);
    while !run.front_has_left.load(SeqCst) {
        let number = LAST_ID.fetch_add(1, SeqCst);
        asks(&run, &format!("50a4{number:012x}"), &mut chance);
        pause(chance.generate_range(0..40));
    }
}

/// What the rules say of all that was seen.
fn rules(run: &Run) {
    let (sent, drains) = {
        let seen = run.seen.lock().unwrap();
        (seen.sent.clone(), seen.drains.clone())
    };
    for (id, tries) in sent {
        let first = tries.iter().position(|sent| sent.may_have_run);
        let again = first.map(|first| &tries[first + 1..]).unwrap_or_default();
        let since = |sent: &Sent| sent.at - tries[first.unwrap_or(0)].at;
        match run.effect {
            "once" if !again.is_empty() => run.breach(format!("{id}: sent again after it may have run")),
            "by_key" if again.iter().any(|sent| since(sent) > Duration::from_millis(WINDOW_MS)) => {
                run.breach(format!("{id}: sent again past its window"));
            }
            _ => {}
        }
        for (server, told) in &drains {
            let late = |sent: &&Sent| sent.server == *server && sent.at > *told + DRAIN_GRACE;
            if let Some(sent) = tries.iter().find(late) {
                run.breach(format!(
                    "{id}: at server {server} {:?} after its drain was told",
                    sent.at - *told
                ));
            }
        }
    }
}

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
    let patience_ms = [900, 1800, 3000][chance.generate_range(0..3_usize)];
    let is_crowded = chance.generate_range(0..3_u32) == 0;
    let sockets = if is_crowded { 160 } else { 512 };
    let places: Vec<_> = (0..SERVERS).map(|i| Place::new(&format!("s{i}"))).collect();
    let terms = Terms {
        effect,
        patience_ms,
        sockets,
        window_ms: WINDOW_MS,
        probes: chance.generate(),
        tells_delay: chance.generate(),
        balancers: "1",
        quota: "200",
        ..USUAL
    };
    let plan = Plan::new();
    let program = plan.start(terms, &places.iter().collect::<Vec<_>>());
    let run = Arc::new(Run {
        seed,
        effect,
        patience: Duration::from_millis(patience_ms),
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
            // It is held up, as long as may be.
            program.signal(Signal::STOP);
            pause(150);
            program.signal(Signal::CONT);
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
        "seed {seed}: {effect}, {patience_ms} ms, {sockets} sockets: {} requests sent on, {} ended by servers, {} drained, {} calls failed",
        seen.sent.len(),
        seen.ended_by_server.len(),
        seen.drains.len().min(1),
        [Call::Accept, Call::Connect, Call::Send, Call::Receive, Call::Socket].map(|call| plan.failed(call)).iter().sum::<u64>()
    );
    std::mem::take(&mut seen.breaches)
}

/// Signals in series, and the kill at its earliest.
fn ends(run: &Run, mut program: Program, chance: &mut WyRand) {
    program.terminate();
    let told = Instant::now();
    for _ in 0..chance.generate_range(0..3_u32) {
        pause(chance.generate_range(0..60));
        program.signal(if chance.generate() { Signal::HUP } else { Signal::TERM });
    }
    thread::sleep(FRONT_NOTICES.saturating_sub(told.elapsed()));
    run.front_has_left.store(true, SeqCst);
    while told.elapsed() < run.patience + KILLED_AFTER {
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
        let runs: Vec<_> =
            group.iter().map(|seed| *seed).map(|seed| thread::spawn(move || soak(seed))).collect();
        runs.into_iter().for_each(|run| breaches.extend(run.join().unwrap()));
    }
    assert!(breaches.is_empty(), "{} breaches:\n{}", breaches.len(), breaches.join("\n"));
}
