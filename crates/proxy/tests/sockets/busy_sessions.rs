//! Established sessions whose servers send much, or go on sending: nobody else waits for them.

use crate::endless_responses::{send_endlessly, BLOCK_BYTES, MAX_LINE_DELAY};
use crate::harness::{Connection, FakeServer, ProxyProcess, Settings, DEFAULT};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// Settings with enough descriptors for the sessions of these tests.
const MANY_SESSIONS: Settings = Settings { max_descriptors: 512, ..DEFAULT };

/// Guards against established sessions that hold the event loop for over a second with what has arrived at once.
#[test]
fn short_lines_that_arrive_at_many_sessions_at_once_delay_no_other_connection() {
    const SESSIONS: usize = 32;
    const ARRIVED_BYTES: usize = 640 << 10;
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(MANY_SESSIONS, &[&server]);
    let sessions: Vec<_> = (0..SESSIONS).map(|_| proxy.establish(&server)).collect();
    proxy.suspend();
    for (_, upstream) in &sessions {
        upstream.stream.set_nonblocking(true).unwrap();
        // What the system does not take at once is left out.
        let _ = (&upstream.stream).write_all("\n".repeat(ARRIVED_BYTES).as_bytes());
    }
    let mut front_end = proxy.connect();
    front_end.send("PING\r\n");
    let before = proxy.cpu_time();
    proxy.resume();
    assert_eq!(front_end.read_line(), "PONG");
    let held = proxy.cpu_time() - before;
    assert!(held < MAX_LINE_DELAY, "the response took {held:?} of processor time");
}

/// Guards against sessions that are served ever more often in each turn of the event loop for as long as their servers go
/// on sending: after some seconds, all other connections were held up for over a second.
#[test]
fn endless_sessions_delay_no_other_connection_however_long_they_last() {
    const SESSIONS: usize = 96;
    const DURATION: Duration = Duration::from_secs(6);
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(MANY_SESSIONS, &[&server]);
    let sessions: Vec<_> = (0..SESSIONS).map(|_| proxy.establish(&server)).collect();
    for (mut client, upstream) in sessions {
        send_endlessly(upstream, "", "M 1\r\n");
        std::thread::spawn(
            move || while client.stream.read(&mut [0; BLOCK_BYTES]).is_ok_and(|read| read > 0) {},
        );
    }
    let started_at = Instant::now();
    let mut longest = Duration::ZERO;
    while started_at.elapsed() < DURATION {
        let before = proxy.cpu_time();
        assert_eq!(proxy.connect().send("PING\r\n").read_line(), "PONG");
        longest = longest.max(proxy.cpu_time() - before);
    }
    assert!(longest < MAX_LINE_DELAY, "a response took {longest:?} of processor time");
}

/// Establishes a session that belongs to a group of its own. Returns the client's and the server's connection.
fn establish_in_group(proxy: &ProxyProcess, server: &FakeServer, group: usize) -> (Connection, Connection) {
    let mut client = proxy.open_session(&format!("lift-{group}"), &format!(",d=3000,g=bank-{group}"));
    let (upstream, _) = server.accept_session();
    assert_eq!(client.read_line(), "UP 0123");
    (client, upstream)
}

/// The processor time that the proxy takes to pass on a line that a server repeats on one session, while this many others
/// are established there.
fn cost_of_repeated_line(line: &str, other_sessions: usize) -> Duration {
    const REPEATS: usize = 600_000;
    let server = FakeServer::new("s1");
    let settings = Settings { servers_report_latency: true, ..MANY_SESSIONS };
    let proxy = ProxyProcess::start(settings, &[&server]);
    let (mut client, mut upstream) = proxy.establish(&server);
    let _others: Vec<_> = (0..other_sessions).map(|i| establish_in_group(&proxy, &server, i)).collect();
    let lines = line.repeat(REPEATS);
    let mut received = vec![0; lines.len()];
    let before = proxy.cpu_time();
    let sender = std::thread::spawn(move || upstream.stream.write_all(lines.as_bytes()));
    client.stream.read_exact(&mut received).unwrap();
    let cost = proxy.cpu_time() - before;
    sender.join().unwrap().unwrap();
    cost
}

/// Guards against lines that each cost a walk over all sessions of their server. Repeated without a pause, reports of a
/// late message held up all other connections for seconds.
#[test]
fn a_repeated_line_costs_the_same_however_many_sessions_its_server_has() {
    // Other load on the machine, which empties the processor's caches, may more than double the cost.
    const TOLERANCE: u32 = 4;
    for line in ["LOAD 99\r\n", "LOAD 5000\r\n", "M 1\r\n"] {
        let [alone, among_many] = [0, 64].map(|others| cost_of_repeated_line(line, others));
        assert!(among_many < TOLERANCE * alone, "{line:?}: {among_many:?} beside {alone:?}");
    }
}
