//! The quotas in use never exceed the total, in random partitions, with processes and replicas that die and restart.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade_cells::{
    encode, fleet_id, Action, CellId, Change, Delta, Key, Member, Message, Record, Scope, State, Value,
    Version, TOTAL_QUOTA,
};
use shelfgrade_testkit::cells::fleet::put;
use shelfgrade_testkit::cells::{address, CellsSimulation, FLEET, GOOD_NETWORK, POOR_NETWORK};

/// The seed is fixed, so that the cases are the same in every run.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const PROCESSES: usize = 10;

/// Two cells that have all quota between them, and as many places as members.
fn fully_granted(seed: u64) -> CellsSimulation {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 1], GOOD_NETWORK, seed);
    let mut id = 1_000_000;
    let mut submit = |simulation: &mut CellsSimulation, action: Action| {
        id += 1;
        simulation.submit(0, Change { id, action });
    };
    for cell in 0..2 {
        let quota = TOTAL_QUOTA / 2;
        submit(
            &mut simulation,
            Action::AddCell { cell: CellId(cell), region: cell as u8, capacity: 5, quota },
        );
    }
    for process in 0..PROCESSES {
        let cell = CellId(process as u16 % 2);
        let node = simulation.add_machine(format!("n{process}"), cell, cell.0 as u8);
        let action = simulation.add_member_change(0, node).action;
        submit(&mut simulation, action);
    }
    simulation.run_for_ms(20_000);
    for node in 3..simulation.nodes.len() {
        simulation.start(node);
    }
    assert!(simulation.run_until(60_000, 50, CellsSimulation::has_converged), "all processes are up to date");
    simulation
}

fn cell(simulation: &CellsSimulation, cell: u16) -> (u32, u32, Version) {
    let state = simulation.replica(0).expect("runs").state();
    let held = state.cell(CellId(cell)).expect("there");
    (held.quota, held.escrow, held.shrink_version)
}

fn submit(simulation: &mut CellsSimulation, id: u64, action: Action) {
    simulation.submit(0, Change { id, action });
}

#[test]
fn quota_moves_from_one_cell_to_another_once_all_members_acknowledge_the_shrink() {
    let mut simulation = fully_granted(1);
    let total = u64::from(TOTAL_QUOTA);
    assert_eq!(simulation.quota_in_use(), total, "all places are taken");
    submit(&mut simulation, 1, Action::ShrinkQuota { cell: CellId(0), units: TOTAL_QUOTA / 4 });
    let released = |simulation: &CellsSimulation| {
        let (quota, escrow, _) = cell(simulation, 0);
        (quota, escrow) == (TOTAL_QUOTA / 4, 0)
    };
    assert!(simulation.run_until(20_000, 50, released), "{:?}", cell(&simulation, 0));
    submit(&mut simulation, 2, Action::GrowQuota { cell: CellId(1), units: TOTAL_QUOTA / 4 });
    simulation.run_for_ms(5000);
    assert_eq!(cell(&simulation, 1).0, TOTAL_QUOTA / 4 * 3);
    assert_eq!(simulation.quota_in_use(), total);
}

#[test]
fn quota_in_escrow_is_not_released_while_a_member_has_not_acknowledged_the_shrink() {
    let mut simulation = fully_granted(2);
    let apart = simulation.nodes.len() - 2;
    assert_eq!(simulation.nodes[apart].location.cell, Some(CellId(0)));
    simulation.nodes[apart].partition = 1;
    let quota = simulation.process(apart).map(|process| process.quota());
    submit(&mut simulation, 1, Action::ShrinkQuota { cell: CellId(0), units: TOTAL_QUOTA / 2 });
    simulation.run_for_ms(300_000);
    assert_eq!(cell(&simulation, 0).1, TOTAL_QUOTA / 2, "it may still use its part");
    submit(&mut simulation, 2, Action::GrowQuota { cell: CellId(1), units: 1 });
    simulation.run_for_ms(5000);
    assert!(simulation.outcomes[&2].is_err(), "no quota is free");
    assert_eq!(simulation.process(apart).map(|process| process.quota()), quota, "it keeps its quota");
    assert!(simulation.quota_in_use() <= u64::from(TOTAL_QUOTA));
    // Its end is recorded: the release waits for nobody.
    simulation.kill(apart);
    let name = simulation.nodes[apart].name.clone();
    submit(&mut simulation, 3, Action::RecordMemberEnd { cell: CellId(0), name, incarnation: 1 });
    assert!(simulation.run_until(20_000, 50, |simulation| cell(simulation, 0).1 == 0));
}

