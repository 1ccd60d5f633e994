//! The sum of the quotas in use never exceeds the total, in random partitions and with processes and replicas that are
//! killed and restarted.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade_cells::{
    encode, fleet_id, Action, CellId, Change, Delta, Key, Member, Message, Record, Scope, State, Value,
    Version, TOTAL_QUOTA,
};
use shelfgrade_testkit::cells::fleet::put;
use shelfgrade_testkit::cells::{address, CellsSimulation, FLEET, GOOD_NETWORK, POOR_NETWORK};

/// A fixed seed makes the cases the same in every run.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const PROCESSES: usize = 10;

/// Two cells that share the total quota and are at their capacity.
fn fully_assigned_quota(seed: u64) -> CellsSimulation {
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
    assert!(
        simulation.run_until(60_000, 50, CellsSimulation::has_converged),
        "the processes did not converge"
    );
    simulation
}

fn cell(simulation: &CellsSimulation, cell: u16) -> (u32, u32, Version) {
    let state = simulation.replica(0).expect("a running replica").state();
    let cell = state.cell(CellId(cell)).expect("a known cell");
    (cell.quota, cell.escrow, cell.shrink_version)
}

fn submit(simulation: &mut CellsSimulation, id: u64, action: Action) {
    simulation.submit(0, Change { id, action });
}

#[test]
fn quota_moves_from_one_cell_to_another_once_all_members_acknowledge_the_shrink() {
    let mut simulation = fully_assigned_quota(1);
    let total = u64::from(TOTAL_QUOTA);
    assert_eq!(simulation.quota_in_use(), total, "both cells are at their capacity");
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
    let mut simulation = fully_assigned_quota(2);
    let partitioned = simulation.nodes.len() - 2;
    assert_eq!(simulation.nodes[partitioned].location.cell, Some(CellId(0)));
    simulation.nodes[partitioned].partition = 1;
    let quota = simulation.process(partitioned).map(|process| process.quota());
    submit(&mut simulation, 1, Action::ShrinkQuota { cell: CellId(0), units: TOTAL_QUOTA / 2 });
    simulation.run_for_ms(300_000);
    assert_eq!(cell(&simulation, 0).1, TOTAL_QUOTA / 2, "the partitioned member may still use its share");
    submit(&mut simulation, 2, Action::GrowQuota { cell: CellId(1), units: 1 });
    simulation.run_for_ms(5000);
    assert!(simulation.outcomes[&2].is_err(), "no quota is free");
    assert_eq!(
        simulation.process(partitioned).map(|process| process.quota()),
        quota,
        "the partitioned member must keep its quota"
    );
    assert!(simulation.quota_in_use() <= u64::from(TOTAL_QUOTA));
    // Once the member is recorded as ended, its acknowledgement is not needed for the release.
    simulation.kill(partitioned);
    let name = simulation.nodes[partitioned].name.clone();
    submit(&mut simulation, 3, Action::RecordMemberEnd { cell: CellId(0), name, incarnation: 1 });
    assert!(simulation.run_until(20_000, 50, |simulation| cell(simulation, 0).1 == 0));
}

#[test]
fn the_index_of_a_removed_member_is_not_free_until_the_member_is_recorded_as_ended() {
    let mut simulation = fully_assigned_quota(3);
    let (removed, cell) = (simulation.nodes.len() - 2, CellId(0));
    let name = simulation.nodes[removed].name.clone();
    simulation.nodes[removed].partition = 1;
    submit(&mut simulation, 1, Action::RemoveMember { cell, name: name.clone() });
    let node = simulation.add_machine("new".into(), cell, 0);
    let add_member = simulation.add_member_change(2, node);
    simulation.submit(0, add_member);
    simulation.run_for_ms(20_000);
    assert!(simulation.outcomes[&2].is_err(), "the partitioned process still runs and uses its quota");
    assert!(simulation.process(removed).is_some_and(|process| process.quota() > 0));
    simulation.kill(removed);
    submit(&mut simulation, 3, Action::RecordMemberEnd { cell, name, incarnation: 1 });
    simulation.run_for_ms(2000);
    let add_member = simulation.add_member_change(4, node);
    simulation.submit(0, add_member);
    simulation.start(node);
    assert!(simulation.run_until(20_000, 50, |simulation| simulation
        .process(node)
        .is_some_and(|process| process.quota() > 0)));
    assert!(simulation.quota_in_use() <= u64::from(TOTAL_QUOTA));
}

