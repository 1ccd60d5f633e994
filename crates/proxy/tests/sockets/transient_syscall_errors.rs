//! System calls that fail transiently or transfer fewer bytes than requested, as documented for Linux.

use crate::failure_injection::{Call, Failure, Plan};
use crate::harness::{wait_for, Connection, FakeServer, Settings, DEFAULT, TEST_TIMEOUT};
use std::time::{Duration, Instant};

/// Responds to the first line of each connection of the server and closes the connection, until the test ends.
fn respond_to_all(server: FakeServer, response: &'static str) {
    std::thread::spawn(move || loop {
        match server.try_accept() {
            Some(mut connection) => {
                if !connection.read_line().is_empty() {
                    let _ = std::io::Write::write_all(&mut connection.stream, response.as_bytes());
                }
            }
            None => std::thread::sleep(Duration::from_millis(1)),
        }
    });
}

/// Expects a complete final response, and an orderly close after it.
#[track_caller]
fn expect_final_response(client: &mut Connection) {
    let response = client.read_line();
    let is_final = response == "ERR" || response == "BUSY" || response.starts_with("BUSY ");
    assert!(is_final, "no final response: {response:?}");
    assert_eq!(client.read_line(), "", "after {response}");
}

/// After a short write, the proxy writes the rest until the response is complete.
#[test]
fn short_writes_never_truncate_a_final_response() {
    let plan = Plan::new();
    let server = FakeServer::new("s1");
    let entry = [server.endpoint("in_service")];
    let proxy = plan.start(Settings { idempotency: "once", ..DEFAULT }, &[&server]);
    plan.fail(Call::Send, 600, Failure::Short);
    respond_to_all(server, "ERR\r\n");
    let _watch = proxy.update_endpoints(&entry);
    for i in 0..40 {
        expect_final_response(&mut proxy.open_session(&format!("lift-{i}"), ",d=3000"));
        expect_final_response(proxy.connect().send("OPEN what\r\n"));
        let mut front_end = proxy.connect();
        assert_eq!(front_end.send("PING\r\n").read_line(), "PONG");
        assert_eq!(front_end.send("PING\r\n").read_line(), "PONG");
    }
    assert!(plan.failed(Call::Send) > 100, "many writes must have been short");
    proxy.shut_down();
}

/// A single failure to accept must not stop the proxy from accepting further connections.
#[test]
fn transient_accept_errors_do_not_delay_clients() {
    for error in [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EPROTO, libc::ENETDOWN] {
        let plan = Plan::new();
        let server = FakeServer::new("s1");
        let proxy = plan.start(DEFAULT, &[&server]);
        respond_to_all(server, "BUSY\r\n");
        plan.fail(Call::Accept, 300, Failure::Error(error));
        let started_at = Instant::now();
        let mut clients: Vec<_> =
            (0..60).map(|i| proxy.open_session(&format!("lift-{i}"), ",d=1800")).collect();
        clients.iter_mut().for_each(expect_final_response);
        assert!(
            started_at.elapsed() < Duration::from_millis(1500),
            "error {error}: {:?}",
            started_at.elapsed()
        );
        assert!(plan.failed(Call::Accept) > 10);
    }
}

/// A failure to accept must not be taken for an empty backlog.
#[test]
fn accept_errors_during_shutdown_leave_no_client_in_the_backlog() {
    for error in [libc::ENFILE, libc::ECONNABORTED] {
        let plan = Plan::new();
        let server = FakeServer::new("s1");
        // The process is killed 1.9 s after the signal.
        let proxy =
            plan.start(Settings { request_timeout_ms: 1200, max_descriptors: 1024, ..DEFAULT }, &[&server]);
        respond_to_all(server, "BUSY\r\n");
        plan.fail(Call::Accept, 500, Failure::Error(error));
        proxy.terminate();
        let mut clients: Vec<_> =
            (0..240).map(|i| proxy.open_session(&format!("lift-{i}"), ",d=1200")).collect();
        clients.iter_mut().for_each(expect_final_response);
        assert_eq!(proxy.wait_for_exit().0, Some(0));
    }
}

