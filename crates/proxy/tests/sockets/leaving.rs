//! Stories of clients that leave while they wait, and of one final answer where several things happen at once. Both
//! events are made to wait while the program stands still, in either order, and are found at once when it goes on.

use crate::stand::{list, within, Place, Program, Settings, Wire, LONG, PUSHED, USUAL};
use std::time::Duration;

/// Whatever the place is sent, it is no first line; true if it was connected to at all.
pub fn gets_no_line(place: &Place) -> bool {
    let connected = place.try_accept();
    connected.map(|mut wire| assert_eq!(wire.line(), "", "{}", place.name)).is_some()
}

/// The program has had its turn: whoever comes now is answered after all that came before.
pub fn has_gone_round(program: &Program) {
    assert_eq!(program.client().say("PING\r\n").line(), "PONG");
}

/// Takes a session's connect, at whichever of two servers it came to: its wire, and the other server.
pub fn asked<'a>(one: &'a Place, two: &'a Place) -> (Wire, &'a Place) {
    let (mut wire, other) = within(LONG, || {
        let first = one.try_accept().map(|wire| (wire, two));
        first.or_else(|| two.try_accept().map(|wire| (wire, one)))
    });
    assert!(wire.line().starts_with("OPEN"));
    (wire, other)
}

fn leaves(client: Wire, by_reset: bool) {
    if by_reset {
        client.reset();
    }
}

#[test]
fn a_client_that_leaves_together_with_a_refusal_break_or_answer_is_sent_on_nowhere() {
    for (i, word) in ["BUSY\r\n", "ERR\r\n", "UP 0123\r\n", "reset", "end"].iter().enumerate() {
        for (client_first, by_reset) in [(true, false), (false, false), (true, true), (false, true)] {
            let (one, two) = (Place::new("s1"), Place::new("s2"));
            let program = Program::start(USUAL, &[&one, &two]);
            let client = program.opens(&format!("lift-{i}"), ",d=3000");
            let (mut at_server, other) = asked(&one, &two);
            program.stands_still();
            let mut client = Some(client);
            if client_first {
                client.take().into_iter().for_each(|client| leaves(client, by_reset));
            }
            let mut at_server = match *word {
                "reset" => {
                    at_server.reset();
                    None
                }
                "end" => {
                    at_server.finish();
                    Some(at_server)
                }
                word => {
                    at_server.say(word);
                    Some(at_server)
                }
            };
            client.take().into_iter().for_each(|client| leaves(client, by_reset));
            program.goes_on();
            if let Some(server) = &mut at_server {
                assert!(["", "reset"].contains(&&*server.line()), "its attempt is closed");
            }
            has_gone_round(&program);
            assert!(!gets_no_line(other), "{word:?}, client first: {client_first}, by reset: {by_reset}");
            program.ends();
        }
    }
}

#[test]
fn a_client_that_leaves_as_its_attempts_time_runs_out_is_sent_on_nowhere() {
    let (one, two) = (Place::new("s1"), Place::new("s2"));
    let program = Program::start(USUAL, &[&one, &two]);
    let client = program.opens("lift-1", ",d=900");
    let (mut silent, other) = asked(&one, &two);
    program.stands_still();
    drop(client);
    // Past the time for a first server, and for all of them.
    std::thread::sleep(Duration::from_millis(1000));
    program.goes_on();
    assert_eq!(silent.line(), "");
    has_gone_round(&program);
    assert!(!gets_no_line(other));
    program.ends();
}

#[test]
fn an_answer_that_lies_there_when_time_has_run_out_is_the_final_one() {
    for (word, heard) in [("UP 0123\r\n", "UP 0123"), ("BUSY\r\n", "BUSY"), ("ERR\r\n", "ERR")] {
        let server = Place::new("s1");
        let program = Program::start(Settings { effect: "once", ..USUAL }, &[&server]);
        let mut client = program.opens("lift-1", ",d=600");
        let mut at_server = server.accept();
        assert!(at_server.line().starts_with("OPEN"));
        program.stands_still();
        at_server.say(word);
        std::thread::sleep(Duration::from_millis(700));
        program.goes_on();
        let answer = client.line();
        assert!(answer.starts_with(heard), "{answer}");
        if heard != "UP 0123" {
            assert_eq!(client.line(), "", "one final answer");
        }
        assert!(!gets_no_line(&server));
        drop((client, at_server));
        program.ends();
    }
}

#[test]
fn a_client_that_ends_with_its_first_line_in_one_read_is_not_sent_on() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    program.stands_still();
    for by_reset in [false, true] {
        leaves(program.opens("lift-1", ",d=3000"), by_reset);
    }
    program.goes_on();
    has_gone_round(&program);
    assert!(!gets_no_line(&server));
    program.ends();
}

