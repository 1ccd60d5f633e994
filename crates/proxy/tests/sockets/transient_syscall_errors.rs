//! System calls that fail transiently, or transfer less than was asked for, as Linux documents.

use crate::failure_injection::{Call, Failure, Plan};
use crate::harness::{wait_for, Connection, FakeServer, Settings, DEFAULT, TEST_TIMEOUT};
use std::time::{Duration, Instant};

/// Has a server answer each connection's first line with this, and close the connection, until the test is over.
fn answer_all(server: FakeServer, answer: &'static str) {
    std::thread::spawn(move || loop {
        match server.try_accept() {
            Some(mut connection) => {
                if !connection.read_line().is_empty() {
                    let _ = std::io::Write::write_all(&mut connection.stream, answer.as_bytes());
                }
            }
            None => std::thread::sleep(Duration::from_millis(1)),
        }
    });
}

/// Expects a complete final answer, and an orderly end behind it.
#[track_caller]
fn expect_final_answer(client: &mut Connection) {
    let answer = client.read_line();
    let is_final = answer == "ERR" || answer == "BUSY" || answer.starts_with("BUSY ");
    assert!(is_final, "no final answer: {answer:?}");
    assert_eq!(client.read_line(), "", "after {answer}");
}

/// Each short write is continued until the answer is complete.
#[test]
fn short_writes_never_truncate_a_final_answer() {
    let plan = Plan::new();
    let server = FakeServer::new("s1");
    let entry = [server.endpoint("in_service")];
    let program = plan.start(Settings { effect: "once", ..DEFAULT }, &[&server]);
    plan.fail(Call::Send, 600, Failure::Short);
    answer_all(server, "ERR\r\n");
    let _watch = program.update_endpoints(&entry);
    for i in 0..40 {
        expect_final_answer(&mut program.open_session(&format!("lift-{i}"), ",d=3000"));
        expect_final_answer(program.connect().send("OPEN what\r\n"));
        let mut front = program.connect();
        assert_eq!(front.send("PING\r\n").read_line(), "PONG");
        assert_eq!(front.send("PING\r\n").read_line(), "PONG");
    }
    assert!(plan.failed(Call::Send) > 100, "writes were short");
    program.shut_down();
}

/// Accepting goes on past single failures.
#[test]
fn transient_accept_errors_do_not_delay_clients() {
    for error in [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EPROTO, libc::ENETDOWN] {
        let plan = Plan::new();
        let server = FakeServer::new("s1");
        let program = plan.start(DEFAULT, &[&server]);
        answer_all(server, "BUSY\r\n");
        plan.fail(Call::Accept, 300, Failure::Error(error));
        let began = Instant::now();
        let mut clients: Vec<_> =
            (0..60).map(|i| program.open_session(&format!("lift-{i}"), ",d=1800")).collect();
        clients.iter_mut().for_each(expect_final_answer);
        assert!(began.elapsed() < Duration::from_millis(1500), "error {error}: {:?}", began.elapsed());
        assert!(plan.failed(Call::Accept) > 10);
    }
}

/// A failure does not count as an empty backlog.
#[test]
fn accept_errors_during_shutdown_leave_no_client_in_the_backlog() {
    for error in [libc::ENFILE, libc::ECONNABORTED] {
        let plan = Plan::new();
        let server = FakeServer::new("s1");
        // The process is killed 1.9 s after the signal.
        let program = plan.start(Settings { request_timeout_ms: 1200, sockets: 1024, ..DEFAULT }, &[&server]);
        answer_all(server, "BUSY\r\n");
        plan.fail(Call::Accept, 500, Failure::Error(error));
        program.terminate();
        let mut clients: Vec<_> =
            (0..240).map(|i| program.open_session(&format!("lift-{i}"), ",d=1200")).collect();
        clients.iter_mut().for_each(expect_final_answer);
        assert_eq!(program.wait_for_exit().0, Some(0));
    }
}

/// The rest of a `PING` is written after a short write.
#[test]
fn short_writes_never_truncate_a_health_check() {
    let plan = Plan::new();
    let server = FakeServer::new("s1");
    let program = plan.start(Settings { probes: true, ..DEFAULT }, &[&server]);
    plan.fail(Call::Send, 1000, Failure::Short);
    let _sides = program.establish(&server);
    let mut check = server.accept();
    for _ in 0..2 {
        assert_eq!(check.read_line(), "PING");
        check.send("PONG\r\n");
    }
}

/// A start that fails transiently is retried.
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
        let program = plan.start(DEFAULT, &[&server]);
        assert!(plan.failed(call) > 0, "{call:?} has failed");
        plan.restore(call);
        drop(program.establish(&server));
        program.shut_down();
    }
}

/// Options only improve a connection, and failing to set one does not close it.
#[test]
fn a_client_is_served_if_socket_options_cannot_be_set() {
    let plan = Plan::new();
    let server = FakeServer::new("s1");
    let program = plan.start(DEFAULT, &[&server]);
    plan.fail(Call::SetOption, 1000, Failure::Error(libc::ENOBUFS));
    let _sides = program.establish(&server);
    assert!(plan.failed(Call::SetOption) > 0);
}

/// Lack of memory or buffers does not break a connection.
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
        let program = plan.start(DEFAULT, &[&server]);
        let (mut client, mut at_server) = program.establish(&server);
        let mut bad = program.connect();
        assert_eq!(bad.send("PING\r\n").read_line(), "PONG");
        let before = plan.failed(call);
        plan.fail(call, 1000, Failure::Error(error));
        client.send("M 1\r\n");
        at_server.send("NEWS\r\n");
        bad.send("NONSENSE\r\n");
        wait_for(TEST_TIMEOUT, || (plan.failed(call) > before + 3).then_some(()));
        std::thread::sleep(Duration::from_millis(100));
        plan.restore(call);
        assert_eq!(
            (at_server.read_line(), client.read_line()),
            ("M 1".into(), "NEWS".into()),
            "{call:?} {error}"
        );
        assert_eq!((bad.read_line(), bad.read_line()), ("ERR".into(), "".into()), "{call:?} {error}");
        drop((client, at_server));
        program.shut_down();
    }
}

/// Lines and lists are reassembled whatever each read brings.
#[test]
fn short_reads_and_transient_errors_do_not_corrupt_lines() {
    let plan = Plan::new();
    let server = FakeServer::new("s1");
    let entry = [server.endpoint("in_service")];
    let program = plan.start(Settings { probes: true, ..DEFAULT }, &[&server]);
    for failure in [Failure::Short, Failure::Error(libc::EINTR), Failure::Error(libc::ENOMEM)] {
        plan.fail(Call::Receive, 600, failure);
        let sides: Vec<_> = (0..8).map(|_| program.establish(&server)).collect();
        for (mut client, mut at_server) in sides {
            client.send("M 1\r\nM 2\r\n");
            assert_eq!((at_server.read_line(), at_server.read_line()), ("M 1".into(), "M 2".into()));
            at_server.send("M 1\r\nBYE\r\n").end_sending();
            assert_eq!(
                (client.read_line(), client.read_line(), client.read_line()),
                ("M 1".into(), "BYE".into(), "".into())
            );
        }
    }
    let _watch = program.update_endpoints(&entry);
    program.shut_down();
}
