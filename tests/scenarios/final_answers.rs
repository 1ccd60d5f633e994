//! The single final answer of a session, and which sessions may be retried.

use crate::harness::*;
use shelfgrade::host::*;

#[test]
fn a_non_idempotent_session_is_not_retried_once_it_may_have_run() {
    let mut proxy = Proxy::with_four_servers();
    let non_idempotent = Arrival { class: Some(NON_IDEMPOTENT), ..arrival("job") };
    let failed = proxy.arrive(non_idempotent);
    proxy.end_attempt(failed, AttemptOutcome::ConnectionLost);
    assert_eq!((proxy.servers_tried(failed).len(), &proxy.host.failed), (1, &vec![failed]));
    let rejected = proxy.arrive(non_idempotent);
    proxy.end_attempt(rejected, AttemptOutcome::Rejected);
    assert_eq!(
        proxy.servers_tried(rejected).len(),
        2,
        "a request that was provably not executed may be sent again"
    );
    // An unknown request class counts as non-idempotent.
    let unknown = proxy.arrive(Arrival { class: None, ..arrival("what") });
    proxy.end_attempt(unknown, AttemptOutcome::TimedOut);
    assert_eq!(proxy.host.failed, [failed, unknown]);
}

#[test]
fn a_keyed_session_is_retried_only_in_its_scope_and_window() {
    let mut proxy = Proxy::with_four_servers();
    let key = key_hashed_to("a2");
    let keyed = Arrival { class: Some(KEYED), ..arrival(&key) };
    let session = proxy.arrive(keyed);
    proxy.end_attempt(session, AttemptOutcome::ConnectionLost);
    proxy.end_attempt(session, AttemptOutcome::ConnectionLost);
    assert_eq!(
        proxy.servers_tried(session),
        ["a2", "a1"],
        "only the servers of the first one's zone drop the repeated request"
    );
    assert_eq!(
        proxy.host.failed,
        [session],
        "failed, not rejected: a retry by the client may reach a server of another zone"
    );
    let mut later = Proxy::with_four_servers();
    let session = later.arrive(keyed);
    later.advance(1600);
    later.end_attempt(session, AttemptOutcome::TimedOut);
    assert_eq!((later.servers_tried(session).len(), &later.host.failed), (1, &vec![session]));
}

#[test]
fn every_session_gets_one_final_answer_by_its_deadline_and_no_attempt_after_it() {
    let mut proxy = Proxy::with_four_servers();
    let session = proxy.arrive(arrival("slow"));
    while proxy.host.rejected.is_empty() {
        let timeout = proxy.host.attempts.last().expect("an attempt").timeout;
        proxy.now = proxy.now + timeout;
        proxy.end_attempt(session, AttemptOutcome::TimedOut);
    }
    assert!(proxy.now <= shelfgrade::time::Timestamp::from_ms(60_000.0) + REQUEST_TIMEOUT);
    assert!(proxy.servers_tried(session).len() >= 2, "the timeouts leave time for another attempt");
    let before = proxy.host.attempts.len();
    proxy.end_attempt(session, AttemptOutcome::TimedOut);
    assert_eq!((proxy.host.attempts.len(), proxy.host.rejected.len()), (before, 1));
    let mut proxy = Proxy::with_four_servers();
    let closed = proxy.arrive(arrival("impatient"));
    proxy.balancer.on_client_closed(SessionId(closed));
    proxy.end_attempt(closed, AttemptOutcome::Rejected);
    assert_eq!((proxy.host.attempts.len(), proxy.host.rejected.len()), (1, 0));
}

#[test]
fn a_silent_server_is_passed_over_even_if_it_holds_no_sessions() {
    let mut proxy = Proxy::with_four_servers();
    let (usual_key, silent_key) = (key_hashed_to("a1"), key_hashed_to("a2"));
    for _ in 0..6 {
        let session = proxy.arrive(arrival(&usual_key));
        proxy.advance(10);
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.end_attempt(session, AttemptOutcome::Completed);
    }
    assert_eq!(proxy.establish(arrival(&silent_key)).as_deref(), Some("a2"));
    proxy.end_attempt(7, AttemptOutcome::Completed);
    proxy.arrive(arrival(&silent_key));
    proxy.advance(300);
    assert_ne!(proxy.establish(arrival(&silent_key)).as_deref(), Some("a2"));
}

#[test]
fn an_attempt_may_take_until_the_deadline_if_long_silences_are_usual_at_all_servers() {
    let mut proxy = Proxy::with_four_servers();
    proxy.arrive(arrival("first"));
    assert!(proxy.host.attempts[0].timeout < REQUEST_TIMEOUT);
    proxy.balancer.on_established(SessionId(1), proxy.now);
    for i in 0..6 {
        let session = proxy.arrive(arrival(&format!("jam-{i}")));
        proxy.advance(700);
        proxy.balancer.on_established(SessionId(session), proxy.now);
    }
    proxy.arrive(arrival("later"));
    assert_eq!(proxy.host.attempts.last().map(|attempt| attempt.timeout), Some(REQUEST_TIMEOUT));
}
