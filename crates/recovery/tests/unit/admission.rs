//! Unit tests of the recovery ramp.

use super::*;
use crate::settings::ClassPriority;
use std::collections::BTreeMap;

const ALARM: usize = 0;
const INCIDENT: usize = 1;
const STATUS: usize = 2;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms as f64)
}

fn ramp() -> RecoveryRamp {
    let priority = |ms, priority_weight| ClassPriority {
        connect_latency_objective: Some(Duration::from_millis(ms)),
        priority_weight,
    };
    let settings = RecoverySettings {
        classes: vec![priority(300, 3.0), priority(500, 5.0), priority(800, 3.0)],
        customer_shares: vec![0.6, 0.3, 0.1],
        list_wait: Duration::from_millis(2000),
        slow_start: Duration::from_millis(8000),
        max_retry_after: Duration::from_millis(2000),
    };
    RecoveryRamp::new(settings, at(1000))
}

/// A ramp whose endpoint list was agreed at 1100 ms, with one server that started at 1000 ms.
fn ramping_up() -> RecoveryRamp {
    let mut ramp = ramp();
    ramp.on_endpoint_list([Some(at(1000))].into_iter(), at(1100));
    ramp
}

fn requester(class: Option<usize>, customer: Option<usize>) -> Requester {
    Requester { class, customer }
}

fn key(i: u64) -> u64 {
    i.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

#[test]
fn states_change_in_order_and_the_ramp_is_skipped_if_all_servers_are_warm() {
    let mut warming = ramp();
    let alarm = requester(Some(ALARM), None);
    assert_eq!(warming.state(), RecoveryState::AwaitingList);
    assert!(warming.admission_turn(alarm, 1, 0.5, at(1500)).is_some_and(|turn| turn.fraction_ahead > 1.0));
    assert!(!warming.is_list_overdue(at(2900)) && warming.is_list_overdue(at(3000)));
    warming.on_endpoint_list([None, Some(at(1200))].into_iter(), at(1600));
    assert_eq!(warming.state(), RecoveryState::RampingUp);
    assert!(!warming.on_timer(at(9100)) && warming.on_timer(at(9200)));
    assert_eq!(
        (warming.state(), warming.admission_turn(alarm, 1, 0.5, at(9300))),
        (RecoveryState::Serving, None)
    );
    let mut all_warm = ramp();
    all_warm.on_endpoint_list([None, Some(at(0))].into_iter(), at(8100));
    assert_eq!(all_warm.state(), RecoveryState::Serving);
}

#[test]
fn the_tightest_objective_is_admitted_first_and_equal_ranks_have_equal_chances() {
    let mut ramp = ramping_up();
    // One third of the requests are of each class, and there is capacity for one third of all requests.
    let mut admitted: BTreeMap<usize, usize> = BTreeMap::new();
    for i in 0..2900u64 {
        let class = [STATUS, ALARM, INCIDENT][(i % 3) as usize];
        let turn =
            ramp.admission_turn(requester(Some(class), None), key(i), 0.5, at(1100 + i)).expect("a turn");
        if i >= 2300 && turn.fraction_ahead <= 1.0 / 3.0 {
            *admitted.entry(class).or_default() += 1;
        }
    }
    let incidents = admitted.get(&INCIDENT).copied().unwrap_or(0);
    assert!(admitted[&ALARM] > 180 && incidents < 20, "{admitted:?}");
    assert_eq!(admitted.get(&STATUS), None);
}

#[test]
fn a_customer_whose_classes_all_rank_last_still_receives_part_of_its_share() {
    let mut ramp = ramping_up();
    let (mut of_all, mut of_customer) = (0.0, 0.0);
    for i in 0..5000u64 {
        let (class, customer) = if i % 4 == 0 { (STATUS, 1) } else { (ALARM, 0) };
        let requester = requester(Some(class), Some(customer));
        let turn = ramp.admission_turn(requester, key(i), 0.5, at(1100 + i)).expect("a turn");
        if turn.fraction_ahead <= 0.25 {
            ramp.record_admission();
            let is_counted = f64::from(u8::from(i >= 3000));
            of_all += is_counted;
            of_customer += is_counted * f64::from(u8::from(customer == 1));
        }
    }
    let fraction = of_customer / of_all;
    assert!((0.12..=0.2).contains(&fraction), "{of_customer} of {of_all}, with a share of 0.3");
}

/// Guards against a warming server being filled beyond its limit by the first arrivals.
#[test]
fn the_first_arrivals_are_extrapolated_to_a_full_window() {
    let mut ramp = ramping_up();
    // Ten requests arrive at once. Without extrapolation, a server at full capacity would admit all of them.
    let is_admitted = |i: &u64| {
        let alarm = requester(Some(ALARM), None);
        ramp.admission_turn(alarm, key(*i), 0.5, at(1100)).expect("a turn").fraction_ahead <= 1.0
    };
    assert!((0..10).filter(is_admitted).count() <= 2);
}

#[test]
fn retries_are_spread_over_the_warm_up() {
    let mut ramp = ramp();
    let retry_after = |ramp: &mut RecoveryRamp, random_unit, ms| {
        ramp.admission_turn(requester(None, None), 1, random_unit, at(ms)).expect("a turn").retry_after
    };
    let longest = retry_after(&mut ramp, 1.0, 1100);
    assert_eq!(longest, Duration::from_millis(2000), "limited to what clients comply with");
    ramp.on_endpoint_list([Some(at(1000))].into_iter(), at(1200));
    let spread: Vec<_> =
        (0..=10).map(|i| retry_after(&mut ramp, f64::from(i) / 10.0, 1300).as_ms()).collect();
    assert!(spread.windows(2).all(|pair| pair[1] - pair[0] > 150.0), "{spread:?}");
    assert!(
        retry_after(&mut ramp, 1.0, 8800) < Duration::from_millis(400),
        "limited to the rest of the warm-up"
    );
}
