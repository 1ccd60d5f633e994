//! Graceful shutdown: new clients, unanswered sessions, and connections in every stage.

use crate::harness::{FakeServer, ProxyProcess, DEFAULT};
use std::time::{Duration, Instant};

#[test]
fn shutdown_serves_new_clients_and_migrates_sessions_late_and_spread_out() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let mut established: Vec<_> = (0..8).map(|_| proxy.establish(&server)).collect();
    proxy.terminate();
    let signalled_at = Instant::now();
    std::thread::sleep(Duration::from_millis(150));
    let mut late = proxy.open_session("lift-2", ",d=3000");
    let (mut upstream, _) = server.accept_session();
    assert_eq!(late.read_line(), "UP 0123");
    late.send("M 1\r\n");
    assert_eq!(upstream.read_line(), "M 1");
    upstream.send("M 1\r\n");
    assert_eq!(late.read_line(), "M 1");
    let mut migrated: Vec<_> = established
        .iter_mut()
        .map(|(client, _)| {
            assert_eq!((client.read_line(), client.read_line()), ("MOVE".into(), "".into()));
            signalled_at.elapsed()
        })
        .collect();
    migrated.sort();
    assert!(migrated[0] > Duration::from_millis(1500), "as long as may be: {migrated:?}");
    assert!(migrated[7] - migrated[0] > Duration::from_millis(400), "spread out: {migrated:?}");
    assert_eq!(late.read_line(), "MOVE");
    drop((established, late));
    assert!(proxy.shut_down().contains("sessions established 9"));
    assert!(signalled_at.elapsed() < Duration::from_millis(3700), "before it is killed");
}

#[test]
fn a_session_unanswered_at_the_shutdown_deadline_fails() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let mut client = proxy.open_session("lift-1", ",d=30000");
    let _silent = server.accept();
    proxy.terminate();
    assert_eq!(client.read_line(), "ERR");
    drop(client);
    assert_eq!(proxy.wait_for_exit().0, Some(0));
}

/// All connections have their answer or migration within 3.7 s, when the process is killed.
#[test]
fn shutdown_settles_connections_in_every_stage_before_the_kill() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut established, _its_upstream) = proxy.establish(&server);
    let (mut in_a_line, mut its_upstream) = proxy.establish(&server);
    its_upstream.send("NEWS t");
    let (mut deaf, mut talker) = proxy.establish(&server);
    let mut silent = proxy.connect();
    let mut asking = proxy.open_session("lift-2", ",d=3000");
    let _never_answers = server.accept();
    proxy.terminate();
    let signalled_at = Instant::now();
    let mut front_end = proxy.connect();
    assert_eq!(front_end.send("PING\r\n").read_line(), "PONG", "its front_end may not have noticed yet");
    let lines = 200;
    for i in 0..lines {
        talker.send(&format!("M {i}\r\n"));
    }

    assert_eq!((established.read_line(), established.read_line()), ("MOVE".into(), "".into()));
    // The server ends its line as late as a migration waits for that.
    its_upstream.send("wo\r\n");
    assert_eq!((in_a_line.read_line(), in_a_line.read_line()), ("NEWS two".into(), "MOVE".into()));
    let response = asking.read_line();
    assert!(response.starts_with("BUSY") || response == "ERR", "{response}");
    assert!(["", "ERR", "BUSY"].contains(&&*silent.read_line()));
    let (code, log) = proxy.wait_for_exit();
    assert!(code == Some(0) && log.contains("invariant violations 0"), "{code:?} {log}");
    assert!(signalled_at.elapsed() < Duration::from_millis(3700), "{:?}", signalled_at.elapsed());
    // A client that reads late gets all that was sent, and the migration behind it.
    (0..lines).for_each(|i| assert_eq!(deaf.read_line(), format!("M {i}")));
    assert_eq!((deaf.read_line(), deaf.read_line()), ("MOVE".into(), "".into()));
}
