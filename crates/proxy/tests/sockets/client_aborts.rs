//! Clients that have left, at each point where a session waits between two turns of the event loop: no attempt starts for
//! them. Ending only the sending side counts as leaving, since it is indistinguishable from a close; a client that still reads
//! gets its final answer.

use crate::client_abort_races::{accept_attempt, wait_for_turn, was_dialled_without_request};
use crate::harness::{
    list_response, read_request, wait_for, Connection, FakeServer, Program, Settings, DEFAULT, PUSHED,
    TEST_TIMEOUT,
};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
enum By {
    Reset,
    Close,
    /// The client ends its sending, and goes on reading.
    HalfClose,
}

const ALL: [By; 3] = [By::Reset, By::Close, By::HalfClose];

impl By {
    /// Has the client leave; gives its connection if it still reads.
    fn apply(self, client: Connection) -> Option<Connection> {
        match self {
            By::Reset => client.reset(),
            By::Close => {}
            By::HalfClose => {
                client.end_sending();
                return Some(client);
            }
        }
        None
    }
}

/// A client that still reads gets a final answer and then the end. It may have ended only its sending, which is
/// indistinguishable from a close.
fn expect_failure_and_end(rest: Option<Connection>) {
    rest.into_iter().for_each(|mut client| {
        assert_eq!((client.read_line(), client.read_line()), ("ERR".into(), "".into()))
    });
}

/// Has both happen in this order, while the program is suspended.
fn both(client_first: bool, client: Connection, by: By, other: impl FnOnce()) -> Option<Connection> {
    if client_first {
        let rest = by.apply(client);
        other();
        return rest;
    }
    other();
    by.apply(client)
}

/// Unread lines of the client must not turn the close behind its final answer into a reset.
#[test]
fn a_final_answer_is_followed_by_fin_not_reset_after_excess_client_data() {
    let more = "M 1\r\n".repeat(8000);
    let server = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&server]);
    let mut asking = program.open_session("lift-1", ",d=3000");
    let mut at_server = server.accept();
    assert!(at_server.read_line().starts_with("OPEN"));
    program.suspend();
    let mut bad = program.connect();
    bad.send("NONSENSE\r\n").send(&more);
    asking.send(&more);
    program.resume();
    for client in [&mut bad, &mut asking] {
        assert_eq!((client.read_line(), client.read_line()), ("ERR".into(), "".into()));
    }
    wait_for_turn(&program);
    for client in [&bad, &asking] {
        assert!(client.stream.take_error().unwrap().is_none(), "a reset came behind the end");
    }
    assert_eq!(at_server.read_line(), "");
    program.shut_down();
}

/// Settings by which servers are health-checked before an attempt.
const ASKS_FIRST: Settings =
    Settings { probes: true, tells_delay: true, aim_ms: 5000, quota: "1", ..DEFAULT };

fn asked_for_a_sign(servers: &[FakeServer; 3]) -> [Connection; 3] {
    let mut checks = servers.each_ref().map(FakeServer::accept);
    checks.iter_mut().for_each(|check| assert_eq!(check.read_line(), "PING"));
    checks
}

/// Both the answer to the health check and the client's end wait to be read.
#[test]
fn no_attempt_for_a_client_that_left_before_its_health_check_answer() {
    for (by, client_first) in ALL.into_iter().flat_map(|by| [(by, true), (by, false)]) {
        let servers = ["s1", "s2", "s3"].map(FakeServer::new);
        let program = Program::start(ASKS_FIRST, &servers.each_ref());
        let client = program.open_session("lift-1", ",d=20000,g=bank");
        let mut checks = asked_for_a_sign(&servers);
        program.suspend();
        let rest = both(client_first, client, by, || checks.iter_mut().for_each(|s| _ = s.send("PONG\r\n")));
        program.resume();
        checks.iter_mut().for_each(|check| assert_eq!(check.read_line(), ""));
        expect_failure_and_end(rest);
        wait_for_turn(&program);
        assert!(!servers.iter().any(was_dialled_without_request), "{by:?}, client first: {client_first}");
        program.shut_down();
    }
}

/// The health check times out while the program is suspended.
#[test]
fn no_attempt_for_a_client_that_left_before_its_health_check_timeout() {
    for by in ALL {
        let servers = ["s1", "s2", "s3"].map(FakeServer::new);
        let program = Program::start(Settings { aim_ms: 300, ..ASKS_FIRST }, &servers.each_ref());
        let client = program.open_session("lift-1", ",d=20000,g=bank");
        let _signs = asked_for_a_sign(&servers);
        program.suspend();
        let rest = by.apply(client);
        std::thread::sleep(Duration::from_millis(400));
        program.resume();
        expect_failure_and_end(rest);
        wait_for_turn(&program);
        assert!(!servers.iter().any(was_dialled_without_request), "{by:?}");
        program.shut_down();
    }
}

