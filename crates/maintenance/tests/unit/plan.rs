//! Stories of `plan.rs` from within.

use super::*;
use crate::schedule::{Repeats, Window};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const T0: i64 = 1_790_000_000_000 / 60_000 * 60_000;
const MINUTE: i64 = 60_000;

fn window(name: &str, site: &str, begins_min: i64, lasts_min: u32, lead_min: u32) -> Window {
    let (lasts_s, lead_s) = (lasts_min * 60, lead_min * 60);
    let begins = jiff::Timestamp::from_millisecond(T0 + begins_min * MINUTE).expect("a time");
    let begins = begins.to_zoned_datetime(jiff::tz::TimeZone::UTC).datetime().to_string();
    Window { name: name.into(), site: site.into(), begins, lasts_s, lead_s, repeats: Repeats::Once }
}

fn schedule(version: u64, windows: Vec<Window>) -> Schedule {
    let (time_zone, most_at_once, least_left) = ("UTC".into(), 1, 0.5);
    Schedule { version, time_zone, most_at_once, least_left, windows, before: Vec::new() }
}

fn sites(servers: [usize; 3]) -> BTreeMap<String, Site> {
    ["a", "b", "c"]
        .iter()
        .zip(servers)
        .map(|(name, servers)| ((*name).to_owned(), Site { servers }))
        .collect()
}

fn phase(plan: &mut Plan, minute: i64, servers: [usize; 3], site: &str) -> Phase {
    plan.at(T0 + minute * MINUTE, &sites(servers)).expect("a plan")[site].clone()
}

#[test]
fn a_site_empties_closes_and_comes_back_and_a_site_that_nobody_has_heard_of_does_nothing() {
    let mut plan =
        Plan::new(schedule(1, vec![window("w", "a", 30, 60, 20), window("x", "nowhere", 300, 60, 20)]));
    let even = [6, 6, 6];
    assert_eq!(phase(&mut plan, 9, even, "a"), Phase::Open);
    let since = T0 + 10 * MINUTE;
    assert_eq!(phase(&mut plan, 12, even, "a"), Phase::Emptying { since, begins: T0 + 30 * MINUTE });
    assert_eq!(phase(&mut plan, 30, even, "a"), Phase::Closed { until: T0 + 90 * MINUTE });
    assert_eq!(phase(&mut plan, 89, even, "a"), Phase::Closed { until: T0 + 90 * MINUTE });
    assert_eq!(phase(&mut plan, 90, even, "a"), Phase::Open);
    assert_eq!(plan.back_since("a"), Some(T0 + 89 * MINUTE));
    assert_eq!(plan.at(T0 + 310 * MINUTE, &sites(even)).expect("a plan").len(), 3);
    // A process that starts in its midst goes by it at once.
    let mut late = Plan::new(schedule(1, vec![window("w", "a", 30, 60, 20)]));
    assert_eq!(phase(&mut late, 50, even, "a"), Phase::Closed { until: T0 + 90 * MINUTE });
}

#[test]
fn a_site_lost_for_real_holds_the_next_back_but_not_one_whose_window_has_begun() {
    let mut plan = Plan::new(schedule(1, vec![window("w", "a", 30, 60, 20)]));
    let why = |phase| match phase {
        Phase::HeldBack { why } => why,
        other => panic!("{other:?}"),
    };
    assert!(matches!(phase(&mut plan, 12, [6, 6, 6], "a"), Phase::Emptying { .. }));
    assert!(why(phase(&mut plan, 14, [9, 0, 6], "a")).contains("0.40 of the servers would be left"));
    assert!(why(phase(&mut plan, 15, [9, 0, 0], "a")).contains("the last site"));
    assert!(matches!(phase(&mut plan, 16, [6, 6, 6], "a"), Phase::Emptying { .. }));
    assert!(matches!(phase(&mut plan, 31, [6, 6, 6], "a"), Phase::Closed { .. }));
    assert!(
        matches!(phase(&mut plan, 32, [6, 0, 1], "a"), Phase::Closed { .. }),
        "it is not there to be used"
    );
}

#[test]
fn a_window_moved_or_called_off_in_its_midst_lets_its_site_come_back_and_an_older_schedule_changes_nothing() {
    let mut plan = Plan::new(schedule(2, vec![window("w", "a", 30, 60, 20)]));
    let even = [6, 6, 6];
    assert!(matches!(phase(&mut plan, 40, even, "a"), Phase::Closed { .. }));
    plan.follow(schedule(1, Vec::new()));
    assert!(matches!(phase(&mut plan, 41, even, "a"), Phase::Closed { .. }));
    plan.follow(schedule(3, vec![window("w", "a", 30, 15, 20), window("v", "b", 50, 60, 5)]));
    assert_eq!(phase(&mut plan, 46, even, "a"), Phase::Open, "shortened");
    // Who has not heard of it keeps the first one without traffic until minute 90.
    assert!(matches!(phase(&mut plan, 55, even, "b"), Phase::HeldBack { .. }));
    assert!(
        matches!(phase(&mut plan, 92, even, "b"), Phase::HeldBack { .. }),
        "the whole of it: no lead is left"
    );
}

#[test]
fn servers_go_one_after_the_other_over_the_lead_and_it_is_said_where_that_is_too_short() {
    let lead = (0, 20 * MINUTE);
    let gone = |now: i64| (0..10).filter(|place| goes(*place, 10, lead, now)).count();
    assert_eq!([0, 7, 14, 20].map(|minute| gone(minute * MINUTE)), [1, 6, 10, 10]);
    assert_eq!(short_by(600, 1.0, 20 * MINUTE), None);
    assert_eq!(short_by(1500, 1.0, 20 * MINUTE), Some(5 * MINUTE));
}

fn windows() -> impl Strategy<Value = Vec<Window>> {
    let one = (0..3usize, 0..300i64, 1..60u32, 1..30u32);
    prop::collection::vec(one, 0..4).prop_map(|all| {
        let name = |(i, (site, begins, lasts, lead)): (usize, (usize, i64, u32, u32))| {
            window(&format!("w{i}"), ["a", "b", "c"][site], begins, lasts, lead)
        };
        all.into_iter().enumerate().map(name).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// One process has heard of the new schedule and one has not, and their clocks differ by seconds: together they
    /// never have two sites without traffic where one may be, nor all three.
    #[test]
    fn processes_that_differ_in_version_and_clock_never_empty_two_sites_together(
        old in windows(), new in windows(), heard_min in 0..200i64, apart_ms in -9000..9000i64,
    ) {
        let (old, new) = (schedule(1, old), schedule(2, new));
        prop_assume!(old.check(T0).is_ok() && new.check(T0).is_ok());
        let (mut knows, mut lags) = (Plan::new(old.clone()), Plan::new(old));
        let even = sites([6, 6, 6]);
        for step in 0..800 {
            let now = T0 + step * MINUTE / 2;
            if step == heard_min * 2 {
                knows.follow(new.clone());
            }
            let without = |plan: &mut Plan, now| -> BTreeSet<String> {
                let phases = plan.at(now, &even).expect("a plan");
                let away = phases.into_iter().filter(|p| matches!(p.1, Phase::Emptying { .. } | Phase::Closed { .. }));
                away.map(|(site, _)| site).collect()
            };
            let together: BTreeSet<_> = &without(&mut knows, now) | &without(&mut lags, now + apart_ms);
            prop_assert!(together.len() <= 1, "{:?} at minute {}", together, step / 2);
        }
    }
}
