//! Dissemination of chosen changes to every process, and rejection of invalid datagrams.

use shelfgrade::time::{DurationExt, Timestamp};
use shelfgrade_cells::{
    encode, fleet_id, Action, CellId, Change, Delta, DeltaError, Key, LogFollower, Message, Record, Scope,
    State, Value, Version,
};
use shelfgrade_testkit::cells::fleet::{percentile, put};
use shelfgrade_testkit::cells::{address, CellsSimulation, FLEET, GOOD_NETWORK};
use std::time::Duration;

fn delete(id: u64, key: &str) -> Change {
    Change { id, action: Action::DeleteEntry { key: key.to_owned() } }
}

/// A converged fleet of four cells, whose members have discovered each other.
fn converged_fleet(processes: usize, entries: usize, seed: u64) -> CellsSimulation {
    let mut simulation = CellsSimulation::start_fleet(processes, 4, entries, GOOD_NETWORK, seed);
    assert!(simulation.run_until(60_000, 50, CellsSimulation::has_converged), "the fleet did not converge");
    simulation.run_for_ms(10_000);
    simulation.reset_measurements();
    simulation
}

#[test]
fn a_change_is_applied_everywhere_within_six_seconds_and_in_its_region_within_three() {
    let mut simulation = converged_fleet(48, 50, 1);
    let (mut all_ms, mut own_region_ms) = (Vec::new(), Vec::new());
    for id in 1..=20 {
        let node = (id % 4) as usize;
        for (region, ms) in simulation.measure_propagation(id, node, 30_000) {
            all_ms.push(ms);
            if region == simulation.nodes[node].location.region {
                own_region_ms.push(ms);
            }
        }
        simulation.run_for_ms(700);
    }
    assert!(percentile(&mut all_ms, 99.0) <= 6000.0, "{all_ms:?}");
    assert!(percentile(&mut own_region_ms, 99.0) <= 3000.0, "{own_region_ms:?}");
}

#[test]
fn the_idle_send_rate_of_a_process_does_not_grow_with_its_cell() {
    let small = {
        let mut simulation = converged_fleet(40, 50, 2);
        simulation.run_for_ms(30_000);
        simulation.send_rates(Duration::from_millis(30_000)).0
    };
    let large = {
        let mut simulation = converged_fleet(160, 50, 2);
        simulation.run_for_ms(30_000);
        simulation.send_rates(Duration::from_millis(30_000)).0
    };
    assert!(large < 1.25 * small, "bytes per second: {small:.0}, and {large:.0} with four times the members");
}

#[test]
fn no_process_sends_over_four_kilobytes_in_a_second_while_a_thousand_entries_change() {
    let mut simulation = converged_fleet(80, 1000, 3);
    for entry in 0..1000 {
        simulation
            .submit(0, put(20_000 + entry, &format!("server/{entry:05}"), "10.0.0.2:8080 cold weight 3"));
    }
    let done = |simulation: &CellsSimulation| {
        simulation.outcomes.contains_key(&20_999) && simulation.has_converged()
    };
    assert!(simulation.run_until(120_000, 100, done), "the changes did not reach all processes");
    let (_, _, max_bytes) = simulation.send_rates(Duration::from_millis(1000));
    assert!(max_bytes <= 4096, "{max_bytes} bytes in one second");
}

#[test]
fn a_process_that_starts_is_up_to_date_within_two_seconds() {
    let mut simulation = converged_fleet(48, 500, 4);
    let mut times_ms = Vec::new();
    for start in 0..20 {
        let node = simulation.replicas + start * 7 % 48;
        simulation.nodes[node].snapshot = None;
        // Starts with a snapshot all the same: `replace_process` kills the process first, which stores one.
        simulation.replace_process(500 + start as u64, node, 500);
        let started_at = simulation.now;
        let is_active = |simulation: &CellsSimulation| {
            simulation.process(node).is_some_and(|process| process.is_active())
        };
        assert!(simulation.run_until(20_000, 10, is_active));
        times_ms.push(simulation.now.since(started_at).as_ms());
    }
    assert!(percentile(&mut times_ms, 95.0) <= 2000.0, "{times_ms:?}");
}

