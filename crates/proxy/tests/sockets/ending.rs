//! Stories of the end: who is at the door, in a stage, or in its queue when the signal comes.
//!
//! What a process still owes 0.7 s after the longest request timeout of its clients, three seconds at most, is lost.

use crate::stand::{list, next_call, Place, Program, Settings, PUSHED, USUAL};
use rustix::process::Signal;
use std::io::Write;
use std::time::{Duration, Instant};

/// Clients of another customer wait for 1.2 s at most, so that killing comes 1.9 s after the signal.
const HASTY: Settings = Settings { request_timeout_ms: 1200, ..USUAL };

/// All times of the end were fit for request timeout of three seconds: moves began when the process was killed.
#[test]
fn where_request_timeout_is_short_all_is_answered_and_moved_before_the_process_is_killed() {
    let server = Place::new("s1");
    let program = Program::start(HASTY, &[&server]);
    let mut standing: Vec<_> = (0..3).map(|_| program.settles(&server)).collect();
    let mut asking = program.opens("lift-2", ",d=1200");
    let _never_answers = server.accept();
    program.terminate();
    let told = Instant::now();
    let mut late = program.opens("lift-3", ",d=1200");
    let _nor_here = server.accept();
    for (client, _) in &mut standing {
        assert_eq!((client.line(), client.line()), ("MOVE".into(), "".into()));
    }
    assert!(told.elapsed() > Duration::from_millis(600), "not before it must: {:?}", told.elapsed());
    for client in [&mut asking, &mut late] {
        let answer = client.line();
        assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
    }
    drop((standing, asking, late));
    let (code, log) = program.exit();
    assert!(code == Some(0) && log.contains("invariant violations 0"), "{code:?} {log}");
    assert!(told.elapsed() < Duration::from_millis(1900), "{:?}", told.elapsed());
}

/// Callers were counted in no stage: the process ended as soon as no session was left, and closed on them.
#[test]
fn who_has_sent_nothing_yet_or_half_a_line_when_the_end_is_decided_is_served() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let mut silent = program.client();
    let mut half = program.client();
    half.say("OPEN 0123456789abcdef li");
    // A sign of life shows that both are at the door.
    let mut front = program.client();
    assert_eq!(front.say("PING\r\n").line(), "PONG");
    program.terminate();
    let told = Instant::now();
    // Past the moment at which a process with nothing to do ends.
    std::thread::sleep(Duration::from_millis(900));
    half.say("ft-1 c=alarm,d=2000\r\n");
    let (mut at_server, _) = server.serve();
    assert_eq!(half.line(), "UP 0123");
    half.finish();
    assert_eq!(at_server.line(), "");
    at_server.finish();
    let answer = silent.line();
    assert!(answer == "ERR" || answer == "BUSY", "{answer}");
    drop((silent, half));
    assert_eq!(program.exit().0, Some(0));
    assert!(told.elapsed() < Duration::from_millis(3700));
}

/// It had no room for `MOVE`, as the client did not read: the client was cut off in the middle of a line.
#[test]
fn who_reads_nothing_for_a_while_finds_whole_lines_and_a_move() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let (mut deaf, at_server) = program.settles(&server);
    at_server.stream.set_nonblocking(true).unwrap();
    let line = format!("NEWS {}\r\n", "x".repeat(90));
    // Until nothing has been taken for a moment.
    let mut stuck = 0;
    while stuck < 50 {
        match (&at_server.stream).write(line.repeat(10).as_bytes()) {
            Ok(written) if written > 0 => stuck = 0,
            _ => {
                stuck += 1;
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
    program.terminate();
    // What stands is moved from 1.9 s on, and is waited for to end a line for 0.8 s.
    std::thread::sleep(Duration::from_millis(3000));
    let mut last = String::new();
    loop {
        match deaf.line() {
            heard if heard.is_empty() || heard == "reset" => break,
            heard => last = heard,
        }
    }
    assert_eq!(last, "MOVE");
    drop((deaf, at_server));
    assert_eq!(program.exit().0, Some(0));
}

/// It stood still while its time ran out: who had come meanwhile was closed on without a word.
#[test]
fn who_is_in_the_queue_when_time_has_run_out_is_told_to_come_again() {
    let server = Place::new("s1");
    let mut program = Program::start(HASTY, &[&server]);
    program.terminate();
    while !program.logs().contains("shutdown requested") {}
    program.stands_still();
    let mut early = program.opens("lift-1", ",d=1200");
    let mut silent = program.client();
    std::thread::sleep(Duration::from_millis(1900));
    program.goes_on();
    assert_eq!((early.line(), early.line()), ("BUSY".into(), "".into()));
    assert_eq!((silent.line(), silent.line()), ("BUSY".into(), "".into()));
    assert!(server.try_accept().is_none(), "nothing is sent on that late");
    assert_eq!(program.exit().0, Some(0));
}

#[test]
fn a_second_signal_and_one_to_read_again_change_nothing_about_the_end() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let (mut client, _at_server) = program.settles(&server);
    program.terminate();
    let told = Instant::now();
    let mut asking = program.opens("lift-2", ",d=3000");
    let mut its_server = server.accept();
    assert!(its_server.line().starts_with("OPEN"));
    program.terminate();
    program.reads_again(&program.text_with(&Place::closed("discovery")));
    program.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(300));
    its_server.say("UP 0123\r\n");
    assert_eq!(asking.line(), "UP 0123");
    assert_eq!(client.line(), "MOVE");
    assert!(told.elapsed() > Duration::from_millis(1500), "{:?}", told.elapsed());
    assert_eq!(asking.line(), "MOVE");
    drop((client, asking));
    assert_eq!(program.exit().0, Some(0));
    assert!(told.elapsed() < Duration::from_millis(3700));
}

#[test]
fn told_to_end_before_the_list_is_heard_it_still_answers_who_waits_for_it() {
    for heard in [true, false] {
        let server = Place::new("s1");
        let program = Program::start(PUSHED, &[&server]);
        let (mut call, _) = program.discovery.called();
        let mut client = program.opens("lift-1", ",d=1500");
        let mut front = program.client();
        assert!(front.say("PING\r\n").is_quiet() && client.is_quiet(), "the list is not heard yet");
        program.terminate();
        if heard {
            call.say(&list(9, true, &[server.entry("in_service")]));
            next_call(&mut call);
        }
        let (_at_server, _) = server.serve();
        assert_eq!(client.line(), "UP 0123");
        assert_eq!(front.line(), "PONG");
        assert_eq!(client.line(), "MOVE");
        drop((client, front));
        assert_eq!(program.exit().0, Some(0));
    }
}
