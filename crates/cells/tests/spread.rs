//! How what was chosen gets to every process, and what is refused on the way.

use shelfgrade::time::{DurationExt, Timestamp};
use shelfgrade_cells::{
    fleet, write, Action, CellId, Change, Delta, DeltaError, Follower, Key, Message, Record, Scope, State,
    Value, Version,
};
use shelfgrade_testkit::cells::fleet::{percentile, put};
use shelfgrade_testkit::cells::{address, CellsSimulation, CALM, FLEET};
use std::time::Duration;

fn delete(id: u64, key: &str) -> Change {
    Change { id, action: Action::Delete { key: key.to_owned() } }
}

/// A fleet that has found together, so many processes in four cells.
fn settled(processes: usize, entries: usize, seed: u64) -> CellsSimulation {
    let mut simulation = CellsSimulation::whole_fleet(processes, 4, entries, CALM, seed);
    assert!(simulation.until(60_000, 50, CellsSimulation::agrees), "all have all");
    simulation.passes(10_000);
    simulation.measure_anew();
    simulation
}

#[test]
fn one_change_is_in_force_everywhere_within_six_seconds_and_in_its_region_within_three() {
    let mut simulation = settled(48, 50, 1);
    let (mut all, mut own) = (Vec::new(), Vec::new());
    for id in 1..=20 {
        let at = (id % 4) as usize;
        for (region, ms) in simulation.change_and_watch(id, at, 30_000) {
            all.push(ms);
            if region == simulation.nodes[at].site.region {
                own.push(ms);
            }
        }
        simulation.passes(700);
    }
    assert!(percentile(&mut all, 99.0) <= 6000.0, "{all:?}");
    assert!(percentile(&mut own, 99.0) <= 3000.0, "{own:?}");
}

#[test]
fn what_a_process_sends_at_rest_does_not_grow_with_its_cell() {
    let small = {
        let mut simulation = settled(40, 50, 2);
        simulation.passes(30_000);
        simulation.bytes(Duration::from_millis(30_000)).0
    };
    let large = {
        let mut simulation = settled(160, 50, 2);
        simulation.passes(30_000);
        simulation.bytes(Duration::from_millis(30_000)).0
    };
    assert!(large < 1.25 * small, "four times the members: {small:.0} and {large:.0} bytes a second");
}

#[test]
fn nobody_sends_over_four_kilobytes_in_a_second_while_a_thousand_entries_change() {
    let mut simulation = settled(80, 1000, 3);
    for entry in 0..1000 {
        simulation
            .submit(0, put(20_000 + entry, &format!("server/{entry:05}"), "10.0.0.2:8080 cold weight 3"));
    }
    let done =
        |simulation: &CellsSimulation| simulation.outcomes.contains_key(&20_999) && simulation.agrees();
    assert!(simulation.until(120_000, 100, done), "all have them in the end");
    let (_, _, most) = simulation.bytes(Duration::from_millis(1000));
    assert!(most <= 4096, "{most} bytes in one second");
}

#[test]
fn a_process_that_starts_has_all_within_two_seconds() {
    let mut simulation = settled(48, 500, 4);
    let mut took = Vec::new();
    for start in 0..20 {
        let node = simulation.replicas + start * 7 % 48;
        simulation.nodes[node].kept = None;
        simulation.replace(500 + start as u64, node, 500);
        // Also one whose disk is empty.
        let at = simulation.now;
        let holds =
            |simulation: &CellsSimulation| simulation.process(node).is_some_and(|process| process.active());
        assert!(simulation.until(20_000, 10, holds));
        took.push(simulation.now.since(at).as_ms());
    }
    assert!(percentile(&mut took, 95.0) <= 2000.0, "{took:?}");
}

