//! The fake servers, discovery service and clients of the soak test, and the invariants that their observations must
//! meet.

use crate::harness::{list_response, read_request, Connection, FakeServer};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The idempotency window in milliseconds, within which servers recognize repeats of keyed requests.
pub const WINDOW_MS: u64 = 700;
/// Time after the proxy was sent the update from which on a draining server must not receive new requests.
const DRAIN_GRACE: Duration = Duration::from_millis(400);
/// How late a final response may be.
const RESPONSE_TOLERANCE: Duration = Duration::from_millis(500);

/// One attempt of a request, as received by a server.
#[derive(Clone, Copy)]
pub struct Attempt {
    server: usize,
    received_at: Instant,
    /// Whether the server did not reject it.
    may_have_run: bool,
}

/// What all peers have observed.
#[derive(Default)]
pub struct Observations {
    /// The attempts of each request, by request id.
    pub received: BTreeMap<String, Vec<Attempt>>,
    /// Ids of the requests whose sessions were ended by the server.
    pub ended_by_server: Vec<String>,
    /// When the proxy was sent the update that a server is draining.
    pub drains: Vec<(usize, Instant)>,
    pub violations: Vec<String>,
}

/// The shared state of the run with one seed.
pub struct Run {
    pub seed: u64,
    pub idempotency: &'static str,
    pub request_timeout: Duration,
    pub address: SocketAddr,
    pub observed: Mutex<Observations>,
    /// Whether clients open no more connections.
    pub clients_stop: AtomicBool,
    /// Whether servers and discovery stop.
    pub peers_stop: AtomicBool,
}

impl Run {
    pub fn report_violation(&self, violation: String) {
        let line = format!("seed {}: {violation}", self.seed);
        self.observed.lock().unwrap().violations.push(line);
    }

