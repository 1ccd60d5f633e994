//! One proxy of three, with its part of the connections. The answers of some servers do not end: after `UP` these servers
//! repeat one note without a pause. Measured is what becomes of clients at all other servers.

use crate::common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["kariakoo", "mikocheni", "ubungo"];
const SERVERS: usize = 12;
/// The servers whose answers do not end: a quarter.
const ENDLESS: [usize; 3] = [2, 6, 10];
/// A third of the 291 connections within the customers' shares.
const STANDING: usize = 97;
const GROUPS: usize = 24;
/// From when to when the answers do not end, and until when everything is watched.
const ENDLESS_FROM_MS: u64 = 16_000;
const ENDLESS_UNTIL_MS: u64 = 36_000;
const WATCHED_UNTIL_MS: u64 = 44_000;
/// How long a line may be held back, with the protocol's slack.
const HELD_BACK_MS: u64 = 1000 + 50;

/// A line of a client: its text, when it was sent, and when the reply was there.
struct Sent {
    text: String,
    sent_at: u64,
    replied_at: Option<u64>,
}

/// What one standing connection saw.
struct Standing {
    id: String,
    is_up: bool,
    lines: Vec<Sent>,
    ended_at: Option<u64>,
}

/// A client with a standing connection: a line every two seconds, and everything read that it is sent.
fn stand(record: &Record, proxy: SocketAddr, id: String, fields: &str) -> Standing {
    let mut standing = Standing { id, is_up: false, lines: Vec::new(), ended_at: None };
    let Ok(mut stream) = TcpStream::connect(proxy) else { return standing };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    if stream.write_all(format!("OPEN {} {fields},d=4800\r\n", standing.id).as_bytes()).is_err() {
        return standing;
    }
    let mut partial: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 65_536];
    let mut next_line_at = u64::MAX;
    while record.ms() < WATCHED_UNTIL_MS {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => {
                for byte in &chunk[..count] {
                    if *byte != b'\n' {
                        partial.push(*byte);
                        continue;
                    }
                    if partial.starts_with(b"UP ") {
                        standing.is_up = true;
                        next_line_at = record.ms() + 200;
                    } else if partial.starts_with(b"ok ") {
                        let text = String::from_utf8_lossy(&partial[3..]).trim_end().to_owned();
                        let line = standing.lines.iter_mut().rev().find(|line| line.text == text);
                        line.into_iter().for_each(|line| line.replied_at = Some(record.ms()));
                    } else if !partial.starts_with(b"LOAD ") {
                        record.note(format!(
                            "{}: {}",
                            standing.id,
                            String::from_utf8_lossy(&partial).trim_end()
                        ));
                        standing.ended_at = standing.ended_at.or(Some(record.ms()));
                    }
                    partial.clear();
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
        let now = record.ms();
        if now >= next_line_at && standing.ended_at.is_none() {
            next_line_at = now + 2000;
            let text = format!("report {} {}", standing.id, standing.lines.len());
            if stream.write_all(format!("{text}\r\n").as_bytes()).is_err() {
                break;
            }
            standing.lines.push(Sent { text, sent_at: now, replied_at: None });
        }
    }
    if record.ms() < WATCHED_UNTIL_MS {
        standing.ended_at = standing.ended_at.or(Some(record.ms()));
    }
    standing
}

/// Sends lines to a server past the proxy and returns the longest time that a reply took, so that a machine that is too
/// busy for the stand-ins shows.
fn longest_past_the_proxy(record: &Record, server: SocketAddr) -> u64 {
    let Ok(mut stream) = TcpStream::connect(server) else { return u64::MAX };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut longest = 0;
    let mut chunk = [0; 256];
    while record.ms() < ENDLESS_UNTIL_MS {
        let sent_at = record.ms();
        if stream.write_all(b"past\r\n").is_err() || !matches!(stream.read(&mut chunk), Ok(1..)) {
            return u64::MAX;
        }
        longest = longest.max(record.ms() - sent_at);
        thread::sleep(Duration::from_millis(50));
    }
    longest
}

pub fn run() -> i32 {
    let setting = Setting::from_environment();
    let record = Record::create(&Setting::record_path());
    let servers: Vec<_> = (0..SERVERS).map(|i| Server::start(&format!("s-{i:02}"), record.clone())).collect();
    let hosts: BTreeMap<_, _> = (0..SERVERS)
        .map(|i| {
            let zone = ZONES[i % ZONES.len()].to_owned();
            (format!("s-{i:02}"), Listed { zone, block: i as u32 / 4, health: "in_service", changed_at: 1 })
        })
        .collect();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let dial =
        move |_: usize, host: &str| addresses[host.trim_start_matches("s-").parse::<usize>().unwrap_or(0)];
    let (discovery, discovery_at) = Discovery::start(record.clone(), 1, hosts, Box::new(dial));
    let listen = free_tcp();
    let mut children = Children::default();
    let start = start_file("n0", listen, discovery_at[0], 0x5eed, &discovery.text(0, None), &dar_settings(3));
    children.add("n0", start_proxy(&setting, "n0", &start, None));
    if !wait_until_ready(&record, &[listen], 9000) {
        record.say("the proxy is not ready");
        return CANNOT_RUN;
    }

    // The proxy was restarted, so its clients come again.
    let standing: Arc<Mutex<Vec<Standing>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..STANDING {
        let (record, standing) = (record.clone(), standing.clone());
        clients.push(thread::spawn(move || {
            for again in 0..8 {
                let id = format!("{:016x}", 0x1000 + number * 16 + again);
                let fields = format!(
                    "{:016x} c=status,t=posta-house,g={:016x},again=1",
                    0x9e37_79b9_u64 * (number as u64 + 1),
                    0x5bd1_e995_u64 * (number % GROUPS + 1) as u64
                );
                let seen = stand(&record, listen, id, &fields);
                let was_up = seen.is_up;
                lock(&standing).push(seen);
                if was_up || record.ms() > ENDLESS_FROM_MS {
                    return;
                }
                thread::sleep(Duration::from_millis(500));
            }
        }));
        thread::sleep(Duration::from_millis(80));
    }
    record.sleep_until(ENDLESS_FROM_MS);
    let up_at: Vec<usize> = servers.iter().map(|server| lock(&server.held).len()).collect();
    record.say(format!("connections up at each server: {up_at:?}"));
    if setting.trouble {
        let names: Vec<_> = ENDLESS.iter().map(|i| servers[*i].name.clone()).collect();
        record.say(format!("the answers of {} do not end from now on", names.join(", ")));
        ENDLESS.iter().for_each(|i| servers[*i].is_endless.store(true, Ordering::SeqCst));
    }
    let past_the_proxy = {
        let (record, server) = (record.clone(), servers[0].address);
        thread::spawn(move || longest_past_the_proxy(&record, server))
    };
    // New requests, four a second.
    let requests: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut arriving = Vec::new();
    let mut number = 0;
    while record.ms() < ENDLESS_UNTIL_MS {
        number += 1;
        let (record, requests) = (record.clone(), requests.clone());
        arriving.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x10_0000 + number);
            let fields = format!("{:016x} c=alarm,t=bandari-plaza", 0x2545_f491_u64 * number);
            let until = record.ms() + 1500;
            let outcome = run_client(&record, (0, listen), (&id, &fields), 1800, until);
            lock(&requests).push(outcome);
        }));
        thread::sleep(Duration::from_millis(250));
    }
    servers.iter().for_each(|server| server.is_endless.store(false, Ordering::SeqCst));
    arriving.into_iter().for_each(|client| drop(client.join()));
    clients.into_iter().for_each(|client| drop(client.join()));

    let past_the_proxy = past_the_proxy.join().unwrap_or(u64::MAX);
    let crashed = children.ended();
    let sound: BTreeSet<String> =
        (0..SERVERS).filter(|i| !ENDLESS.contains(i)).flat_map(|i| lock(&servers[i].held).clone()).collect();
    let reached: BTreeMap<String, u64> =
        servers.iter().flat_map(|server| lock(&server.lines).clone()).collect();
    let (mut lines, mut longest, mut held_back) = (0, 0, BTreeMap::new());
    for seen in lock(&standing).iter().filter(|seen| sound.contains(&seen.id)) {
        for line in &seen.lines {
            let end = seen.ended_at.unwrap_or(WATCHED_UNTIL_MS);
            // From the client to the server, and the reply from there to the client.
            let there = reached.get(&line.text).copied();
            let on_the_way =
                there.map_or(end.saturating_sub(line.sent_at), |at| at.saturating_sub(line.sent_at));
            let back = there.map_or(0, |at| line.replied_at.unwrap_or(end).saturating_sub(at));
            lines += 1;
            longest = longest.max(on_the_way).max(back);
            if on_the_way.max(back) > HELD_BACK_MS {
                held_back.entry(seen.id.clone()).or_insert((line.text.clone(), on_the_way, back));
            }
        }
    }
    for (id, (text, on_the_way, back)) in &held_back {
        record.note(format!("held back: {id}, \"{text}\": {on_the_way} ms to the server, {back} ms from it"));
    }
    let requests = lock(&requests);
    let unanswered = requests.iter().filter(|outcome| outcome.end == End::Unanswered).count();
    record.say(format!(
        "{lines} lines of {} connections at the other servers; the longest held back: {longest} ms",
        sound.len()
    ));
    record.say(format!("connections with a line held back for over {HELD_BACK_MS} ms: {}", held_back.len()));
    record
        .say(format!("of {} new requests not answered within 1,800 + 550 ms: {unanswered}", requests.len()));
    record.say(format!("a line and its reply past the proxy took {past_the_proxy} ms at most"));
    if past_the_proxy > 250 {
        record.say("the machine is too busy to judge");
        return CANNOT_RUN;
    }
    if !crashed.is_empty() {
        record.say(format!("ended by itself: {crashed:?}"));
        return BROKEN;
    }
    if sound.len() < 30 || lines < 300 {
        record.say("too few connections came up to judge");
        return CANNOT_RUN;
    }
    if held_back.is_empty() && unanswered == 0 {
        HELD
    } else {
        BROKEN
    }
}