#[test]
fn a_region_that_was_cut_off_serves_on_and_agrees_soon_after() {
    let mut simulation = settled(48, 50, 5);
    let cut = |simulation: &mut CellsSimulation, group: u8| {
        simulation.nodes.iter_mut().filter(|node| node.site.region == 2).for_each(|node| node.group = group);
    };
    let before = simulation.rights();
    cut(&mut simulation, 1);
    simulation.submit(0, put(1, "far", "1"));
    simulation.passes(300_000);
    assert_eq!(simulation.rights(), before, "who hears nobody serves by its floor");
    let known = |simulation: &CellsSimulation| {
        simulation.processes().filter(|(_, p)| p.state().entry("far").is_some()).count()
    };
    assert_eq!(known(&simulation), 36);
    cut(&mut simulation, 0);
    assert!(simulation.until(10_000, 50, CellsSimulation::agrees), "{}", known(&simulation));
    assert_eq!(known(&simulation), 48);
}

#[test]
fn with_all_replicas_gone_nothing_new_comes_and_nothing_that_runs_stops() {
    let mut simulation = settled(48, 50, 6);
    let (rights, digests): (u64, Vec<u64>) =
        (simulation.rights(), simulation.processes().map(|(_, process)| process.state().digest()).collect());
    (0..simulation.replicas).for_each(|node| simulation.kill(node));
    simulation.passes(120_000);
    assert_eq!(simulation.rights(), rights);
    let now: Vec<u64> = simulation.processes().map(|(_, process)| process.state().digest()).collect();
    assert_eq!(now, digests);
    assert!(simulation.processes().all(|(_, process)| process.unmet() == 0), "the cells see themselves");
}

#[test]
fn a_process_that_comes_back_after_days_drops_what_is_gone() {
    let mut simulation = CellsSimulation::whole_fleet(12, 4, 10, CALM, 7).with_horizon(16);
    assert!(simulation.until(60_000, 50, CellsSimulation::agrees));
    let node = simulation.replicas + 5;
    simulation.kill(node);
    simulation.submit(0, delete(100, "server/00003"));
    for id in 200..260 {
        simulation.submit(0, put(id, &format!("server/{:05}", id % 3), "new"));
        simulation.passes(700);
    }
    let replica = simulation.replica(0).expect("runs").state();
    assert!(replica.get(&Key::Entry("server/00003".into())).is_none(), "forgotten");
    simulation.replace(300, node, 10);
    assert!(simulation.until(20_000, 50, CellsSimulation::agrees));
    let state = simulation.process(node).expect("runs").state();
    assert!(state.entry("server/00003").is_none() && state.entry("server/00009").is_some());
}

#[test]
fn a_fleet_whose_processes_are_all_replaced_is_no_larger_after() {
    let mut simulation = CellsSimulation::whole_fleet(24, 4, 20, CALM, 8).with_horizon(16);
    assert!(simulation.until(60_000, 50, CellsSimulation::agrees));
    let records =
        |simulation: &CellsSimulation| simulation.processes().map(|(_, process)| process.state().len()).max();
    let before = records(&simulation);
    for round in 0..3 {
        for process in 0..24 {
            simulation.replace(1000 + 100 * round + process, simulation.replicas + process as usize, 200);
            simulation.passes(500);
        }
    }
    assert!(simulation.until(20_000, 50, CellsSimulation::agrees));
    assert_eq!(records(&simulation), before);
}

#[test]
fn a_replacement_counts_while_the_fleet_runs() {
    let mut simulation = settled(24, 20, 9);
    // A new process in a cell, on a machine that nobody knew of.
    let node = simulation.machine("late".to_owned(), CellId(1), 1);
    let change = simulation.addition(7, node);
    simulation.submit(0, change);
    simulation.start(node);
    assert!(simulation.until(20_000, 50, CellsSimulation::agrees));
    let mates = |simulation: &CellsSimulation| {
        let own = simulation.processes().filter(|(of, _)| simulation.nodes[*of].site.cell == Some(CellId(1)));
        own.filter(|(_, process)| process.alive().any(|name| name == "late")).count()
    };
    assert!(
        simulation.until(20_000, 50, |simulation| mates(simulation) == 6),
        "{} see it",
        mates(&simulation)
    );
    let remove = Action::Remove { cell: CellId(1), name: "late".to_owned() };
    simulation.submit(0, Change { id: 8, action: remove });
    assert!(simulation.until(20_000, 50, |simulation| mates(simulation) == 0), "no longer reckoned with");
}