    /// The random number generator of the peer with this number.
    fn rng(&self, peer: u64) -> WyRand {
        WyRand::new_seed(self.seed * 1000 + peer)
    }
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sends the text. Returns whether the connection accepted it.
fn send(connection: &mut Connection, text: &str) -> bool {
    connection.stream.write_all(text.as_bytes()).is_ok()
}

/// Serves one connection with a random behavior.
fn serve(run: &Run, server: usize, mut connection: Connection, mut rng: WyRand) {
    let line = connection.read_line();
    if line == "PING" {
        send(&mut connection, "PONG\r\n");
        return;
    }
    let Some(id) = line.strip_prefix("OPEN ").and_then(|rest| rest.split(' ').next()) else {
        if !line.is_empty() && line != "reset" {
            run.report_violation(format!("server {server} received {line:?}"));
        }
        return;
    };
    let id = id.to_owned();
    let behavior = rng.generate_range(0..40_u32);
    let attempt = Attempt { server, received_at: Instant::now(), may_have_run: behavior != 0 };
    run.observed.lock().unwrap().received.entry(id.clone()).or_default().push(attempt);
    match behavior {
        0 => drop(send(&mut connection, "BUSY\r\n")),
        1 => drop(send(&mut connection, "ERR\r\n")),
        2 => connection.reset(),
        3 => drop(send(&mut connection, "U")),
        // The server hangs.
        4 => connection.wait_for_close(),
        _ => {
            pause(rng.generate_range(0..40));
            send(&mut connection, "UP 0123\r\n");
            let lines = if behavior < 14 { rng.generate_range(0..20) } else { usize::MAX };
            for _ in 0..lines {
                let line = connection.read_line();
                if line.is_empty() || line == "reset" {
                    return;
                }
                send(&mut connection, &format!("{line}\r\n"));
            }
            run.observed.lock().unwrap().ended_by_server.push(id);
            if rng.generate() {
                send(&mut connection, "BYE\r\n");
            }
        }
    }
}

/// Accepts and serves the connections of one server until the run ends.
pub fn run_server(run: Arc<Run>, index: usize, server: FakeServer) {
    let mut connections = 0;
    while !run.peers_stop.load(SeqCst) {
        let Some(connection) = server.try_accept() else {
            pause(1);
            continue;
        };
        connections += 1;
        let (run, rng) = (run.clone(), run.rng(100 * (index as u64 + 1) + connections));
        thread::spawn(move || serve(&run, index, connection, rng));
    }
}

/// Responds to polls, slowly and sometimes with an error or not at all. From a random poll on, it reports one server as
/// draining. Each server has two entries: active and draining.
pub fn run_discovery(run: Arc<Run>, discovery: Arc<FakeServer>, entries: Vec<[String; 2]>) {
    let mut rng = run.rng(1);
    let (polls_before_drain, drained) = (rng.generate_range(2..12_u32), rng.generate_range(0..entries.len()));
    let (mut seq, mut polls) = (7, 0);
    while !run.peers_stop.load(SeqCst) {
        let Some(mut connection) = discovery.try_accept() else {
            pause(1);
            continue;
        };
        while !run.peers_stop.load(SeqCst) {
            let path = read_request(&mut connection);
            if path.is_empty() {
                break;
            }
            polls += 1;
            pause(rng.generate_range(0..150));
            let response = match rng.generate_range(0..8_u32) {
                0 => "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
                1 => break,
                _ if polls > polls_before_drain => {
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
            let reports_drain = response.contains("terminating");
            if send(&mut connection, &response) && reports_drain {
                run.observed.lock().unwrap().drains.push((drained, Instant::now()));
            }
        }
    }
}

/// Connects a client that sends a request and then behaves at random.
fn open_session(run: &Run, id: &str, rng: &mut WyRand) {
    let Ok(stream) = TcpStream::connect(run.address) else { return };
    let mut connection = Connection::new(stream);
    // One request in five has a very short timeout.
    let has_short_timeout = rng.generate_range(0..5_u32) == 0;
    let request_timeout = if has_short_timeout {
        Duration::from_millis(rng.generate_range(0..80))
    } else {
        run.request_timeout
    };
    let (ms, key) = (request_timeout.as_millis(), rng.generate::<u16>());
    let line = format!("OPEN {id} lift-{key} c=alarm,d={ms}\r\n");
    let behavior = rng.generate_range(0..14_u32);
    match behavior {
        0 => {
            // The client sends only part of its line and stays connected.
            send(&mut connection, &line[..20]);
            let response = connection.read_line();
            if !["ERR", "BUSY", ""].contains(&&*response) {
                run.report_violation(format!("response to an incomplete line: {response:?}"));
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
    let sent_at = Instant::now();
    for chunk in line.as_bytes().chunks(rng.generate_range(5..80)) {
        let _ = connection.stream.write_all(chunk);
    }
    if behavior == 2 {
        // The client disconnects without waiting for the response.
        return pause(rng.generate_range(0..60));
    }
    let response = connection.read_line();
    let is_late = sent_at.elapsed() > request_timeout + RESPONSE_TOLERANCE;
    let is_final =
        response == "UP 0123" || response == "ERR" || response == "BUSY" || response.starts_with("BUSY ");
    if is_late || !is_final {
        return run.report_violation(format!("{id}: {response:?} after {:?}", sent_at.elapsed()));
    }
    if response != "UP 0123" {
        let rest = connection.read_line();
        if !rest.is_empty() {
            run.report_violation(format!("{id}: {rest:?} after the final response {response:?}"));
        }
        return;
    }
    let messages = [3, 20, 400][rng.generate_range(0..3_usize)];
    for i in 0..messages {
        let line = format!("M {i}");
        send(&mut connection, &format!("{line}\r\n"));
        let received = connection.read_line();
        match &*received {
            received if received == line => pause(5),
            "MOVE" => return,
            "BYE" | "" | "reset" => {
                let by_server = run.observed.lock().unwrap().ended_by_server.iter().any(|ended| ended == id);
                if !by_server {
                    run.report_violation(format!(
                        "{id}: ended with {received:?} after line {i}, but not by the server"
                    ));
                }
                return;
            }
            _ => return run.report_violation(format!("{id}: received {received:?} instead of {line:?}")),
        }
    }
}

/// Opens sessions one after the other until clients are told to stop.
pub fn run_client(run: Arc<Run>, index: u64) {
    static NEXT_ID: AtomicU32 = AtomicU32::new(0);
    let mut rng = run.rng(10_000 + index);
    while !run.clients_stop.load(SeqCst) {
        let number = NEXT_ID.fetch_add(1, SeqCst);
        open_session(&run, &format!("50a4{number:012x}"), &mut rng);
        pause(rng.generate_range(0..40));
    }
}

/// Reports each violation of an invariant in the observations: a non-idempotent request that was retried after it may
/// have run, a keyed request that was retried after its idempotency window, and a request sent to a draining server.
pub fn check_invariants(run: &Run) {
    let (received, drains) = {
        let observed = run.observed.lock().unwrap();
        (observed.received.clone(), observed.drains.clone())
    };
    for (id, attempts) in received {
        let first = attempts.iter().position(|attempt| attempt.may_have_run);
        let retries = first.map(|first| &attempts[first + 1..]).unwrap_or_default();
        let since = |attempt: &Attempt| attempt.received_at - attempts[first.unwrap_or(0)].received_at;
        match run.idempotency {
            "once" if !retries.is_empty() => {
                run.report_violation(format!("{id}: retried after it may have run"))
            }
            "by_key" if retries.iter().any(|attempt| since(attempt) > Duration::from_millis(WINDOW_MS)) => {
                run.report_violation(format!("{id}: retried after its idempotency window"));
            }
            _ => {}
        }
        for (server, drained_at) in &drains {
            let is_late = |attempt: &&Attempt| {
                attempt.server == *server && attempt.received_at > *drained_at + DRAIN_GRACE
            };
            if let Some(attempt) = attempts.iter().find(is_late) {
                run.report_violation(format!(
                    "{id}: sent to server {server} {:?} after it was reported as draining",
                    attempt.received_at - *drained_at
                ));
            }
        }
    }
}
