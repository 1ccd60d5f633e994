//! Clients that leave just as something else happens to their session, and one final answer where several events coincide.
//! Both events wait while the program is suspended, in either order, and are found together when it resumes.

use crate::harness::{
    list_response, wait_for, Connection, FakeServer, Program, Settings, DEFAULT, PUSHED, TEST_TIMEOUT,
};
use std::time::Duration;

/// Whether the server was dialled; if it was, it must not have received a request.
pub fn was_dialled_without_request(server: &FakeServer) -> bool {
    let connected = server.try_accept();
    connected.map(|mut connection| assert_eq!(connection.read_line(), "", "{}", server.name)).is_some()
}

/// Returns once the program has handled all that came before: it answers a new client's health check after that.
pub fn wait_for_turn(program: &Program) {
    assert_eq!(program.connect().send("PING\r\n").read_line(), "PONG");
}

/// Accepts a session's attempt at whichever of two servers it came to: its connection, and the other server.
pub fn accept_attempt<'a>(one: &'a FakeServer, two: &'a FakeServer) -> (Connection, &'a FakeServer) {
    let (mut connection, other) = wait_for(TEST_TIMEOUT, || {
        let first = one.try_accept().map(|connection| (connection, two));
        first.or_else(|| two.try_accept().map(|connection| (connection, one)))
    });
    assert!(connection.read_line().starts_with("OPEN"));
    (connection, other)
}

fn leave(client: Connection, by_reset: bool) {
    if by_reset {
        client.reset();
    }
}

#[test]
fn no_retry_for_a_client_that_leaves_as_its_attempt_ends() {
    for (i, word) in ["BUSY\r\n", "ERR\r\n", "UP 0123\r\n", "reset", "end"].iter().enumerate() {
        for (client_first, by_reset) in [(true, false), (false, false), (true, true), (false, true)] {
            let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
            let program = Program::start(DEFAULT, &[&one, &two]);
            let client = program.open_session(&format!("lift-{i}"), ",d=3000");
            let (mut at_server, other) = accept_attempt(&one, &two);
            program.suspend();
            let mut client = Some(client);
            if client_first {
                client.take().into_iter().for_each(|client| leave(client, by_reset));
            }
            let mut at_server = match *word {
                "reset" => {
                    at_server.reset();
                    None
                }
                "end" => {
                    at_server.end_sending();
                    Some(at_server)
                }
                word => {
                    at_server.send(word);
                    Some(at_server)
                }
            };
            client.take().into_iter().for_each(|client| leave(client, by_reset));
            program.resume();
            if let Some(server) = &mut at_server {
                assert!(["", "reset"].contains(&&*server.read_line()), "its attempt is closed");
            }
            wait_for_turn(&program);
            assert!(
                !was_dialled_without_request(other),
                "{word:?}, client first: {client_first}, by reset: {by_reset}"
            );
            program.shut_down();
        }
    }
}

#[test]
fn no_retry_for_a_client_that_leaves_as_its_attempt_times_out() {
    let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let program = Program::start(DEFAULT, &[&one, &two]);
    let client = program.open_session("lift-1", ",d=900");
    let (mut silent, other) = accept_attempt(&one, &two);
    program.suspend();
    drop(client);
    // Past the timeout of the first attempt, and of all of them.
    std::thread::sleep(Duration::from_millis(1000));
    program.resume();
    assert_eq!(silent.read_line(), "");
    wait_for_turn(&program);
    assert!(!was_dialled_without_request(other));
    program.shut_down();
}

#[test]
fn a_server_answer_received_at_the_deadline_is_the_final_answer() {
    for (word, heard) in [("UP 0123\r\n", "UP 0123"), ("BUSY\r\n", "BUSY"), ("ERR\r\n", "ERR")] {
        let server = FakeServer::new("s1");
        let program = Program::start(Settings { effect: "once", ..DEFAULT }, &[&server]);
        let mut client = program.open_session("lift-1", ",d=600");
        let mut at_server = server.accept();
        assert!(at_server.read_line().starts_with("OPEN"));
        program.suspend();
        at_server.send(word);
        std::thread::sleep(Duration::from_millis(700));
        program.resume();
        let answer = client.read_line();
        assert!(answer.starts_with(heard), "{answer}");
        if heard != "UP 0123" {
            assert_eq!(client.read_line(), "", "one final answer");
        }
        assert!(!was_dialled_without_request(&server));
        drop((client, at_server));
        program.shut_down();
    }
}

#[test]
fn no_request_for_a_client_whose_first_line_and_end_are_read_together() {
    let server = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&server]);
    program.suspend();
    for by_reset in [false, true] {
        leave(program.open_session("lift-1", ",d=3000"), by_reset);
    }
    program.resume();
    wait_for_turn(&program);
    assert!(!was_dialled_without_request(&server));
    program.shut_down();
}

