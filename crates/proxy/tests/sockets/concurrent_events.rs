//! Two events between two turns of the event loop, in either order: both wait while the program is suspended, and are found
//! together when it resumes.

use crate::harness::{list_response, read_request, FakeServer, Program, Settings, DEFAULT};
use rustix::process::Signal;
use std::time::Duration;

/// The update is unread when the first byte could be written.
#[test]
fn no_request_is_sent_to_a_server_that_starts_draining_as_its_connection_comes_up() {
    for update_first in [true, false] {
        let (full, _first) = FakeServer::with_full_backlog("s1");
        let program = Program::start(DEFAULT, &[&full]);
        let (mut watch, _) = program.discovery.next_poll();
        let mut client = program.open_session("lift-1", ",d=6000");
        assert!(client.is_silent(), "its attempt is on the way");
        program.suspend();
        let mut tell = || {
            watch.send(&list_response(8, false, &[full.endpoint("terminating")]));
        };
        if update_first {
            tell();
        }
        // The system retries the connection by itself.
        let _held = full.accept();
        let mut late = full.accept();
        if !update_first {
            tell();
        }
        program.resume();
        assert_eq!(late.read_line(), "", "update first: {update_first}");
        assert!(client.read_line().starts_with("BUSY "), "never sent, so another try is harmless");
    }
}

/// Servers drop repeats within a window only, and connecting may outlast it.
#[test]
fn no_retry_is_sent_after_the_idempotency_window_has_passed_while_connecting() {
    let first = FakeServer::new("s1");
    let (full, _first) = FakeServer::with_full_backlog("s2");
    let program = Program::start(Settings { effect: "by_key", window_ms: 700, ..DEFAULT }, &[&first]);
    let (mut watch, _) = program.discovery.next_poll();
    let mut client = program.open_session("lift-1", ",d=6000");
    let mut at_first = first.accept();
    assert!(at_first.read_line().starts_with("OPEN"));
    watch.send(&list_response(8, false, &[full.endpoint("in_service")]));
    assert!(read_request(&mut watch).contains("index=8"));
    at_first.reset();
    assert!(client.is_silent(), "its second attempt is on the way");
    std::thread::sleep(Duration::from_millis(800));
    let _held = full.accept();
    let mut late = full.accept();
    assert_eq!(late.read_line(), "", "the first may have run, and is forgotten by now");
    let answer = client.read_line();
    assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
}

/// A server that is draining by now is not even dialled.
#[test]
fn a_session_that_arrives_with_an_endpoint_update_is_balanced_by_the_update() {
    for update_first in [true, false] {
        let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
        let program = Program::start(DEFAULT, &[&old]);
        let (mut watch, _) = program.discovery.next_poll();
        program.suspend();
        let mut tell = || {
            watch.send(&list_response(8, false, &[old.endpoint("terminating"), new.endpoint("in_service")]));
        };
        if update_first {
            tell();
        }
        let mut client = program.open_session("lift-1", ",d=3000");
        if !update_first {
            tell();
        }
        program.resume();
        let _server = new.accept_session();
        assert_eq!(client.read_line(), "UP 0123");
        assert!(old.try_accept().is_none(), "update first: {update_first}");
    }
}

/// What the previous discovery has written before the reload is read before its connection is dropped.
#[test]
fn an_update_written_before_a_discovery_change_is_applied() {
    for update_first in [true, false] {
        let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
        let program = Program::start(DEFAULT, &[&old]);
        let (mut watch, _) = program.discovery.next_poll();
        let next = FakeServer::new("discovery");
        program.suspend();
        let mut tell = || {
            watch.send(&list_response(8, false, &[old.endpoint("terminating"), new.endpoint("in_service")]));
        };
        if update_first {
            tell();
        }
        program.reload(&program.start_file_with(&next));
        if !update_first {
            tell();
        }
        program.resume();
        // The new discovery has been polled, and takes its time to answer.
        let _call = next.next_poll();
        let mut client = program.open_session("lift-1", ",d=3000");
        let _server = new.accept_session();
        assert_eq!(client.read_line(), "UP 0123", "update first: {update_first}");
        assert!(old.try_accept().is_none());
        program.signal(Signal::TERM);
    }
}

/// The server that is listed again under the id is another process, at another address.
#[test]
fn a_server_relisted_under_its_id_gets_no_request_over_an_earlier_connection() {
    let (full, _first) = FakeServer::with_full_backlog("s1");
    let back = FakeServer::new("s1");
    let program = Program::start(DEFAULT, &[&full]);
    let (mut watch, _) = program.discovery.next_poll();
    let mut client = program.open_session("lift-1", ",d=6000");
    assert!(client.is_silent(), "its attempt is on the way");
    watch.send(&list_response(8, false, &[full.endpoint("terminated")]));
    assert!(read_request(&mut watch).contains("index=8"));
    watch.send(&list_response(9, false, &[back.endpoint("in_service")]));
    assert!(read_request(&mut watch).contains("index=9"));
    let _held = full.accept();
    let mut late = full.accept();
    assert_eq!(late.read_line(), "");
    // Nothing was sent, so the request may go to the server that is listed now.
    let _server = back.accept_session();
    assert_eq!(client.read_line(), "UP 0123");
}

/// The server's answer, or the client's end, waits to be read when the shutdown's deadline has passed.
#[test]
fn a_server_answer_received_at_the_shutdown_deadline_is_the_final_answer() {
    for leaves in [false, true] {
        let server = FakeServer::new("s1");
        let mut program = Program::start(DEFAULT, &[&server]);
        let mut client = program.open_session("lift-1", ",d=30000");
        let mut at_server = server.accept();
        assert!(at_server.read_line().starts_with("OPEN"));
        program.terminate();
        while !program.next_log_line().contains("shutdown requested") {}
        program.suspend();
        // Past the moment at which all that wait are answered.
        std::thread::sleep(Duration::from_millis(3300));
        at_server.send("UP 0123\r\n");
        if leaves {
            drop(client);
        } else {
            program.resume();
            assert_eq!(client.read_line(), "UP 0123");
            continue;
        }
        program.resume();
        assert!(["", "reset"].contains(&&*at_server.read_line()));
        assert_eq!(program.wait_for_exit().0, Some(0));
    }
}
