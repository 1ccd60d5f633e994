//! Idle sessions cost nothing with each tick; sessions that wait for something are visited.

use crate::harness::{wait_for, FakeServer, ProxyProcess, DEFAULT, TEST_TIMEOUT};

/// The value of a counter in the log; a counter that is left out is zero.
fn counted(log: &str, what: &str) -> usize {
    let after = log.split(&format!("{what} ")).nth(1);
    after.and_then(|rest| rest.split([',', ';']).next()).map_or(0, |n| n.parse().expect("a number"))
}

/// A walk over all sessions with each tick would cost more than all their lines do.
#[test]
fn ticks_do_not_visit_idle_sessions() {
    const SESSIONS: usize = 40;
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let established: Vec<_> = (0..SESSIONS).map(|_| proxy.establish(&server)).collect();
    // This connection times out by a tick two seconds later: some twenty ticks have passed by then.
    assert_eq!(proxy.connect().read_line(), "ERR");
    for (client, mut upstream) in established {
        drop(client);
        assert_eq!(upstream.read_line(), "");
    }
    let log = proxy.shut_down();
    let visited = counted(&log, "session checks");
    assert!(counted(&log, "sessions established") == SESSIONS && visited < SESSIONS, "{log}");
}

/// A session that is to migrate, and whose server never ends the line that it has begun.
#[test]
fn a_migrating_session_is_visited_among_many_idle_ones() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let idle_sessions: Vec<_> = (0..8).map(|_| proxy.establish(&server)).collect();
    let (mut client, mut upstream) = proxy.establish(&server);
    upstream.send("NEWS t");
    client.send("M 1\r\n");
    assert_eq!(upstream.read_line(), "M 1");
    // Nothing comes back within three seconds: the session is to migrate, and 0.8 s later the line is given up.
    assert_eq!(client.read_line(), "", "the piece of a line, and the end");
    drop((idle_sessions, client, upstream));
    let log = proxy.shut_down();
    assert_eq!(counted(&log, "migrated inside a line"), 1, "{log}");
}

/// A session that its server has ended, and whose client never ends its own side.
#[test]
fn a_closing_session_is_visited_until_its_descriptors_are_free() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let _resting = proxy.establish(&server);
    let before = proxy.open_descriptors();
    let (mut client, upstream) = proxy.establish(&server);
    upstream.shut_down_write();
    assert_eq!(client.read_line(), "");
    // One descriptor for discovery may have been opened meanwhile.
    wait_for(TEST_TIMEOUT, || (proxy.open_descriptors() <= before + 1).then_some(()));
    drop((client, upstream));
    proxy.shut_down();
}

/// The set of recent request ids is bounded, but an open one is refused as long as its session lasts: servers answer a
/// duplicate with an error, which would count against their health.
#[test]
fn an_open_request_id_is_refused_however_many_came_since() {
    const SINCE: usize = 4200;
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let opens = || {
        let mut client = proxy.connect();
        client.send("OPEN 9b1f03ab00000001 lift-1 c=alarm,d=3000\r\n");
        client
    };
    let mut idle_sessions = opens();
    let (_its_upstream, _) = server.accept_session();
    assert_eq!(idle_sessions.read_line(), "UP 0123");
    // The server accepts no more, so that every client is answered at once.
    drop(server);
    for _ in 0..SINCE {
        proxy.open_session("lift-2", ",d=3000").read_line();
    }
    assert_eq!(opens().read_line(), "ERR");
    let log = proxy.shut_down();
    assert_eq!(counted(&log, "duplicate request ids"), 1, "{log}");
}
