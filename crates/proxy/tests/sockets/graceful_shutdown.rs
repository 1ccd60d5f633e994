//! Graceful shutdown: new clients, sessions without a server response, and connections in every state.

use crate::harness::{FakeServer, ProxyProcess, DEFAULT};
use std::time::{Duration, Instant};

#[test]
fn shutdown_serves_new_clients_and_migrates_sessions_late_and_gradually() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let mut established: Vec<_> = (0..8).map(|_| proxy.establish(&server)).collect();
    proxy.terminate();
    let signalled_at = Instant::now();
    std::thread::sleep(Duration::from_millis(150));
    let mut late_client = proxy.open_session("lift-2", ",d=3000");
    let (mut upstream, _) = server.accept_session();
    assert_eq!(late_client.read_line(), "UP 0123");
    late_client.send("M 1\r\n");
    assert_eq!(upstream.read_line(), "M 1");
    upstream.send("M 1\r\n");
    assert_eq!(late_client.read_line(), "M 1");
    let mut migrated: Vec<_> = established
        .iter_mut()
        .map(|(client, _)| {
            assert_eq!((client.read_line(), client.read_line()), ("MOVE".into(), "".into()));
            signalled_at.elapsed()
        })
        .collect();
    migrated.sort();
    assert!(migrated[0] > Duration::from_millis(1500), "sessions are kept as long as possible: {migrated:?}");
    assert!(
        migrated[7] - migrated[0] > Duration::from_millis(400),
        "sessions are migrated gradually: {migrated:?}"
    );
    assert_eq!(late_client.read_line(), "MOVE");
    drop((established, late_client));
    assert!(proxy.shut_down().contains("sessions established 9"));
    assert!(signalled_at.elapsed() < Duration::from_millis(3700), "the proxy exits before it is killed");
}

#[test]
fn a_session_unanswered_at_the_shutdown_deadline_fails() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let mut client = proxy.open_session("lift-1", ",d=30000");
    let _unanswered = server.accept();
    proxy.terminate();
    assert_eq!(client.read_line(), "ERR");
    drop(client);
    assert_eq!(proxy.wait_for_exit().0, Some(0));
}

/// Each connection must get its response or be migrated within 3.7 s, when the process would be killed.
#[test]
fn shutdown_answers_or_migrates_connections_in_every_state_before_the_kill() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut established, _its_upstream) = proxy.establish(&server);
    let (mut inside_a_line, mut its_upstream) = proxy.establish(&server);
    its_upstream.send("NEWS t");
    let (mut slow_reader, mut slow_readers_upstream) = proxy.establish(&server);
    let mut idle = proxy.connect();
    let mut waiting = proxy.open_session("lift-2", ",d=3000");
    let _unanswered = server.accept();
    proxy.terminate();
    let signalled_at = Instant::now();
    let mut front_end = proxy.connect();
    assert_eq!(
        front_end.send("PING\r\n").read_line(),
        "PONG",
        "a front-end load balancer may not have noticed the shutdown yet"
    );
    let lines = 200;
    for i in 0..lines {
        slow_readers_upstream.send(&format!("M {i}\r\n"));
    }

    assert_eq!((established.read_line(), established.read_line()), ("MOVE".into(), "".into()));
    // The server completes its line late, but within the time that the migration waits for it.
    its_upstream.send("wo\r\n");
    assert_eq!((inside_a_line.read_line(), inside_a_line.read_line()), ("NEWS two".into(), "MOVE".into()));
    let response = waiting.read_line();
    assert!(response.starts_with("BUSY") || response == "ERR", "{response}");
    assert!(["", "ERR", "BUSY"].contains(&&*idle.read_line()));
    let (code, log) = proxy.wait_for_exit();
    assert!(code == Some(0) && log.contains("invariant violations 0"), "{code:?} {log}");
    assert!(signalled_at.elapsed() < Duration::from_millis(3700), "{:?}", signalled_at.elapsed());
    // A client that reads late gets all lines that were sent, and then the migration.
    (0..lines).for_each(|i| assert_eq!(slow_reader.read_line(), format!("M {i}")));
    assert_eq!((slow_reader.read_line(), slow_reader.read_line()), ("MOVE".into(), "".into()));
}