#[test]
fn a_partitioned_region_keeps_its_quota_and_converges_within_ten_seconds_after_the_partition() {
    let mut simulation = converged_fleet(48, 50, 5);
    let set_partition = |simulation: &mut CellsSimulation, partition: u8| {
        simulation
            .nodes
            .iter_mut()
            .filter(|node| node.location.region == 2)
            .for_each(|node| node.partition = partition);
    };
    let before = simulation.quota_in_use();
    set_partition(&mut simulation, 1);
    simulation.submit(0, put(1, "far", "1"));
    simulation.run_for_ms(300_000);
    assert_eq!(simulation.quota_in_use(), before, "partitioned processes must keep their quotas");
    let informed = |simulation: &CellsSimulation| {
        simulation.processes().filter(|(_, p)| p.state().entry("far").is_some()).count()
    };
    assert_eq!(informed(&simulation), 36);
    set_partition(&mut simulation, 0);
    assert!(simulation.run_until(10_000, 50, CellsSimulation::has_converged), "{}", informed(&simulation));
    assert_eq!(informed(&simulation), 48);
}

#[test]
fn without_replicas_processes_keep_their_quota_state_and_cell_members() {
    let mut simulation = converged_fleet(48, 50, 6);
    let (quota, digests): (u64, Vec<u64>) = (
        simulation.quota_in_use(),
        simulation.processes().map(|(_, process)| process.state().digest()).collect(),
    );
    (0..simulation.replicas).for_each(|node| simulation.kill(node));
    simulation.run_for_ms(120_000);
    assert_eq!(simulation.quota_in_use(), quota);
    let digests_after: Vec<u64> =
        simulation.processes().map(|(_, process)| process.state().digest()).collect();
    assert_eq!(digests_after, digests);
    assert!(
        simulation.processes().all(|(_, process)| process.unreachable_members() == 0),
        "a process considers a member of its cell dead"
    );
}

#[test]
fn a_process_that_restarts_after_a_compaction_drops_deleted_records() {
    let mut simulation = CellsSimulation::start_fleet(12, 4, 10, GOOD_NETWORK, 7).with_horizon(16);
    assert!(simulation.run_until(60_000, 50, CellsSimulation::has_converged));
    let node = simulation.replicas + 5;
    simulation.kill(node);
    simulation.submit(0, delete(100, "server/00003"));
    for id in 200..260 {
        simulation.submit(0, put(id, &format!("server/{:05}", id % 3), "new"));
        simulation.run_for_ms(700);
    }
    let replica = simulation.replica(0).expect("a running replica").state();
    assert!(replica.get(&Key::Entry("server/00003".into())).is_none(), "the deletion was not compacted");
    simulation.replace_process(300, node, 10);
    assert!(simulation.run_until(20_000, 50, CellsSimulation::has_converged));
    let state = simulation.process(node).expect("a running process").state();
    assert!(state.entry("server/00003").is_none() && state.entry("server/00009").is_some());
}

#[test]
fn replacing_all_processes_does_not_increase_the_number_of_records() {
    let mut simulation = CellsSimulation::start_fleet(24, 4, 20, GOOD_NETWORK, 8).with_horizon(16);
    assert!(simulation.run_until(60_000, 50, CellsSimulation::has_converged));
    let records =
        |simulation: &CellsSimulation| simulation.processes().map(|(_, process)| process.state().len()).max();
    let count_before = records(&simulation);
    for round in 0..3 {
        for process in 0..24 {
            simulation.replace_process(
                1000 + 100 * round + process,
                simulation.replicas + process as usize,
                200,
            );
            simulation.run_for_ms(500);
        }
    }
    assert!(simulation.run_until(20_000, 50, CellsSimulation::has_converged));
    assert_eq!(records(&simulation), count_before);
}

#[test]
fn a_process_is_seen_by_its_cell_after_it_is_added_and_not_after_it_is_removed() {
    let mut simulation = converged_fleet(24, 20, 9);
    let node = simulation.add_machine("late".to_owned(), CellId(1), 1);
    let change = simulation.add_member_change(7, node);
    simulation.submit(0, change);
    simulation.start(node);
    assert!(simulation.run_until(20_000, 50, CellsSimulation::has_converged));
    let observers = |simulation: &CellsSimulation| {
        let cell_members = simulation
            .processes()
            .filter(|(node, _)| simulation.nodes[*node].location.cell == Some(CellId(1)));
        cell_members.filter(|(_, process)| process.alive_members().any(|name| name == "late")).count()
    };
    assert!(
        simulation.run_until(20_000, 50, |simulation| observers(simulation) == 6),
        "{} members see the added process",
        observers(&simulation)
    );
    let remove = Action::RemoveMember { cell: CellId(1), name: "late".to_owned() };
    simulation.submit(0, Change { id: 8, action: remove });
    assert!(
        simulation.run_until(20_000, 50, |simulation| observers(simulation) == 0),
        "a member still sees the removed process"
    );
}

