//! Connections that are pending, in some stage, or in the backlog when the process is asked to shut down.
//!
//! Whatever is unanswered 0.7 s after the longest request timeout of the clients, three seconds at most, is lost with the
//! kill.

use crate::harness::{list_response, read_request, FakeServer, ProxyProcess, Settings, DEFAULT, PUSHED_LIST};
use rustix::process::Signal;
use std::io::Write;
use std::time::{Duration, Instant};

/// Clients wait for 1.2 s at most, so that the process is killed 1.9 s after the signal.
const HASTY: Settings = Settings { request_timeout_ms: 1200, ..DEFAULT };

/// The shutdown's schedule follows from the settings' longest request timeout.
#[test]
fn with_short_request_timeouts_all_sessions_are_answered_or_migrated_before_the_kill() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(HASTY, &[&server]);
    let mut established: Vec<_> = (0..3).map(|_| proxy.establish(&server)).collect();
    let mut asking = proxy.open_session("lift-2", ",d=1200");
    let _never_answers = server.accept();
    proxy.terminate();
    let signalled_at = Instant::now();
    let mut late = proxy.open_session("lift-3", ",d=1200");
    let _nor_here = server.accept();
    for (client, _) in &mut established {
        assert_eq!((client.read_line(), client.read_line()), ("MOVE".into(), "".into()));
    }
    assert!(
        signalled_at.elapsed() > Duration::from_millis(600),
        "not before it must: {:?}",
        signalled_at.elapsed()
    );
    for client in [&mut asking, &mut late] {
        let response = client.read_line();
        assert!(response == "ERR" || response.starts_with("BUSY"), "{response}");
    }
    drop((established, asking, late));
    let (code, log) = proxy.wait_for_exit();
    assert!(code == Some(0) && log.contains("invariant violations 0"), "{code:?} {log}");
    assert!(signalled_at.elapsed() < Duration::from_millis(1900), "{:?}", signalled_at.elapsed());
}

/// Connections without a first line keep the process from ending as soon as no session is left.
#[test]
fn connections_without_a_complete_first_line_are_served_during_shutdown() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let mut silent = proxy.connect();
    let mut half = proxy.connect();
    half.send("OPEN 0123456789abcdef li");
    // The answer to a health check shows that both are accepted.
    let mut front_end = proxy.connect();
    assert_eq!(front_end.send("PING\r\n").read_line(), "PONG");
    proxy.terminate();
    let signalled_at = Instant::now();
    // Past the moment at which an idle process ends.
    std::thread::sleep(Duration::from_millis(900));
    half.send("ft-1 c=alarm,d=2000\r\n");
    let (mut upstream, _) = server.accept_session();
    assert_eq!(half.read_line(), "UP 0123");
    half.shut_down_write();
    assert_eq!(upstream.read_line(), "");
    upstream.shut_down_write();
    let response = silent.read_line();
    assert!(response == "ERR" || response == "BUSY", "{response}");
    drop((silent, half));
    assert_eq!(proxy.wait_for_exit().0, Some(0));
    assert!(signalled_at.elapsed() < Duration::from_millis(3700));
}

/// The buffer of a client that does not read is full, but has a reserve for `MOVE`.
#[test]
fn a_client_that_stops_reading_gets_complete_lines_and_a_migration_at_shutdown() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut deaf, upstream) = proxy.establish(&server);
    upstream.stream.set_nonblocking(true).unwrap();
    let line = format!("NEWS {}\r\n", "x".repeat(90));
    // Until nothing has been accepted for a moment.
    let mut stuck = 0;
    while stuck < 50 {
        match (&upstream.stream).write(line.repeat(10).as_bytes()) {
            Ok(written) if written > 0 => stuck = 0,
            _ => {
                stuck += 1;
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
    proxy.terminate();
    // Sessions migrate from 1.9 s on, and wait for the end of a line for 0.8 s.
    std::thread::sleep(Duration::from_millis(3000));
    let mut last = String::new();
    loop {
        match deaf.read_line() {
            heard if heard.is_empty() || heard == "reset" => break,
            heard => last = heard,
        }
    }
    assert_eq!(last, "MOVE");
    drop((deaf, upstream));
    assert_eq!(proxy.wait_for_exit().0, Some(0));
}

/// The proxy is suspended until its time has run out, with connections in the backlog.
#[test]
fn clients_in_the_backlog_at_the_shutdown_deadline_are_rejected() {
    let server = FakeServer::new("s1");
    let mut proxy = ProxyProcess::start(HASTY, &[&server]);
    proxy.terminate();
    while !proxy.next_log_line().contains("shutdown requested") {}
    proxy.suspend();
    let mut waiting = proxy.open_session("lift-1", ",d=1200");
    let mut silent = proxy.connect();
    std::thread::sleep(Duration::from_millis(1900));
    proxy.resume();
    assert_eq!((waiting.read_line(), waiting.read_line()), ("BUSY".into(), "".into()));
    assert_eq!((silent.read_line(), silent.read_line()), ("BUSY".into(), "".into()));
    assert!(server.try_accept().is_none(), "nothing is sent on that late");
    assert_eq!(proxy.wait_for_exit().0, Some(0));
}

#[test]
fn repeated_termination_and_reload_signals_do_not_change_the_shutdown() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut client, _upstream) = proxy.establish(&server);
    proxy.terminate();
    let signalled_at = Instant::now();
    let mut asking = proxy.open_session("lift-2", ",d=3000");
    let mut its_upstream = server.accept();
    assert!(its_upstream.read_line().starts_with("OPEN"));
    proxy.terminate();
    proxy.reload(&proxy.startup_file_with_discovery(&FakeServer::refusing_connections("discovery")));
    proxy.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(300));
    its_upstream.send("UP 0123\r\n");
    assert_eq!(asking.read_line(), "UP 0123");
    assert_eq!(client.read_line(), "MOVE");
    assert!(signalled_at.elapsed() > Duration::from_millis(1500), "{:?}", signalled_at.elapsed());
    assert_eq!(asking.read_line(), "MOVE");
    drop((client, asking));
    assert_eq!(proxy.wait_for_exit().0, Some(0));
    assert!(signalled_at.elapsed() < Duration::from_millis(3700));
}

#[test]
fn shutdown_before_the_first_endpoint_list_answers_waiting_clients() {
    for heard in [true, false] {
        let server = FakeServer::new("s1");
        let proxy = ProxyProcess::start(PUSHED_LIST, &[&server]);
        let (mut call, _) = proxy.discovery.next_poll();
        let mut client = proxy.open_session("lift-1", ",d=1500");
        let mut front_end = proxy.connect();
        assert!(front_end.send("PING\r\n").is_silent() && client.is_silent(), "the list is not heard yet");
        proxy.terminate();
        if heard {
            call.send(&list_response(9, true, &[server.endpoint("in_service")]));
            read_request(&mut call);
        }
        let (_upstream, _) = server.accept_session();
        assert_eq!(client.read_line(), "UP 0123");
        assert_eq!(front_end.read_line(), "PONG");
        assert_eq!(client.read_line(), "MOVE");
        drop((client, front_end));
        assert_eq!(proxy.wait_for_exit().0, Some(0));
    }
}
