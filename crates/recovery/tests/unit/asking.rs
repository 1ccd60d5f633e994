//! Stories of `asking.rs` from within.

use super::*;

fn at(ms: f64) -> Timestamp {
    Timestamp::from_ms(1000.0 + ms)
}

fn all(size: u16) -> Vec<Asking> {
    let of = |me| Asking::new(Seat(me), (0..size).map(Seat), 99, at(0.0));
    (0..size).map(of).collect()
}

fn askers(all: &[Asking], alive: &[Seat], now: Timestamp) -> Vec<Seat> {
    all.iter().filter(|one| alive.contains(&one.me) && one.is_asker(alive, now)).map(|one| one.me).collect()
}

/// After a loss of power every process asked discovery, each for itself.
#[test]
fn a_few_ask_for_all_whatever_their_number_and_others_step_in_where_those_are_gone() {
    for size in [3, 40, 300] {
        let all = all(size);
        let none = |one: &Asking| vec![one.me];
        let at_once = all.iter().filter(|one| one.is_asker(&none(one), at(0.0))).count();
        assert_eq!(at_once, ASKERS, "nobody has heard of anybody");
        let alive: Vec<_> = (0..size).map(Seat).collect();
        let first = askers(&all, &alive, at(3000.0));
        assert_eq!(first.len(), ASKERS);
        let left: Vec<_> = alive.into_iter().filter(|seat| !first.contains(seat)).collect();
        let next = askers(&all, &left, at(3000.0));
        assert_eq!(next.len(), ASKERS.min(left.len()));
    }
}

#[test]
fn where_discovery_answers_no_asker_some_more_try_and_no_more_than_some() {
    let mut all = all(300);
    let alive: Vec<_> = (0..300).map(Seat).collect();
    let first = askers(&all, &alive, at(3000.0));
    let tell = |all: &mut Vec<Asking>, answered, number, now| {
        for one in all.iter_mut() {
            for from in &first {
                one.heard(*from, number, Beat { epoch: 1, seq: 4, digest: 7, answered }, false, now);
            }
        }
    };
    tell(&mut all, false, 1, at(4000.0));
    assert_eq!(askers(&all, &alive, at(5000.0)).len(), ASKERS);
    tell(&mut all, false, 2, at(10_000.0));
    assert_eq!(askers(&all, &alive, at(10_000.0)).len(), AT_MOST);
    assert!(all[0].fresh(at(10_000.0)).is_none(), "nobody has had an answer");
    tell(&mut all, true, 3, at(11_000.0));
    assert_eq!(askers(&all, &alive, at(11_000.0)).len(), ASKERS);
    assert!(all[0].fresh(at(11_000.0)).is_some() && all[0].fresh(at(17_000.0)).is_none());
}

/// What a process had kept of an asker's beats from before the power went looked like an asker that is there.
#[test]
fn a_beat_from_before_is_no_sign_of_life() {
    let mut one = all(3).remove(0);
    let beat = || Beat { epoch: 1, seq: 4, digest: 7, answered: true };
    one.heard(Seat(1), 900, beat(), false, at(0.0));
    one.heard(Seat(1), 900, beat(), true, at(1000.0));
    one.heard(Seat(1), 899, beat(), true, at(1000.0));
    assert!(one.fresh(at(1000.0)).is_none());
    one.heard(Seat(1), 901, beat(), false, at(2000.0));
    assert!(one.fresh(at(2000.0)).is_some());
    one.heard(Seat(2), 7, beat(), true, at(9000.0));
    assert!(one.fresh(at(9000.0)).is_some(), "written since the power was back");
}
