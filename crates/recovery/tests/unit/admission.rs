//! Stories of `order.rs` from within.

use super::*;
use std::collections::BTreeMap;

const ALARM: usize = 0;
const FAULT: usize = 1;
const STATUS: usize = 2;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms as f64)
}

fn returning() -> RecoveryRamp {
    let owed = |ms, priority_weight| ClassPriority {
        connect_latency_objective: Some(Duration::from_millis(ms)),
        priority_weight,
    };
    let classes = vec![owed(300, 3.0), owed(500, 5.0), owed(800, 3.0)];
    let spans = (Duration::from_millis(2000), Duration::from_millis(8000), Duration::from_millis(2000));
    RecoveryRamp::new(classes, vec![0.6, 0.3, 0.1], spans, at(1000))
}

fn requester(class: Option<usize>, customer: Option<usize>) -> Requester {
    Requester { class, customer }
}

fn key(i: u64) -> u64 {
    i.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

#[test]
fn states_follow_each_other_and_a_process_that_finds_warm_servers_serves_at_once() {
    let mut back = returning();
    assert_eq!(back.state(), RecoveryState::AwaitingList);
    assert!(back
        .admission_turn(requester(Some(ALARM), None), 1, 0.5, at(1500))
        .is_some_and(|turn| turn.fraction_ahead > 1.0));
    assert!(!back.waited(at(2900)) && back.waited(at(3000)));
    back.list_is_here([None, Some(at(1200))].into_iter(), at(1600));
    assert_eq!(back.state(), RecoveryState::RampingUp);
    assert!(!back.on_timer(at(9100)) && back.on_timer(at(9200)));
    assert_eq!(
        (back.state(), back.admission_turn(requester(Some(ALARM), None), 1, 0.5, at(9300))),
        (RecoveryState::Serving, None)
    );
    let mut other = returning();
    other.list_is_here([None, Some(at(0))].into_iter(), at(8100));
    assert_eq!(other.state(), RecoveryState::Serving);
}

/// After a loss of power whoever drew well was let in: as many who look at a status as who press an alarm.
#[test]
fn the_tightest_limit_goes_first_and_of_those_alike_all_have_the_same_chance() {
    let mut back = returning();
    back.list_is_here([Some(at(1000))].into_iter(), at(1100));
    // A third of each, and room for a third of all.
    let mut in_by: BTreeMap<usize, usize> = BTreeMap::new();
    for i in 0..2900u64 {
        let class = [STATUS, ALARM, FAULT][(i % 3) as usize];
        let turn =
            back.admission_turn(requester(Some(class), None), key(i), 0.5, at(1100 + i)).expect("a turn");
        if i >= 2300 && turn.fraction_ahead <= 1.0 / 3.0 {
            *in_by.entry(class).or_default() += 1;
        }
    }
    assert!(in_by[&ALARM] > 180 && in_by.get(&FAULT).copied().unwrap_or(0) < 20, "{in_by:?}");
    assert_eq!(in_by.get(&STATUS), None);
}

#[test]
fn a_customer_whose_offerings_are_all_owed_last_still_has_a_part_of_its_share() {
    let mut back = returning();
    back.list_is_here([Some(at(1000))].into_iter(), at(1100));
    let (mut all, mut its) = (0.0, 0.0);
    for i in 0..5000u64 {
        let (class, customer) = if i % 4 == 0 { (STATUS, 1) } else { (ALARM, 0) };
        let turn = back
            .admission_turn(requester(Some(class), Some(customer)), key(i), 0.5, at(1100 + i))
            .expect("a turn");
        if turn.fraction_ahead <= 0.25 {
            back.record_admission();
            let counts = f64::from(u8::from(i >= 3000));
            all += counts;
            its += counts * f64::from(u8::from(customer == 1));
        }
    }
    assert!((0.12..=0.2).contains(&(its / all)), "{its} of {all}, and its share is three tenths");
}

/// In the first second the crowd that was seen was a part of it, and all of that was let in: a cold server was sent 17
/// where 16 were its bound.
#[test]
fn the_first_of_a_crowd_are_not_taken_for_all_of_it() {
    let mut back = returning();
    back.list_is_here([Some(at(1000))].into_iter(), at(1100));
    // Ten come at once, and room is for a tenth of two seconds' crowd, which is more than all of them.
    let let_in = (0..10).filter(|i| {
        back.admission_turn(requester(Some(ALARM), None), key(*i), 0.5, at(1100))
            .expect("a turn")
            .fraction_ahead
            <= 1.0
    });
    assert!(let_in.count() <= 2);
}

#[test]
fn the_crowd_is_told_to_come_again_over_the_warm_up() {
    let mut back = returning();
    let again = |back: &mut RecoveryRamp, luck, ms| {
        back.admission_turn(requester(None, None), 1, luck, at(ms)).expect("a turn").retry_after
    };
    assert_eq!(again(&mut back, 1.0, 1100), Duration::from_millis(2000), "no longer than a client keeps to");
    back.list_is_here([Some(at(1000))].into_iter(), at(1200));
    let spread: Vec<_> = (0..=10).map(|i| again(&mut back, f64::from(i) / 10.0, 1300).as_ms()).collect();
    assert!(spread.windows(2).all(|pair| pair[1] - pair[0] > 150.0), "{spread:?}");
    assert!(
        again(&mut back, 1.0, 8800) < Duration::from_millis(400),
        "at the end of it there is little left"
    );
}