/// Both the first endpoint list and the client's end wait to be read.
#[test]
fn no_attempt_for_a_client_that_left_before_the_first_endpoint_list() {
    for (by, client_first) in ALL.into_iter().flat_map(|by| [(by, true), (by, false)]) {
        let server = FakeServer::new("s1");
        let program = Program::start(PUSHED, &[&server]);
        let (mut call, _) = program.discovery.next_poll();
        let mut client = program.open_session("lift-1", ",d=3000");
        assert!(client.is_silent(), "it waits for the list");
        program.suspend();
        let update = list_response(9, true, &[server.endpoint("in_service")]);
        let rest = both(client_first, client, by, || _ = call.send(&update));
        program.resume();
        read_request(&mut call);
        expect_failure_and_end(rest);
        wait_for_turn(&program);
        assert!(!was_dialled_without_request(&server), "{by:?}, client first: {client_first}");
        program.shut_down();
    }
}

/// Half of the client's request timeout, which it may wait for a list, passes while the program is suspended.
#[test]
fn no_attempt_for_a_client_that_left_before_its_list_wait_ended() {
    for by in ALL {
        let server = FakeServer::new("s1");
        let program = Program::start(PUSHED, &[&server]);
        let _call = program.discovery.next_poll();
        let mut client = program.open_session("lift-1", ",d=600");
        assert!(client.is_silent(), "it waits for the list");
        program.suspend();
        let rest = by.apply(client);
        std::thread::sleep(Duration::from_millis(400));
        program.resume();
        expect_failure_and_end(rest);
        let mut other = program.open_session("lift-2", ",d=3000");
        let (_at_server, line) = server.accept_session();
        assert!(line.contains(" lift-2 "), "{by:?}: {line}");
        assert_eq!(other.read_line(), "UP 0123");
        assert!(!was_dialled_without_request(&server), "{by:?}");
        drop(other);
        program.shut_down();
    }
}

/// Both the list that names the session's server and the client's end wait to be read.
#[test]
fn no_attempt_for_a_restored_session_whose_client_left() {
    for (by, client_first) in ALL.into_iter().flat_map(|by| [(by, true), (by, false)]) {
        let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
        let program = Program::start(DEFAULT, &[&one]);
        let (mut watch, _) = program.discovery.next_poll();
        let mut client = program.open_session("lift-1", ",d=3000,at=s2");
        assert!(client.is_silent(), "it waits for the list to name its server");
        program.suspend();
        let update = list_response(8, false, &[two.endpoint("in_service")]);
        let rest = both(client_first, client, by, || _ = watch.send(&update));
        program.resume();
        read_request(&mut watch);
        expect_failure_and_end(rest);
        wait_for_turn(&program);
        assert!(!was_dialled_without_request(&two), "{by:?}, client first: {client_first}");
        program.shut_down();
    }
}

#[test]
fn a_pending_connect_is_closed_when_its_client_leaves() {
    for by in ALL {
        let (full, _first) = FakeServer::with_full_backlog("s1");
        let program = Program::start(DEFAULT, &[&full]);
        let _watch = program.discovery.next_poll();
        let before = program.descriptors();
        let mut client = program.open_session("lift-1", ",d=6000");
        wait_for(TEST_TIMEOUT, || (program.descriptors() == before + 2).then_some(()));
        assert!(client.is_silent(), "its attempt is on the way");
        let rest = by.apply(client);
        wait_for(TEST_TIMEOUT, || (program.descriptors() == before).then_some(()));
        expect_failure_and_end(rest);
        program.shut_down();
    }
}

#[test]
fn no_retry_for_a_client_that_left_before_the_first_attempt_ended() {
    let refused = |mut at_server: Connection| _ = at_server.send("BUSY\r\n");
    let ended = |at_server: Connection| at_server.end_sending();
    let reset = |at_server: Connection| at_server.reset();
    for (by, client_first) in ALL.into_iter().flat_map(|by| [(by, true), (by, false)]) {
        for end in [refused as fn(Connection), ended, reset] {
            let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
            let program = Program::start(DEFAULT, &[&one, &two]);
            let client = program.open_session("lift-1", ",d=3000");
            let (at_server, other) = accept_attempt(&one, &two);
            program.suspend();
            let rest = both(client_first, client, by, || end(at_server));
            program.resume();
            expect_failure_and_end(rest);
            wait_for_turn(&program);
            assert!(!was_dialled_without_request(other), "{by:?}, client first: {client_first}");
            program.shut_down();
        }
    }
}

#[test]
fn no_attempt_for_a_client_that_ends_its_sending_after_its_first_line() {
    for by in ALL {
        let server = FakeServer::new("s1");
        let program = Program::start(DEFAULT, &[&server]);
        program.suspend();
        let rest = by.apply(program.open_session("lift-1", ",d=3000"));
        program.resume();
        expect_failure_and_end(rest);
        wait_for_turn(&program);
        assert!(!was_dialled_without_request(&server), "{by:?}");
        program.shut_down();
    }
}
