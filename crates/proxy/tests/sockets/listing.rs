//! Stories of discovery.

use crate::stand::{list, next_call, Place, Program, Settings, PUSHED, USUAL};
use std::time::{Duration, Instant};

#[test]
fn a_proxy_without_a_list_is_not_ready() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[]);
    let mut client = program.client();
    assert_eq!(client.say("PING\r\n").line(), "ERR");
    let (mut call, path) = program.discovery.called();
    assert_eq!(path, "/catalog/members", "the whole list");
    call.say(&list(8, true, &[server.entry("in_service")]));
    next_call(&mut call);
    assert_eq!(client.say("PING\r\n").line(), "PONG");
}

#[test]
fn the_next_watch_follows_at_once_and_a_split_answer_is_put_together() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let (mut call, path) = program.discovery.called();
    assert!(path.starts_with("/catalog/members?index=7&wait="), "{path}");
    let answer = list(8, false, &[server.entry("in_service")]);
    let (head, rest) = answer.split_at(answer.len() / 2);
    call.say(head);
    std::thread::sleep(Duration::from_millis(30));
    let answered = Instant::now();
    call.say(rest);
    assert!(next_call(&mut call).contains("index=8"));
    assert!(answered.elapsed() < Duration::from_millis(150));
    let chunks = format!("{:x}\r\n{}\r\n", 36, r#"{"seq":9,"whole":false,"hosts":[    "#);
    call.say(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}2\r\n]}}\r\n0\r\n\r\n"));
    assert!(next_call(&mut call).contains("index=9"));
}

#[test]
fn a_failed_call_is_made_again_and_the_old_list_kept() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let bad = [
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno { json",
        "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"seq\":8,\"hosts\":[{\"a\":\"b\"}]}",
        "nothing like HTTP\r\n\r\n",
    ];
    for answer in bad {
        let (mut call, path) = program.discovery.called();
        assert!(path.contains("index=7"), "{path}");
        call.say(answer);
    }
    let (call, _) = program.discovery.called();
    call.reset();
    program.settles(&server);
    let _call = program.hears(&[server.entry("in_service")]);
}

#[test]
fn a_discovery_that_never_answers_is_asked_anew() {
    let program = Program::start(USUAL, &[]);
    let (mut silent, path) = program.discovery.called();
    assert_eq!(path, "/catalog/members");
    let (_call, path) = program.discovery.called();
    assert_eq!(path, "/catalog/members");
    assert_eq!(silent.line(), "", "given up by closing");
}

#[test]
fn a_new_discovery_is_asked_for_all_at_once_and_nothing_that_stands_is_touched() {
    let (one, two) = (Place::new("s1"), Place::new("s2"));
    let mut program = Program::start(USUAL, &[&one]);
    let (mut client, mut at_server) = program.settles(&one);
    let (mut old, path) = program.discovery.called();
    assert!(path.contains("index=7"), "{path}");
    program.reads_again("{ no file");
    assert!(program.logs().contains("reload failed, nothing changes"));
    program.reads_again(&program.text.clone());
    assert!(program.logs().contains("as before"));
    assert!(old.is_quiet(), "its watch goes on");

    // The new one refuses at first.
    let closed = Place::closed("discovery");
    let began = Instant::now();
    program.reads_again(&program.text_with(&closed));
    assert_eq!(old.line(), "", "its connection is dropped");
    let new = closed.opens_again();
    let (mut call, path) = new.called();
    assert_eq!(path, "/catalog/members", "versions may not match");
    call.say(&list(2, true, &[two.entry("in_service")]));
    assert!(next_call(&mut call).contains("index=2"));
    assert!(began.elapsed() < Duration::from_secs(4));
    client.say("M 1\r\n");
    assert_eq!(at_server.line(), "M 1");
    let mut next = program.opens("lift-1", ",d=3000");
    two.serve();
    assert_eq!(next.line(), "UP 0123");

    // Once more, to one that takes the connection and says nothing; then it is told to end as well.
    let last = Place::new("discovery");
    program.reads_again(&program.text_with(&last));
    let (mut silent, _) = last.called();
    let (mut call, path) = last.called();
    assert_eq!((silent.line(), &*path), (String::new(), "/catalog/members"));
    call.say(&list(1, true, &[one.entry("in_service")]));
    next_call(&mut call);
    program.reads_again(&program.text_with(&new));
    program.terminate();
    let (mut call, _) = new.called();
    call.say(&list(3, true, &[two.entry("in_service")]));
    assert!(program.ends().contains("sessions established 2"));
}

