//! Stories of clients that have gone, in each place where a session waits between two turns: nothing begins for them any
//! more, not even an attempt. One that ends its sending alone has gone like one that closes, as a peer gives up in both ways;
//! if it still reads it has its final answer.

use crate::leaving::{asked, gets_no_line, has_gone_round};
use crate::stand::{list, next_call, within, Place, Program, Settings, Wire, LONG, PUSHED, USUAL};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
enum By {
    Reset,
    Close,
    /// It ends its sending, and goes on reading.
    HalfClose,
}

const ALL: [By; 3] = [By::Reset, By::Close, By::HalfClose];

impl By {
    /// Has it go; what is left of its connection, where it still reads.
    fn has_gone(self, client: Wire) -> Option<Wire> {
        match self {
            By::Reset => client.reset(),
            By::Close => {}
            By::HalfClose => {
                client.finish();
                return Some(client);
            }
        }
        None
    }
}

/// Who still reads has a final answer and then the end. Its request was read, and it may have ended its sending alone, which
/// nobody can tell from a close.
fn hears_the_end(rest: Option<Wire>) {
    rest.into_iter()
        .for_each(|mut client| assert_eq!((client.line(), client.line()), ("ERR".into(), "".into())));
}

/// Both happen while the program stands still, in this order.
fn both(client_first: bool, client: Wire, by: By, other: impl FnOnce()) -> Option<Wire> {
    if client_first {
        let rest = by.has_gone(client);
        other();
        return rest;
    }
    other();
    by.has_gone(client)
}

/// It was closed on with its further lines unread, which reset the connection behind the answer.
#[test]
fn a_last_answer_is_followed_by_an_end_and_no_reset_where_its_client_has_sent_on() {
    let more = "M 1\r\n".repeat(8000);
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let mut asking = program.opens("lift-1", ",d=3000");
    let mut at_server = server.accept();
    assert!(at_server.line().starts_with("OPEN"));
    program.stands_still();
    let mut bad = program.client();
    bad.say("NONSENSE\r\n").say(&more);
    asking.say(&more);
    program.goes_on();
    for client in [&mut bad, &mut asking] {
        assert_eq!((client.line(), client.line()), ("ERR".into(), "".into()));
    }
    has_gone_round(&program);
    for client in [&bad, &asking] {
        assert!(client.stream.take_error().unwrap().is_none(), "a reset came behind the end");
    }
    assert_eq!(at_server.line(), "");
    program.ends();
}

/// Of servers that are asked for a sign of life first.
const ASKS_FIRST: Settings = Settings { probes: true, tells_delay: true, aim_ms: 5000, quota: "1", ..USUAL };

fn asked_for_a_sign(places: &[Place; 3]) -> [Wire; 3] {
    let mut signs = places.each_ref().map(Place::accept);
    signs.iter_mut().for_each(|sign| assert_eq!(sign.line(), "PING"));
    signs
}

/// The sign was heard first, and an attempt went out for a client whose end lay there.
#[test]
fn nothing_is_connected_to_for_a_client_that_left_before_the_sign_of_life_it_waited_for() {
    for (by, client_first) in ALL.into_iter().flat_map(|by| [(by, true), (by, false)]) {
        let places = ["s1", "s2", "s3"].map(Place::new);
        let program = Program::start(ASKS_FIRST, &places.each_ref());
        let client = program.opens("lift-1", ",d=20000,g=bank");
        let mut signs = asked_for_a_sign(&places);
        program.stands_still();
        let rest = both(client_first, client, by, || signs.iter_mut().for_each(|s| _ = s.say("PONG\r\n")));
        program.goes_on();
        signs.iter_mut().for_each(|sign| assert_eq!(sign.line(), ""));
        hears_the_end(rest);
        has_gone_round(&program);
        assert!(!places.iter().any(gets_no_line), "{by:?}, client first: {client_first}");
        program.ends();
    }
}

/// No sign comes: the time for it is up while the program stands still.
#[test]
fn nothing_is_connected_to_for_a_client_that_left_when_no_sign_of_life_has_come_in_time() {
    for by in ALL {
        let places = ["s1", "s2", "s3"].map(Place::new);
        let program = Program::start(Settings { aim_ms: 300, ..ASKS_FIRST }, &places.each_ref());
        let client = program.opens("lift-1", ",d=20000,g=bank");
        let _signs = asked_for_a_sign(&places);
        program.stands_still();
        let rest = by.has_gone(client);
        std::thread::sleep(Duration::from_millis(400));
        program.goes_on();
        hears_the_end(rest);
        has_gone_round(&program);
        assert!(!places.iter().any(gets_no_line), "{by:?}");
        program.ends();
    }
}

