//! Consensus: each slot has at most one value, in random sequences of kills, lost disks and partitions.

use nanorand::{Rng, WyRand};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade_cells::{Action, Change, Stored};
use shelfgrade_testkit::cells::{CellsSimulation, SlotValueCheck, GOOD_NETWORK, POOR_NETWORK};

/// A fixed seed makes the cases the same in every run.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn put(id: u64, key: &str, value: u8) -> Change {
    Change { id, action: Action::PutEntry { key: key.to_owned(), value: vec![value] } }
}

/// Whether all running replicas have complete and equal states.
fn replicas_have_converged(simulation: &CellsSimulation) -> bool {
    let mut states = (0..simulation.replicas).filter_map(|node| simulation.replica(node)).map(|replica| {
        let state = replica.state();
        (state.is_complete(), state.complete_to(), state.digest())
    });
    let first = states.next();
    states.all(|state| Some(state) == first && state.0)
}

#[test]
fn the_slot_value_check_finds_two_values_of_a_slot() {
    let mut slot_value_check = SlotValueCheck::default();
    slot_value_check.record_chosen(1, &vec![put(1, "k", 1)]);
    slot_value_check.record_chosen(1, &vec![put(1, "k", 1)]);
    assert!(slot_value_check.conflicts.is_empty());
    slot_value_check.record_chosen(1, &vec![put(1, "k", 2)]);
    assert_eq!(slot_value_check.conflicts, [1]);
}

/// Runs five replicas that are killed, lose their disks one at a time, and are partitioned. With `forget_votes`, a
/// replica that loses its disk votes again without recovery.
fn run_with_faults(steps: &[(u8, usize, u64)], seed: u64, forget_votes: bool) -> CellsSimulation {
    let mut simulation =
        CellsSimulation::start_replicas(&[0, 0, 1, 1, 2], POOR_NETWORK, seed).with_horizon(16);
    let mut id = 0;
    for (action, node, ms) in steps {
        let node = node % 5;
        match action % 8 {
            0 => simulation.kill(node),
            1 if !simulation.is_running(node) => simulation.start(node),
            2 => simulation.nodes[node].partition = 1,
            3 => simulation.nodes.iter_mut().for_each(|node| node.partition = 0),
            4 if forget_votes => {
                // A deliberate violation: the disk is lost, and the replica starts as a newly initialized one.
                simulation.kill(node);
                simulation.nodes[node].stored = vec![Stored::Initialized];
                simulation.start(node);
            }
            4 => {
                // One disk at a time: chosen values are lost if a majority of the disks is lost.
                let can_vote =
                    |node: usize| simulation.replica(node).is_some_and(|replica| replica.can_vote());
                if (0..5).filter(|other| *other != node && can_vote(*other)).count() == 4 {
                    simulation.kill(node);
                    simulation.nodes[node].stored.clear();
                    simulation.start(node);
                }
            }
            _ => {
                id += 1;
                simulation.submit(node, put(id, &format!("k{}", id % 3), id as u8));
            }
        }
        simulation.run_for_ms(*ms);
    }
    simulation
}

fn steps() -> impl Strategy<Value = Vec<(u8, usize, u64)>> {
    prop::collection::vec((0..8u8, 0..5usize, 1..900u64), 10..60)
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn no_slot_ever_has_two_values_and_all_replicas_converge_after_a_partition(steps in steps(), seed in any::<u64>()) {
        let mut simulation = run_with_faults(&steps, seed, false);
        prop_assert!(simulation.slot_value_check.conflicts.is_empty(), "{:?}", simulation.slot_value_check.conflicts);
        for node in 0..5 {
            simulation.nodes[node].partition = 0;
            if !simulation.is_running(node) {
                simulation.start(node);
            }
        }
        simulation.network = GOOD_NETWORK;
        simulation.submit(0, put(9999, "last", 1));
        let converged = |simulation: &CellsSimulation| replicas_have_converged(simulation) && simulation.outcomes.contains_key(&9999);
        let has_converged = simulation.run_until(30_000, 100, converged);
        let replica_states: Vec<_> = (0..5).filter_map(|node| simulation.replica(node)).map(|replica| {
            let state = replica.state();
            (replica.can_vote(), replica.slot(), state.complete_to(), state.head(), state.digest())
        }).collect();
        prop_assert!(has_converged, "the replicas did not converge: {replica_states:?}, {:?}", simulation.outcomes.get(&9999));
        prop_assert!(simulation.slot_value_check.conflicts.is_empty(), "{:?}", simulation.slot_value_check.conflicts);
    }
}

#[test]
fn the_slot_value_check_finds_replicas_that_vote_without_recovery_after_losing_their_disks() {
    let mut rng = WyRand::new_seed(3);
    let has_conflict = (0..200u64).any(|seed| {
        let mut step =
            || (rng.generate_range(0..8u8), rng.generate_range(0..5usize), rng.generate_range(1..900u64));
        let steps: Vec<_> = (0..60).map(|_| step()).collect();
        !run_with_faults(&steps, seed, true).slot_value_check.conflicts.is_empty()
    });
    assert!(has_conflict, "no conflict in 200 random runs: the check is ineffective");
}
