//! The fake peers of a soak test, and the rules for all that they saw.

use crate::harness::{list_response, read_request, Connection, FakeServer};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long servers drop repeats in milliseconds, if they do.
pub const WINDOW_MS: u64 = 700;
/// A drained server receives nothing new this long after the drain was written to the process; and how late an answer may
/// be.
const DRAIN_GRACE: Duration = Duration::from_millis(400);
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// What a server saw of one request.
#[derive(Clone, Copy)]
pub struct Sent {
    server: usize,
    at: Instant,
    /// The server did not reject it.
    may_have_run: bool,
}

/// What all peers saw.
#[derive(Default)]
pub struct Seen {
    /// By request id.
    pub sent: BTreeMap<String, Vec<Sent>>,
    /// Requests whose connection was ended by the server.
    pub ended_by_server: Vec<String>,
    /// When the drain of a server was written to the process.
    pub drains: Vec<(usize, Instant)>,
    pub breaches: Vec<String>,
}

/// One run.
pub struct Run {
    pub seed: u64,
    pub idempotency: &'static str,
    pub request_timeout: Duration,
    pub address: SocketAddr,
    pub seen: Mutex<Seen>,
    /// New connections have stopped.
    pub front_has_left: AtomicBool,
    pub over: AtomicBool,
}

impl Run {
    pub fn breach(&self, what: String) {
        let line = format!("seed {}: {what}", self.seed);
        self.seen.lock().unwrap().breaches.push(line);
    }

