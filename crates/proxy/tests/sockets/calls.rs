//! Stories of system calls that fail for a moment, or do part of what was asked for, as Linux documents.

use crate::plan::{Call, Failure, Plan};
use crate::stand::{within, Place, Settings, Wire, LONG, USUAL};
use std::time::{Duration, Instant};

/// Has a server answer each connection's first line with this, and end it, until the test is over.
fn answers_all(server: Place, answer: &'static str) {
    std::thread::spawn(move || loop {
        match server.try_accept() {
            Some(mut wire) => {
                if !wire.line().is_empty() {
                    let _ = std::io::Write::write_all(&mut wire.stream, answer.as_bytes());
                }
            }
            None => std::thread::sleep(Duration::from_millis(1)),
        }
    });
}

/// Whether this is a final answer, whole, with a proper end behind it.
#[track_caller]
fn is_refused_whole(client: &mut Wire) {
    let answer = client.line();
    let whole = answer == "ERR" || answer == "BUSY" || answer.starts_with("BUSY ");
    assert!(whole, "no final answer: {answer:?}");
    assert_eq!(client.line(), "", "after {answer}");
}

/// `B`, `BU` and `BUS` came in place of a final answer, and then the end.
#[test]
fn a_short_write_leaves_no_part_of_an_answer() {
    let plan = Plan::new();
    let server = Place::new("s1");
    let entry = [server.entry("in_service")];
    let program = plan.start(Settings { effect: "once", ..USUAL }, &[&server]);
    plan.fail(Call::Send, 600, Failure::Short);
    answers_all(server, "ERR\r\n");
    let _watch = program.hears(&entry);
    for i in 0..40 {
        is_refused_whole(&mut program.opens(&format!("lift-{i}"), ",d=3000"));
        is_refused_whole(program.client().say("OPEN what\r\n"));
        let mut front = program.client();
        assert_eq!(front.say("PING\r\n").line(), "PONG");
        assert_eq!(front.say("PING\r\n").line(), "PONG");
    }
    assert!(plan.failed(Call::Send) > 100, "writes were short");
    program.ends();
}

/// One failure put all accepting off for a tenth of a second.
#[test]
fn accepting_that_fails_for_a_moment_keeps_nobody_waiting() {
    for error in [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EPROTO, libc::ENETDOWN] {
        let plan = Plan::new();
        let server = Place::new("s1");
        let program = plan.start(USUAL, &[&server]);
        answers_all(server, "BUSY\r\n");
        plan.fail(Call::Accept, 300, Failure::Error(error));
        let began = Instant::now();
        let mut clients: Vec<_> = (0..60).map(|i| program.opens(&format!("lift-{i}"), ",d=1800")).collect();
        clients.iter_mut().for_each(is_refused_whole);
        assert!(began.elapsed() < Duration::from_millis(1500), "error {error}: {:?}", began.elapsed());
        assert!(plan.failed(Call::Accept) > 10);
    }
}

/// The process took its queue for empty, ended, and reset who lay in it.
#[test]
fn accepting_that_fails_at_the_end_leaves_nobody_in_the_queue() {
    for error in [libc::ENFILE, libc::ECONNABORTED] {
        let plan = Plan::new();
        let server = Place::new("s1");
        // Killing comes 1.9 s after the signal.
        let program = plan.start(Settings { request_timeout_ms: 1200, sockets: 1024, ..USUAL }, &[&server]);
        answers_all(server, "BUSY\r\n");
        plan.fail(Call::Accept, 500, Failure::Error(error));
        program.terminate();
        let mut clients: Vec<_> = (0..240).map(|i| program.opens(&format!("lift-{i}"), ",d=1200")).collect();
        clients.iter_mut().for_each(is_refused_whole);
        assert_eq!(program.exit().0, Some(0));
    }
}

