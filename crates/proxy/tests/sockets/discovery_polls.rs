//! Polling of the discovery service: watches, failed polls, reloads, and pushed endpoint lists.

use crate::harness::{list_response, read_request, FakeServer, ProxyProcess, Settings, DEFAULT, PUSHED_LIST};
use std::time::{Duration, Instant};

#[test]
fn a_proxy_without_an_endpoint_list_is_not_ready() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[]);
    let mut client = proxy.connect();
    assert_eq!(client.send("PING\r\n").read_line(), "ERR");
    let (mut call, path) = proxy.discovery.next_poll();
    assert_eq!(path, "/catalog/members", "the complete list is requested");
    call.send(&list_response(8, true, &[server.endpoint("in_service")]));
    read_request(&mut call);
    assert_eq!(client.send("PING\r\n").read_line(), "PONG");
}

#[test]
fn the_next_watch_starts_at_once_and_split_responses_are_reassembled() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let (mut call, path) = proxy.discovery.next_poll();
    assert!(path.starts_with("/catalog/members?index=7&wait="), "{path}");
    let response = list_response(8, false, &[server.endpoint("in_service")]);
    let (head, rest) = response.split_at(response.len() / 2);
    call.send(head);
    std::thread::sleep(Duration::from_millis(30));
    let answered_at = Instant::now();
    call.send(rest);
    assert!(read_request(&mut call).contains("index=8"));
    assert!(answered_at.elapsed() < Duration::from_millis(150));
    let chunks = format!("{:x}\r\n{}\r\n", 36, r#"{"seq":9,"whole":false,"hosts":[    "#);
    call.send(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}2\r\n]}}\r\n0\r\n\r\n"));
    assert!(read_request(&mut call).contains("index=9"));
}

#[test]
fn failed_polls_are_retried_and_the_previous_list_is_kept() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let invalid_responses = [
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno { json",
        "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"seq\":8,\"hosts\":[{\"a\":\"b\"}]}",
        "nothing like HTTP\r\n\r\n",
    ];
    for response in invalid_responses {
        let (mut call, path) = proxy.discovery.next_poll();
        assert!(path.contains("index=7"), "{path}");
        call.send(response);
    }
    let (call, _) = proxy.discovery.next_poll();
    call.reset();
    proxy.establish(&server);
    let _call = proxy.update_endpoints(&[server.endpoint("in_service")]);
}

#[test]
fn an_unanswered_poll_times_out_and_is_retried() {
    let proxy = ProxyProcess::start(DEFAULT, &[]);
    let (mut unanswered, path) = proxy.discovery.next_poll();
    assert_eq!(path, "/catalog/members");
    let (_call, path) = proxy.discovery.next_poll();
    assert_eq!(path, "/catalog/members");
    assert_eq!(unanswered.read_line(), "", "the connection of the timed-out poll is closed");
}

#[test]
fn a_changed_discovery_is_polled_for_all_endpoints_and_sessions_continue() {
    let (one, two) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let mut proxy = ProxyProcess::start(DEFAULT, &[&one]);
    let (mut client, mut upstream) = proxy.establish(&one);
    let (mut old, path) = proxy.discovery.next_poll();
    assert!(path.contains("index=7"), "{path}");
    proxy.reload("{ no file");
    assert!(proxy.next_log_line().contains("reload failed, nothing changes"));
    proxy.reload(&proxy.startup_file.clone());
    assert!(proxy.next_log_line().contains("as before"));
    assert!(old.is_silent(), "the watch continues");

    // The new discovery service refuses connections at first.
    let closed = FakeServer::refusing_connections("discovery");
    let reloaded_at = Instant::now();
    proxy.reload(&proxy.startup_file_with_discovery(&closed));
    assert_eq!(old.read_line(), "", "the connection to the previous service is closed");
    let new = closed.start_listening();
    let (mut call, path) = new.next_poll();
    assert_eq!(path, "/catalog/members", "the versions of the two services are unrelated");
    call.send(&list_response(2, true, &[two.endpoint("in_service")]));
    assert!(read_request(&mut call).contains("index=2"));
    assert!(reloaded_at.elapsed() < Duration::from_secs(4));
    client.send("M 1\r\n");
    assert_eq!(upstream.read_line(), "M 1");
    let mut next = proxy.open_session("lift-1", ",d=3000");
    two.accept_session();
    assert_eq!(next.read_line(), "UP 0123");

    // Another change, to a service that accepts connections and does not respond, then a termination signal.
    let last = FakeServer::new("discovery");
    proxy.reload(&proxy.startup_file_with_discovery(&last));
    let (mut unanswered, _) = last.next_poll();
    let (mut call, path) = last.next_poll();
    assert_eq!((unanswered.read_line(), &*path), (String::new(), "/catalog/members"));
    call.send(&list_response(1, true, &[one.endpoint("in_service")]));
    read_request(&mut call);
    proxy.reload(&proxy.startup_file_with_discovery(&new));
    proxy.terminate();
    let (mut call, _) = new.next_poll();
    call.send(&list_response(3, true, &[two.endpoint("in_service")]));
    assert!(proxy.shut_down().contains("sessions established 2"));
}

