//! Proxies with a fleet file. The messages between one of them, which has its list from its fellows, and all the others
//! are lost from some moment on; it goes on reaching discovery, servers and clients. Servers begin to drain.

use crate::common::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const PROXIES: usize = 24;
const SERVERS: usize = 8;
/// A quarter of the servers begin to drain.
const DRAINED: [usize; 2] = [1, 5];
const ZONE: &str = "rgb-keller";
/// When messages begin to be lost, when servers begin to drain, and until when clients arrive.
const LOST_FROM_MS: u64 = 14_000;
const DRAINS_AT_MS: u64 = 15_000;
const CLIENTS_UNTIL_MS: u64 = 45_000;
/// What the settings allow a proxy without a watch, the grace of the rule, and the protocol's slack.
const MUST_ASK_IN_MS: u64 = 10_000;
const GRACE_MS: u64 = 3000;
const SLACK_MS: u64 = 50;

/// Relays the messages between one member and all others, each of which has an address here that stands for it, until
/// messages are to be lost. Returns the address that stands for the member, and those that stand for the others.
fn relay_messages(
    member: SocketAddr,
    others: &[SocketAddr],
    are_lost: Arc<AtomicBool>,
) -> (SocketAddr, Vec<SocketAddr>) {
    let bind = || Arc::new(UdpSocket::bind(free_udp(1)[0]).expect("a port is free"));
    let for_member = bind();
    let for_others: Vec<_> = others.iter().map(|_| bind()).collect();
    let address = |socket: &Arc<UdpSocket>| socket.local_addr().expect("it has an address");
    let addresses = (address(&for_member), for_others.iter().map(address).collect());
    for (socket, other) in for_others.iter().zip(others) {
        let (socket, for_member, other, are_lost) =
            (socket.clone(), for_member.clone(), *other, are_lost.clone());
        thread::spawn(move || {
            let mut message = [0; 2048];
            loop {
                let Ok((length, _)) = socket.recv_from(&mut message) else { continue };
                if !are_lost.load(Ordering::SeqCst) {
                    let _ = for_member.send_to(&message[..length], other);
                }
            }
        });
    }
    let others = others.to_vec();
    thread::spawn(move || {
        let mut message = [0; 2048];
        loop {
            let Ok((length, from)) = for_member.recv_from(&mut message) else { continue };
            let sender = others.iter().position(|other| *other == from);
            if let Some(socket) = sender.map(|i| &for_others[i]).filter(|_| !are_lost.load(Ordering::SeqCst))
            {
                let _ = socket.send_to(&message[..length], member);
            }
        }
    });
    addresses
}

