//! Connections that are pending, established or in the backlog when the proxy is signalled to shut down.
//!
//! The process is killed 0.7 s plus the longest request timeout of the clients, at most three seconds, after the
//! signal. Clients without a response by then get none.

use crate::harness::{list_response, read_request, FakeServer, ProxyProcess, Settings, DEFAULT, PUSHED_LIST};
use rustix::process::Signal;
use std::io::Write;
use std::time::{Duration, Instant};

/// With request timeouts of at most 1.2 s the process is killed 1.9 s after the signal.
const SHORT_TIMEOUTS: Settings = Settings { request_timeout_ms: 1200, ..DEFAULT };

/// The shutdown schedule follows from the longest request timeout in the settings.
#[test]
fn with_short_request_timeouts_all_sessions_are_answered_or_migrated_before_the_kill() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(SHORT_TIMEOUTS, &[&server]);
    let mut established: Vec<_> = (0..3).map(|_| proxy.establish(&server)).collect();
    let mut waiting = proxy.open_session("lift-2", ",d=1200");
    let _unanswered = server.accept();
    proxy.terminate();
    let signalled_at = Instant::now();
    let mut late_client = proxy.open_session("lift-3", ",d=1200");
    let _also_unanswered = server.accept();
    for (client, _) in &mut established {
        assert_eq!((client.read_line(), client.read_line()), ("MOVE".into(), "".into()));
    }
    assert!(
        signalled_at.elapsed() > Duration::from_millis(600),
        "sessions migrate no earlier than necessary: {:?}",
        signalled_at.elapsed()
    );
    for client in [&mut waiting, &mut late_client] {
        let response = client.read_line();
        assert!(response == "ERR" || response.starts_with("BUSY"), "{response}");
    }
    drop((established, waiting, late_client));
    let (code, log) = proxy.wait_for_exit();
    assert!(code == Some(0) && log.contains("invariant violations 0"), "{code:?} {log}");
    assert!(signalled_at.elapsed() < Duration::from_millis(1900), "{:?}", signalled_at.elapsed());
}

/// Connections without a first line keep the process from exiting as soon as no session is left.
#[test]
fn connections_without_a_complete_first_line_are_served_during_shutdown() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let mut idle = proxy.connect();
    let mut partial_line = proxy.connect();
    partial_line.send("OPEN 0123456789abcdef li");
    // The response to this health check shows that the proxy has accepted both connections.
    let mut front_end = proxy.connect();
    assert_eq!(front_end.send("PING\r\n").read_line(), "PONG");
    proxy.terminate();
    let signalled_at = Instant::now();
    // Longer than the time after which a process without connections exits.
    std::thread::sleep(Duration::from_millis(900));
    partial_line.send("ft-1 c=alarm,d=2000\r\n");
    let (mut upstream, _) = server.accept_session();
    assert_eq!(partial_line.read_line(), "UP 0123");
    partial_line.shut_down_write();
    assert_eq!(upstream.read_line(), "");
    upstream.shut_down_write();
    let response = idle.read_line();
    assert!(response == "ERR" || response == "BUSY", "{response}");
    drop((idle, partial_line));
    assert_eq!(proxy.wait_for_exit().0, Some(0));
    assert!(signalled_at.elapsed() < Duration::from_millis(3700));
}

/// The buffer for a client that does not read fills up, but has reserved space for `MOVE`.
#[test]
fn a_client_that_stops_reading_gets_complete_lines_and_a_migration_at_shutdown() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut slow_reader, upstream) = proxy.establish(&server);
    upstream.stream.set_nonblocking(true).unwrap();
    let line = format!("NEWS {}\r\n", "x".repeat(90));
    // Sends until nothing more is accepted for 250 ms.
    let mut failed_writes = 0;
    while failed_writes < 50 {
        match (&upstream.stream).write(line.repeat(10).as_bytes()) {
            Ok(written) if written > 0 => failed_writes = 0,
            _ => {
                failed_writes += 1;
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
    proxy.terminate();
    // Sessions migrate from 1.9 s on, and wait for the end of a line for 0.8 s.
    std::thread::sleep(Duration::from_millis(3000));
    let mut last = String::new();
    loop {
        match slow_reader.read_line() {
            line if line.is_empty() || line == "reset" => break,
            line => last = line,
        }
    }
    assert_eq!(last, "MOVE");
    drop((slow_reader, upstream));
    assert_eq!(proxy.wait_for_exit().0, Some(0));
}

/// The proxy is suspended until after the shutdown deadline, with connections in the backlog.
#[test]
fn clients_in_the_backlog_at_the_shutdown_deadline_are_rejected() {
    let server = FakeServer::new("s1");
    let mut proxy = ProxyProcess::start(SHORT_TIMEOUTS, &[&server]);
    proxy.terminate();
    while !proxy.next_log_line().contains("shutdown requested") {}
    proxy.suspend();
    let mut waiting = proxy.open_session("lift-1", ",d=1200");
    let mut idle = proxy.connect();
    std::thread::sleep(Duration::from_millis(1900));
    proxy.resume();
    assert_eq!((waiting.read_line(), waiting.read_line()), ("BUSY".into(), "".into()));
    assert_eq!((idle.read_line(), idle.read_line()), ("BUSY".into(), "".into()));
    assert!(server.try_accept().is_none(), "no request is forwarded after the deadline");
    assert_eq!(proxy.wait_for_exit().0, Some(0));
}

#[test]
fn repeated_termination_and_reload_signals_do_not_change_the_shutdown() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut client, _upstream) = proxy.establish(&server);
    proxy.terminate();
    let signalled_at = Instant::now();
    let mut waiting = proxy.open_session("lift-2", ",d=3000");
    let mut its_upstream = server.accept();
    assert!(its_upstream.read_line().starts_with("OPEN"));
    proxy.terminate();
    proxy.reload(&proxy.startup_file_with_discovery(&FakeServer::refusing_connections("discovery")));
    proxy.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(300));
    its_upstream.send("UP 0123\r\n");
    assert_eq!(waiting.read_line(), "UP 0123");
    assert_eq!(client.read_line(), "MOVE");
    assert!(signalled_at.elapsed() > Duration::from_millis(1500), "{:?}", signalled_at.elapsed());
    assert_eq!(waiting.read_line(), "MOVE");
    drop((client, waiting));
    assert_eq!(proxy.wait_for_exit().0, Some(0));
    assert!(signalled_at.elapsed() < Duration::from_millis(3700));
}

#[test]
fn shutdown_before_the_first_endpoint_list_answers_waiting_clients() {
    for list_arrives in [true, false] {
        let server = FakeServer::new("s1");
        let proxy = ProxyProcess::start(PUSHED_LIST, &[&server]);
        let (mut call, _) = proxy.discovery.next_poll();
        let mut client = proxy.open_session("lift-1", ",d=1500");
        let mut front_end = proxy.connect();
        assert!(front_end.send("PING\r\n").is_silent() && client.is_silent(), "there is no list yet");
        proxy.terminate();
        if list_arrives {
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