/// After a short write, the proxy writes the rest of the `PING`.
#[test]
fn short_writes_never_truncate_a_health_check() {
    let plan = Plan::new();
    let server = FakeServer::new("s1");
    let proxy = plan.start(Settings { health_checks_allowed: true, ..DEFAULT }, &[&server]);
    plan.fail(Call::Send, 1000, Failure::Short);
    let _session = proxy.establish(&server);
    let mut check = server.accept();
    for _ in 0..2 {
        assert_eq!(check.read_line(), "PING");
        check.send("PONG\r\n");
    }
}

/// A startup that fails transiently is retried.
#[test]
fn startup_survives_transient_syscall_errors() {
    let errors = [
        (Call::Socket, libc::ENOMEM),
        (Call::Socket, libc::ENFILE),
        (Call::SetOption, libc::ENOBUFS),
        (Call::Open, libc::EIO),
        (Call::Open, libc::ENFILE),
    ];
    for (call, error) in errors {
        let plan = Plan::new();
        let server = FakeServer::new("s1");
        plan.fail(call, 700, Failure::Error(error));
        let proxy = plan.start(DEFAULT, &[&server]);
        assert!(plan.failed(call) > 0, "{call:?} has failed");
        plan.restore(call);
        drop(proxy.establish(&server));
        proxy.shut_down();
    }
}

/// Socket options only improve a connection, so a failure to set one must not close it.
#[test]
fn a_client_is_served_if_socket_options_cannot_be_set() {
    let plan = Plan::new();
    let server = FakeServer::new("s1");
    let proxy = plan.start(DEFAULT, &[&server]);
    plan.fail(Call::SetOption, 1000, Failure::Error(libc::ENOBUFS));
    let _session = proxy.establish(&server);
    assert!(plan.failed(Call::SetOption) > 0);
}

/// A lack of memory or buffers leaves a connection intact.
#[test]
fn forwarding_resumes_after_buffer_shortages() {
    for (call, error) in [
        (Call::Send, libc::ENOBUFS),
        (Call::Send, libc::ENOMEM),
        (Call::Receive, libc::ENOMEM),
        (Call::Receive, libc::EINTR),
    ] {
        let plan = Plan::new();
        let server = FakeServer::new("s1");
        let proxy = plan.start(DEFAULT, &[&server]);
        let (mut client, mut upstream) = proxy.establish(&server);
        let mut malformed = proxy.connect();
        assert_eq!(malformed.send("PING\r\n").read_line(), "PONG");
        let before = plan.failed(call);
        plan.fail(call, 1000, Failure::Error(error));
        client.send("M 1\r\n");
        upstream.send("NEWS\r\n");
        malformed.send("NONSENSE\r\n");
        wait_for(TEST_TIMEOUT, || (plan.failed(call) > before + 3).then_some(()));
        std::thread::sleep(Duration::from_millis(100));
        plan.restore(call);
        assert_eq!(
            (upstream.read_line(), client.read_line()),
            ("M 1".into(), "NEWS".into()),
            "{call:?} {error}"
        );
        assert_eq!(
            (malformed.read_line(), malformed.read_line()),
            ("ERR".into(), "".into()),
            "{call:?} {error}"
        );
        drop((client, upstream));
        proxy.shut_down();
    }
}

/// Lines and endpoint lists are reassembled from reads of any length.
#[test]
fn short_reads_and_transient_errors_do_not_corrupt_lines() {
    let plan = Plan::new();
    let server = FakeServer::new("s1");
    let entry = [server.endpoint("in_service")];
    let proxy = plan.start(Settings { health_checks_allowed: true, ..DEFAULT }, &[&server]);
    for failure in [Failure::Short, Failure::Error(libc::EINTR), Failure::Error(libc::ENOMEM)] {
        plan.fail(Call::Receive, 600, failure);
        let sessions: Vec<_> = (0..8).map(|_| proxy.establish(&server)).collect();
        for (mut client, mut upstream) in sessions {
            client.send("M 1\r\nM 2\r\n");
            assert_eq!((upstream.read_line(), upstream.read_line()), ("M 1".into(), "M 2".into()));
            upstream.send("M 1\r\nBYE\r\n").shut_down_write();
            assert_eq!(
                (client.read_line(), client.read_line(), client.read_line()),
                ("M 1".into(), "BYE".into(), "".into())
            );
        }
    }
    let _watch = proxy.update_endpoints(&entry);
    proxy.shut_down();
}