#[test]
fn a_process_that_restarts_from_a_snapshot_without_contact_has_no_quota() {
    let mut simulation = fully_assigned_quota(4);
    let node = simulation.nodes.len() - 1;
    simulation.kill(node);
    simulation.nodes[node].partition = 1;
    simulation.start(node);
    simulation.run_for_ms(60_000);
    let process = simulation.process(node).expect("a running process");
    assert!(!process.state().is_empty(), "the process must restore its snapshot");
    assert_eq!(
        process.quota(),
        0,
        "its cell may have been shrunk, and its index may be assigned to another member"
    );
}

#[test]
fn a_process_with_its_own_record_but_an_incomplete_log_has_no_quota() {
    let mut simulation = fully_assigned_quota(7);
    let node = simulation.nodes.len() - 1;
    (0..3).for_each(|replica| simulation.kill(replica));
    simulation.kill(node);
    simulation
        .nodes
        .iter_mut()
        .enumerate()
        .filter(|(index, _)| *index != node)
        .for_each(|(_, node)| node.partition = 1);
    simulation.start(node);
    let (to, previous) = {
        let state = simulation.process(node).expect("a running process").state();
        let key = Key::Member(CellId(1), simulation.nodes[node].name.clone());
        (state.complete_to(), state.get(&key).expect("in the snapshot").clone())
    };
    let slot = to.slot();
    let Some(Value::Member(member)) = previous.value else { panic!("not a member record") };
    let (version, value) =
        (Version::at(slot + 1, 0), Some(Value::Member(Member { incarnation: 2, ..member })));
    let own_record = Record { key: previous.key, version, value };
    let deliver = |simulation: &mut CellsSimulation, after, to_slot, head_slot, records: Vec<Record>| {
        let (to, head) = (Version::end_of(to_slot), Version::end_of(head_slot));
        let delta = Delta { after, to, head, horizon: Version(0), digest: 0, records };
        simulation.inject(address(0), node, &encode(fleet_id(FLEET), &Message::Delta(delta)));
    };
    deliver(&mut simulation, to, slot + 1, slot + 9, vec![own_record]);
    let quota = |simulation: &CellsSimulation| simulation.process(node).map(|process| process.quota());
    assert_eq!(quota(&simulation), Some(0), "a missing record may have shrunk the cell");
    deliver(&mut simulation, Version::end_of(slot + 1), slot + 9, slot + 9, vec![]);
    assert_eq!(quota(&simulation), Some(TOTAL_QUOTA / 10));
}

/// A partitioned process is recorded as ended although it still runs, and its index is assigned to a new member.
#[test]
fn the_quota_check_finds_a_member_wrongly_recorded_as_ended() {
    let mut simulation = fully_assigned_quota(5);
    let running = simulation.nodes.len() - 2;
    let name = simulation.nodes[running].name.clone();
    simulation.nodes[running].partition = 1;
    submit(&mut simulation, 1, Action::RecordMemberEnd { cell: CellId(0), name, incarnation: 1 });
    let node = simulation.add_machine("new".into(), CellId(0), 0);
    let add_member = simulation.add_member_change(2, node);
    simulation.submit(0, add_member);
    simulation.start(node);
    let exceeds_total = |simulation: &CellsSimulation| simulation.quota_in_use() > u64::from(TOTAL_QUOTA);
    assert!(
        simulation.run_until(20_000, 50, exceeds_total),
        "the check found no excess: {}",
        simulation.quota_in_use()
    );
}

/// A release is submitted before all members have acknowledged the shrink.
#[test]
fn the_quota_check_finds_a_release_without_acknowledgements() {
    let mut simulation = fully_assigned_quota(6);
    let partitioned = simulation.nodes.len() - 2;
    simulation.nodes[partitioned].partition = 1;
    submit(&mut simulation, 1, Action::ShrinkQuota { cell: CellId(0), units: TOTAL_QUOTA / 2 });
    simulation.run_for_ms(3000);
    let (_, _, shrink_version) = cell(&simulation, 0);
    submit(&mut simulation, 2, Action::ReleaseEscrow { cell: CellId(0), shrink_version });
    submit(&mut simulation, 3, Action::GrowQuota { cell: CellId(1), units: TOTAL_QUOTA / 2 });
    let exceeds_total = |simulation: &CellsSimulation| simulation.quota_in_use() > u64::from(TOTAL_QUOTA);
    assert!(
        simulation.run_until(20_000, 50, exceeds_total),
        "the check found no excess: {}",
        simulation.quota_in_use()
    );
}

