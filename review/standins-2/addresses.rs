//! Nine proxies with a fleet file in three data centres, each of which reaches the servers at addresses of its own, so
//! that `dial` differs from one proxy to the next. One data centre is lost: its proxies, its servers, and its addresses.

use crate::common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["garching", "freising", "moosburg"];
const PROXIES: usize = 9;
const SERVERS: usize = 12;
const CLIENTS: usize = 36;
/// When the data centre is lost, and until when the connections elsewhere are watched.
const LOST_AT_MS: u64 = 16_000;
const WATCHED_UNTIL_MS: u64 = 26_000;

/// The way from one data centre to the servers, a process of its own: each argument is `LISTEN>TARGET`.
pub fn relay(pairs: &[String]) -> i32 {
    let mut listeners = Vec::new();
    for pair in pairs {
        let Some((listen, target)) = pair.split_once('>') else { return CANNOT_RUN };
        let (Ok(listener), Ok(target)) = (TcpListener::bind(listen), target.parse::<SocketAddr>()) else {
            return CANNOT_RUN;
        };
        listeners.push(thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || pass_on(stream, target));
            }
        }));
    }
    listeners.into_iter().for_each(|listener| drop(listener.join()));
    HELD
}

fn pass_on(from: TcpStream, target: SocketAddr) {
    let Ok(to) = TcpStream::connect(target) else { return };
    let (Ok(back_from), Ok(back_to)) = (to.try_clone(), from.try_clone()) else { return };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let there = thread::spawn(move || copy(from, to));
    copy(back_from, back_to);
    let _ = there.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0; 4096];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

