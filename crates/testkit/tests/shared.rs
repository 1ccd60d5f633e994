//! The state that the processes of a fleet share, in virtual time: the replicated map, and the sum of the quota
//! fractions.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade::time::DurationExt;
use shelfgrade_fleet::{Entry, Fleet, MemberId, MergeOutcome, ReplicatedMap, Version, LEASE_DURATION};
use shelfgrade_testkit::simulated_fleet::{SimulatedFleet, GOOD_NETWORK, POOR_NETWORK};

fn entry() -> impl Strategy<Value = Entry> {
    let value = prop_oneof![Just(None), prop::collection::vec(0..3u8, 0..3).prop_map(Some)];
    ("[a-d]{1,2}", 0..4u64, 0..3u64, 0..3u16, value).prop_map(
        |(key, count, writer_incarnation, owner, value)| Entry {
            key,
            version: Version { count, writer_incarnation },
            owner: MemberId(owner),
            value,
        },
    )
}

/// The content of a map with a limit of nine entries after merging `entries` in order.
fn merged(entries: &[Entry]) -> Vec<Entry> {
    let mut map = ReplicatedMap::new(9);
    for entry in entries {
        map.merge(entry.clone());
    }
    map.iter().cloned().collect()
}

/// `cases` random cases, the same in every run.
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

    /// Processes that received the same entries hold the same state, regardless of the order in which the entries
    /// arrived and of duplicates. This includes deletions, and more entries than the limit.
    #[test]
    fn merging_entries_does_not_depend_on_order_or_repetition(
        (entries, shuffled) in prop::collection::vec(entry(), 0..60)
            .prop_flat_map(|entries| (Just(entries.clone()), Just(entries).prop_shuffle())),
        repeated in 0..60usize,
    ) {
        let with_duplicates: Vec<_> = shuffled.iter().chain(shuffled.iter().take(repeated)).cloned().collect();
        prop_assert_eq!(merged(&entries), merged(&with_duplicates));
        let merged_halves: Vec<_> = merged(&entries[..entries.len() / 2]).into_iter()
            .chain(merged(&entries[entries.len() / 2..])).collect();
        prop_assert_eq!(merged(&entries), merged(&merged_halves), "merging two merged halves gives the same state");
    }
}

#[test]
fn entries_over_a_limit_are_rejected() {
    let mut map = ReplicatedMap::new(4);
    let entry = |key: String, length: usize, count: u64| Entry {
        key,
        version: Version { count, writer_incarnation: 1 },
        owner: MemberId(0),
        value: Some(vec![7; length]),
    };
    assert_eq!(map.merge(entry("a".into(), 901, 1)), MergeOutcome::Rejected);
    assert_eq!(map.merge(entry("a".repeat(97), 1, 1)), MergeOutcome::Rejected);
    assert_eq!(
        map.merge(entry("a".into(), 1, u64::MAX)),
        MergeOutcome::Rejected,
        "no writer reaches this count"
    );
    for i in 0..50 {
        map.merge(entry(format!("k{i}"), 9, 1));
    }
    assert_eq!(map.iter().count(), 4);
}

/// Injects faults: kills, suspensions, partitions and blocked links. Asserts throughout that the quota fractions of
/// all processes add up to no more than 1. Each step is a fault, the node that it affects, and how many milliseconds to
/// run after it.
fn check_total_quota(size: usize, seed: u64, steps: &[(u8, usize, u64)]) {
    let mut fleet = SimulatedFleet::<Fleet>::running(
        size,
        if seed.is_multiple_of(2) { POOR_NETWORK } else { GOOD_NETWORK },
        seed,
    );
    fleet.run_for_ms(12_000);
    for (fault, node, ms) in steps {
        let node = node % size;
        match fault % 8 {
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
            let total = fleet.total_quota_fraction();
            assert!(
                total <= 1.0 + 1e-9,
                "quota fractions add up to {total} at {:?}, after fault {fault} at node {node}",
                fleet.now
            );
        }
    }
}

proptest! {
    #![proptest_config(cases(24))]

    /// The quota fractions never add up to more than 1: while the fleet is partitioned, when a suspended process
    /// resumes with its old leases, when a killed process restarts before its leases expire, and on a network that
    /// loses, duplicates and reorders datagrams.
    #[test]
    fn quota_fractions_never_add_up_to_more_than_one(
        size in 1..9usize,
        seed in any::<u64>(),
        steps in prop::collection::vec((any::<u8>(), any::<usize>(), 0..9000u64), 1..12),
    ) {
        check_total_quota(size, seed, &steps);
    }
}

#[test]
fn quota_is_fully_used_by_a_connected_fleet_and_split_by_a_partition() {
    let rounded_total = |fleet: &SimulatedFleet| (fleet.total_quota_fraction() * 1000.0).round() / 1000.0;
    let mut fleet = SimulatedFleet::<Fleet>::running(20, GOOD_NETWORK, 7);
    fleet.run_for_ms(500);
    assert_eq!(rounded_total(&fleet), 0.5, "guaranteed shares only: earlier leases are not known yet");
    fleet.run_for_ms(15_000);
    assert_eq!(rounded_total(&fleet), 1.0);
    // A quarter of the processes fail: the others get their quota, except the units whose voters failed too.
    (0..5).for_each(|member| fleet.kill(member));
    fleet.run_for_ms(20_000);
    assert!((0.8..=0.9).contains(&rounded_total(&fleet)), "{}", rounded_total(&fleet));
    (0..5).for_each(|member| fleet.start(member));
    fleet.run_for_ms(30_000);
    assert_eq!(rounded_total(&fleet), 1.0, "restarted processes get their quota back");
    fleet.partition(|member| member < 10);
    fleet.run_for_ms(30_000);
    let first_half: f64 = (0..10).map(|member| fleet.core(member).quota_fraction(fleet.now)).sum();
    assert!(
        (0.3..=0.7).contains(&first_half) && fleet.total_quota_fraction() > 0.8,
        "first half: {first_half}, total: {}",
        fleet.total_quota_fraction()
    );
    let mut alone = SimulatedFleet::<Fleet>::new(20, GOOD_NETWORK, 7);
    alone.start(3);
    alone.run_for_ms(20_000);
    assert_eq!(
        alone.core(3).quota_fraction(alone.now),
        1.0 / 40.0,
        "a lone process has its guaranteed share only"
    );
    let mut single = SimulatedFleet::<Fleet>::running(1, GOOD_NETWORK, 7);
    single.run_for_ms(2 * LEASE_DURATION.as_ms() as u64);
    assert_eq!(single.core(0).quota_fraction(single.now), 1.0);
}
