//! Stories of `asking.rs` from within.

use super::*;

fn at(ms: f64) -> Timestamp {
    Timestamp::from_ms(1000.0 + ms)
}

fn all(size: u16) -> Vec<PollerElection> {
    let of = |me| PollerElection::new(MemberId(me), (0..size).map(MemberId), 99, at(0.0));
    (0..size).map(of).collect()
}

fn pollers(all: &[PollerElection], alive: &[MemberId], now: Timestamp) -> Vec<MemberId> {
    all.iter().filter(|one| alive.contains(&one.me) && one.is_poller(alive, now)).map(|one| one.me).collect()
}

/// After a loss of power every process asked discovery, each for itself.
#[test]
fn a_few_ask_for_all_whatever_their_number_and_others_step_in_where_those_are_gone() {
    for size in [3, 40, 300] {
        let all = all(size);
        let none = |one: &PollerElection| vec![one.me];
        let at_once = all.iter().filter(|one| one.is_poller(&none(one), at(0.0))).count();
        assert_eq!(at_once, POLLERS, "nobody has heard of anybody");
        let alive: Vec<_> = (0..size).map(MemberId).collect();
        let first = pollers(&all, &alive, at(3000.0));
        assert_eq!(first.len(), POLLERS);
        let left: Vec<_> = alive.into_iter().filter(|member| !first.contains(member)).collect();
        let next = pollers(&all, &left, at(3000.0));
        assert_eq!(next.len(), POLLERS.min(left.len()));
    }
}

#[test]
fn where_discovery_answers_no_poller_some_more_try_and_no_more_than_some() {
    let mut all = all(300);
    let alive: Vec<_> = (0..300).map(MemberId).collect();
    let first = pollers(&all, &alive, at(3000.0));
    let tell = |all: &mut Vec<PollerElection>, answered, number, now| {
        for one in all.iter_mut() {
            for from in &first {
                one.on_heartbeat(
                    *from,
                    number,
                    Heartbeat { epoch: 1, seq: 4, digest: 7, answered },
                    false,
                    now,
                );
            }
        }
    };
    tell(&mut all, false, 1, at(4000.0));
    assert_eq!(pollers(&all, &alive, at(5000.0)).len(), POLLERS);
    tell(&mut all, false, 2, at(10_000.0));
    assert_eq!(pollers(&all, &alive, at(10_000.0)).len(), AT_MOST);
    assert!(all[0].fresh(at(10_000.0)).is_none(), "nobody has had an answer");
    tell(&mut all, true, 3, at(11_000.0));
    assert_eq!(pollers(&all, &alive, at(11_000.0)).len(), POLLERS);
    assert!(all[0].fresh(at(11_000.0)).is_some() && all[0].fresh(at(17_000.0)).is_none());
}

/// What a process had kept of an poller's heartbeats from before the power went looked like an poller that is there.
#[test]
fn a_heartbeat_from_before_is_no_sign_of_life() {
    let mut one = all(3).remove(0);
    let heartbeat = || Heartbeat { epoch: 1, seq: 4, digest: 7, answered: true };
    one.on_heartbeat(MemberId(1), 900, heartbeat(), false, at(0.0));
    one.on_heartbeat(MemberId(1), 900, heartbeat(), true, at(1000.0));
    one.on_heartbeat(MemberId(1), 899, heartbeat(), true, at(1000.0));
    assert!(one.fresh(at(1000.0)).is_none());
    one.on_heartbeat(MemberId(1), 901, heartbeat(), false, at(2000.0));
    assert!(one.fresh(at(2000.0)).is_some());
    one.on_heartbeat(MemberId(2), 7, heartbeat(), true, at(9000.0));
    assert!(one.fresh(at(9000.0)).is_some(), "written since the power was back");
}
