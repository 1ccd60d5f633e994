//! Stories of sessions at rest.

use crate::stand::{within, Place, Program, LONG, USUAL};

/// What the log counts under this name; a counter that never moved is left out.
fn counted(log: &str, what: &str) -> usize {
    let after = log.split(&format!("{what} ")).nth(1);
    after.and_then(|rest| rest.split([',', ';']).next()).map_or(0, |n| n.parse().expect("a number"))
}

/// A walk over all that stand, with each beat, costs a proxy of tens of thousands more than all their lines do.
#[test]
fn no_beat_looks_after_sessions_at_rest_however_many_stand() {
    const CIRCUITS: usize = 40;
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let standing: Vec<_> = (0..CIRCUITS).map(|_| program.settles(&server)).collect();
    // Who says nothing is put out by the beat that comes two seconds later: some twenty have been by then.
    assert_eq!(program.client().line(), "ERR");
    for (client, mut at_server) in standing {
        drop(client);
        assert_eq!(at_server.line(), "");
    }
    let log = program.ends();
    let looked_after = counted(&log, "session checks");
    assert!(counted(&log, "sessions established") == CIRCUITS && looked_after < CIRCUITS, "{log}");
}

/// What waits is looked after all the same: one that is to leave, and whose server never ends the line it began.
#[test]
fn a_session_that_waits_is_looked_after_among_many_at_rest() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let resting: Vec<_> = (0..8).map(|_| program.settles(&server)).collect();
    let (mut client, mut at_server) = program.settles(&server);
    at_server.say("NEWS t");
    client.say("M 1\r\n");
    assert_eq!(at_server.line(), "M 1");
    // Nothing comes back within three seconds: it is sent away, and 0.8 s later the line's end is no longer waited for.
    assert_eq!(client.line(), "", "the piece of a line, and the end");
    drop((resting, client, at_server));
    let log = program.ends();
    assert_eq!(counted(&log, "migrated inside a line"), 1, "{log}");
}

/// One whose server ended it, and whose client never ends its own side, keeps no descriptors for long.
#[test]
fn a_session_that_is_over_is_looked_after_until_its_descriptors_are_free() {
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let _resting = program.settles(&server);
    let before = program.descriptors();
    let (mut client, at_server) = program.settles(&server);
    at_server.finish();
    assert_eq!(client.line(), "");
    // One for discovery may have come meanwhile; the two sides are freed together.
    within(LONG, || (program.descriptors() <= before + 1).then_some(()));
    drop((client, at_server));
    program.ends();
}

/// A proxy that holds tens of thousands for days is asked by many more meanwhile. Servers answer the second of one id with
/// an error, which would count against their health.
#[test]
fn an_id_that_is_open_is_refused_however_many_came_since() {
    const SINCE: usize = 4200;
    let server = Place::new("s1");
    let program = Program::start(USUAL, &[&server]);
    let opens = || {
        let mut client = program.client();
        client.say("OPEN 9b1f03ab00000001 lift-1 c=alarm,d=3000\r\n");
        client
    };
    let mut resting = opens();
    let (_its_server, _) = server.serve();
    assert_eq!(resting.line(), "UP 0123");
    // Its server takes no more, so that whoever comes is answered at once.
    drop(server);
    for _ in 0..SINCE {
        program.opens("lift-2", ",d=3000").line();
    }
    assert_eq!(opens().line(), "ERR");
    let log = program.ends();
    assert_eq!(counted(&log, "duplicate request ids"), 1, "{log}");
}
