//! Peers that break the protocol.

use crate::harness::{wait_for, Connection, FakeServer, ProxyProcess, Settings, DEFAULT, TEST_TIMEOUT};
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn a_malformed_or_overlong_line_closes_only_its_own_connection() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut client, mut upstream) = proxy.establish(&server);
    let good = "OPEN 0123456789abcdef lift-9 c=alarm,d=3000\r\n";
    let bad = [
        "OPEN what\r\n".to_owned(),
        good.replace("c=alarm", "c=alarm2"),
        good.replace("\r\n", "\n"),
        // Hundreds of commands at once, the first of them valid.
        good.repeat(300),
        "PING\r\n".repeat(300),
        // A line without end, much longer than is ever read.
        "x".repeat(60 << 20),
    ];
    for bytes in bad {
        let mut client = proxy.connect();
        assert!(client.is_rejected(bytes.as_bytes()), "{:.60}", bytes);
        assert!(["", "reset"].contains(&&*client.read_line()), "closed at once: {:.60}", bytes);
    }
    let mut half = proxy.connect();
    half.send("OPEN 0123456789abcdef lif").shut_down_write();
    assert_eq!((half.read_line(), half.read_line()), ("ERR".into(), "".into()));
    let (mut other, mut its_upstream) = proxy.establish(&server);
    its_upstream.send(&"y".repeat(5000));
    wait_for(TEST_TIMEOUT, || other.read_line().is_empty().then_some(()));
    client.send("M 1\r\n");
    assert_eq!(upstream.read_line(), "M 1");
    upstream.send("M 1\r\n");
    assert_eq!(client.read_line(), "M 1");
    assert!(server.try_accept().is_none(), "nothing bad was sent on");
    let log = proxy.shut_down();
    assert!(log.contains("malformed first lines 3") && log.contains("data after first line 2"), "{log}");
    assert!(log.lines().count() < 12, "bad peers do not fill the log: {log}");
}

#[test]
fn a_duplicate_request_id_is_refused_while_open_and_after_rejection() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let line = "OPEN 0123456789abcdef lift-1 c=alarm,d=3000\r\n";
    let mut client = proxy.connect();
    client.send(line);
    let mut upstream = server.accept();
    assert!(upstream.read_line().starts_with("OPEN"));
    assert!(proxy.connect().is_rejected(line.as_bytes()), "it waits");
    upstream.send("BUSY\r\n");
    assert!(client.read_line().starts_with("BUSY"), "no other server");
    assert!(proxy.connect().is_rejected(line.as_bytes()), "its client is about to come again");
    assert!(server.try_accept().is_none());
    assert!(proxy.shut_down().contains("duplicate request ids 2"));
}

/// What arrives together with the end of sending is read and answered.
#[test]
fn a_client_that_ends_its_sending_after_a_line_is_answered() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let answers = [("PING\r\n", "PONG"), ("OPEN what\r\n", "ERR"), ("x", "ERR"), ("", "")];
    for (line, response) in answers {
        let mut client = proxy.connect();
        client.send(line).shut_down_write();
        assert_eq!(client.read_line(), response, "{line}");
        assert_eq!(client.read_line(), "");
    }
    proxy.shut_down();
}

#[test]
fn health_checks_are_answered_until_the_first_line_and_no_data_may_follow_it() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let mut client = proxy.connect();
    assert_eq!(client.send("PING\r\n").read_line(), "PONG");
    assert_eq!(client.send("PING\r\n").read_line(), "PONG");
    client.send("OPEN 9b1f03aa5c7e2d41 lift-1 c=alarm,d=3000\r\n");
    let mut upstream = server.accept();
    assert!(upstream.read_line().starts_with("OPEN"));
    assert_eq!(client.send("EARLY\r\n").read_line(), "ERR");
    assert_eq!((client.read_line(), upstream.read_line()), ("".into(), "".into()));
}

#[test]
fn silent_connections_time_out_and_are_evicted_under_descriptor_pressure() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(Settings { max_descriptors: 96, ..DEFAULT }, &[&server]);
    let before = proxy.open_descriptors();
    let began = Instant::now();
    let mut silent: Vec<_> = (0..120).map(|_| proxy.connect()).collect();
    // The first was evicted for the last, and a client that sends its first line is served among them.
    assert_eq!(silent[0].read_line(), "BUSY");
    let _session = proxy.establish(&server);
    assert!(proxy.open_descriptors() <= before + 96 / 4 + 2, "a quarter at most, and the two sessions");
    assert_eq!(silent.last_mut().map(Connection::read_line).as_deref(), Some("ERR"));
    // The answer comes before the descriptor is free, so this is waited for, within the same three seconds.
    let left = Duration::from_secs(3).saturating_sub(began.elapsed());
    // One for discovery, and two for the session.
    wait_for(left, || (proxy.open_descriptors() <= before + 3).then_some(()));
}

/// A connection that has sent a health check is closed after two idle seconds: requests come just before that, together
/// with it, and just after.
#[test]
fn a_request_that_races_an_idle_timeout_gets_a_complete_answer() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    std::thread::spawn(move || {
        let mut served = Vec::new();
        loop {
            served.extend(server.try_accept().map(|mut connection| {
                connection.read_line();
                connection.send("UP 0123\r\n");
                connection
            }));
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    let crosses = |i: u64| {
        let mut client = proxy.connect();
        assert_eq!(client.send("PING\r\n").read_line(), "PONG");
        (client, Instant::now() + Duration::from_millis(1990 + 3 * i), i)
    };
    let mut answers = [0, 0];
    let idle_sessions: Vec<_> = (0..48).map(crosses).collect();
    for (mut client, at, i) in idle_sessions {
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let _ = client.stream.write_all(format!("OPEN 9b1f03bb{i:08x} lift-1 c=alarm,d=3000\r\n").as_bytes());
        match client.read_line().as_str() {
            "UP 0123" => answers[0] += 1,
            "ERR" => answers[1] += 1,
            response => panic!("{response:?} {i}"),
        }
    }
    assert!(answers[0] > 0 && answers[1] > 0, "before and after: {answers:?}");
}

#[test]
fn out_of_descriptors_it_rejects_recovers_and_leaks_none() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(Settings { max_descriptors: 48, ..DEFAULT }, &[&server]);
    let before = proxy.open_descriptors();
    // Two for each session, three reserved for pending connections, one for a health check, and 24.
    let established: Vec<_> = (0..10).map(|_| proxy.establish(&server)).collect();
    let mut one_more = proxy.open_session("lift-9", ",d=3000");
    assert_eq!((one_more.read_line(), one_more.read_line()), ("BUSY".into(), "".into()));
    drop(established);
    wait_for(TEST_TIMEOUT, || (proxy.open_descriptors() <= before).then_some(()));
    let _session = proxy.establish(&server);
    let log = proxy.shut_down();
    assert!(log.contains("rejected for lack of descriptors 1"), "{log}");
}
