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
    assert!(program.ends().contains("connections up 9"));
    assert!(told.elapsed() < Duration::from_millis(3700), "before it is killed");
}

#[test]
fn a_circuit_still_unanswered_when_time_runs_out_is_forfeited() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let mut client = program.opens("lift-1", ",d=30000");
    let _silent = server.accept();
    program.terminate();
    assert_eq!(client.line(), "ERR");
    drop(client);
    assert_eq!(program.exit().0, Some(0));
}

#[test]
fn bad_start_up_files_are_one_clear_line_and_a_failure() {
    for (text, fault) in [
        ("{", "EOF while parsing"),
        (r#"{"seed":"xyz","limits":{"memory_mb":64,"sockets":64},"settings":{}}"#, "hexadecimal"),
        (r#"{"seed":"1","limits":{"memory_mb":64,"sockets":64},"settings":{}}"#, "RELAY_NAME"),
    ] {
        let (child, path) = Program::launch(text);
        let output = child.wait_with_output().unwrap();
        std::fs::remove_file(path).unwrap();
        let log = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(log.contains(fault) && log.lines().count() == 1, "{log}");
    }
}
