//! Migration of sessions, and health checks of servers.

use crate::harness::{
    accept_health_checks, FakeServer, ProxyProcess, Settings, CHECKS_HEALTH_FIRST, DEFAULT,
};
use std::time::{Duration, Instant};

#[test]
fn no_request_is_sent_to_a_server_that_starts_draining_before_its_connection_is_established() {
    let (full_server, _filler_client) = FakeServer::with_full_backlog("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&full_server]);
    let mut client = proxy.open_session("lift-1", ",d=4000");
    let _call = proxy.update_endpoints(&[full_server.endpoint("terminating")]);
    let _filler = full_server.accept();
    // The connection is established when the system next retries it, or the attempt times out before that.
    assert!(client.read_line().starts_with("BUSY "));
    if let Some(mut upstream) = full_server.try_accept() {
        assert_eq!(upstream.read_line(), "");
    }
}

#[test]
fn sessions_of_a_draining_server_migrate_between_lines() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut client, mut upstream) = proxy.establish(&server);
    upstream.send("NEWS one\r\n");
    assert_eq!(client.read_line(), "NEWS one");
    upstream.send("NEWS t");
    let _call = proxy.update_endpoints(&[server.endpoint("terminating")]);
    assert!(!client.is_silent(), "the beginning of the line is forwarded at once");
    std::thread::sleep(Duration::from_millis(300));
    upstream.send("wo\r\nNEWS thr");
    assert_eq!((client.read_line(), client.read_line()), ("NEWS two".into(), "MOVE".into()));
    assert_eq!((client.read_line(), upstream.read_line()), ("".into(), "".into()));
}

#[test]
fn a_session_of_an_unresponsive_server_migrates_in_time() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut client, _upstream) = proxy.establish(&server);
    let started_at = Instant::now();
    client.send("M 1\r\n");
    assert_eq!(client.read_line(), "MOVE");
    assert!(started_at.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_slow_health_check_migrates_a_session() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(Settings { health_checks_allowed: true, ..DEFAULT }, &[&server]);
    let (mut client, _upstream) = proxy.establish(&server);
    let mut check = server.accept();
    assert_eq!(check.read_line(), "PING");
    check.send("PONG\r\n");
    assert_eq!(check.read_line(), "PING", "over the same connection");
    std::thread::sleep(Duration::from_millis(400));
    check.send("PONG\r\n");
    assert_eq!(client.read_line(), "MOVE");
}

#[test]
fn a_message_latency_report_migrates_a_session_without_health_checks() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(
        Settings { health_checks_allowed: true, servers_report_latency: true, ..DEFAULT },
        &[&server],
    );
    let (mut client, mut upstream) = proxy.establish(&server);
    upstream.send("LOAD 61234.5\r\n");
    assert_eq!(client.read_line(), "LOAD 61234.5");
    assert!(client.is_silent(), "the value is a connection load, which does not cause a migration");
    // Longer than the time until the proxy would have sent a health check.
    std::thread::sleep(Duration::from_millis(300));
    upstream.send("LOAD 212.25\r\n");
    assert_eq!((client.read_line(), client.read_line()), ("LOAD 212.25".into(), "MOVE".into()));
    assert!(server.try_accept().is_none());
}

/// A proxy that knows no server's load sends health checks to three, and the first one to respond gets the session.
#[test]
fn the_first_server_to_respond_to_a_health_check_gets_the_session_and_the_checks_close() {
    let servers = ["s1", "s2", "s3"].map(FakeServer::new);
    let proxy = ProxyProcess::start(CHECKS_HEALTH_FIRST, &servers.each_ref());
    let mut client = proxy.open_session("lift-1", ",d=20000,g=bank");
    let mut checks = accept_health_checks(&servers);
    assert!(
        servers.iter().all(|server| server.try_accept().is_none()),
        "no connection other than those of the health checks"
    );
    checks[1].send("PONG\r\n");
    let (_upstream, line) = servers[1].accept_session();
    assert!(line.contains(" lift-1 "), "{line}");
    assert_eq!((client.read_line(), checks[1].read_line()), ("UP 0123".into(), "".into()));
    checks[0].send("PONG\r\n");
    assert_eq!(checks[0].read_line(), "");
    assert!(servers[0].try_accept().is_none());
}
