//! Stories of the start and the end.

use crate::stand::{Place, Program, USUAL};
use std::time::{Duration, Instant};

#[test]
fn told_to_end_it_takes_who_still_comes_and_has_all_move_late_and_one_after_the_other() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let mut standing: Vec<_> = (0..8).map(|_| program.settles(&server)).collect();
    program.terminate();
    let told = Instant::now();
    std::thread::sleep(Duration::from_millis(150));
    let mut late = program.opens("lift-2", ",d=3000");
    let (mut at_server, _) = server.serve();
    assert_eq!(late.line(), "UP 0123");
    late.say("M 1\r\n");
    assert_eq!(at_server.line(), "M 1");
    at_server.say("M 1\r\n");
    assert_eq!(late.line(), "M 1");
    let mut moved: Vec<_> = standing
        .iter_mut()
        .map(|(client, _)| {
            assert_eq!((client.line(), client.line()), ("MOVE".into(), "".into()));
            told.elapsed()
        })
        .collect();
    moved.sort();
    assert!(moved[0] > Duration::from_millis(1500), "as long as may be: {moved:?}");
    assert!(moved[7] - moved[0] > Duration::from_millis(400), "not in a crowd: {moved:?}");
    assert_eq!(late.line(), "MOVE");
    drop((standing, late));
    assert!(program.ends().contains("sessions established 9"));
    assert!(told.elapsed() < Duration::from_millis(3700), "before it is killed");
}

#[test]
fn a_session_still_unanswered_when_time_runs_out_is_forfeited() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let mut client = program.opens("lift-1", ",d=30000");
    let _silent = server.accept();
    program.terminate();
    assert_eq!(client.line(), "ERR");
    drop(client);
    assert_eq!(program.exit().0, Some(0));
}

/// Told to end, it owes an answer or a move to whoever is there, whatever they are at: what it still holds when it is
/// killed 3.7 s later is lost.
#[test]
fn told_to_end_it_settles_connections_in_every_stage_before_it_is_killed() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let (mut standing, _its_server) = program.settles(&server);
    let (mut in_a_line, mut its_server) = program.settles(&server);
    its_server.say("NEWS t");
    let (mut deaf, mut talker) = program.settles(&server);
    let mut silent = program.client();
    let mut asking = program.opens("lift-2", ",d=3000");
    let _never_answers = server.accept();
    program.terminate();
    let told = Instant::now();
    let mut front = program.client();
    assert_eq!(front.say("PING\r\n").line(), "PONG", "its front may not have noticed yet");
    let lines = 200;
    for i in 0..lines {
        talker.say(&format!("M {i}\r\n"));
    }

    assert_eq!((standing.line(), standing.line()), ("MOVE".into(), "".into()));
    // The server that began a line finishes it as late as a move waits for that.
    its_server.say("wo\r\n");
    assert_eq!((in_a_line.line(), in_a_line.line()), ("NEWS two".into(), "MOVE".into()));
    let answer = asking.line();
    assert!(answer.starts_with("BUSY") || answer == "ERR", "{answer}");
    assert!(["", "ERR", "BUSY"].contains(&&*silent.line()));
    let (code, log) = program.exit();
    assert!(code == Some(0) && log.contains("invariant violations 0"), "{code:?} {log}");
    assert!(told.elapsed() < Duration::from_millis(3700), "{:?}", told.elapsed());
    // Who reads late finds all that was sent, and the move behind it.
    (0..lines).for_each(|i| assert_eq!(deaf.line(), format!("M {i}")));
    assert_eq!((deaf.line(), deaf.line()), ("MOVE".into(), "".into()));
}
