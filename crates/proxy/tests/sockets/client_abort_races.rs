//! Clients that disconnect at the moment when something else happens to their session, and other coinciding events
//! after which the client must get exactly one final response. Both events occur while the proxy is suspended, in
//! either order, and the proxy finds them together when it resumes.

use crate::harness::{
    accept_health_checks, list_response, wait_for, Connection, FakeServer, ProxyProcess, Settings,
    CHECKS_HEALTH_FIRST, DEFAULT, PUSHED_LIST, TEST_TIMEOUT,
};
use std::time::Duration;

/// Whether the server has received a connection. Fails the test if a request was sent over it.
pub fn got_connection_without_request(server: &FakeServer) -> bool {
    let accepted = server.try_accept();
    accepted.map(|mut connection| assert_eq!(connection.read_line(), "", "{}", server.name)).is_some()
}

/// Waits until the proxy has handled all earlier events: it responds to the health check of a new client after them.
pub fn wait_for_event_loop(proxy: &ProxyProcess) {
    assert_eq!(proxy.connect().send("PING\r\n").read_line(), "PONG");
}

/// Accepts a session's attempt at whichever of the two servers it was sent to. Returns the connection and the other
/// server.
pub fn accept_attempt<'a>(one: &'a FakeServer, two: &'a FakeServer) -> (Connection, &'a FakeServer) {
    let (mut connection, other) = wait_for(TEST_TIMEOUT, || {
        let first = one.try_accept().map(|connection| (connection, two));
        first.or_else(|| two.try_accept().map(|connection| (connection, one)))
    });
    assert!(connection.read_line().starts_with("OPEN"));
    (connection, other)
}

fn disconnect(client: Connection, by_reset: bool) {
    if by_reset {
        client.reset();
    }
}

#[test]
fn no_retry_for_a_client_that_disconnects_as_its_attempt_ends() {
    for (i, outcome) in ["BUSY\r\n", "ERR\r\n", "UP 0123\r\n", "reset", "end"].iter().enumerate() {
        for (client_first, by_reset) in [(true, false), (false, false), (true, true), (false, true)] {
            let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
            let proxy = ProxyProcess::start(DEFAULT, &[&one, &two]);
            let client = proxy.open_session(&format!("lift-{i}"), ",d=3000");
            let (mut upstream, other) = accept_attempt(&one, &two);
            proxy.suspend();
            let mut client = Some(client);
            if client_first {
                client.take().into_iter().for_each(|client| disconnect(client, by_reset));
            }
            let mut upstream = match *outcome {
                "reset" => {
                    upstream.reset();
                    None
                }
                "end" => {
                    upstream.shut_down_write();
                    Some(upstream)
                }
                response => {
                    upstream.send(response);
                    Some(upstream)
                }
            };
            client.take().into_iter().for_each(|client| disconnect(client, by_reset));
            proxy.resume();
            if let Some(upstream) = &mut upstream {
                assert!(["", "reset"].contains(&&*upstream.read_line()), "the attempt is closed");
            }
            wait_for_event_loop(&proxy);
            assert!(
                !got_connection_without_request(other),
                "{outcome:?}, client first: {client_first}, by reset: {by_reset}"
            );
            proxy.shut_down();
        }
    }
}

#[test]
fn no_retry_for_a_client_that_disconnects_as_its_attempt_times_out() {
    let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(DEFAULT, &[&one, &two]);
    let client = proxy.open_session("lift-1", ",d=900");
    let (mut unanswered, other) = accept_attempt(&one, &two);
    proxy.suspend();
    drop(client);
    // Longer than the timeout of the first attempt, and than the request timeout.
    std::thread::sleep(Duration::from_millis(1000));
    proxy.resume();
    assert_eq!(unanswered.read_line(), "");
    wait_for_event_loop(&proxy);
    assert!(!got_connection_without_request(other));
    proxy.shut_down();
}

#[test]
fn a_server_response_received_at_the_deadline_is_the_final_response() {
    for (sent, expected) in [("UP 0123\r\n", "UP 0123"), ("BUSY\r\n", "BUSY"), ("ERR\r\n", "ERR")] {
        let server = FakeServer::new("s1");
        let proxy = ProxyProcess::start(Settings { idempotency: "once", ..DEFAULT }, &[&server]);
        let mut client = proxy.open_session("lift-1", ",d=600");
        let mut upstream = server.accept();
        assert!(upstream.read_line().starts_with("OPEN"));
        proxy.suspend();
        upstream.send(sent);
        std::thread::sleep(Duration::from_millis(700));
        proxy.resume();
        let response = client.read_line();
        assert!(response.starts_with(expected), "{response}");
        if expected != "UP 0123" {
            assert_eq!(client.read_line(), "", "only one final response");
        }
        assert!(!got_connection_without_request(&server));
        drop((client, upstream));
        proxy.shut_down();
    }
}

#[test]
fn no_request_for_a_client_whose_first_line_and_disconnect_are_read_together() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    proxy.suspend();
    for by_reset in [false, true] {
        disconnect(proxy.open_session("lift-1", ",d=3000"), by_reset);
    }
    proxy.resume();
    wait_for_event_loop(&proxy);
    assert!(!got_connection_without_request(&server));
    proxy.shut_down();
}