#[test]
fn no_request_for_a_client_that_leaves_as_the_first_endpoint_list_arrives() {
    for client_first in [true, false] {
        let server = FakeServer::new("s1");
        let program = Program::start(PUSHED, &[&server]);
        let (mut call, _) = program.discovery.next_poll();
        let mut client = program.open_session("lift-1", ",d=3000");
        assert!(client.is_silent(), "it waits for the list");
        program.suspend();
        let mut client = Some(client);
        if client_first {
            client.take();
        }
        call.send(&list_response(9, true, &[server.endpoint("in_service")]));
        client.take();
        program.resume();
        wait_for_turn(&program);
        // The list may be received first: then the server is dialled, and sent nothing.
        was_dialled_without_request(&server);
        program.shut_down();
    }
}

#[test]
fn no_request_for_a_client_that_leaves_as_its_connection_comes_up() {
    for client_first in [true, false] {
        let (full, _first) = FakeServer::with_full_backlog("s1");
        let program = Program::start(DEFAULT, &[&full]);
        let mut client = program.open_session("lift-1", ",d=6000");
        assert!(client.is_silent(), "its attempt is on the way");
        program.suspend();
        let mut client = Some(client);
        if client_first {
            client.take();
        }
        let _held = full.accept();
        let mut late = full.accept();
        client.take();
        program.resume();
        assert_eq!(late.read_line(), "");
        program.shut_down();
    }
}

#[test]
fn no_request_for_a_client_that_leaves_as_health_checks_are_answered() {
    for client_first in [true, false] {
        let servers = ["s1", "s2", "s3"].map(FakeServer::new);
        let settings = Settings { probes: true, tells_delay: true, aim_ms: 5000, quota: "1", ..DEFAULT };
        let program = Program::start(settings, &servers.each_ref());
        let client = program.open_session("lift-1", ",d=20000,g=bank");
        let mut checks = servers.each_ref().map(FakeServer::accept);
        checks.iter_mut().for_each(|check| assert_eq!(check.read_line(), "PING"));
        program.suspend();
        let mut client = Some(client);
        if client_first {
            client.take();
        }
        for check in &mut checks {
            check.send("PONG\r\n");
        }
        client.take();
        program.resume();
        checks.iter_mut().for_each(|check| assert_eq!(check.read_line(), ""));
        wait_for_turn(&program);
        for server in &servers {
            was_dialled_without_request(server);
        }
        program.shut_down();
    }
}

/// The server has started draining since the health check was sent: its state as of now decides.
#[test]
fn a_health_check_answer_from_a_draining_server_gets_it_no_session() {
    for update_first in [true, false] {
        let servers = ["s1", "s2", "s3"].map(FakeServer::new);
        let settings = Settings { probes: true, tells_delay: true, aim_ms: 5000, quota: "1", ..DEFAULT };
        let program = Program::start(settings, &servers.each_ref());
        let (mut watch, _) = program.discovery.next_poll();
        let mut client = program.open_session("lift-1", ",d=20000,g=bank");
        let mut checks = servers.each_ref().map(FakeServer::accept);
        checks.iter_mut().for_each(|check| assert_eq!(check.read_line(), "PING"));
        program.suspend();
        let update = list_response(8, false, &[servers[1].endpoint("terminating")]);
        if update_first {
            watch.send(&update);
        }
        checks[1].send("PONG\r\n");
        if !update_first {
            watch.send(&update);
        }
        program.resume();
        let (mut at_server, _) = accept_attempt(&servers[0], &servers[2]);
        at_server.send("UP 0123\r\n");
        assert_eq!(client.read_line(), "UP 0123", "update first: {update_first}");
        was_dialled_without_request(&servers[1]);
    }
}

/// A retry goes by the endpoint list as of now, not by the one that the first attempt was balanced by.
#[test]
fn a_retry_uses_the_endpoint_update_received_with_the_rejection() {
    for update_first in [true, false] {
        let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
        let program = Program::start(DEFAULT, &[&one, &two]);
        let (mut watch, _) = program.discovery.next_poll();
        let mut client = program.open_session("lift-1", ",d=3000");
        let (mut at_server, other) = accept_attempt(&one, &two);
        program.suspend();
        let update = list_response(8, false, &[other.endpoint("terminating")]);
        if update_first {
            watch.send(&update);
        }
        at_server.send("BUSY\r\n");
        if !update_first {
            watch.send(&update);
        }
        program.resume();
        assert!(client.read_line().starts_with("BUSY"), "there is no other server now");
        was_dialled_without_request(other);
    }
}

/// Nothing can have run on a server that closed the connection before a byte was written, so any class may be retried.
#[test]
fn an_attempt_closed_before_its_first_line_was_written_is_safe_to_retry() {
    for by_reset in [true, false] {
        let (full, _first) = FakeServer::with_full_backlog("s1");
        let program = Program::start(Settings { effect: "once", attempts: 1, ..DEFAULT }, &[&full]);
        let mut client = program.open_session("lift-1", ",d=6000");
        assert!(client.is_silent(), "its attempt is on the way");
        program.suspend();
        let _held = full.accept();
        let late = full.accept();
        if by_reset {
            late.reset();
        } else {
            drop(late);
        }
        program.resume();
        assert!(client.read_line().starts_with("BUSY"), "by reset: {by_reset}");
    }
}
