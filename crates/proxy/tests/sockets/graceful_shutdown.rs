//! Graceful shutdown: new clients, unanswered sessions, and connections in every stage.

use crate::harness::{FakeServer, Program, DEFAULT};
use std::time::{Duration, Instant};

#[test]
fn shutdown_serves_new_clients_and_migrates_sessions_late_and_spread_out() {
    let server = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&server]);
    let mut established: Vec<_> = (0..8).map(|_| program.establish(&server)).collect();
    program.terminate();
    let signalled_at = Instant::now();
    std::thread::sleep(Duration::from_millis(150));
    let mut late = program.open_session("lift-2", ",d=3000");
    let (mut at_server, _) = server.accept_session();
    assert_eq!(late.read_line(), "UP 0123");
    late.send("M 1\r\n");
    assert_eq!(at_server.read_line(), "M 1");
    at_server.send("M 1\r\n");
    assert_eq!(late.read_line(), "M 1");
    let mut moved: Vec<_> = established
        .iter_mut()
        .map(|(client, _)| {
            assert_eq!((client.read_line(), client.read_line()), ("MOVE".into(), "".into()));
            signalled_at.elapsed()
        })
        .collect();
    moved.sort();
    assert!(moved[0] > Duration::from_millis(1500), "as long as may be: {moved:?}");
    assert!(moved[7] - moved[0] > Duration::from_millis(400), "spread out: {moved:?}");
    assert_eq!(late.read_line(), "MOVE");
    drop((established, late));
    assert!(program.shut_down().contains("sessions established 9"));
    assert!(signalled_at.elapsed() < Duration::from_millis(3700), "before it is killed");
}

#[test]
fn a_session_unanswered_at_the_shutdown_deadline_fails() {
    let server = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&server]);
    let mut client = program.open_session("lift-1", ",d=30000");
    let _silent = server.accept();
    program.terminate();
    assert_eq!(client.read_line(), "ERR");
    drop(client);
    assert_eq!(program.wait_for_exit().0, Some(0));
}

/// All connections have their answer or migration within 3.7 s, when the process is killed.
#[test]
fn shutdown_settles_connections_in_every_stage_before_the_kill() {
    let server = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&server]);
    let (mut established, _its_server) = program.establish(&server);
    let (mut in_a_line, mut its_server) = program.establish(&server);
    its_server.send("NEWS t");
    let (mut deaf, mut talker) = program.establish(&server);
    let mut silent = program.connect();
    let mut asking = program.open_session("lift-2", ",d=3000");
    let _never_answers = server.accept();
    program.terminate();
    let signalled_at = Instant::now();
    let mut front = program.connect();
    assert_eq!(front.send("PING\r\n").read_line(), "PONG", "its front may not have noticed yet");
    let lines = 200;
    for i in 0..lines {
        talker.send(&format!("M {i}\r\n"));
    }

    assert_eq!((established.read_line(), established.read_line()), ("MOVE".into(), "".into()));
    // The server ends its line as late as a migration waits for that.
    its_server.send("wo\r\n");
    assert_eq!((in_a_line.read_line(), in_a_line.read_line()), ("NEWS two".into(), "MOVE".into()));
    let answer = asking.read_line();
    assert!(answer.starts_with("BUSY") || answer == "ERR", "{answer}");
    assert!(["", "ERR", "BUSY"].contains(&&*silent.read_line()));
    let (code, log) = program.wait_for_exit();
    assert!(code == Some(0) && log.contains("invariant violations 0"), "{code:?} {log}");
    assert!(signalled_at.elapsed() < Duration::from_millis(3700), "{:?}", signalled_at.elapsed());
    // A client that reads late gets all that was sent, and the migration behind it.
    (0..lines).for_each(|i| assert_eq!(deaf.read_line(), format!("M {i}")));
    assert_eq!((deaf.read_line(), deaf.read_line()), ("MOVE".into(), "".into()));
}
