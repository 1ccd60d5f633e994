//! Stories of clients that are told to move, and of what is asked of servers.

use crate::stand::{Place, Program, Settings, USUAL};
use std::time::{Duration, Instant};

#[test]
fn nothing_is_first_sent_to_a_server_learned_to_drain_while_its_connect_came_up() {
    let (clogged, _first) = Place::clogged("s1");
    let program = Program::start(USUAL, &[&clogged]);
    let mut client = program.opens("lift-1", ",d=4000");
    let _call = program.hears(&[clogged.entry("terminating")]);
    let _held = clogged.accept();
    // The attempt comes up when the system next tries, or is given up before.
    assert!(client.line().starts_with("BUSY "));
    if let Some(mut late) = clogged.try_accept() {
        assert_eq!(late.line(), "");
    }
}

#[test]
fn a_server_that_drains_has_its_clients_told_to_move_between_two_lines() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let (mut client, mut at_server) = program.settles(&server);
    at_server.say("NEWS one\r\n");
    assert_eq!(client.line(), "NEWS one");
    at_server.say("NEWS t");
    let _call = program.hears(&[server.entry("terminating")]);
    assert!(!client.is_quiet(), "the line begun passes at once");
    std::thread::sleep(Duration::from_millis(300));
    at_server.say("wo\r\nNEWS thr");
    assert_eq!((client.line(), client.line()), ("NEWS two".into(), "MOVE".into()));
    assert_eq!((client.line(), at_server.line()), ("".into(), "".into()));
}

#[test]
fn a_client_of_a_server_gone_silent_is_told_to_move_in_time() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let (mut client, _at_server) = program.settles(&server);
    let began = Instant::now();
    client.say("M 1\r\n");
    assert_eq!(client.line(), "MOVE");
    assert!(began.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_slow_sign_of_life_has_a_guest_told_to_move() {
    let server = Place::new("s1");
    let program = Program::start(Settings { probes: true, ..USUAL }, &[&server]);
    let (mut client, _at_server) = program.settles(&server);
    let mut probe = server.accept();
    assert_eq!(probe.line(), "PING");
    probe.say("PONG\r\n");
    assert_eq!(probe.line(), "PING", "over the same connection");
    std::thread::sleep(Duration::from_millis(400));
    probe.say("PONG\r\n");
    assert_eq!(client.line(), "MOVE");
}

#[test]
fn a_servers_note_that_messages_take_long_has_a_guest_told_to_move_and_nothing_is_probed() {
    let server = Place::new("s1");
    let program = Program::start(Settings { probes: true, tells_delay: true, ..USUAL }, &[&server]);
    let (mut client, mut at_server) = program.settles(&server);
    at_server.say("LOAD 61234.5\r\n");
    assert_eq!(client.line(), "LOAD 61234.5");
    assert!(client.is_quiet(), "a connection's load, and no cause to move");
    // Past the time in which a probe would have come.
    std::thread::sleep(Duration::from_millis(300));
    at_server.say("LOAD 212.25\r\n");
    assert_eq!((client.line(), client.line()), ("LOAD 212.25".into(), "MOVE".into()));
    assert!(server.try_accept().is_none());
}

/// One of a hundred proxies sees no server's load: three are asked, and who answers first gets the client.
#[test]
fn of_a_groups_servers_the_first_to_give_a_sign_of_life_is_connected_to_and_the_sign_leaves_nothing_open() {
    let places = ["s1", "s2", "s3"].map(Place::new);
    let settings = Settings { probes: true, tells_delay: true, aim_ms: 5000, quota: "1", ..USUAL };
    let program = Program::start(settings, &places.each_ref());
    let mut client = program.opens("lift-1", ",d=20000,g=bank");
    let mut signs = places.each_ref().map(Place::accept);
    signs.iter_mut().for_each(|sign| assert_eq!(sign.line(), "PING"));
    assert!(places.iter().all(|place| place.try_accept().is_none()), "nobody is connected to unasked");
    signs[1].say("PONG\r\n");
    let (_at_server, line) = places[1].serve();
    assert!(line.contains(" lift-1 "), "{line}");
    assert_eq!((client.line(), signs[1].line()), ("UP 0123".into(), "".into()));
    signs[0].say("PONG\r\n");
    assert_eq!(signs[0].line(), "");
    assert!(places[0].try_accept().is_none());
}