fn record(key: &str, slot: u64, value: &str) -> Record {
    let value = Some(Value::Entry(value.as_bytes().to_vec()));
    Record { key: Key::Entry(key.to_owned()), version: Version::at(slot, 0), value }
}

fn delta(after: u64, to: u64, records: Vec<Record>) -> Delta {
    let (after, to) = (Version::end_of(after), Version::end_of(to));
    Delta { after, to, head: to, horizon: Version(0), digest: 0, records }
}

/// A follower after slots 1 to 3, each of which wrote one entry.
fn follower() -> LogFollower {
    let mut state = State::new(Scope::All);
    for slot in 1..=3 {
        state.apply(slot, &vec![put(slot, &format!("k{slot}"), "v")], 64);
    }
    LogFollower::new(state)
}

#[test]
fn deltas_that_arrive_early_late_twice_or_not_at_all_lead_to_the_same_state() {
    let mut follower = follower();
    let before = follower.state().digest();
    let late = Record { key: Key::Entry("gone".into()), ..record("k", 2, "old") };
    assert!(follower.on_delta(&delta(1, 2, vec![])).is_ok_and(|merged| !merged.is_advanced));
    let old = Record { version: Version::at(2, 1), ..late };
    assert!(
        follower.on_delta(&delta(1, 2, vec![old])).is_ok_and(|merged| merged.new_records.is_empty()),
        "a late delta must not add records"
    );
    assert_eq!(follower.state().digest(), before);
    let ahead = record("k1", 6, "ahead");
    assert!(follower
        .on_delta(&delta(5, 6, vec![ahead.clone()]))
        .is_ok_and(|merged| merged.new_records == [ahead]));
    assert!(!follower.state().is_complete(), "slots 4 and 5 are missing");
    assert_eq!(follower.on_delta(&delta(5, 6, vec![])), Err(DeltaError::Gap));
    assert!(follower
        .on_delta(&delta(3, 6, vec![record("k2", 4, "x")]))
        .is_ok_and(|merged| merged.is_advanced));
    assert!(follower.state().is_complete());
}

#[test]
fn a_state_is_incomplete_after_a_delta_that_omits_a_superseded_record() {
    let mut sender = follower();
    // The sender has a later version of k1, so the delta omits the earlier one.
    assert!(sender.on_delta(&delta(5, 6, vec![record("k1", 6, "ahead")])).is_ok());
    let response = sender.state().pull_response(Scope::All, Version(0), true);
    assert!(response.records.iter().all(|record| record.key != Key::Entry("k1".into())));
    let mut receiver = LogFollower::new(State::new(Scope::All));
    receiver.on_delta(&response).expect("a valid delta");
    assert!(!receiver.state().is_complete() || receiver.is_transferring_snapshot(), "k1 is still missing");
}

#[test]
fn a_snapshot_does_not_revert_records_that_arrived_before_it() {
    let mut follower = follower();
    let ahead = record("k1", 9, "ahead");
    assert!(follower.on_delta(&delta(8, 9, vec![ahead.clone()])).is_ok());
    // The sender has dropped records deleted after slot 3, and is behind the known head.
    let older = delta(0, 5, vec![record("k1", 5, "older")]);
    let older = Delta { after: Version(0), horizon: Version::end_of(4), ..older };
    assert!(follower.on_delta(&older).is_ok());
    assert_eq!(
        follower.state().get(&ahead.key),
        Some(&ahead),
        "a record that may have been acknowledged was reverted"
    );
    assert!(follower.on_delta(&delta(5, 9, vec![ahead.clone()])).is_ok());
    assert!(!follower.is_transferring_snapshot() && follower.state().complete_to() == Version::end_of(9));
    assert_eq!(follower.state().get(&ahead.key), Some(&ahead));
}

#[test]
fn the_records_of_a_process_grow_with_its_cell_and_not_with_the_fleet() {
    let records = |processes, cells| {
        let mut simulation = CellsSimulation::start_fleet(processes, cells, 50, GOOD_NETWORK, 12);
        assert!(simulation.run_until(60_000, 50, CellsSimulation::has_converged));
        simulation.processes().map(|(_, process)| process.state().len()).max().unwrap_or(0)
    };
    let (small, large, wide) = (records(40, 4), records(160, 16), records(160, 4));
    assert_eq!(large, small + 12, "four times the processes and cells: one record per added cell");
    assert_eq!(
        wide,
        small + 30,
        "four times the processes per cell: one record per added member of the cell"
    );
}