pub fn run() -> i32 {
    let setting = Setting::from_environment();
    let record = Record::create(&Setting::record_path());
    let zone_of = |number: usize| number % ZONES.len();
    let servers: Vec<_> = (0..SERVERS).map(|i| Server::start(&format!("s-{i:02}"), record.clone())).collect();
    let mut children = Children::default();

    // The proxies of zone z reach server s at dials[z][s].
    let dials: Vec<Vec<SocketAddr>> =
        ZONES.iter().map(|_| (0..SERVERS).map(|_| free_tcp()).collect()).collect();
    let program = std::env::current_exe().expect("this program has a path");
    for (zone, addresses) in ZONES.iter().zip(&dials) {
        let pairs = addresses.iter().zip(&servers).map(|(at, server)| format!("{at}>{}", server.address));
        let child = Command::new(&program).arg("relay").args(pairs).spawn().expect("a relay starts");
        children.add(&format!("relay of {zone}"), child);
    }

    let hosts: BTreeMap<_, _> = (0..SERVERS)
        .map(|i| {
            let (zone, block) = (ZONES[zone_of(i)].to_owned(), zone_of(i) as u32);
            (format!("s-{i:02}"), Listed { zone, block, health: "in_service", changed_at: 1 })
        })
        .collect();
    let told = dials.clone();
    let dial = move |view: usize, host: &str| {
        let server: usize = host.trim_start_matches("s-").parse().unwrap_or(0);
        told[view % ZONES.len()][server]
    };
    let (discovery, discovery_at) = Discovery::start(record.clone(), PROXIES, hosts, Box::new(dial));

    let listens: Vec<_> = (0..PROXIES).map(|_| free_tcp()).collect();
    let udp = free_udp(PROXIES);
    let fellows: String = (0..PROXIES).map(|i| format!("n{i} = \"{}\"\n", udp[i])).collect();
    let fleet_file = format!("fleet = \"muenchen-nord\"\n[fellows]\n{fellows}");
    for proxy in 0..PROXIES {
        let name = format!("n{proxy}");
        let known = discovery.text(proxy, None);
        let (listen, seed) = (listens[proxy], 0x5eed + proxy as u64);
        let start = start_file(&name, listen, discovery_at[proxy], seed, &known, &muenchen_settings(PROXIES));
        children.add(&name, start_proxy(&setting, &name, &start, Some(&fleet_file)));
        record.note(format!("{name} of {} started at {listen}", ZONES[zone_of(proxy)]));
        thread::sleep(Duration::from_millis(100));
    }
    for (zone, addresses) in ZONES.iter().zip(&dials) {
        record.note(format!("{zone} reaches the servers at {addresses:?}"));
    }
    if !wait_until_ready(&record, &listens, 10_000) {
        record.say("a proxy is not ready");
        return CANNOT_RUN;
    }
    // The data centre of the proxy that was started last among those that ask discovery for all.
    let asks = |proxy: &usize| discovery.calls[*proxy].load(Ordering::Relaxed) > 0;
    let Some(asker) = (0..PROXIES).rev().find(asks) else {
        record.say("no proxy has asked discovery");
        return CANNOT_RUN;
    };
    let lost = zone_of(asker);

    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut clients = Vec::new();
    let classes = [("enrolled", 2000), ("enrolled", 2000), ("enrolled", 2000), ("open", 3000)];
    for number in 0..CLIENTS {
        let proxy = number % PROXIES;
        let (record, outcomes, listen) = (record.clone(), outcomes.clone(), listens[proxy]);
        let (class, patience) = classes[number / PROXIES % classes.len()];
        clients.push(thread::spawn(move || {
            // A client that is turned away comes again once, as clients do.
            for again in 0..2 {
                let id = format!("{:016x}", 0x1000 + number * 16 + again);
                let fields = format!("{:016x} c={class}", 0x77 * (number + 1));
                let outcome =
                    run_client(&record, (proxy, listen), (&id, &fields), patience, WATCHED_UNTIL_MS);
                let was_up = outcome.up_at.is_some();
                lock(&outcomes).push(outcome);
                if was_up {
                    return;
                }
                thread::sleep(Duration::from_millis(500));
            }
        }));
        thread::sleep(Duration::from_millis(100));
    }

    record.sleep_until(LOST_AT_MS);
    if setting.trouble {
        record.say(format!("{} is lost: its proxies, its servers, its addresses", ZONES[lost]));
        children.kill(&format!("relay of {}", ZONES[lost]));
        for proxy in (0..PROXIES).filter(|proxy| zone_of(*proxy) == lost) {
            children.kill(&format!("n{proxy}"));
        }
        (0..SERVERS).filter(|i| zone_of(*i) == lost).for_each(|i| servers[i].die());
    }
    // What becomes of clients that come later is told, but not judged.
    record.sleep_until(LOST_AT_MS + 3000);
    let later: Vec<_> = (0..PROXIES)
        .filter(|proxy| zone_of(*proxy) != lost)
        .map(|proxy| {
            let (record, listen) = (record.clone(), listens[proxy]);
            thread::spawn(move || {
                let (id, fields) =
                    (format!("{:016x}", 0x9000 + proxy), format!("{:016x} c=open", 0x99 * (proxy + 1)));
                run_client(&record, (proxy, listen), (&id, &fields), 3000, WATCHED_UNTIL_MS)
            })
        })
        .collect();
    let later: Vec<_> = later.into_iter().filter_map(|client| client.join().ok()).collect();
    let later_up = later.iter().filter(|outcome| outcome.up_at.is_some()).count();
    clients.into_iter().for_each(|client| drop(client.join()));

    let crashed = children.ended();
    let elsewhere: BTreeSet<String> =
        (0..SERVERS).filter(|i| zone_of(*i) != lost).flat_map(|i| lock(&servers[i].held).clone()).collect();
    let outcomes = lock(&outcomes);
    let judged = || {
        let others = outcomes.iter().filter(|outcome| zone_of(outcome.proxy) != lost);
        let up = others.filter(|outcome| outcome.up_at.is_some_and(|at| at < LOST_AT_MS));
        up.filter(|outcome| elsewhere.contains(&outcome.id))
    };
    let cut: Vec<_> = judged().filter(|outcome| matches!(outcome.end, End::CutOff(_))).collect();
    let up = judged().count();
    record.say(format!(
        "connections through proxies of the two other data centres to servers there, which go on answering: {up}"
    ));
    record.say(format!("of these cut off without MOVE: {}", cut.len()));
    record.say(format!(
        "of {} clients that came to these proxies three seconds later, {later_up} were served",
        later.len()
    ));
    for outcome in &cut {
        record.note(format!("cut off: client {} at n{}, {:?}", outcome.id, outcome.proxy, outcome.end));
    }
    if !crashed.is_empty() {
        record.say(format!("ended by themselves: {crashed:?}"));
        return CANNOT_RUN;
    }
    if up < 6 {
        record.say("too few connections came up to judge");
        return CANNOT_RUN;
    }
    if cut.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