proptest! {
    #![proptest_config(cases(192))]

    /// Random partitions, kills, starts, shrinks and grows on a poor network; the sum is checked every 250 ms.
    #[test]
    fn quotas_in_use_never_exceed_the_total_and_all_processes_converge_after_a_partition(
        steps in prop::collection::vec((0..12u8, 0..26usize, 1..4000u64), 10..50),
        seed in any::<u64>(),
    ) {
        let mut simulation = fully_assigned_quota(seed).with_horizon(16);
        simulation.network = POOR_NETWORK;
        let mut id = 0;
        for (action, node, ms) in &steps {
            id += 1;
            let (node, cell) = (node % 13, CellId((node % 2) as u16));
            let process = 3 + node % PROCESSES;
            match action % 12 {
                0 => simulation.kill(node),
                1 if !simulation.is_running(node) => {
                    if node < 3 { simulation.start(node) } else { simulation.replace_process(5000 + id, node, 1) }
                }
                2 | 3 => simulation.nodes[node].partition = 1 + node as u8 % 2,
                4 => simulation.nodes.iter_mut().for_each(|node| node.partition = 0),
                5 => {
                    // A process ends and is recorded as ended; its successor is added as a new member.
                    simulation.kill(process);
                    let (name, incarnation) = (simulation.nodes[process].name.clone(), simulation.nodes[process].incarnation);
                    let cell = simulation.nodes[process].location.cell.unwrap_or_default();
                    simulation.submit(node % 3, Change { id, action: Action::RecordMemberEnd { cell, name, incarnation } });
                    let add_member = simulation.add_member_change(7000 + id, process);
                    simulation.submit(node % 3, add_member);
                    simulation.start(process);
                }
                6 | 7 => simulation.submit(node % 3, Change { id, action: Action::ShrinkQuota { cell, units: 100_000 } }),
                8 | 9 => simulation.submit(node % 3, Change { id, action: Action::GrowQuota { cell, units: 100_000 } }),
                10 => simulation.replace_process(5000 + id, process, 1),
                _ => simulation.submit(node % 3, put(id, &format!("k{}", id % 4), "v")),
            }
            let mut remaining_ms = *ms;
            while remaining_ms > 0 {
                let step = remaining_ms.min(250);
                simulation.run_for_ms(step);
                remaining_ms -= step;
                prop_assert!(simulation.quota_in_use() <= u64::from(TOTAL_QUOTA), "{} units in use, of {TOTAL_QUOTA}", simulation.quota_in_use());
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
        let converged = |simulation: &CellsSimulation| {
            let versions: Vec<_> = simulation.processes().map(|(_, process)| (process.state().is_complete(), process.state().complete_to())).collect();
            let first = simulation.replica(0).map(|replica| replica.state().complete_to());
            versions.iter().all(|(is_complete, to)| *is_complete && Some(*to) == first) && simulation.quota_in_use() <= u64::from(TOTAL_QUOTA)
        };
        simulation.run_for_ms(2000);
        prop_assert!(simulation.run_until(30_000, 250, converged), "the processes do not converge");
        let digests: std::collections::BTreeSet<_> = simulation.processes()
            .map(|(node, process)| (simulation.nodes[node].location.cell.map(|cell| cell.0), process.state().digest())).collect();
        prop_assert_eq!(digests.len(), 2, "one state for each cell");
    }
}

/// The free quota is the total minus quota and escrow of all cells, after any sequence of changes.
#[test]
fn the_log_never_assigns_more_than_the_total() {
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
        let assigned: u64 =
            state.cells().map(|(_, cell)| u64::from(cell.quota) + u64::from(cell.escrow)).sum();
        assert!(
            assigned <= u64::from(TOTAL_QUOTA)
                && state.free_quota() as u64 == u64::from(TOTAL_QUOTA) - assigned
        );
        assert!(state.get(&Key::Applied(slot)).is_some());
    }
}
