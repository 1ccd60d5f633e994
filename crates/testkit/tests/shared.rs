//! What the processes share, in virtual time: who is there, what all know, and the sum of their parts.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade::time::DurationExt;
use shelfgrade_fleet::{Entry, Fleet, MemberId, MergeOutcome, ReplicatedMap, Version, LEASE_DURATION};
use shelfgrade_testkit::simulated_fleet::{SimulatedFleet, GOOD_NETWORK, POOR_NETWORK};

fn entry() -> impl Strategy<Value = Entry> {
    let value = prop_oneof![Just(None), prop::collection::vec(0..3u8, 0..3).prop_map(Some)];
    ("[a-d]{1,2}", 0..4u64, 0..3u64, 0..3u16, value).prop_map(|(key, count, by, owner, value)| Entry {
        key,
        version: Version { count, writer_incarnation: by },
        owner: MemberId(owner),
        value,
    })
}

fn merged(entries: &[Entry]) -> Vec<Entry> {
    let mut map = ReplicatedMap::new(9);
    for entry in entries {
        map.merge(entry.clone());
    }
    map.iter().cloned().collect()
}

/// The same cases every time.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases(256))]

    /// Whatever order rumours come in, and however often: all who heard the same know the same, deletions included, also
    /// where there is more than the bound.
    #[test]
    fn entries_merge_to_the_same_in_any_order(
        (entries, shuffled) in prop::collection::vec(entry(), 0..60)
            .prop_flat_map(|entries| (Just(entries.clone()), Just(entries).prop_shuffle())),
        again in 0..60usize,
    ) {
        let twice: Vec<_> = shuffled.iter().chain(shuffled.iter().take(again)).cloned().collect();
        prop_assert_eq!(merged(&entries), merged(&twice));
        let halves: Vec<_> = merged(&entries[..entries.len() / 2]).into_iter()
            .chain(merged(&entries[entries.len() / 2..])).collect();
        prop_assert_eq!(merged(&entries), merged(&halves), "what was merged before merges too");
    }
}

#[test]
fn what_is_over_a_bound_changes_nothing() {
    let mut map = ReplicatedMap::new(4);
    let of = |key: String, length: usize, count: u64| Entry {
        key,
        version: Version { count, writer_incarnation: 1 },
        owner: MemberId(0),
        value: Some(vec![7; length]),
    };
    assert_eq!(map.merge(of("a".into(), 901, 1)), MergeOutcome::Rejected);
    assert_eq!(map.merge(of("a".repeat(97), 1, 1)), MergeOutcome::Rejected);
    assert_eq!(map.merge(of("a".into(), 1, u64::MAX)), MergeOutcome::Rejected, "a count that nobody reached");
    for i in 0..50 {
        map.merge(of(format!("k{i}"), 9, 1));
    }
    assert_eq!(map.iter().count(), 4);
}

/// Has them draw the network, kill, stop and cut, and looks all the while at what they may do together.
fn never_more_than_the_whole(size: usize, seed: u64, steps: &[(u8, usize, u64)]) {
    let mut fleet = SimulatedFleet::<Fleet>::running(
        size,
        if seed.is_multiple_of(2) { POOR_NETWORK } else { GOOD_NETWORK },
        seed,
    );
    fleet.run_for_ms(12_000);
    for (what, node, ms) in steps {
        let node = node % size;
        match what % 8 {
            0 => fleet.kill(node),
            1 if fleet.processes[node].core.is_none() => fleet.start(node),
            2 => fleet.set_suspended(node, true),
            3 => fleet.set_suspended(node, false),
            4 => fleet.partition(|other| other <= node),
            5 => fleet.partition(|other| other % 2 == node % 2),
            6 => fleet.blocked.clear(),
            _ => drop(fleet.blocked.insert((MemberId(node as u16), MemberId(((node + 1) % size) as u16)))),
        }
        for _ in 0..(ms / 97 + 1) {
            fleet.run_for_ms(97);
            let sum = fleet.total_quota_fraction();
            assert!(sum <= 1.0 + 1e-9, "{sum} at {:?}, after {what} {node}", fleet.now);
        }
    }
}

proptest! {
    #![proptest_config(cases(24))]

    /// Two halves that cannot hear each other, a process that was stopped and wakes with its leases, one that is killed
    /// and back before they ran out, a network that loses, doubles and reorders: never more than the whole.
    #[test]
    fn parts_never_add_up_to_more_than_the_whole(
        size in 1..9usize,
        seed in any::<u64>(),
        steps in prop::collection::vec((any::<u8>(), any::<usize>(), 0..9000u64), 1..12),
    ) {
        never_more_than_the_whole(size, seed, &steps);
    }
}

#[test]
fn a_whole_fleet_has_all_of_it_one_alone_its_floor_and_either_half_about_half() {
    let whole = |fleet: &SimulatedFleet| (fleet.total_quota_fraction() * 1000.0).round() / 1000.0;
    let mut fleet = SimulatedFleet::<Fleet>::running(20, GOOD_NETWORK, 7);
    fleet.run_for_ms(500);
    assert_eq!(whole(&fleet), 0.5, "the floors, at once: nobody knows yet what was granted before");
    fleet.run_for_ms(15_000);
    assert_eq!(whole(&fleet), 1.0);
    // A quarter dies: the others have its units, all but those whose witnesses died.
    (0..5).for_each(|member| fleet.kill(member));
    fleet.run_for_ms(20_000);
    assert!((0.8..=0.9).contains(&whole(&fleet)), "{}", whole(&fleet));
    (0..5).for_each(|member| fleet.start(member));
    fleet.run_for_ms(30_000);
    assert_eq!(whole(&fleet), 1.0, "and gives them back");
    fleet.partition(|member| member < 10);
    fleet.run_for_ms(30_000);
    let half: f64 = (0..10).map(|member| fleet.core(member).quota_fraction(fleet.now)).sum();
    assert!(
        (0.3..=0.7).contains(&half) && fleet.total_quota_fraction() > 0.8,
        "{half} {}",
        fleet.total_quota_fraction()
    );
    let mut alone = SimulatedFleet::<Fleet>::new(20, GOOD_NETWORK, 7);
    alone.start(3);
    alone.run_for_ms(20_000);
    assert_eq!(
        alone.core(3).quota_fraction(alone.now),
        1.0 / 40.0,
        "able to serve, and no more than is surely its own"
    );
    let mut single = SimulatedFleet::<Fleet>::running(1, GOOD_NETWORK, 7);
    single.run_for_ms(2 * LEASE_DURATION.as_ms() as u64);
    assert_eq!(single.core(0).quota_fraction(single.now), 1.0);
}