fn record(key: &str, slot: u64, value: &str) -> Record {
    let value = Some(Value::Entry(value.as_bytes().to_vec()));
    Record { key: Key::Entry(key.to_owned()), version: Version::at(slot, 0), value }
}

fn delta(after: u64, to: u64, records: Vec<Record>) -> Delta {
    let (after, to) = (Version::end_of(after), Version::end_of(to));
    Delta { after, to, head: to, horizon: Version(0), digest: 0, records }
}

/// What somebody holds after slots 1 to 3, each of which wrote one entry.
fn held() -> Follower {
    let mut state = State::new(Scope::All);
    for slot in 1..=3 {
        state.apply(slot, &vec![put(slot, &format!("k{slot}"), "v")], 64);
    }
    Follower::new(state)
}

#[test]
fn records_that_come_ahead_late_twice_or_not_at_all_come_to_the_same() {
    let mut held = held();
    let before = held.state().digest();
    let late = Record { key: Key::Entry("gone".into()), ..record("k", 2, "old") };
    assert!(held.take(&delta(1, 2, vec![])).is_ok_and(|merged| !merged.further));
    let old = Record { version: Version::at(2, 1), ..late };
    assert!(
        held.take(&delta(1, 2, vec![old])).is_ok_and(|merged| merged.news.is_empty()),
        "it is over already"
    );
    assert_eq!(held.state().digest(), before);
    let ahead = record("k1", 6, "ahead");
    assert!(held.take(&delta(5, 6, vec![ahead.clone()])).is_ok_and(|merged| merged.news == [ahead]));
    assert!(!held.state().whole(), "slots 4 and 5 are missing");
    assert_eq!(held.take(&delta(5, 6, vec![])), Err(DeltaError::Gap));
    assert!(held.take(&delta(3, 6, vec![record("k2", 4, "x")])).is_ok_and(|merged| merged.further));
    assert!(held.state().whole());
}

#[test]
fn who_is_given_less_than_there_is_knows_so() {
    let mut gives = held();
    // It holds a later record of k1, and so doesn't give the one that it had.
    assert!(gives.take(&delta(5, 6, vec![record("k1", 6, "ahead")])).is_ok());
    let answer = gives.state().answer(Scope::All, Version(0), true);
    assert!(answer.records.iter().all(|record| record.key != Key::Entry("k1".into())));
    let mut takes = Follower::new(State::new(Scope::All));
    takes.take(&answer).expect("in order");
    assert!(!takes.state().whole() || takes.renews(), "k1 is still to come");
}

#[test]
fn a_snapshot_never_takes_back_what_came_ahead_of_it() {
    let mut held = held();
    let ahead = record("k1", 9, "ahead");
    assert!(held.take(&delta(8, 9, vec![ahead.clone()])).is_ok());
    // Its sender has forgotten what went since slot 3, and holds less than was heard of.
    let older = delta(0, 5, vec![record("k1", 5, "older")]);
    let older = Delta { after: Version(0), horizon: Version::end_of(4), ..older };
    assert!(held.take(&older).is_ok());
    assert_eq!(held.state().get(&ahead.key), Some(&ahead), "a cell's record that was acknowledged went back");
    assert!(held.take(&delta(5, 9, vec![ahead.clone()])).is_ok());
    assert!(!held.renews() && held.state().to() == Version::end_of(9));
    assert_eq!(held.state().get(&ahead.key), Some(&ahead));
}