#[test]
fn a_client_that_leaves_while_it_waits_for_the_first_word_of_the_list_is_not_sent_on() {
    for client_first in [true, false] {
        let server = Place::new("s1");
        let program = Program::start(PUSHED, &[&server]);
        let (mut call, _) = program.discovery.called();
        let mut client = program.opens("lift-1", ",d=3000");
        assert!(client.is_quiet(), "it waits for the list");
        program.stands_still();
        let mut client = Some(client);
        if client_first {
            client.take();
        }
        call.say(&list(9, true, &[server.entry("in_service")]));
        client.take();
        program.goes_on();
        has_gone_round(&program);
        // The news may be heard first: then it is connected to, and nothing is sent.
        gets_no_line(&server);
        program.ends();
    }
}

#[test]
fn a_client_that_leaves_as_its_connect_comes_up_is_not_sent_on() {
    for client_first in [true, false] {
        let (clogged, _first) = Place::clogged("s1");
        let program = Program::start(USUAL, &[&clogged]);
        let mut client = program.opens("lift-1", ",d=6000");
        assert!(client.is_quiet(), "its attempt is on the way");
        program.stands_still();
        let mut client = Some(client);
        if client_first {
            client.take();
        }
        let _held = clogged.accept();
        let mut late = clogged.accept();
        client.take();
        program.goes_on();
        assert_eq!(late.line(), "");
        program.ends();
    }
}

#[test]
fn a_client_that_leaves_together_with_a_sign_of_life_is_not_sent_on() {
    for client_first in [true, false] {
        let places = ["s1", "s2", "s3"].map(Place::new);
        let settings = Settings { probes: true, tells_delay: true, aim_ms: 5000, quota: "1", ..USUAL };
        let program = Program::start(settings, &places.each_ref());
        let client = program.opens("lift-1", ",d=20000,g=bank");
        let mut signs = places.each_ref().map(Place::accept);
        signs.iter_mut().for_each(|sign| assert_eq!(sign.line(), "PING"));
        program.stands_still();
        let mut client = Some(client);
        if client_first {
            client.take();
        }
        for sign in &mut signs {
            sign.say("PONG\r\n");
        }
        client.take();
        program.goes_on();
        signs.iter_mut().for_each(|sign| assert_eq!(sign.line(), ""));
        has_gone_round(&program);
        for place in &places {
            gets_no_line(place);
        }
        program.ends();
    }
}

/// It drained since it was asked for a sign of life: what is told by now decides, not what was asked.
#[test]
fn a_sign_of_life_of_a_server_that_drains_by_now_gets_it_nothing() {
    for news_first in [true, false] {
        let places = ["s1", "s2", "s3"].map(Place::new);
        let settings = Settings { probes: true, tells_delay: true, aim_ms: 5000, quota: "1", ..USUAL };
        let program = Program::start(settings, &places.each_ref());
        let (mut watch, _) = program.discovery.called();
        let mut client = program.opens("lift-1", ",d=20000,g=bank");
        let mut signs = places.each_ref().map(Place::accept);
        signs.iter_mut().for_each(|sign| assert_eq!(sign.line(), "PING"));
        program.stands_still();
        let news = list(8, false, &[places[1].entry("terminating")]);
        if news_first {
            watch.say(&news);
        }
        signs[1].say("PONG\r\n");
        if !news_first {
            watch.say(&news);
        }
        program.goes_on();
        let (mut at_server, _) = asked(&places[0], &places[2]);
        at_server.say("UP 0123\r\n");
        assert_eq!(client.line(), "UP 0123", "news first: {news_first}");
        gets_no_line(&places[1]);
    }
}

/// A second attempt went by the list that the first one was placed by.
#[test]
fn a_second_attempt_goes_by_the_news_that_came_with_the_first_ones_refusal() {
    for news_first in [true, false] {
        let (one, two) = (Place::new("s1"), Place::new("s2"));
        let program = Program::start(USUAL, &[&one, &two]);
        let (mut watch, _) = program.discovery.called();
        let mut client = program.opens("lift-1", ",d=3000");
        let (mut at_server, other) = asked(&one, &two);
        program.stands_still();
        let news = list(8, false, &[other.entry("terminating")]);
        if news_first {
            watch.say(&news);
        }
        at_server.say("BUSY\r\n");
        if !news_first {
            watch.say(&news);
        }
        program.goes_on();
        assert!(client.line().starts_with("BUSY"), "there is no other server now");
        gets_no_line(other);
    }
}

/// The server closed it before a byte was written: nothing can have run, whatever the class.
#[test]
fn a_connection_that_its_server_closed_before_the_first_line_was_written_has_not_run() {
    for by_reset in [true, false] {
        let (clogged, _first) = Place::clogged("s1");
        let program = Program::start(Settings { effect: "once", attempts: 1, ..USUAL }, &[&clogged]);
        let mut client = program.opens("lift-1", ",d=6000");
        assert!(client.is_quiet(), "its attempt is on the way");
        program.stands_still();
        let _held = clogged.accept();
        let late = clogged.accept();
        if by_reset {
            late.reset();
        } else {
            drop(late);
        }
        program.goes_on();
        assert!(client.line().starts_with("BUSY"), "by reset: {by_reset}");
    }
}
