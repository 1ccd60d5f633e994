//! Stories of the one answer, and of what may be sent again.

use crate::fake::*;
use shelfgrade::host::*;

#[test]
fn a_single_use_session_is_never_sent_after_it_may_have_run() {
    let mut proxy = Proxy::of_four();
    let delicate = Arrival { class: Some(NON_IDEMPOTENT), ..plain("job") };
    let run = proxy.arrives(delicate);
    proxy.attempt_ends(run, AttemptOutcome::ConnectionLost);
    assert_eq!((proxy.sent_to(run).len(), &proxy.notes.failed), (1, &vec![run]));
    let unrun = proxy.arrives(delicate);
    proxy.attempt_ends(unrun, AttemptOutcome::Rejected);
    assert_eq!(proxy.sent_to(unrun).len(), 2, "proven not to have run, it may be sent again");
    // A request class never heard of is handled as carefully.
    let unknown = proxy.arrives(Arrival { class: None, ..plain("what") });
    proxy.attempt_ends(unknown, AttemptOutcome::TimedOut);
    assert_eq!(proxy.notes.failed, [run, unknown]);
}

#[test]
fn a_referenced_session_stays_in_its_circle_and_window() {
    let mut proxy = Proxy::of_four();
    let key = key_for("a2");
    let marked = Arrival { class: Some(KEYED), ..plain(&key) };
    let session = proxy.arrives(marked);
    proxy.attempt_ends(session, AttemptOutcome::ConnectionLost);
    proxy.attempt_ends(session, AttemptOutcome::ConnectionLost);
    assert_eq!(proxy.sent_to(session), ["a2", "a1"], "only its own zone drops the repeat");
    assert_eq!(proxy.notes.failed, [session], "no pushback: the client's next try may land anywhere");
    let mut later = Proxy::of_four();
    let session = later.arrives(marked);
    later.passes(1600);
    later.attempt_ends(session, AttemptOutcome::TimedOut);
    assert_eq!((later.sent_to(session).len(), &later.notes.failed), (1, &vec![session]));
}

#[test]
fn every_session_gets_one_answer_by_the_end_of_its_request_timeout_and_nothing_after() {
    let mut proxy = Proxy::of_four();
    let session = proxy.arrives(plain("slow"));
    while proxy.notes.rejected.is_empty() {
        let time_out = proxy.notes.attempts.last().expect("an attempt").2;
        proxy.now = proxy.now + time_out;
        proxy.attempt_ends(session, AttemptOutcome::TimedOut);
    }
    assert!(proxy.now <= shelfgrade::time::Timestamp::from_ms(60_000.0) + REQUEST_TIMEOUT);
    assert!(proxy.sent_to(session).len() >= 2, "the time-outs leave room for another attempt");
    let before = proxy.notes.attempts.len();
    proxy.attempt_ends(session, AttemptOutcome::TimedOut);
    assert_eq!((proxy.notes.attempts.len(), proxy.notes.rejected.len()), (before, 1));
    let mut proxy = Proxy::of_four();
    let left = proxy.arrives(plain("impatient"));
    proxy.balancer.on_client_closed(SessionId(left));
    proxy.attempt_ends(left, AttemptOutcome::Rejected);
    assert_eq!((proxy.notes.attempts.len(), proxy.notes.rejected.len()), (1, 0));
}

#[test]
fn a_server_that_accepts_and_never_answers_is_passed_over_though_never_met_before() {
    let mut proxy = Proxy::of_four();
    let (usual, silent) = (key_for("a1"), key_for("a2"));
    for _ in 0..6 {
        let session = proxy.arrives(plain(&usual));
        proxy.passes(10);
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.attempt_ends(session, AttemptOutcome::Completed);
    }
    assert_eq!(proxy.settles(plain(&silent)).as_deref(), Some("a2"));
    proxy.attempt_ends(7, AttemptOutcome::Completed);
    proxy.arrives(plain(&silent));
    proxy.passes(300);
    assert_ne!(proxy.settles(plain(&silent)).as_deref(), Some("a2"));
}

#[test]
fn a_connect_waits_its_request_timeout_out_where_long_silences_are_usual_everywhere() {
    let mut proxy = Proxy::of_four();
    proxy.arrives(plain("first"));
    assert!(proxy.notes.attempts[0].2 < REQUEST_TIMEOUT);
    proxy.balancer.on_established(SessionId(1), proxy.now);
    for i in 0..6 {
        let session = proxy.arrives(plain(&format!("jam-{i}")));
        proxy.passes(700);
        proxy.balancer.on_established(SessionId(session), proxy.now);
    }
    proxy.arrives(plain("later"));
    assert_eq!(proxy.notes.attempts.last().map(|c| c.2), Some(REQUEST_TIMEOUT));
}