#[test]
fn a_place_is_not_free_until_the_end_of_its_holder_is_recorded() {
    let mut simulation = fully_granted(3);
    let (gone, other) = (simulation.nodes.len() - 2, CellId(0));
    let name = simulation.nodes[gone].name.clone();
    simulation.nodes[gone].partition = 1;
    submit(&mut simulation, 1, Action::RemoveMember { cell: other, name: name.clone() });
    let node = simulation.add_machine("new".into(), other, 0);
    let addition = simulation.add_member_change(2, node);
    simulation.submit(0, addition);
    simulation.run_for_ms(20_000);
    assert!(simulation.outcomes[&2].is_err(), "it runs on, cut off, with its quota");
    assert!(simulation.process(gone).is_some_and(|process| process.quota() > 0));
    simulation.kill(gone);
    submit(&mut simulation, 3, Action::RecordMemberEnd { cell: other, name, incarnation: 1 });
    simulation.run_for_ms(2000);
    let addition = simulation.add_member_change(4, node);
    simulation.submit(0, addition);
    simulation.start(node);
    assert!(simulation.run_until(20_000, 50, |simulation| simulation
        .process(node)
        .is_some_and(|process| process.quota() > 0)));
    assert!(simulation.quota_in_use() <= u64::from(TOTAL_QUOTA));
}

#[test]
fn a_process_that_restarts_after_days_has_no_quota_by_its_snapshot() {
    let mut simulation = fully_granted(4);
    let node = simulation.nodes.len() - 1;
    simulation.kill(node);
    simulation.nodes[node].partition = 1;
    simulation.start(node);
    simulation.run_for_ms(60_000);
    let process = simulation.process(node).expect("runs");
    assert!(!process.state().is_empty(), "it has its snapshot");
    assert_eq!(process.quota(), 0, "its cell may have given up quota, and its place may have another owner");
}

#[test]
fn a_process_with_its_own_record_but_an_incomplete_log_has_no_quota() {
    let mut simulation = fully_granted(7);
    let node = simulation.nodes.len() - 1;
    (0..3).for_each(|replica| simulation.kill(replica));
    simulation.kill(node);
    simulation
        .nodes
        .iter_mut()
        .enumerate()
        .filter(|(at, _)| *at != node)
        .for_each(|(_, node)| node.partition = 1);
    simulation.start(node);
    let (to, held) = {
        let state = simulation.process(node).expect("runs").state();
        let key = Key::Member(CellId(1), simulation.nodes[node].name.clone());
        (state.complete_to(), state.get(&key).expect("kept").clone())
    };
    let slot = to.slot();
    let Some(Value::Member(member)) = held.value else { panic!("a member") };
    let (version, value) =
        (Version::at(slot + 1, 0), Some(Value::Member(Member { incarnation: 2, ..member })));
    let own = Record { key: held.key, version, value };
    let give = |simulation: &mut CellsSimulation, after, upto, head, records: Vec<Record>| {
        let (to, head) = (Version::end_of(upto), Version::end_of(head));
        let delta = Delta { after, to, head, horizon: Version(0), digest: 0, records };
        simulation.inject(address(0), node, &encode(fleet_id(FLEET), &Message::Delta(delta)));
    };
    give(&mut simulation, to, slot + 1, slot + 9, vec![own]);
    let quota = |simulation: &CellsSimulation| simulation.process(node).map(|process| process.quota());
    assert_eq!(
        quota(&simulation),
        Some(0),
        "a record that is still missing may have taken quota from its cell"
    );
    give(&mut simulation, Version::end_of(slot + 1), slot + 9, slot + 9, vec![]);
    assert_eq!(quota(&simulation), Some(TOTAL_QUOTA / 10));
}

/// Two processes of one name: the older one is cut off, still runs, and is recorded as ended.
#[test]
fn the_check_of_the_sum_finds_a_member_wrongly_recorded_as_ended() {
    let mut simulation = fully_granted(5);
    let alive = simulation.nodes.len() - 2;
    let name = simulation.nodes[alive].name.clone();
    simulation.nodes[alive].partition = 1;
    submit(&mut simulation, 1, Action::RecordMemberEnd { cell: CellId(0), name, incarnation: 1 });
    let node = simulation.add_machine("new".into(), CellId(0), 0);
    let addition = simulation.add_member_change(2, node);
    simulation.submit(0, addition);
    simulation.start(node);
    let over = |simulation: &CellsSimulation| simulation.quota_in_use() > u64::from(TOTAL_QUOTA);
    assert!(simulation.run_until(20_000, 50, over), "the check finds nothing: {}", simulation.quota_in_use());
}

/// A delegate that submits a release before all members have acknowledged the shrink.
#[test]
fn the_check_of_the_sum_finds_a_release_without_acknowledgements() {
    let mut simulation = fully_granted(6);
    let apart = simulation.nodes.len() - 2;
    simulation.nodes[apart].partition = 1;
    submit(&mut simulation, 1, Action::ShrinkQuota { cell: CellId(0), units: TOTAL_QUOTA / 2 });
    simulation.run_for_ms(3000);
    let (_, _, shrink_version) = cell(&simulation, 0);
    submit(&mut simulation, 2, Action::ReleaseEscrow { cell: CellId(0), shrink_version });
    submit(&mut simulation, 3, Action::GrowQuota { cell: CellId(1), units: TOTAL_QUOTA / 2 });
    let over = |simulation: &CellsSimulation| simulation.quota_in_use() > u64::from(TOTAL_QUOTA);
    assert!(simulation.run_until(20_000, 50, over), "the check finds nothing: {}", simulation.quota_in_use());
}