/// Where the list was pushed the program made no call at all, and went by the list known at its start for good.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_the_first_to_come_wait_for_its_word() {
    let (old, new) = (Place::new("s1"), Place::new("s2"));
    let program = Program::start(PUSHED, &[&old]);
    let (mut call, path) = program.discovery.called();
    assert_eq!(path, "/catalog/members", "all of it, so that the answer comes at once");
    let mut front = program.client();
    assert!(front.say("PING\r\n").is_quiet(), "nobody is invited yet");
    let mut client = program.opens("lift-1", ",d=3000");
    assert!(client.is_quiet() && old.try_accept().is_none(), "nor placed");
    // Lists may come indented.
    let entries = [old.entry("terminating"), new.entry("in_service")].map(|e| e.replace(',', ",\n    "));
    call.say(&list(9, true, &entries));
    assert_eq!(front.line(), "PONG");
    let _server = new.serve();
    assert_eq!(client.line(), "UP 0123");
    assert!(old.try_accept().is_none(), "it was told to drain before the process began");
    assert!(next_call(&mut call).contains("index=9"), "the watch goes on");
}

#[test]
fn a_pushed_list_that_does_not_come_keeps_nobody_waiting_past_the_bound() {
    let server = Place::new("s1");
    let program = Program::start(PUSHED, &[&server]);
    let _silent = program.discovery.called();
    let began = Instant::now();
    let (mut hasty, mut patient) = (program.opens("lift-1", ",d=600"), program.opens("lift-2", ",d=3000"));
    let _first = server.serve();
    assert_eq!(hasty.line(), "UP 0123");
    assert!(
        began.elapsed() < Duration::from_millis(550),
        "a session waits for half of its request timeout at most"
    );
    let mut front = program.client();
    assert_eq!(front.say("PING\r\n").line(), "PONG");
    let _second = server.serve();
    assert_eq!(patient.line(), "UP 0123");
    assert!(began.elapsed() < Duration::from_millis(2000));
}

/// What its agent has counts as told whether or not a watch is open: a pause before the next one is a pause blind.
#[test]
fn a_lost_watch_of_a_pushed_list_is_opened_again_at_once_but_one_that_is_refused_is_not_asked_without_end() {
    let server = Place::new("s1");
    let program = Program::start(PUSHED, &[&server]);
    let (mut call, _) = program.discovery.called();
    call.say(&list(9, true, &[server.entry("in_service")]));
    next_call(&mut call);
    let lost = Instant::now();
    call.reset();
    let (mut call, path) = program.discovery.called();
    assert!(
        path.contains("index=9") && lost.elapsed() < Duration::from_millis(150),
        "{path} {:?}",
        lost.elapsed()
    );
    let mut asked = 0;
    while lost.elapsed() < Duration::from_millis(1500) {
        call.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        call = program.discovery.called().0;
        asked += 1;
    }
    assert!((2..12).contains(&asked), "{asked}");
}

/// A silent watch was given up 21.5 s after its call, and the next call put off by up to eight seconds more in a large
/// fleet, where what it missed counts as told six seconds after it fell silent.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_what_it_missed_counts_as_told() {
    for settings in [Settings { balancers: "300", ..PUSHED }, Settings { balancers: "300", ..USUAL }] {
        let pushed = settings.discovery == "automatic";
        let (old, new) = (Place::new("s1"), Place::new("s2"));
        let program = Program::start(settings, &[&old]);
        let (mut call, _) = program.discovery.called();
        if pushed {
            call.say(&list(7, true, &[old.entry("in_service")]));
            next_call(&mut call);
        }
        let silent = Instant::now();
        let (mut call, path) = program.discovery.called();
        assert!(path.contains("index=7"), "{path}");
        assert!(silent.elapsed() < Duration::from_millis(5500), "{:?}", silent.elapsed());
        call.say(&list(8, false, &[old.entry("terminating"), new.entry("in_service")]));
        next_call(&mut call);
        let mut client = program.opens("lift-1", ",d=3000");
        let _server = new.serve();
        assert_eq!(client.line(), "UP 0123");
    }
}
