//! Stories of lines and ends that pass, and of attempts that fail.

use crate::stand::{within, Place, Program, Settings, Wire, LONG, USUAL};
use std::time::{Duration, Instant};

#[test]
fn lines_pass_unchanged_but_for_the_wait_and_an_end_passes_on() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let mut client = program.opens("lift-1", ",x-new=a b".split(' ').next().unwrap());
    assert_eq!(client.line(), "ERR", "without a wait the line is none");
    let mut client = program.opens("lift-1", ",d=3000,x-new=7");
    let (mut at_server, line) = server.serve();
    let wait = line.split_once(" lift-1 c=alarm,d=").map(|parts| parts.1);
    let wait = wait.and_then(|rest| rest.strip_suffix(",x-new=7")).expect(&line);
    assert!((1000..=3000).contains(&wait.parse::<u32>().unwrap()), "{line}");
    assert_eq!(client.line(), "UP 0123");
    client.say("HELLO  there\r\nM 2\r\n");
    assert_eq!((at_server.line(), at_server.line()), ("HELLO  there".into(), "M 2".into()));
    at_server.say("LOAD 17.5\r\nNEWS ");
    assert_eq!(client.line(), "LOAD 17.5");
    at_server.say("at ten\r\nBYE\r\n");
    at_server.finish();
    assert_eq!(
        (client.line(), client.line(), client.line()),
        ("NEWS at ten".into(), "BYE".into(), "".into())
    );
}

#[test]
fn a_clients_end_and_a_servers_reset_pass_on_after_the_last_byte() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let (mut client, mut at_server) = program.settles(&server);
    client.say("LAST\r\n").finish();
    assert_eq!((at_server.line(), at_server.line()), ("LAST".into(), "".into()));
    at_server.say("REST\r\n").finish();
    assert_eq!((client.line(), client.line()), ("REST".into(), "".into()));

    let (client, mut at_server) = program.settles(&server);
    client.reset();
    assert_eq!(at_server.line(), "reset");

    let (mut client, mut at_server) = program.settles(&server);
    at_server.say("LAST\r\n");
    assert_eq!(client.line(), "LAST");
    at_server.reset();
    assert_eq!(client.line(), "reset");
}

#[test]
fn a_refused_connect_goes_elsewhere_even_for_what_must_never_run_twice() {
    let (dead, server) = (Place::closed("s1"), Place::new("s2"));
    let once = Settings { effect: "once", ..USUAL };
    let program = Program::start(once, &[&dead, &server]);
    // Some of these keys have their place at the server that refuses.
    let settle = |i| {
        let mut client = program.opens(&format!("lift-{i}"), ",d=3000");
        let at_server = server.serve();
        assert_eq!(client.line(), "UP 0123");
        (client, at_server)
    };
    let standing: Vec<_> = (0..8).map(settle).collect();
    assert_eq!(standing.len(), 8);
}

#[test]
fn a_break_after_the_first_line_is_not_tried_again_where_it_may_have_run() {
    let server = Place::new("s1");
    let once = Settings { effect: "once", ..USUAL };
    let program = Program::start(once, &[&server]);
    let mut client = program.opens("lift-1", ",d=3000");
    let mut at_server = server.accept();
    assert!(at_server.line().starts_with("OPEN"));
    at_server.reset();
    assert_eq!(client.line(), "ERR");
    assert_eq!(client.line(), "");
    assert!(server.try_accept().is_none());
}

#[test]
fn a_silent_server_is_given_up_by_closing_in_time_for_another() {
    let (one, two) = (Place::new("s1"), Place::new("s2"));
    let program = Program::start(USUAL, &[&one, &two]);
    let mut client = program.opens("lift-1", ",d=900");
    let mut silent = within(LONG, || one.try_accept().or_else(|| two.try_accept()));
    assert!(silent.line().starts_with("OPEN"));
    let mut next = within(LONG, || one.try_accept().or_else(|| two.try_accept()));
    assert_eq!(silent.line(), "", "one at a time");
    next.say("UP 0123\r\n");
    assert_eq!(client.line(), "UP 0123");
}

#[test]
fn a_connect_that_does_not_come_up_in_the_dial_time_has_not_run() {
    let (clogged, _first) = Place::clogged("s1");
    let once = Settings { effect: "once", dial_ms: 100, ..USUAL };
    let program = Program::start(once, &[&clogged]);
    let began = Instant::now();
    let mut client = program.opens("lift-1", ",d=3000");
    let answer = client.line();
    assert!(answer.starts_with("BUSY "), "{answer}");
    assert!(began.elapsed() < Duration::from_millis(1500), "at once when given up");
}

#[test]
fn a_client_gone_while_its_connect_is_out_takes_the_connect_with_it() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let client = program.opens("lift-1", ",d=3000");
    let mut at_server = server.accept();
    assert!(at_server.line().starts_with("OPEN"));
    drop(client);
    assert_eq!(at_server.line(), "");
    assert!(server.try_accept().is_none());
}

#[test]
fn what_was_open_before_the_start_goes_to_its_server_and_is_known_mid_flow() {
    let (one, two) = (Place::new("s1"), Place::new("s2"));
    let program = Program::start(USUAL, &[&one]);
    // Where connections have no end of their own, this is how long they wait.
    let mut client = program.opens("lift-1", ",d=4294967,at=s2");
    assert!(client.is_quiet(), "its server is not known yet");
    let _call = program.hears(&[two.entry("in_service")]);
    let (mut at_server, line) = two.serve();
    assert!(line.ends_with(",at=s2"), "{line}");
    assert_eq!(client.line(), "UP 0123");
    let mut moved = program.opens("lift-1", ",d=3000,mid=1");
    let (_at_server, line) = two.serve();
    assert!(line.ends_with(",mid=1"), "{line}");
    assert_eq!(moved.line(), "UP 0123");
    client.say("M 1\r\n");
    assert_eq!(at_server.line(), "M 1", "both stand");
    let began = Instant::now();
    assert_eq!(program.opens("lift-1", ",d=3000,at=s3").line(), "ERR", "no such server");
    assert!(began.elapsed() < Duration::from_secs(3));
}

#[test]
fn a_peer_that_stops_reading_stops_the_other_and_loses_nothing() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let (mut client, at_server) = program.settles(&server);
    let line = format!("{}\r\n", "n".repeat(1000));
    let mut pouring = at_server.stream.try_clone().unwrap();
    pouring.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let mut poured = 0;
    // Until the program, its ring full, reads no more.
    while let Ok(written) = std::io::Write::write(&mut pouring, &line.as_bytes()[poured % line.len()..]) {
        poured += written;
        assert!(poured < 200 << 20, "no end to what the program takes in");
    }
    at_server.finish();
    let mut read = 0;
    while read + line.len() <= poured {
        assert_eq!(client.line().len() + 2, line.len());
        read += line.len();
    }
    drop::<Wire>(client);
}