/// The list was heard first, and all who had waited for it were connected for.
#[test]
fn nothing_is_connected_to_for_a_client_that_left_before_the_first_word_of_the_list() {
    for (by, client_first) in ALL.into_iter().flat_map(|by| [(by, true), (by, false)]) {
        let server = Place::new("s1");
        let program = Program::start(PUSHED, &[&server]);
        let (mut call, _) = program.discovery.called();
        let mut client = program.opens("lift-1", ",d=3000");
        assert!(client.is_quiet(), "it waits for the list");
        program.stands_still();
        let news = list(9, true, &[server.entry("in_service")]);
        let rest = both(client_first, client, by, || _ = call.say(&news));
        program.goes_on();
        next_call(&mut call);
        hears_the_end(rest);
        has_gone_round(&program);
        assert!(!gets_no_line(&server), "{by:?}, client first: {client_first}");
        program.ends();
    }
}

/// The list does not come: half of the client's request timeout is over while the program stands still.
#[test]
fn nothing_is_connected_to_for_a_client_that_left_before_its_wait_for_the_list_was_over() {
    for by in ALL {
        let server = Place::new("s1");
        let program = Program::start(PUSHED, &[&server]);
        let _call = program.discovery.called();
        let mut client = program.opens("lift-1", ",d=600");
        assert!(client.is_quiet(), "it waits for the list");
        program.stands_still();
        let rest = by.has_gone(client);
        std::thread::sleep(Duration::from_millis(400));
        program.goes_on();
        hears_the_end(rest);
        let mut other = program.opens("lift-2", ",d=3000");
        let (_at_server, line) = server.serve();
        assert!(line.contains(" lift-2 "), "{by:?}: {line}");
        assert_eq!(other.line(), "UP 0123");
        assert!(!gets_no_line(&server), "{by:?}");
        drop(other);
        program.ends();
    }
}

/// The list named its server first, and that was dialled for a client whose end lay there.
#[test]
fn nothing_is_connected_to_for_what_was_open_before_the_start_once_its_client_has_left() {
    for (by, client_first) in ALL.into_iter().flat_map(|by| [(by, true), (by, false)]) {
        let (one, two) = (Place::new("s1"), Place::new("s2"));
        let program = Program::start(USUAL, &[&one]);
        let (mut watch, _) = program.discovery.called();
        let mut client = program.opens("lift-1", ",d=3000,at=s2");
        assert!(client.is_quiet(), "it waits for the list to name its server");
        program.stands_still();
        let news = list(8, false, &[two.entry("in_service")]);
        let rest = both(client_first, client, by, || _ = watch.say(&news));
        program.goes_on();
        next_call(&mut watch);
        hears_the_end(rest);
        has_gone_round(&program);
        assert!(!gets_no_line(&two), "{by:?}, client first: {client_first}");
        program.ends();
    }
}

#[test]
fn a_connect_that_has_not_come_up_ends_when_its_client_leaves() {
    for by in ALL {
        let (clogged, _first) = Place::clogged("s1");
        let program = Program::start(USUAL, &[&clogged]);
        let _watch = program.discovery.called();
        let before = program.descriptors();
        let mut client = program.opens("lift-1", ",d=6000");
        within(LONG, || (program.descriptors() == before + 2).then_some(()));
        assert!(client.is_quiet(), "its attempt is on the way");
        let rest = by.has_gone(client);
        within(LONG, || (program.descriptors() == before).then_some(()));
        hears_the_end(rest);
        program.ends();
    }
}

#[test]
fn no_second_attempt_begins_for_a_client_that_left_before_the_first_ones_end() {
    let refused = |mut at_server: Wire| _ = at_server.say("BUSY\r\n");
    let ended = |at_server: Wire| at_server.finish();
    let reset = |at_server: Wire| at_server.reset();
    for (by, client_first) in ALL.into_iter().flat_map(|by| [(by, true), (by, false)]) {
        for end in [refused as fn(Wire), ended, reset] {
            let (one, two) = (Place::new("s1"), Place::new("s2"));
            let program = Program::start(USUAL, &[&one, &two]);
            let client = program.opens("lift-1", ",d=3000");
            let (at_server, other) = asked(&one, &two);
            program.stands_still();
            let rest = both(client_first, client, by, || end(at_server));
            program.goes_on();
            hears_the_end(rest);
            has_gone_round(&program);
            assert!(!gets_no_line(other), "{by:?}, client first: {client_first}");
            program.ends();
        }
    }
}

#[test]
fn a_client_that_ends_its_sending_behind_its_first_line_is_not_connected_for() {
    for by in ALL {
        let server = Place::new("s1");
        let program = Program::start(USUAL, &[&server]);
        program.stands_still();
        let rest = by.has_gone(program.opens("lift-1", ",d=3000"));
        program.goes_on();
        hears_the_end(rest);
        has_gone_round(&program);
        assert!(!gets_no_line(&server), "{by:?}");
        program.ends();
    }
}
