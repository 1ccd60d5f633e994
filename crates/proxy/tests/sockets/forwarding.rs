//! Forwarding of lines, closes and resets, and attempts that fail.

use crate::harness::{wait_for, Connection, FakeServer, ProxyProcess, Settings, DEFAULT, TEST_TIMEOUT};
use std::time::{Duration, Instant};

#[test]
fn lines_are_forwarded_unchanged_except_the_timeout_and_closes_propagate() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let mut client = proxy.open_session("lift-1", ",x-new=a b".split(' ').next().unwrap());
    assert_eq!(client.read_line(), "ERR", "a first line without a request timeout is malformed");
    let mut client = proxy.open_session("lift-1", ",d=3000,x-new=7");
    let (mut upstream, line) = server.accept_session();
    let timeout = line.split_once(" lift-1 c=alarm,d=").map(|parts| parts.1);
    let timeout = timeout.and_then(|rest| rest.strip_suffix(",x-new=7")).expect(&line);
    assert!((1000..=3000).contains(&timeout.parse::<u32>().unwrap()), "{line}");
    assert_eq!(client.read_line(), "UP 0123");
    client.send("HELLO  there\r\nM 2\r\n");
    assert_eq!((upstream.read_line(), upstream.read_line()), ("HELLO  there".into(), "M 2".into()));
    upstream.send("LOAD 17.5\r\nNEWS ");
    assert_eq!(client.read_line(), "LOAD 17.5");
    upstream.send("at ten\r\nBYE\r\n");
    upstream.shut_down_write();
    assert_eq!(
        (client.read_line(), client.read_line(), client.read_line()),
        ("NEWS at ten".into(), "BYE".into(), "".into())
    );
}

#[test]
fn closes_and_resets_propagate_after_the_last_byte() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut client, mut upstream) = proxy.establish(&server);
    client.send("LAST\r\n").shut_down_write();
    assert_eq!((upstream.read_line(), upstream.read_line()), ("LAST".into(), "".into()));
    upstream.send("REST\r\n").shut_down_write();
    assert_eq!((client.read_line(), client.read_line()), ("REST".into(), "".into()));

    let (client, mut upstream) = proxy.establish(&server);
    client.reset();
    assert_eq!(upstream.read_line(), "reset");

    let (mut client, mut upstream) = proxy.establish(&server);
    upstream.send("LAST\r\n");
    assert_eq!(client.read_line(), "LAST");
    upstream.reset();
    assert_eq!(client.read_line(), "reset");
}

#[test]
fn a_refused_connection_is_retried_elsewhere_even_if_not_idempotent() {
    let (refusing, server) = (FakeServer::refusing_connections("s1"), FakeServer::new("s2"));
    let once = Settings { idempotency: "once", ..DEFAULT };
    let proxy = ProxyProcess::start(once, &[&refusing, &server]);
    // Some of these keys are placed on the server that refuses connections.
    let establish = |i| {
        let mut client = proxy.open_session(&format!("lift-{i}"), ",d=3000");
        let upstream = server.accept_session();
        assert_eq!(client.read_line(), "UP 0123");
        (client, upstream)
    };
    let established: Vec<_> = (0..8).map(establish).collect();
    assert_eq!(established.len(), 8);
}

#[test]
fn a_reset_after_the_first_line_is_not_retried_if_not_idempotent() {
    let server = FakeServer::new("s1");
    let once = Settings { idempotency: "once", ..DEFAULT };
    let proxy = ProxyProcess::start(once, &[&server]);
    let mut client = proxy.open_session("lift-1", ",d=3000");
    let mut upstream = server.accept();
    assert!(upstream.read_line().starts_with("OPEN"));
    upstream.reset();
    assert_eq!(client.read_line(), "ERR");
    assert_eq!(client.read_line(), "");
    assert!(server.try_accept().is_none());
}

#[test]
fn a_silent_server_times_out_in_time_for_a_retry() {
    let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(DEFAULT, &[&one, &two]);
    let mut client = proxy.open_session("lift-1", ",d=900");
    let mut unanswered = wait_for(TEST_TIMEOUT, || one.try_accept().or_else(|| two.try_accept()));
    assert!(unanswered.read_line().starts_with("OPEN"));
    let mut next = wait_for(TEST_TIMEOUT, || one.try_accept().or_else(|| two.try_accept()));
    assert_eq!(unanswered.read_line(), "", "only one attempt at a time");
    next.send("UP 0123\r\n");
    assert_eq!(client.read_line(), "UP 0123");
}

#[test]
fn an_attempt_that_times_out_while_connecting_is_safe_to_retry() {
    let (full_server, _filler_client) = FakeServer::with_full_backlog("s1");
    let once = Settings { idempotency: "once", dial_timeout_ms: 100, ..DEFAULT };
    let proxy = ProxyProcess::start(once, &[&full_server]);
    let started_at = Instant::now();
    let mut client = proxy.open_session("lift-1", ",d=3000");
    let response = client.read_line();
    assert!(response.starts_with("BUSY "), "{response}");
    assert!(started_at.elapsed() < Duration::from_millis(1500), "rejected right after the connect timeout");
}

#[test]
fn an_attempt_is_closed_when_its_client_disconnects() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let client = proxy.open_session("lift-1", ",d=3000");
    let mut upstream = server.accept();
    assert!(upstream.read_line().starts_with("OPEN"));
    drop(client);
    assert_eq!(upstream.read_line(), "");
    assert!(server.try_accept().is_none());
}

#[test]
fn restored_and_mid_flow_sessions_are_placed_on_the_server_of_their_flow() {
    let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(DEFAULT, &[&one]);
    // This request timeout is the one of a session without a deadline.
    let mut client = proxy.open_session("lift-1", ",d=4294967,at=s2");
    assert!(client.is_silent(), "its server is not listed yet");
    let _call = proxy.update_endpoints(&[two.endpoint("in_service")]);
    let (mut upstream, line) = two.accept_session();
    assert!(line.ends_with(",at=s2"), "{line}");
    assert_eq!(client.read_line(), "UP 0123");
    let mut mid_flow = proxy.open_session("lift-1", ",d=3000,mid=1");
    let (_upstream, line) = two.accept_session();
    assert!(line.ends_with(",mid=1"), "{line}");
    assert_eq!(mid_flow.read_line(), "UP 0123");
    client.send("M 1\r\n");
    assert_eq!(upstream.read_line(), "M 1", "both sessions are established");
    let started_at = Instant::now();
    assert_eq!(proxy.open_session("lift-1", ",d=3000,at=s3").read_line(), "ERR", "no such server");
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

#[test]
fn backpressure_stops_the_sender_and_loses_nothing() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut client, upstream) = proxy.establish(&server);
    let line = format!("{}\r\n", "n".repeat(1000));
    let mut sender = upstream.stream.try_clone().unwrap();
    sender.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let mut total = 0;
    // Sends until the proxy's buffer is full and it stops reading.
    while let Ok(written) = std::io::Write::write(&mut sender, &line.as_bytes()[total % line.len()..]) {
        total += written;
        assert!(total < 200 << 20, "the proxy reads without limit");
    }
    upstream.shut_down_write();
    let mut read = 0;
    while read + line.len() <= total {
        assert_eq!(client.read_line().len() + 2, line.len());
        read += line.len();
    }
    drop::<Connection>(client);
}