/// A part of `PING` was sent, and the rest of it never: the server was taken for silent.
#[test]
fn a_short_write_leaves_no_part_of_a_sign_of_life() {
    let plan = Plan::new();
    let server = Place::new("s1");
    let program = plan.start(Settings { probes: true, ..USUAL }, &[&server]);
    plan.fail(Call::Send, 1000, Failure::Short);
    let _sides = program.settles(&server);
    let mut sign = server.accept();
    for _ in 0..2 {
        assert_eq!(sign.line(), "PING");
        sign.say("PONG\r\n");
    }
}

/// The first call that failed ended the program.
#[test]
fn a_start_outlasts_calls_that_fail_for_a_moment() {
    let errors = [
        (Call::Socket, libc::ENOMEM),
        (Call::Socket, libc::ENFILE),
        (Call::SetOption, libc::ENOBUFS),
        (Call::OpenRequest, libc::EIO),
        (Call::OpenRequest, libc::ENFILE),
    ];
    for (call, error) in errors {
        let plan = Plan::new();
        let server = Place::new("s1");
        plan.fail(call, 700, Failure::Error(error));
        let program = plan.start(USUAL, &[&server]);
        assert!(plan.failed(call) > 0, "{call:?} has failed");
        plan.mend(call);
        drop(program.settles(&server));
        program.ends();
    }
}

/// An accepted connection whose option could not be set was closed without a word.
#[test]
fn a_client_is_served_though_no_option_of_its_connection_can_be_set() {
    let plan = Plan::new();
    let server = Place::new("s1");
    let program = plan.start(USUAL, &[&server]);
    plan.fail(Call::SetOption, 1000, Failure::Error(libc::ENOBUFS));
    let _sides = program.settles(&server);
    assert!(plan.failed(Call::SetOption) > 0);
}

/// A failure that is over by itself was taken for a broken connection: both sides were ended, without a `MOVE`.
#[test]
fn lines_pass_once_the_system_takes_and_gives_them_again() {
    for (call, error) in [
        (Call::Send, libc::ENOBUFS),
        (Call::Send, libc::ENOMEM),
        (Call::Receive, libc::ENOMEM),
        (Call::Receive, libc::EINTR),
    ] {
        let plan = Plan::new();
        let server = Place::new("s1");
        let program = plan.start(USUAL, &[&server]);
        let (mut client, mut at_server) = program.settles(&server);
        let mut bad = program.client();
        assert_eq!(bad.say("PING\r\n").line(), "PONG");
        let before = plan.failed(call);
        plan.fail(call, 1000, Failure::Error(error));
        client.say("M 1\r\n");
        at_server.say("NEWS\r\n");
        bad.say("NONSENSE\r\n");
        within(LONG, || (plan.failed(call) > before + 3).then_some(()));
        std::thread::sleep(Duration::from_millis(100));
        plan.mend(call);
        assert_eq!((at_server.line(), client.line()), ("M 1".into(), "NEWS".into()), "{call:?} {error}");
        assert_eq!((bad.line(), bad.line()), ("ERR".into(), "".into()), "{call:?} {error}");
        drop((client, at_server));
        program.ends();
    }
}

/// Whatever a read brings, and however often none is possible, lines and lists are put together.
#[test]
fn short_reads_and_failures_in_between_change_nothing() {
    let plan = Plan::new();
    let server = Place::new("s1");
    let entry = [server.entry("in_service")];
    let program = plan.start(Settings { probes: true, ..USUAL }, &[&server]);
    for failure in [Failure::Short, Failure::Error(libc::EINTR), Failure::Error(libc::ENOMEM)] {
        plan.fail(Call::Receive, 600, failure);
        let sides: Vec<_> = (0..8).map(|_| program.settles(&server)).collect();
        for (mut client, mut at_server) in sides {
            client.say("M 1\r\nM 2\r\n");
            assert_eq!((at_server.line(), at_server.line()), ("M 1".into(), "M 2".into()));
            at_server.say("M 1\r\nBYE\r\n").finish();
            assert_eq!(
                (client.line(), client.line(), client.line()),
                ("M 1".into(), "BYE".into(), "".into())
            );
        }
    }
    let _watch = program.hears(&entry);
    program.ends();
}