proptest! {
    #![proptest_config(cases(192))]

    /// Random partitions, losses, kills, starts, shrinks and grows, with a check four times a second.
    #[test]
    fn quotas_in_use_never_exceed_the_total_and_all_processes_converge_after_a_partition(
        steps in prop::collection::vec((0..12u8, 0..26usize, 1..4000u64), 10..50),
        seed in any::<u64>(),
    ) {
        let mut simulation = fully_granted(seed).with_horizon(16);
        simulation.network = POOR_NETWORK;
        let mut id = 0;
        for (what, node, ms) in &steps {
            id += 1;
            let (node, of) = (node % 13, CellId((node % 2) as u16));
            let process = 3 + node % PROCESSES;
            match what % 12 {
                0 => simulation.kill(node),
                1 if !simulation.is_running(node) => {
                    if node < 3 { simulation.start(node) } else { simulation.replace_process(5000 + id, node, 1) }
                }
                2 | 3 => simulation.nodes[node].partition = 1 + node as u8 % 2,
                4 => simulation.nodes.iter_mut().for_each(|node| node.partition = 0),
                5 => {
                    // A process ends and reports that; another one replaces it.
                    simulation.kill(process);
                    let (name, incarnation) = (simulation.nodes[process].name.clone(), simulation.nodes[process].incarnation);
                    let cell = simulation.nodes[process].location.cell.unwrap_or_default();
                    simulation.submit(node % 3, Change { id, action: Action::RecordMemberEnd { cell, name, incarnation } });
                    let addition = simulation.add_member_change(7000 + id, process);
                    simulation.submit(node % 3, addition);
                    simulation.start(process);
                }
                6 | 7 => simulation.submit(node % 3, Change { id, action: Action::ShrinkQuota { cell: of, units: 100_000 } }),
                8 | 9 => simulation.submit(node % 3, Change { id, action: Action::GrowQuota { cell: of, units: 100_000 } }),
                10 => simulation.replace_process(5000 + id, process, 1),
                _ => simulation.submit(node % 3, put(id, &format!("k{}", id % 4), "v")),
            }
            let mut left = *ms;
            while left > 0 {
                let step = left.min(250);
                simulation.run_for_ms(step);
                left -= step;
                prop_assert!(simulation.quota_in_use() <= u64::from(TOTAL_QUOTA), "{} of {TOTAL_QUOTA}", simulation.quota_in_use());
            }
        }
        prop_assert!(simulation.slot_value_check.conflicts.is_empty());
        simulation.network = GOOD_NETWORK;
        for node in 0..simulation.nodes.len() {
            simulation.nodes[node].partition = 0;
            if !simulation.is_running(node) {
                if node < 3 { simulation.start(node) } else { simulation.replace_process(90_000 + node as u64, node, 1) }
            }
        }
        let agree = |simulation: &CellsSimulation| {
            let to: Vec<_> = simulation.processes().map(|(_, process)| (process.state().is_complete(), process.state().complete_to())).collect();
            let first = simulation.replica(0).map(|replica| replica.state().complete_to());
            to.iter().all(|(is_complete, to)| *is_complete && Some(*to) == first) && simulation.quota_in_use() <= u64::from(TOTAL_QUOTA)
        };
        simulation.run_for_ms(2000);
        prop_assert!(simulation.run_until(30_000, 250, agree), "the processes do not converge");
        let digests: std::collections::BTreeSet<_> = simulation.processes()
            .map(|(node, process)| (simulation.nodes[node].location.cell.map(|cell| cell.0), process.state().digest())).collect();
        prop_assert_eq!(digests.len(), 2, "one for each cell");
    }
}

/// The free quota is the total without what cells have, after any changes in any order.
#[test]
fn the_log_never_grants_more_than_the_total() {
    use nanorand::{Rng, WyRand};
    let mut rng = WyRand::new_seed(9);
    let mut state = State::new(Scope::All);
    for slot in 1..=4000u64 {
        let (cell, units) = (CellId(rng.generate_range(0..4u16)), rng.generate_range(0..400_000u32));
        let shrink_version = state.cell(cell).map_or(Version(0), |cell| cell.shrink_version);
        let action = match rng.generate_range(0..4u32) {
            0 => Action::AddCell { cell, region: 0, capacity: 3, quota: units },
            1 => Action::GrowQuota { cell, units },
            2 => Action::ShrinkQuota { cell, units },
            _ => Action::ReleaseEscrow { cell, shrink_version },
        };
        state.apply(slot, &vec![Change { id: slot, action }], 64);
        let given: u64 = state.cells().map(|(_, cell)| u64::from(cell.quota) + u64::from(cell.escrow)).sum();
        assert!(
            given <= u64::from(TOTAL_QUOTA) && state.free_quota() as u64 == u64::from(TOTAL_QUOTA) - given
        );
        assert!(state.get(&Key::Applied(slot)).is_some());
    }
}
