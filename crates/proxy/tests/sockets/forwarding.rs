//! Forwarding of lines and ends, and attempts that fail.

use crate::harness::{wait_for, Connection, FakeServer, Program, Settings, DEFAULT, TEST_TIMEOUT};
use std::time::{Duration, Instant};

#[test]
fn lines_are_forwarded_unchanged_except_the_timeout_and_ends_propagate() {
    let server = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&server]);
    let mut client = program.open_session("lift-1", ",x-new=a b".split(' ').next().unwrap());
    assert_eq!(client.read_line(), "ERR", "without a wait the line is none");
    let mut client = program.open_session("lift-1", ",d=3000,x-new=7");
    let (mut at_server, line) = server.accept_session();
    let wait = line.split_once(" lift-1 c=alarm,d=").map(|parts| parts.1);
    let wait = wait.and_then(|rest| rest.strip_suffix(",x-new=7")).expect(&line);
    assert!((1000..=3000).contains(&wait.parse::<u32>().unwrap()), "{line}");
    assert_eq!(client.read_line(), "UP 0123");
    client.send("HELLO  there\r\nM 2\r\n");
    assert_eq!((at_server.read_line(), at_server.read_line()), ("HELLO  there".into(), "M 2".into()));
    at_server.send("LOAD 17.5\r\nNEWS ");
    assert_eq!(client.read_line(), "LOAD 17.5");
    at_server.send("at ten\r\nBYE\r\n");
    at_server.end_sending();
    assert_eq!(
        (client.read_line(), client.read_line(), client.read_line()),
        ("NEWS at ten".into(), "BYE".into(), "".into())
    );
}

#[test]
fn client_ends_and_server_resets_propagate_after_the_last_byte() {
    let server = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&server]);
    let (mut client, mut at_server) = program.establish(&server);
    client.send("LAST\r\n").end_sending();
    assert_eq!((at_server.read_line(), at_server.read_line()), ("LAST".into(), "".into()));
    at_server.send("REST\r\n").end_sending();
    assert_eq!((client.read_line(), client.read_line()), ("REST".into(), "".into()));

    let (client, mut at_server) = program.establish(&server);
    client.reset();
    assert_eq!(at_server.read_line(), "reset");

    let (mut client, mut at_server) = program.establish(&server);
    at_server.send("LAST\r\n");
    assert_eq!(client.read_line(), "LAST");
    at_server.reset();
    assert_eq!(client.read_line(), "reset");
}

#[test]
fn a_refused_connection_is_retried_elsewhere_even_if_not_idempotent() {
    let (dead, server) = (FakeServer::refusing("s1"), FakeServer::new("s2"));
    let once = Settings { effect: "once", ..DEFAULT };
    let program = Program::start(once, &[&dead, &server]);
    // The hash places some of these keys at the server that refuses.
    let settle = |i| {
        let mut client = program.open_session(&format!("lift-{i}"), ",d=3000");
        let at_server = server.accept_session();
        assert_eq!(client.read_line(), "UP 0123");
        (client, at_server)
    };
    let established: Vec<_> = (0..8).map(settle).collect();
    assert_eq!(established.len(), 8);
}

#[test]
fn a_reset_after_the_first_line_is_not_retried_if_not_idempotent() {
    let server = FakeServer::new("s1");
    let once = Settings { effect: "once", ..DEFAULT };
    let program = Program::start(once, &[&server]);
    let mut client = program.open_session("lift-1", ",d=3000");
    let mut at_server = server.accept();
    assert!(at_server.read_line().starts_with("OPEN"));
    at_server.reset();
    assert_eq!(client.read_line(), "ERR");
    assert_eq!(client.read_line(), "");
    assert!(server.try_accept().is_none());
}

#[test]
fn a_silent_server_times_out_in_time_for_a_retry() {
    let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let program = Program::start(DEFAULT, &[&one, &two]);
    let mut client = program.open_session("lift-1", ",d=900");
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
    let once = Settings { effect: "once", dial_ms: 100, ..DEFAULT };
    let program = Program::start(once, &[&full]);
    let began = Instant::now();
    let mut client = program.open_session("lift-1", ",d=3000");
    let answer = client.read_line();
    assert!(answer.starts_with("BUSY "), "{answer}");
    assert!(began.elapsed() < Duration::from_millis(1500), "at once when given up");
}

#[test]
fn an_attempt_is_closed_when_its_client_leaves() {
    let server = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&server]);
    let client = program.open_session("lift-1", ",d=3000");
    let mut at_server = server.accept();
    assert!(at_server.read_line().starts_with("OPEN"));
    drop(client);
    assert_eq!(at_server.read_line(), "");
    assert!(server.try_accept().is_none());
}

#[test]
fn a_restored_session_returns_to_its_server_and_its_flow_is_known() {
    let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let program = Program::start(DEFAULT, &[&one]);
    // The request timeout of a session without a deadline.
    let mut client = program.open_session("lift-1", ",d=4294967,at=s2");
    assert!(client.is_silent(), "its server is not known yet");
    let _call = program.update_endpoints(&[two.endpoint("in_service")]);
    let (mut at_server, line) = two.accept_session();
    assert!(line.ends_with(",at=s2"), "{line}");
    assert_eq!(client.read_line(), "UP 0123");
    let mut moved = program.open_session("lift-1", ",d=3000,mid=1");
    let (_at_server, line) = two.accept_session();
    assert!(line.ends_with(",mid=1"), "{line}");
    assert_eq!(moved.read_line(), "UP 0123");
    client.send("M 1\r\n");
    assert_eq!(at_server.read_line(), "M 1", "both stand");
    let began = Instant::now();
    assert_eq!(program.open_session("lift-1", ",d=3000,at=s3").read_line(), "ERR", "no such server");
    assert!(began.elapsed() < Duration::from_secs(3));
}

#[test]
fn backpressure_stops_the_sender_and_loses_nothing() {
    let server = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&server]);
    let (mut client, at_server) = program.establish(&server);
    let line = format!("{}\r\n", "n".repeat(1000));
    let mut pouring = at_server.stream.try_clone().unwrap();
    pouring.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let mut total = 0;
    // Until the program's buffer is full, and it reads no more.
    while let Ok(written) = std::io::Write::write(&mut pouring, &line.as_bytes()[total % line.len()..]) {
        total += written;
        assert!(total < 200 << 20, "no end to what the program takes in");
    }
    at_server.end_sending();
    let mut read = 0;
    while read + line.len() <= total {
        assert_eq!(client.read_line().len() + 2, line.len());
        read += line.len();
    }
    drop::<Connection>(client);
}