#[test]
fn what_a_process_holds_grows_with_its_cell_and_not_with_the_fleet() {
    let records = |processes, cells| {
        let mut simulation = CellsSimulation::whole_fleet(processes, cells, 50, CALM, 12);
        assert!(simulation.until(60_000, 50, CellsSimulation::agrees));
        simulation.processes().map(|(_, process)| process.state().len()).max().unwrap_or(0)
    };
    let (small, large, wide) = (records(40, 4), records(160, 16), records(160, 4));
    assert_eq!(large, small + 12, "four times the fleet: one record more for each cell more");
    assert_eq!(wide, small + 30, "four times the cell: one more for each member of it");
}

#[test]
fn what_is_out_of_order_or_forked_changes_nothing() {
    let mut held = held();
    let before = (held.state().digest(), held.state().to());
    let twice = vec![record("a", 5, "x"), record("b", 4, "x")];
    assert_eq!(held.take(&delta(3, 5, twice)), Err(DeltaError::Disorder));
    assert_eq!(
        held.take(&delta(3, 4, vec![record("a", 9, "x")])),
        Err(DeltaError::Disorder),
        "not in its span"
    );
    let fork = record("other", 2, "x");
    assert_eq!(held.take(&delta(1, 2, vec![fork])), Err(DeltaError::Fork), "slot 2 wrote something else");
    let other = Delta { digest: before.0 ^ 1, ..delta(3, 3, vec![]) };
    assert_eq!(held.take(&other), Err(DeltaError::Fork), "all up to the same version, and not the same");
    assert_eq!((held.state().digest(), held.state().to()), before);
}

#[test]
fn datagrams_of_strangers_and_other_cells_change_nothing_and_are_counted() {
    let mut simulation = settled(12, 10, 10);
    simulation.refused.clear();
    let node = simulation.replicas + 1;
    let what = |simulation: &CellsSimulation| {
        simulation
            .process(node)
            .map(|of| (of.state().digest(), of.right(), of.state().head(), of.state().to()))
    };
    let before = what(&simulation);
    let own = fleet(FLEET);
    let pull = Message::Pull { scope: Scope::Cell(CellId(3)), after: Version(0), anew: false };
    let ack = Message::Ack { cell: CellId(3), name: "x".into(), incarnation: 1, version: Version(1) };
    let mut older = write(own, &pull);
    older[0] = 0;
    let far = address(9999);
    simulation.inject(far, node, &write(own, &pull));
    simulation.inject(far, node, &write(own, &ack));
    let mate = simulation.nodes.iter().position(|of| of.name == "n00005").expect("of the same cell");
    simulation.inject(address(mate), node, &write(own, &ack));
    // Who says to hold what nobody wrote, and who gives it.
    let after = Version::end_of(900_000);
    let ahead = Message::Pull { scope: Scope::Cell(CellId(1)), after, anew: false };
    simulation.inject(far, node, &write(own, &ahead));
    let news =
        Delta { after: Version(0), to: after, head: after, horizon: Version(0), digest: 0, records: vec![] };
    simulation.inject(far, node, &write(own, &Message::Push(news.clone())));
    simulation.inject(far, node, &write(own, &Message::Delta(news)));
    simulation.inject(far, node, &write(own, &Message::Swim(vec![1, 2, 3])));
    simulation.inject(far, node, &write(own, &Message::Submit(put(1, "k", "v"))));
    simulation.inject(far, node, &write(own ^ 1, &pull));
    simulation.inject(far, node, &older);
    simulation.inject(far, node, &[0; 3]);
    simulation.inject(far, node, &vec![0; 5000]);
    let counts: Vec<_> = simulation.refused.iter().map(|(why, count)| (*why, *count)).collect();
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
    assert_eq!(what(&simulation), before);
}

#[test]
fn the_same_seed_gives_the_same_course() {
    let course = || {
        let mut simulation = settled(24, 20, 11);
        simulation.passes(5000);
        let bytes: Vec<u64> = simulation.nodes.iter().map(|node| node.bytes).collect();
        (bytes, simulation.now == Timestamp::default())
    };
    assert_eq!(course(), course());
}
