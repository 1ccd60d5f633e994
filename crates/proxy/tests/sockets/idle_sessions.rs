//! Ticks check only the sessions that wait for something, and cost nothing for idle sessions.

use crate::harness::{wait_for, FakeServer, ProxyProcess, DEFAULT, TEST_TIMEOUT};

/// The value of a counter in the log; 0 if the counter is not logged.
fn count(log: &str, counter: &str) -> usize {
    let after = log.split(&format!("{counter} ")).nth(1);
    after.and_then(|rest| rest.split([',', ';']).next()).map_or(0, |n| n.parse().expect("a number"))
}

/// If each tick checked all sessions, that would cost more than forwarding their lines.
#[test]
fn ticks_do_not_check_idle_sessions() {
    const SESSIONS: usize = 40;
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let established: Vec<_> = (0..SESSIONS).map(|_| proxy.establish(&server)).collect();
    // A tick closes this connection two seconds later; about twenty ticks have passed by then.
    assert_eq!(proxy.connect().read_line(), "ERR");
    for (client, mut upstream) in established {
        drop(client);
        assert_eq!(upstream.read_line(), "");
    }
    let log = proxy.shut_down();
    let checks = count(&log, "session checks");
    assert!(count(&log, "sessions established") == SESSIONS && checks < SESSIONS, "{log}");
}

/// The session is to be migrated, but its server never completes the line that it has started.
#[test]
fn a_migrating_session_is_checked_among_many_idle_ones() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let idle_sessions: Vec<_> = (0..8).map(|_| proxy.establish(&server)).collect();
    let (mut client, mut upstream) = proxy.establish(&server);
    upstream.send("NEWS t");
    client.send("M 1\r\n");
    assert_eq!(upstream.read_line(), "M 1");
    // The server does not respond within three seconds, so the session is to be migrated. After 0.8 s the proxy stops
    // waiting for the end of the line.
    assert_eq!(client.read_line(), "", "the incomplete line, then the close");
    drop((idle_sessions, client, upstream));
    let log = proxy.shut_down();
    assert_eq!(count(&log, "migrated inside a line"), 1, "{log}");
}

/// The server has closed the session, but the client never closes its own direction.
#[test]
fn a_closing_session_is_checked_until_its_descriptors_are_free() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let _idle_session = proxy.establish(&server);
    let before = proxy.open_descriptors();
    let (mut client, upstream) = proxy.establish(&server);
    upstream.shut_down_write();
    assert_eq!(client.read_line(), "");
    // The proxy may have opened a descriptor for discovery meanwhile.
    wait_for(TEST_TIMEOUT, || (proxy.open_descriptors() <= before + 1).then_some(()));
    drop((client, upstream));
    proxy.shut_down();
}

/// The set of recent request ids is bounded, but the id of an open session is rejected as long as the session lasts:
/// servers respond to a duplicate with an error, which would count against their health.
#[test]
fn the_request_id_of_an_open_session_is_rejected_after_many_other_ids() {
    const OTHER_IDS: usize = 4200;
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let open_same_id = || {
        let mut client = proxy.connect();
        client.send("OPEN 9b1f03ab00000001 lift-1 c=alarm,d=3000\r\n");
        client
    };
    let mut idle = open_same_id();
    let (_its_upstream, _) = server.accept_session();
    assert_eq!(idle.read_line(), "UP 0123");
    // The server accepts no more connections, so every client gets a response at once.
    drop(server);
    for _ in 0..OTHER_IDS {
        proxy.open_session("lift-2", ",d=3000").read_line();
    }
    assert_eq!(open_same_id().read_line(), "ERR");
    let log = proxy.shut_down();
    assert_eq!(count(&log, "duplicate request ids"), 1, "{log}");
}
