//! Two events between two turns of the event loop, in either order: both occur while the proxy is suspended, and the
//! proxy finds them together when it resumes.

use crate::harness::{list_response, read_request, FakeServer, ProxyProcess, Settings, DEFAULT};
use rustix::process::Signal;
use std::time::Duration;

/// The proxy has not read the endpoint update yet when it could write the first byte of the request.
#[test]
fn no_request_is_sent_to_a_server_that_starts_draining_as_its_connection_is_established() {
    for update_first in [true, false] {
        let (full_server, _filler_client) = FakeServer::with_full_backlog("s1");
        let proxy = ProxyProcess::start(DEFAULT, &[&full_server]);
        let (mut watch, _) = proxy.discovery.next_poll();
        let mut client = proxy.open_session("lift-1", ",d=6000");
        assert!(client.is_silent(), "the attempt is still connecting");
        proxy.suspend();
        let mut send_update = || {
            watch.send(&list_response(8, false, &[full_server.endpoint("terminating")]));
        };
        if update_first {
            send_update();
        }
        // The system retries the connection on its own.
        let _filler = full_server.accept();
        let mut upstream = full_server.accept();
        if !update_first {
            send_update();
        }
        proxy.resume();
        assert_eq!(upstream.read_line(), "", "update first: {update_first}");
        assert!(
            client.read_line().starts_with("BUSY "),
            "the request was never sent, so the client may retry it"
        );
    }
}

/// Guards against requests to a cold server beyond what it can handle: the server is selected as a warm one, and restarts
/// while the connection to it is being established.
#[test]
fn no_request_is_sent_to_a_server_that_restarts_while_its_connection_is_being_established() {
    let (full_server, _filler_client) = FakeServer::with_full_backlog("s1");
    let settings = Settings { slow_start_ms: 60_000, ..DEFAULT };
    let proxy = ProxyProcess::start(settings, &[&full_server]);
    let (mut watch, _) = proxy.discovery.next_poll();
    let mut client = proxy.open_session("lift-1", ",d=6000");
    assert!(client.is_silent(), "the attempt is still connecting");
    watch.send(&list_response(8, false, &[full_server.endpoint_just_started()]));
    assert!(read_request(&mut watch).contains("index=8"));
    let _filler = full_server.accept();
    let mut upstream = full_server.accept();
    assert_eq!(upstream.read_line(), "");
    assert!(
        client.read_line().starts_with("BUSY "),
        "the request was never sent, so the client may retry it"
    );
}

/// Servers recognize repeated requests only within the idempotency window, and connecting may take longer than that.
#[test]
fn no_retry_is_sent_after_the_idempotency_window_has_passed_while_connecting() {
    let first = FakeServer::new("s1");
    let (full_server, _filler_client) = FakeServer::with_full_backlog("s2");
    let proxy = ProxyProcess::start(
        Settings { idempotency: "by_key", idempotency_window_ms: 700, ..DEFAULT },
        &[&first],
    );
    let (mut watch, _) = proxy.discovery.next_poll();
    let mut client = proxy.open_session("lift-1", ",d=6000");
    let mut first_upstream = first.accept();
    assert!(first_upstream.read_line().starts_with("OPEN"));
    watch.send(&list_response(8, false, &[full_server.endpoint("in_service")]));
    assert!(read_request(&mut watch).contains("index=8"));
    first_upstream.reset();
    assert!(client.is_silent(), "the second attempt is still connecting");
    std::thread::sleep(Duration::from_millis(800));
    let _filler = full_server.accept();
    let mut upstream = full_server.accept();
    assert_eq!(
        upstream.read_line(),
        "",
        "the first attempt may have run, and the second would not be recognized as a repeat"
    );
    let response = client.read_line();
    assert!(response == "ERR" || response.starts_with("BUSY"), "{response}");
}