    fn rng(&self, of: u64) -> WyRand {
        WyRand::new_seed(self.seed * 1000 + of)
    }
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn send(connection: &mut Connection, text: &str) -> bool {
    connection.stream.write_all(text.as_bytes()).is_ok()
}

/// Serves one connection.
fn serves(run: &Run, server: usize, mut connection: Connection, mut rng: WyRand) {
    let line = connection.read_line();
    if line == "PING" {
        send(&mut connection, "PONG\r\n");
        return;
    }
    let Some(id) = line.strip_prefix("OPEN ").and_then(|rest| rest.split(' ').next()) else {
        if !line.is_empty() && line != "reset" {
            run.breach(format!("server {server} got {line:?}"));
        }
        return;
    };
    let id = id.to_owned();
    let what = rng.generate_range(0..40_u32);
    let sent = Sent { server, at: Instant::now(), may_have_run: what != 0 };
    run.seen.lock().unwrap().sent.entry(id.clone()).or_default().push(sent);
    match what {
        0 => drop(send(&mut connection, "BUSY\r\n")),
        1 => drop(send(&mut connection, "ERR\r\n")),
        2 => connection.reset(),
        3 => drop(send(&mut connection, "U")),
        // The server hangs.
        4 => connection.wait_for_close(),
        _ => {
            pause(rng.generate_range(0..40));
            send(&mut connection, "UP 0123\r\n");
            let lines = if what < 14 { rng.generate_range(0..20) } else { usize::MAX };
            for _ in 0..lines {
                let line = connection.read_line();
                if line.is_empty() || line == "reset" {
                    return;
                }
                send(&mut connection, &format!("{line}\r\n"));
            }
            run.seen.lock().unwrap().ended_by_server.push(id);
            if rng.generate() {
                send(&mut connection, "BYE\r\n");
            }
        }
    }
}

pub fn server(run: Arc<Run>, index: usize, place: FakeServer) {
    let mut connections = 0;
    while !run.over.load(SeqCst) {
        let Some(connection) = place.try_accept() else {
            pause(1);
            continue;
        };
        connections += 1;
        let (run, rng) = (run.clone(), run.rng(100 * (index as u64 + 1) + connections));
        thread::spawn(move || serves(&run, index, connection, rng));
    }
}

/// Writes the drain of one server at a random moment, and is slow, refuses or hangs in between.
pub fn discovery(run: Arc<Run>, place: Arc<FakeServer>, entries: Vec<[String; 2]>) {
    let mut rng = run.rng(1);
    let (drains_after, drained) = (rng.generate_range(2..12_u32), rng.generate_range(0..entries.len()));
    let (mut seq, mut calls) = (7, 0);
    while !run.over.load(SeqCst) {
        let Some(mut connection) = place.try_accept() else {
            pause(1);
            continue;
        };
        while !run.over.load(SeqCst) {
            let path = read_request(&mut connection);
            if path.is_empty() {
                break;
            }
            calls += 1;
            pause(rng.generate_range(0..150));
            let response = match rng.generate_range(0..8_u32) {
                0 => "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
                1 => break,
                _ if calls > drains_after => {
                    seq += 1;
                    list_response(seq, false, &[entries[drained][1].clone()])
                }
                _ => {
                    seq += 1;
                    list_response(
                        seq,
                        true,
                        &entries.iter().map(|entry| entry[0].clone()).collect::<Vec<_>>(),
                    )
                }
            };
            let tells = response.contains("terminating");
            if send(&mut connection, &response) && tells {
                run.seen.lock().unwrap().drains.push((drained, Instant::now()));
            }
        }
    }
}

/// What a client does with one connection.
fn asks(run: &Run, id: &str, rng: &mut WyRand) {
    let Ok(stream) = TcpStream::connect(run.address) else { return };
    let mut connection = Connection::new(stream);
    // One request in five has a very short timeout.
    let is_hasty = rng.generate_range(0..5_u32) == 0;
    let request_timeout =
        if is_hasty { Duration::from_millis(rng.generate_range(0..80)) } else { run.request_timeout };
    let (ms, key) = (request_timeout.as_millis(), rng.generate::<u16>());
    let line = format!("OPEN {id} lift-{key} c=alarm,d={ms}\r\n");
    let what = rng.generate_range(0..14_u32);
    match what {
        0 => {
            // The client stops inside its line, and stays connected.
            send(&mut connection, &line[..20]);
            let response = connection.read_line();
            if !["ERR", "BUSY", ""].contains(&&*response) {
                run.breach(format!("half a line was answered {response:?}"));
            }
            return;
        }
        1 => {
            send(&mut connection, "PING\r\n");
            if connection.read_line() != "PONG" {
                return;
            }
            pause(rng.generate_range(0..300));
        }
        _ => {}
    }
    let asked = Instant::now();
    for piece in line.as_bytes().chunks(rng.generate_range(5..80)) {
        let _ = connection.stream.write_all(piece);
    }
    if what == 2 {
        // The client aborts.
        return pause(rng.generate_range(0..60));
    }
    let response = connection.read_line();
    let late = asked.elapsed() > request_timeout + ANSWER_SLACK;
    let is_final =
        response == "UP 0123" || response == "ERR" || response == "BUSY" || response.starts_with("BUSY ");
    if late || !is_final {
        return run.breach(format!("{id}: {response:?} after {:?}", asked.elapsed()));
    }
    if response != "UP 0123" {
        let rest = connection.read_line();
        if !rest.is_empty() {
            run.breach(format!("{id}: {rest:?} behind {response:?}"));
        }
        return;
    }
    let stays = [3, 20, 400][rng.generate_range(0..3_usize)];
    for i in 0..stays {
        let line = format!("M {i}");
        send(&mut connection, &format!("{line}\r\n"));
        let heard = connection.read_line();
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

pub fn client(run: Arc<Run>, index: u64) {
    static LAST_ID: AtomicU32 = AtomicU32::new(0);
    let mut rng = run.rng(10_000 + index);
    while !run.front_has_left.load(SeqCst) {
        let number = LAST_ID.fetch_add(1, SeqCst);
        asks(&run, &format!("50a4{number:012x}"), &mut rng);
        pause(rng.generate_range(0..40));
    }
}

/// Checks the rules against all that was seen.
pub fn rules(run: &Run) {
    let (sent, drains) = {
        let seen = run.seen.lock().unwrap();
        (seen.sent.clone(), seen.drains.clone())
    };
    for (id, tries) in sent {
        let first = tries.iter().position(|sent| sent.may_have_run);
        let again = first.map(|first| &tries[first + 1..]).unwrap_or_default();
        let since = |sent: &Sent| sent.at - tries[first.unwrap_or(0)].at;
        match run.idempotency {
            "once" if !again.is_empty() => run.breach(format!("{id}: sent again after it may have run")),
            "by_key" if again.iter().any(|sent| since(sent) > Duration::from_millis(WINDOW_MS)) => {
                run.breach(format!("{id}: sent again past its window"));
            }
            _ => {}
        }
        for (server, drained_at) in &drains {
            let late = |sent: &&Sent| sent.server == *server && sent.at > *drained_at + DRAIN_GRACE;
            if let Some(sent) = tries.iter().find(late) {
                run.breach(format!(
                    "{id}: at server {server} {:?} after its drain was announced",
                    sent.at - *drained_at
                ));
            }
        }
    }
}
