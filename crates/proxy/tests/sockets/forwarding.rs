//! Forwarding of lines and ends, and attempts that fail.

use crate::harness::{wait_for, Connection, FakeServer, ProxyProcess, Settings, DEFAULT, TEST_TIMEOUT};
use std::time::{Duration, Instant};

#[test]
fn lines_are_forwarded_unchanged_except_the_timeout_and_ends_propagate() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let mut client = proxy.open_session("lift-1", ",x-new=a b".split(' ').next().unwrap());
    assert_eq!(client.read_line(), "ERR", "without a wait the line is none");
    let mut client = proxy.open_session("lift-1", ",d=3000,x-new=7");
    let (mut upstream, line) = server.accept_session();
    let wait = line.split_once(" lift-1 c=alarm,d=").map(|parts| parts.1);
    let wait = wait.and_then(|rest| rest.strip_suffix(",x-new=7")).expect(&line);
    assert!((1000..=3000).contains(&wait.parse::<u32>().unwrap()), "{line}");
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
fn client_ends_and_server_resets_propagate_after_the_last_byte() {
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
    let (dead, server) = (FakeServer::refusing_connections("s1"), FakeServer::new("s2"));
    let once = Settings { idempotency: "once", ..DEFAULT };
    let proxy = ProxyProcess::start(once, &[&dead, &server]);
    // The hash places some of these keys at the server that refuses.
    let settle = |i| {
        let mut client = proxy.open_session(&format!("lift-{i}"), ",d=3000");
        let upstream = server.accept_session();
        assert_eq!(client.read_line(), "UP 0123");
        (client, upstream)
    };
    let established: Vec<_> = (0..8).map(settle).collect();
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
    let mut silent = wait_for(TEST_TIMEOUT, || one.try_accept().or_else(|| two.try_accept()));
    assert!(silent.read_line().starts_with("OPEN"));
    let mut next = wait_for(TEST_TIMEOUT, || one.try_accept().or_else(|| two.try_accept()));
    assert_eq!(silent.read_line(), "", "one at a time");
    next.send("UP 0123\r\n");
    assert_eq!(client.read_line(), "UP 0123");
}

#[test]
fn a_dial_timeout_is_safe_to_retry() {
    let (full, _first) = FakeServer::with_full_backlog("s1");
    let once = Settings { idempotency: "once", dial_timeout_ms: 100, ..DEFAULT };
    let proxy = ProxyProcess::start(once, &[&full]);
    let began = Instant::now();
    let mut client = proxy.open_session("lift-1", ",d=3000");
    let response = client.read_line();
    assert!(response.starts_with("BUSY "), "{response}");
    assert!(began.elapsed() < Duration::from_millis(1500), "at once when given up");
}

#[test]
fn an_attempt_is_closed_when_its_client_leaves() {
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
fn a_restored_session_returns_to_its_server_and_its_flow_is_known() {
    let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(DEFAULT, &[&one]);
    // The request timeout of a session without a deadline.
    let mut client = proxy.open_session("lift-1", ",d=4294967,at=s2");
    assert!(client.is_silent(), "its server is not known yet");
    let _call = proxy.update_endpoints(&[two.endpoint("in_service")]);
    let (mut upstream, line) = two.accept_session();
    assert!(line.ends_with(",at=s2"), "{line}");
    assert_eq!(client.read_line(), "UP 0123");
    let mut migrated = proxy.open_session("lift-1", ",d=3000,mid=1");
    let (_upstream, line) = two.accept_session();
    assert!(line.ends_with(",mid=1"), "{line}");
    assert_eq!(migrated.read_line(), "UP 0123");
    client.send("M 1\r\n");
    assert_eq!(upstream.read_line(), "M 1", "both stand");
    let began = Instant::now();
    assert_eq!(proxy.open_session("lift-1", ",d=3000,at=s3").read_line(), "ERR", "no such server");
    assert!(began.elapsed() < Duration::from_secs(3));
}

#[test]
fn backpressure_stops_the_sender_and_loses_nothing() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut client, upstream) = proxy.establish(&server);
    let line = format!("{}\r\n", "n".repeat(1000));
    let mut pouring = upstream.stream.try_clone().unwrap();
    pouring.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let mut total = 0;
    // Until the proxy's buffer is full, and it reads no more.
    while let Ok(written) = std::io::Write::write(&mut pouring, &line.as_bytes()[total % line.len()..]) {
        total += written;
        assert!(total < 200 << 20, "no end to what the proxy takes in");
    }
    upstream.shut_down_write();
    let mut read = 0;
    while read + line.len() <= total {
        assert_eq!(client.read_line().len() + 2, line.len());
        read += line.len();
    }
    drop::<Connection>(client);
}