/// The complete pushed list is requested first, as it may differ from the list known at startup.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_first_clients_wait_for_it() {
    let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(PUSHED_LIST, &[&old]);
    let (mut call, path) = proxy.discovery.next_poll();
    assert_eq!(path, "/catalog/members", "the complete list is requested, so that the response is immediate");
    let mut front_end = proxy.connect();
    assert!(front_end.send("PING\r\n").is_silent(), "no response before the first list");
    let mut client = proxy.open_session("lift-1", ",d=3000");
    assert!(client.is_silent() && old.try_accept().is_none(), "no session is placed before the first list");
    // The JSON of a list may be indented.
    let entries =
        [old.endpoint("terminating"), new.endpoint("in_service")].map(|entry| entry.replace(',', ",\n    "));
    call.send(&list_response(9, true, &entries));
    assert_eq!(front_end.read_line(), "PONG");
    let _server = new.accept_session();
    assert_eq!(client.read_line(), "UP 0123");
    assert!(old.try_accept().is_none(), "it was draining before the proxy started");
    assert!(read_request(&mut call).contains("index=9"), "the watch continues");
}

#[test]
fn clients_wait_for_a_missing_pushed_list_for_at_most_the_time_limit() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(PUSHED_LIST, &[&server]);
    let _unanswered = proxy.discovery.next_poll();
    let started_at = Instant::now();
    let (mut short_timeout_client, mut long_timeout_client) =
        (proxy.open_session("lift-1", ",d=600"), proxy.open_session("lift-2", ",d=3000"));
    let _first = server.accept_session();
    assert_eq!(short_timeout_client.read_line(), "UP 0123");
    assert!(
        started_at.elapsed() < Duration::from_millis(550),
        "a session waits for at most half of its request timeout"
    );
    let mut front_end = proxy.connect();
    assert_eq!(front_end.send("PING\r\n").read_line(), "PONG");
    let _second = server.accept_session();
    assert_eq!(long_timeout_client.read_line(), "UP 0123");
    assert!(started_at.elapsed() < Duration::from_millis(2000));
}

/// The agent's list counts as current whether or not a watch is open, so a delay before the next watch would delay
/// updates.
#[test]
fn a_lost_watch_of_a_pushed_list_is_reopened_at_once_and_rejected_polls_back_off() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(PUSHED_LIST, &[&server]);
    let (mut call, _) = proxy.discovery.next_poll();
    call.send(&list_response(9, true, &[server.endpoint("in_service")]));
    read_request(&mut call);
    let lost_at = Instant::now();
    call.reset();
    let (mut call, path) = proxy.discovery.next_poll();
    assert!(
        path.contains("index=9") && lost_at.elapsed() < Duration::from_millis(150),
        "{path} {:?}",
        lost_at.elapsed()
    );
    let mut polls = 0;
    while lost_at.elapsed() < Duration::from_millis(1500) {
        call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        call = proxy.discovery.next_poll().0;
        polls += 1;
    }
    assert!((2..12).contains(&polls), "{polls}");
}

/// An update that a silent watch misses is received within six seconds after the watch became silent, also with many
/// proxies.
#[test]
fn a_silent_watch_is_reopened_within_the_staleness_limit() {
    for settings in
        [Settings { proxy_count: "300", ..PUSHED_LIST }, Settings { proxy_count: "300", ..DEFAULT }]
    {
        let is_pushed = settings.list_delivery == "automatic";
        let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
        let proxy = ProxyProcess::start(settings, &[&old]);
        let (mut call, _) = proxy.discovery.next_poll();
        if is_pushed {
            call.send(&list_response(7, true, &[old.endpoint("in_service")]));
            read_request(&mut call);
        }
        let silent_since = Instant::now();
        let (mut call, path) = proxy.discovery.next_poll();
        assert!(path.contains("index=7"), "{path}");
        assert!(silent_since.elapsed() < Duration::from_millis(5500), "{:?}", silent_since.elapsed());
        call.send(&list_response(8, false, &[old.endpoint("terminating"), new.endpoint("in_service")]));
        read_request(&mut call);
        let mut client = proxy.open_session("lift-1", ",d=3000");
        let _server = new.accept_session();
        assert_eq!(client.read_line(), "UP 0123");
    }
}
