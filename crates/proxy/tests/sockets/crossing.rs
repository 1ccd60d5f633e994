//! Stories of two things that happen between two turns of the loop, in either order: both are made to wait while the
//! program stands still, and are found at once when it goes on.

use crate::stand::{list, next_call, Place, Program, Settings, USUAL};
use rustix::process::Signal;
use std::time::Duration;

/// The news lay unread while the first byte was written: told before, it was sent all the same.
#[test]
fn nothing_is_sent_to_a_server_whose_drain_was_told_as_its_connect_came_up() {
    for news_first in [true, false] {
        let (clogged, _first) = Place::clogged("s1");
        let program = Program::start(USUAL, &[&clogged]);
        let (mut watch, _) = program.discovery.called();
        let mut client = program.opens("lift-1", ",d=6000");
        assert!(client.is_quiet(), "its attempt is on the way");
        program.stands_still();
        let mut tell = || {
            watch.say(&list(8, false, &[clogged.entry("terminating")]));
        };
        if news_first {
            tell();
        }
        // The system tries again by itself.
        let _held = clogged.accept();
        let mut late = clogged.accept();
        if !news_first {
            tell();
        }
        program.goes_on();
        assert_eq!(late.line(), "", "news first: {news_first}");
        assert!(client.line().starts_with("BUSY "), "never sent, so another try is harmless");
    }
}

/// Servers drop repeats for so long: the second line was written once its attempt was up, however long that took.
#[test]
fn nothing_is_sent_again_where_repeats_are_no_longer_dropped_once_its_connect_is_up() {
    let first = Place::new("s1");
    let (clogged, _first) = Place::clogged("s2");
    let program = Program::start(Settings { effect: "by_key", window_ms: 700, ..USUAL }, &[&first]);
    let (mut watch, _) = program.discovery.called();
    let mut client = program.opens("lift-1", ",d=6000");
    let mut at_first = first.accept();
    assert!(at_first.line().starts_with("OPEN"));
    watch.say(&list(8, false, &[clogged.entry("in_service")]));
    assert!(next_call(&mut watch).contains("index=8"));
    at_first.reset();
    assert!(client.is_quiet(), "its second attempt is on the way");
    std::thread::sleep(Duration::from_millis(800));
    let _held = clogged.accept();
    let mut late = clogged.accept();
    assert_eq!(late.line(), "", "the first may have run, and is forgotten by now");
    let answer = client.line();
    assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
}

/// The attempt to a server that had been told to drain cost it a connection for nothing.
#[test]
fn a_session_that_comes_together_with_news_is_placed_by_the_news() {
    for news_first in [true, false] {
        let (old, new) = (Place::new("s1"), Place::new("s2"));
        let program = Program::start(USUAL, &[&old]);
        let (mut watch, _) = program.discovery.called();
        program.stands_still();
        let mut tell = || {
            watch.say(&list(8, false, &[old.entry("terminating"), new.entry("in_service")]));
        };
        if news_first {
            tell();
        }
        let mut client = program.opens("lift-1", ",d=3000");
        if !news_first {
            tell();
        }
        program.goes_on();
        let _server = new.serve();
        assert_eq!(client.line(), "UP 0123");
        assert!(old.try_accept().is_none(), "news first: {news_first}");
    }
}

/// What the old discovery had written was dropped unread with its connection.
#[test]
fn what_an_old_discovery_wrote_before_the_signal_to_leave_it_is_gone_by() {
    for news_first in [true, false] {
        let (old, new) = (Place::new("s1"), Place::new("s2"));
        let program = Program::start(USUAL, &[&old]);
        let (mut watch, _) = program.discovery.called();
        let next = Place::new("discovery");
        program.stands_still();
        let mut tell = || {
            watch.say(&list(8, false, &[old.entry("terminating"), new.entry("in_service")]));
        };
        if news_first {
            tell();
        }
        program.reads_again(&program.text_with(&next));
        if !news_first {
            tell();
        }
        program.goes_on();
        // Asked, and in no hurry to answer.
        let _call = next.called();
        let mut client = program.opens("lift-1", ",d=3000");
        let _server = new.serve();
        assert_eq!(client.line(), "UP 0123", "news first: {news_first}");
        assert!(old.try_accept().is_none());
        program.signal(Signal::TERM);
    }
}

/// It is another process, under another address, that came back under the id.
#[test]
fn a_server_that_is_gone_and_back_under_its_id_gets_nothing_over_a_connect_from_before() {
    let (clogged, _first) = Place::clogged("s1");
    let back = Place::new("s1");
    let program = Program::start(USUAL, &[&clogged]);
    let (mut watch, _) = program.discovery.called();
    let mut client = program.opens("lift-1", ",d=6000");
    assert!(client.is_quiet(), "its attempt is on the way");
    watch.say(&list(8, false, &[clogged.entry("terminated")]));
    assert!(next_call(&mut watch).contains("index=8"));
    watch.say(&list(9, false, &[back.entry("in_service")]));
    assert!(next_call(&mut watch).contains("index=9"));
    let _held = clogged.accept();
    let mut late = clogged.accept();
    assert_eq!(late.line(), "");
    // Nothing was sent, so it may be sent to what is there now.
    let _server = back.serve();
    assert_eq!(client.line(), "UP 0123");
}

/// The end found time run out and answered, though the server's answer, or the client's end, lay there.
#[test]
fn an_answer_that_lies_there_when_the_end_gives_up_waiting_is_the_final_one() {
    for leaves in [false, true] {
        let server = Place::new("s1");
        let mut program = Program::start(USUAL, &[&server]);
        let mut client = program.opens("lift-1", ",d=30000");
        let mut at_server = server.accept();
        assert!(at_server.line().starts_with("OPEN"));
        program.terminate();
        while !program.logs().contains("shutdown requested") {}
        program.stands_still();
        // Past the moment at which the end answers all that wait.
        std::thread::sleep(Duration::from_millis(3300));
        at_server.say("UP 0123\r\n");
        if leaves {
            drop(client);
        } else {
            program.goes_on();
            assert_eq!(client.line(), "UP 0123");
            continue;
        }
        program.goes_on();
        assert!(["", "reset"].contains(&&*at_server.line()));
        assert_eq!(program.exit().0, Some(0));
    }
}