/// A server that the update reports as draining is not even connected to.
#[test]
fn a_session_that_arrives_with_an_endpoint_update_is_placed_by_the_update() {
    for update_first in [true, false] {
        let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
        let proxy = ProxyProcess::start(DEFAULT, &[&old]);
        let (mut watch, _) = proxy.discovery.next_poll();
        proxy.suspend();
        let mut send_update = || {
            watch.send(&list_response(8, false, &[old.endpoint("terminating"), new.endpoint("in_service")]));
        };
        if update_first {
            send_update();
        }
        let mut client = proxy.open_session("lift-1", ",d=3000");
        if !update_first {
            send_update();
        }
        proxy.resume();
        let _server = new.accept_session();
        assert_eq!(client.read_line(), "UP 0123");
        assert!(old.try_accept().is_none(), "update first: {update_first}");
    }
}

/// The proxy reads what the previous discovery service wrote before the reload, and only then closes its connection.
#[test]
fn an_update_written_before_a_discovery_change_is_applied() {
    for update_first in [true, false] {
        let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
        let proxy = ProxyProcess::start(DEFAULT, &[&old]);
        let (mut watch, _) = proxy.discovery.next_poll();
        let next = FakeServer::new("discovery");
        proxy.suspend();
        let mut send_update = || {
            watch.send(&list_response(8, false, &[old.endpoint("terminating"), new.endpoint("in_service")]));
        };
        if update_first {
            send_update();
        }
        proxy.reload(&proxy.startup_file_with_discovery(&next));
        if !update_first {
            send_update();
        }
        proxy.resume();
        // The new discovery service has been polled and has not responded yet.
        let _call = next.next_poll();
        let mut client = proxy.open_session("lift-1", ",d=3000");
        let _server = new.accept_session();
        assert_eq!(client.read_line(), "UP 0123", "update first: {update_first}");
        assert!(old.try_accept().is_none());
        proxy.signal(Signal::TERM);
    }
}

/// The server that is listed again under the same id is another process at another address.
#[test]
fn a_server_relisted_under_its_id_gets_no_request_over_an_earlier_connection() {
    let (full_server, _filler_client) = FakeServer::with_full_backlog("s1");
    let relisted = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&full_server]);
    let (mut watch, _) = proxy.discovery.next_poll();
    let mut client = proxy.open_session("lift-1", ",d=6000");
    assert!(client.is_silent(), "the attempt is still connecting");
    watch.send(&list_response(8, false, &[full_server.endpoint("terminated")]));
    assert!(read_request(&mut watch).contains("index=8"));
    watch.send(&list_response(9, false, &[relisted.endpoint("in_service")]));
    assert!(read_request(&mut watch).contains("index=9"));
    let _filler = full_server.accept();
    let mut upstream = full_server.accept();
    assert_eq!(upstream.read_line(), "");
    // The request was not sent, so it may be sent to the server that is listed now.
    let _server = relisted.accept_session();
    assert_eq!(client.read_line(), "UP 0123");
}

/// The server's response, in one case with the client's disconnect, has not been read yet when the shutdown deadline
/// has passed.
#[test]
fn a_server_response_received_at_the_shutdown_deadline_is_the_final_response() {
    for client_disconnects in [false, true] {
        let server = FakeServer::new("s1");
        let mut proxy = ProxyProcess::start(DEFAULT, &[&server]);
        let mut client = proxy.open_session("lift-1", ",d=30000");
        let mut upstream = server.accept();
        assert!(upstream.read_line().starts_with("OPEN"));
        proxy.terminate();
        while !proxy.next_log_line().contains("shutdown requested") {}
        proxy.suspend();
        // Longer than the time after which all waiting sessions get a response.
        std::thread::sleep(Duration::from_millis(3300));
        upstream.send("UP 0123\r\n");
        if client_disconnects {
            drop(client);
        } else {
            proxy.resume();
            assert_eq!(client.read_line(), "UP 0123");
            continue;
        }
        proxy.resume();
        assert!(["", "reset"].contains(&&*upstream.read_line()));
        assert_eq!(proxy.wait_for_exit().0, Some(0));
    }
}