#[test]
fn deltas_out_of_order_or_of_another_log_change_nothing() {
    let mut follower = follower();
    let before = (follower.state().digest(), follower.state().complete_to());
    let unsorted = vec![record("a", 5, "x"), record("b", 4, "x")];
    assert_eq!(follower.on_delta(&delta(3, 5, unsorted)), Err(DeltaError::OutOfOrder));
    assert_eq!(
        follower.on_delta(&delta(3, 4, vec![record("a", 9, "x")])),
        Err(DeltaError::OutOfOrder),
        "version outside the range of the delta"
    );
    let fork = record("other", 2, "x");
    assert_eq!(
        follower.on_delta(&delta(1, 2, vec![fork])),
        Err(DeltaError::Fork),
        "the log has a different record in slot 2"
    );
    let other = Delta { digest: before.0 ^ 1, ..delta(3, 3, vec![]) };
    assert_eq!(
        follower.on_delta(&other),
        Err(DeltaError::Fork),
        "complete up to the same version, but different digests"
    );
    assert_eq!((follower.state().digest(), follower.state().complete_to()), before);
}

#[test]
fn datagrams_from_unknown_senders_and_other_cells_change_nothing_and_are_counted() {
    let mut simulation = converged_fleet(12, 10, 10);
    simulation.rejected.clear();
    let node = simulation.replicas + 1;
    let process_state = |simulation: &CellsSimulation| {
        simulation.process(node).map(|process| {
            (process.state().digest(), process.quota(), process.state().head(), process.state().complete_to())
        })
    };
    let before = process_state(&simulation);
    let fleet = fleet_id(FLEET);
    let pull = Message::Pull { scope: Scope::Cell(CellId(3)), after: Version(0), snapshot: false };
    let ack = Message::Ack { cell: CellId(3), name: "x".into(), incarnation: 1, version: Version(1) };
    let mut other_format = encode(fleet, &pull);
    other_format[0] = 0;
    let unknown = address(9999);
    simulation.inject(unknown, node, &encode(fleet, &pull));
    simulation.inject(unknown, node, &encode(fleet, &ack));
    let member =
        simulation.nodes.iter().position(|node| node.name == "n00005").expect("a member of the same cell");
    simulation.inject(address(member), node, &encode(fleet, &ack));
    // A pull and deltas with versions that do not exist in the log.
    let after = Version::end_of(900_000);
    let ahead = Message::Pull { scope: Scope::Cell(CellId(1)), after, snapshot: false };
    simulation.inject(unknown, node, &encode(fleet, &ahead));
    let push =
        Delta { after: Version(0), to: after, head: after, horizon: Version(0), digest: 0, records: vec![] };
    simulation.inject(unknown, node, &encode(fleet, &Message::Push(push.clone())));
    simulation.inject(unknown, node, &encode(fleet, &Message::Delta(push)));
    simulation.inject(unknown, node, &encode(fleet, &Message::Swim(vec![1, 2, 3])));
    simulation.inject(unknown, node, &encode(fleet, &Message::Submit(put(1, "k", "v"))));
    simulation.inject(unknown, node, &encode(fleet ^ 1, &pull));
    simulation.inject(unknown, node, &other_format);
    simulation.inject(unknown, node, &[0; 3]);
    simulation.inject(unknown, node, &vec![0; 5000]);
    let counts: Vec<_> = simulation.rejected.iter().map(|(counter, count)| (*counter, *count)).collect();
    assert_eq!(
        counts,
        [
            ("cells acks of another cell", 1),
            ("cells datagrams for replicas", 1),
            ("cells datagrams from strangers", 3),
            ("cells datagrams not to be read", 2),
            ("cells datagrams of another format", 1),
            ("cells datagrams of others", 1),
            ("cells membership from strangers", 1),
            ("cells pulls of another cell", 1),
        ]
    );
    assert_eq!(process_state(&simulation), before);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut simulation = converged_fleet(24, 20, 11);
        simulation.run_for_ms(5000);
        let bytes: Vec<u64> = simulation.nodes.iter().map(|node| node.bytes).collect();
        (bytes, simulation.now == Timestamp::default())
    };
    assert_eq!(run(), run());
}