#[test]
fn no_request_for_a_client_that_disconnects_as_the_first_endpoint_list_arrives() {
    for client_first in [true, false] {
        let server = FakeServer::new("s1");
        let proxy = ProxyProcess::start(PUSHED_LIST, &[&server]);
        let (mut call, _) = proxy.discovery.next_poll();
        let mut client = proxy.open_session("lift-1", ",d=3000");
        assert!(client.is_silent(), "the session waits for the list");
        proxy.suspend();
        let mut client = Some(client);
        if client_first {
            client.take();
        }
        call.send(&list_response(9, true, &[server.endpoint("in_service")]));
        client.take();
        proxy.resume();
        wait_for_event_loop(&proxy);
        // If the proxy reads the list first, it connects to the server, but must not send a request.
        got_connection_without_request(&server);
        proxy.shut_down();
    }
}

#[test]
fn no_request_for_a_client_that_disconnects_as_its_server_connection_is_established() {
    for client_first in [true, false] {
        let (full_server, _filler_client) = FakeServer::with_full_backlog("s1");
        let proxy = ProxyProcess::start(DEFAULT, &[&full_server]);
        let mut client = proxy.open_session("lift-1", ",d=6000");
        assert!(client.is_silent(), "the attempt is still connecting");
        proxy.suspend();
        let mut client = Some(client);
        if client_first {
            client.take();
        }
        let _filler = full_server.accept();
        let mut upstream = full_server.accept();
        client.take();
        proxy.resume();
        assert_eq!(upstream.read_line(), "");
        proxy.shut_down();
    }
}

#[test]
fn no_request_for_a_client_that_disconnects_as_health_checks_are_answered() {
    for client_first in [true, false] {
        let servers = ["s1", "s2", "s3"].map(FakeServer::new);
        let proxy = ProxyProcess::start(CHECKS_HEALTH_FIRST, &servers.each_ref());
        let client = proxy.open_session("lift-1", ",d=20000,g=bank");
        let mut checks = accept_health_checks(&servers);
        proxy.suspend();
        let mut client = Some(client);
        if client_first {
            client.take();
        }
        for check in &mut checks {
            check.send("PONG\r\n");
        }
        client.take();
        proxy.resume();
        checks.iter_mut().for_each(|check| assert_eq!(check.read_line(), ""));
        wait_for_event_loop(&proxy);
        for server in &servers {
            got_connection_without_request(server);
        }
        proxy.shut_down();
    }
}

/// The server has started draining since the health check was sent. Its current state decides, not the one at that
/// time.
#[test]
fn a_health_check_response_from_a_draining_server_gets_it_no_session() {
    for update_first in [true, false] {
        let servers = ["s1", "s2", "s3"].map(FakeServer::new);
        let proxy = ProxyProcess::start(CHECKS_HEALTH_FIRST, &servers.each_ref());
        let (mut watch, _) = proxy.discovery.next_poll();
        let mut client = proxy.open_session("lift-1", ",d=20000,g=bank");
        let mut checks = accept_health_checks(&servers);
        proxy.suspend();
        let update = list_response(8, false, &[servers[1].endpoint("terminating")]);
        if update_first {
            watch.send(&update);
        }
        checks[1].send("PONG\r\n");
        if !update_first {
            watch.send(&update);
        }
        proxy.resume();
        let (mut upstream, _) = accept_attempt(&servers[0], &servers[2]);
        upstream.send("UP 0123\r\n");
        assert_eq!(client.read_line(), "UP 0123", "update first: {update_first}");
        got_connection_without_request(&servers[1]);
    }
}

/// A retry is placed by the current endpoint list, not by the one that the first attempt was placed by.
#[test]
fn a_retry_uses_the_endpoint_update_received_with_the_rejection() {
    for update_first in [true, false] {
        let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
        let proxy = ProxyProcess::start(DEFAULT, &[&one, &two]);
        let (mut watch, _) = proxy.discovery.next_poll();
        let mut client = proxy.open_session("lift-1", ",d=3000");
        let (mut upstream, other) = accept_attempt(&one, &two);
        proxy.suspend();
        let update = list_response(8, false, &[other.endpoint("terminating")]);
        if update_first {
            watch.send(&update);
        }
        upstream.send("BUSY\r\n");
        if !update_first {
            watch.send(&update);
        }
        proxy.resume();
        assert!(client.read_line().starts_with("BUSY"), "no other server is active any more");
        got_connection_without_request(other);
    }
}

/// A server that closed the connection before any byte was written cannot have run the request, so requests of any
/// class may be retried.
#[test]
fn an_attempt_closed_before_its_first_line_was_written_is_safe_to_retry() {
    for by_reset in [true, false] {
        let (full_server, _filler_client) = FakeServer::with_full_backlog("s1");
        let proxy = ProxyProcess::start(
            Settings { idempotency: "once", max_attempts: 1, ..DEFAULT },
            &[&full_server],
        );
        let mut client = proxy.open_session("lift-1", ",d=6000");
        assert!(client.is_silent(), "the attempt is still connecting");
        proxy.suspend();
        let _filler = full_server.accept();
        let upstream = full_server.accept();
        if by_reset {
            upstream.reset();
        } else {
            drop(upstream);
        }
        proxy.resume();
        assert!(client.read_line().starts_with("BUSY"), "by reset: {by_reset}");
    }
}
