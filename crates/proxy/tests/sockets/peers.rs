//! Stories of peers that do not keep to the protocol.

use crate::stand::{within, Place, Program, Settings, Wire, LONG, USUAL};
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn a_bad_or_endless_line_costs_its_own_connection_alone() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let (mut client, mut at_server) = program.settles(&server);
    let good = "OPEN 0123456789abcdef lift-9 c=alarm,d=3000\r\n";
    let bad = [
        "OPEN what\r\n".to_owned(),
        good.replace("c=alarm", "c=alarm2"),
        good.replace("\r\n", "\n"),
        // Hundreds of commands at once, the first of them in order.
        good.repeat(300),
        "PING\r\n".repeat(300),
        // A line without end, far longer than is ever read.
        "x".repeat(60 << 20),
    ];
    for bytes in bad {
        let mut client = program.client();
        assert!(client.is_refused(bytes.as_bytes()), "{:.60}", bytes);
        assert!(["", "reset"].contains(&&*client.line()), "closed at once: {:.60}", bytes);
    }
    let mut half = program.client();
    half.say("OPEN 0123456789abcdef lif").finish();
    assert_eq!((half.line(), half.line()), ("ERR".into(), "".into()));
    let (mut other, mut its_server) = program.settles(&server);
    its_server.say(&"y".repeat(5000));
    within(LONG, || other.line().is_empty().then_some(()));
    client.say("M 1\r\n");
    assert_eq!(at_server.line(), "M 1");
    at_server.say("M 1\r\n");
    assert_eq!(client.line(), "M 1");
    assert!(server.try_accept().is_none(), "nothing bad was sent on");
    let log = program.ends();
    assert!(log.contains("malformed first lines 3") && log.contains("data after first line 2"), "{log}");
    assert!(log.lines().count() < 12, "bad peers do not fill the log: {log}");
}

#[test]
fn the_id_of_another_session_is_refused_while_that_is_open_and_after_it_was_pushed_back() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let line = "OPEN 0123456789abcdef lift-1 c=alarm,d=3000\r\n";
    let mut client = program.client();
    client.say(line);
    let mut at_server = server.accept();
    assert!(at_server.line().starts_with("OPEN"));
    assert!(program.client().is_refused(line.as_bytes()), "it waits");
    at_server.say("BUSY\r\n");
    assert!(client.line().starts_with("BUSY"), "no other server");
    assert!(program.client().is_refused(line.as_bytes()), "its client is about to come again");
    assert!(server.try_accept().is_none());
    assert!(program.ends().contains("duplicate request ids 2"));
}

/// What came with the end was dropped unread, and the connection closed without a word.
#[test]
fn who_ends_its_sending_behind_a_line_has_an_answer() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let answers = [("PING\r\n", "PONG"), ("OPEN what\r\n", "ERR"), ("x", "ERR"), ("", "")];
    for (line, answer) in answers {
        let mut client = program.client();
        client.say(line).finish();
        assert_eq!(client.line(), answer, "{line}");
        assert_eq!(client.line(), "");
    }
    program.ends();
}

#[test]
fn pings_are_answered_until_the_first_line_comes_and_nothing_may_follow_that() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let mut client = program.client();
    assert_eq!(client.say("PING\r\n").line(), "PONG");
    assert_eq!(client.say("PING\r\n").line(), "PONG");
    client.say("OPEN 9b1f03aa5c7e2d41 lift-1 c=alarm,d=3000\r\n");
    let mut at_server = server.accept();
    assert!(at_server.line().starts_with("OPEN"));
    assert_eq!(client.say("EARLY\r\n").line(), "ERR");
    assert_eq!((client.line(), at_server.line()), ("".into(), "".into()));
}

#[test]
fn who_says_nothing_is_put_out_in_time_and_sooner_where_others_need_the_room() {
    let server = Place::new("s1");
    let program = Program::start(Settings { sockets: 96, ..USUAL }, &[&server]);
    let before = program.descriptors();
    let began = Instant::now();
    let mut silent: Vec<_> = (0..120).map(|_| program.client()).collect();
    // The first had to make room for the last, and a client that speaks is served among them.
    assert_eq!(silent[0].line(), "BUSY");
    let _sides = program.settles(&server);
    assert!(program.descriptors() <= before + 96 / 4 + 2, "a quarter at most, and the two sides");
    assert_eq!(silent.last_mut().map(Wire::line).as_deref(), Some("ERR"));
    // It is told before its descriptor is free, so this is waited for, within the same three seconds.
    let left = Duration::from_secs(3).saturating_sub(began.elapsed());
    // Discovery, and the two sides.
    within(left, || (program.descriptors() <= before + 3).then_some(()));
}

/// A connection that has asked for a sign of life and rests is put out after two seconds: requests come just before that,
/// with it, and just after.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_has_a_whole_answer() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    std::thread::spawn(move || {
        let mut served = Vec::new();
        loop {
            served.extend(server.try_accept().map(|mut wire| {
                wire.line();
                wire.say("UP 0123\r\n");
                wire
            }));
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    let crosses = |i: u64| {
        let mut client = program.client();
        assert_eq!(client.say("PING\r\n").line(), "PONG");
        (client, Instant::now() + Duration::from_millis(1990 + 3 * i), i)
    };
    let mut answers = [0, 0];
    let resting: Vec<_> = (0..48).map(crosses).collect();
    for (mut client, at, i) in resting {
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let _ = client.stream.write_all(format!("OPEN 9b1f03bb{i:08x} lift-1 c=alarm,d=3000\r\n").as_bytes());
        match client.line().as_str() {
            "UP 0123" => answers[0] += 1,
            "ERR" => answers[1] += 1,
            answer => panic!("{answer:?} {i}"),
        }
    }
    assert!(answers[0] > 0 && answers[1] > 0, "before and after: {answers:?}");
}

#[test]
fn out_of_descriptors_it_pushes_back_and_recovers_and_none_leaks() {
    let server = Place::new("s1");
    let program = Program::start(Settings { sockets: 48, ..USUAL }, &[&server]);
    let before = program.descriptors();
    // Two for each, three kept for callers, one for a probe, and 24.
    let standing: Vec<_> = (0..10).map(|_| program.settles(&server)).collect();
    let mut one_more = program.opens("lift-9", ",d=3000");
    assert_eq!((one_more.line(), one_more.line()), ("BUSY".into(), "".into()));
    drop(standing);
    within(LONG, || (program.descriptors() <= before).then_some(()));
    let _sides = program.settles(&server);
    let log = program.ends();
    assert!(log.contains("rejected for lack of descriptors 1"), "{log}");
}