pub fn run() -> i32 {
    let setting = Setting::from_environment();
    let record = Record::create(&Setting::record_path());
    let servers: Vec<_> = (0..SERVERS).map(|i| Server::start(&format!("s-{i}"), record.clone())).collect();
    let hosts: BTreeMap<_, _> = (0..SERVERS)
        .map(|i| {
            let zone = ZONE.to_owned();
            (format!("s-{i}"), Listed { zone, block: 0, health: "in_service", changed_at: 1 })
        })
        .collect();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let dial =
        move |_: usize, host: &str| addresses[host.trim_start_matches("s-").parse::<usize>().unwrap_or(0)];
    let (discovery, discovery_at) = Discovery::start(record.clone(), PROXIES, hosts, Box::new(dial));

    // One that does not ask discovery itself, which is seen before messages are lost.
    let member: usize = std::env::var("CASE_MEMBER").ok().and_then(|text| text.parse().ok()).unwrap_or(5);
    let udp = free_udp(PROXIES);
    let are_lost = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..PROXIES).filter(|i| *i != member).collect();
    let other_addresses: Vec<_> = others.iter().map(|i| udp[*i]).collect();
    let (for_member, for_others) = relay_messages(udp[member], &other_addresses, are_lost.clone());
    let address_at = |at: usize, of: usize| {
        if at == of {
            udp[of]
        } else if of == member {
            for_member
        } else if at == member {
            for_others[others.iter().position(|other| *other == of).unwrap_or(0)]
        } else {
            udp[of]
        }
    };

    let listens: Vec<_> = (0..PROXIES).map(|_| free_tcp()).collect();
    let mut children = Children::default();
    for i in 0..PROXIES {
        let name = format!("n{i:02}");
        let fellows: String =
            (0..PROXIES).map(|of| format!("n{of:02} = \"{}\"\n", address_at(i, of))).collect();
        let fleet_file = format!("fleet = \"oberpfalz-regensburg\"\n[fellows]\n{fellows}");
        let (seed, known) = (0x5eed + i as u64, discovery.text(i, None));
        let start =
            start_file(&name, listens[i], discovery_at[i], seed, &known, &oberpfalz_settings(PROXIES));
        children.add(&name, start_proxy(&setting, &name, &start, Some(&fleet_file)));
    }
    if !wait_until_ready(&record, &listens, 12_000) {
        record.say("a proxy is not ready");
        return CANNOT_RUN;
    }
    record.sleep_until(LOST_FROM_MS - 4000);
    let calls = |i: usize| discovery.calls[i].load(Ordering::Relaxed);
    let askers: Vec<_> = (0..PROXIES).filter(|i| calls(*i) > 0).map(|i| format!("n{i:02}")).collect();
    record.say(format!("have asked discovery: {}", askers.join(" ")));
    let calls_before = calls(member);
    if calls_before > 0 {
        record.say("the proxy that is to be cut off asks discovery itself: not this case");
        return CANNOT_RUN;
    }

    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients = {
        let (record, outcomes, listen) = (record.clone(), outcomes.clone(), listens[member]);
        thread::spawn(move || {
            let mut threads = Vec::new();
            let mut number = 0;
            while record.ms() < CLIENTS_UNTIL_MS {
                number += 1;
                let (record, outcomes) = (record.clone(), outcomes.clone());
                threads.push(thread::spawn(move || {
                    let id = format!("{:016x}", 0x2000 + number);
                    let fields =
                        format!("{:016x} c=ligatische,t=sk-regensburg", 0x9e37_79b9_u64 * (number + 1));
                    let until = record.ms() + 1500;
                    let outcome = run_client(&record, (0, listen), (&id, &fields), 4800, until);
                    lock(&outcomes).push(outcome);
                }));
                thread::sleep(Duration::from_millis(40));
            }
            threads.into_iter().for_each(|client| drop(client.join()));
        })
    };

    record.sleep_until(LOST_FROM_MS);
    if setting.trouble {
        record.say(format!("from now on the messages between n{member:02} and the others are lost"));
        are_lost.store(true, Ordering::SeqCst);
    }
    record.sleep_until(DRAINS_AT_MS);
    let drained: Vec<_> = DRAINED.iter().map(|i| servers[*i].clone()).collect();
    for server in &drained {
        discovery.publish(&server.name, "terminating");
        server.is_draining.store(true, Ordering::SeqCst);
    }
    let drains_at = record.ms();
    let mut first_call = None;
    while record.ms() < CLIENTS_UNTIL_MS {
        thread::sleep(Duration::from_millis(20));
        if first_call.is_none() && calls(member) > calls_before {
            first_call = Some(record.ms());
        }
    }
    let _ = clients.join();

    let crashed = children.ended();
    let bound = drains_at + MUST_ASK_IN_MS + GRACE_MS + SLACK_MS;
    let mut reached: Vec<_> = drained.iter().flat_map(|server| lock(&server.reached).clone()).collect();
    reached.sort_by_key(|request| request.at_ms);
    let before = reached.iter().filter(|request| request.at_ms < drains_at).count();
    let late: Vec<_> = reached.iter().filter(|request| request.at_ms > bound).collect();
    let last = reached.last().map_or(0, |request| request.at_ms);
    let up = lock(&outcomes).iter().filter(|outcome| outcome.up_at.is_some()).count();
    record.say(format!("{} clients came to n{member:02}, {up} were served", lock(&outcomes).len()));
    record.say(format!(
        "{} servers began to drain at {drains_at}; {before} requests to them before that, {} after it, the last at {last}; n{member:02} first asked discovery: {first_call:?}",
        drained.len(),
        reached.len() - before,
    ));
    record.say(format!("requests later than {bound} (10 s, 3 s and 50 ms after it): {}", late.len()));
    for request in &late {
        record.note(format!("late: {} at {} ms", request.id, request.at_ms));
    }
    if !crashed.is_empty() {
        record.say(format!("ended by themselves: {crashed:?}"));
        return CANNOT_RUN;
    }
    if before == 0 {
        record.say("these servers had no request before they began to drain: nothing to judge");
        return CANNOT_RUN;
    }
    if late.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
