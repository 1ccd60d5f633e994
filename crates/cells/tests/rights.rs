//! The sum of what all may do: never over the whole, in drawn cuts, with processes and replicas that die and come back.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade_cells::{
    fleet, write, Action, CellId, Change, Delta, Key, Member, Message, Record, Scope, State, Value, Version,
    WHOLE,
};
use shelfgrade_testkit::cells::fleet::put;
use shelfgrade_testkit::cells::{address, CellsSimulation, CALM, FLEET, ROUGH};

/// The same cases every time.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const PROCESSES: usize = 10;

/// Two cells that hold the whole between them, with just as many places as members.
fn full(seed: u64) -> CellsSimulation {
    let mut simulation = CellsSimulation::founded(&[0, 0, 1], CALM, seed);
    let mut id = 1_000_000;
    let mut submit = |simulation: &mut CellsSimulation, action: Action| {
        id += 1;
        simulation.submit(0, Change { id, action });
    };
    for cell in 0..2 {
        let quota = WHOLE / 2;
        submit(&mut simulation, Action::AddCell { cell: CellId(cell), region: cell as u8, places: 5, quota });
    }
    for process in 0..PROCESSES {
        let cell = CellId(process as u16 % 2);
        let node = simulation.machine(format!("n{process}"), cell, cell.0 as u8);
        let action = simulation.addition(0, node).action;
        submit(&mut simulation, action);
    }
    simulation.passes(20_000);
    for node in 3..simulation.nodes.len() {
        simulation.start(node);
    }
    assert!(simulation.until(60_000, 50, CellsSimulation::agrees), "all have all");
    simulation
}

fn cell(simulation: &CellsSimulation, cell: u16) -> (u32, u32, Version) {
    let state = simulation.replica(0).expect("runs").state();
    let held = state.cell(CellId(cell)).expect("there");
    (held.quota, held.escrow, held.shrunk)
}

fn submit(simulation: &mut CellsSimulation, id: u64, action: Action) {
    simulation.submit(0, Change { id, action });
}

#[test]
fn quota_goes_from_one_cell_to_another_when_all_have_let_go() {
    let mut simulation = full(1);
    let whole = u64::from(WHOLE);
    assert_eq!(simulation.rights(), whole, "all places are held");
    submit(&mut simulation, 1, Action::Shrink { cell: CellId(0), by: WHOLE / 4 });
    let released = |simulation: &CellsSimulation| {
        let (quota, escrow, _) = cell(simulation, 0);
        (quota, escrow) == (WHOLE / 4, 0)
    };
    assert!(simulation.until(20_000, 50, released), "{:?}", cell(&simulation, 0));
    submit(&mut simulation, 2, Action::Grow { cell: CellId(1), by: WHOLE / 4 });
    simulation.passes(5000);
    assert_eq!(cell(&simulation, 1).0, WHOLE / 4 * 3);
    assert_eq!(simulation.rights(), whole);
}

#[test]
fn what_a_cell_gave_up_is_not_given_on_while_one_of_its_members_was_not_heard() {
    let mut simulation = full(2);
    let apart = simulation.nodes.len() - 2;
    assert_eq!(simulation.nodes[apart].site.cell, Some(CellId(0)));
    simulation.nodes[apart].group = 1;
    let right = simulation.process(apart).map(|process| process.right());
    submit(&mut simulation, 1, Action::Shrink { cell: CellId(0), by: WHOLE / 2 });
    simulation.passes(300_000);
    assert_eq!(cell(&simulation, 0).1, WHOLE / 2, "it may use its part still");
    submit(&mut simulation, 2, Action::Grow { cell: CellId(1), by: 1 });
    simulation.passes(5000);
    assert!(simulation.outcomes[&2].is_err(), "nothing is free");
    assert_eq!(simulation.process(apart).map(|process| process.right()), right, "it serves by its floor");
    assert!(simulation.rights() <= u64::from(WHOLE));
    // Its end is said: nobody is waited for.
    simulation.kill(apart);
    let name = simulation.nodes[apart].name.clone();
    submit(&mut simulation, 3, Action::Ended { cell: CellId(0), name, incarnation: 1 });
    assert!(simulation.until(20_000, 50, |simulation| cell(simulation, 0).1 == 0));
}

#[test]
fn a_place_is_not_free_until_the_end_of_who_had_it_is_said() {
    let mut simulation = full(3);
    let (gone, other) = (simulation.nodes.len() - 2, CellId(0));
    let name = simulation.nodes[gone].name.clone();
    simulation.nodes[gone].group = 1;
    submit(&mut simulation, 1, Action::Remove { cell: other, name: name.clone() });
    let node = simulation.machine("new".into(), other, 0);
    let addition = simulation.addition(2, node);
    simulation.submit(0, addition);
    simulation.passes(20_000);
    assert!(simulation.outcomes[&2].is_err(), "it runs on, cut off, by its floor");
    assert!(simulation.process(gone).is_some_and(|process| process.right() > 0));
    simulation.kill(gone);
    submit(&mut simulation, 3, Action::Ended { cell: other, name, incarnation: 1 });
    simulation.passes(2000);
    let addition = simulation.addition(4, node);
    simulation.submit(0, addition);
    simulation.start(node);
    assert!(simulation
        .until(20_000, 50, |simulation| simulation.process(node).is_some_and(|process| process.right() > 0)));
    assert!(simulation.rights() <= u64::from(WHOLE));
}

#[test]
fn who_comes_back_after_days_has_no_right_by_what_it_kept() {
    let mut simulation = full(4);
    let node = simulation.nodes.len() - 1;
    simulation.kill(node);
    simulation.nodes[node].group = 1;
    simulation.start(node);
    simulation.passes(60_000);
    let process = simulation.process(node).expect("runs");
    assert!(!process.state().is_empty(), "it kept what it knew");
    assert_eq!(process.right(), 0, "its cell may have given up what it had, and its place another owner");
}

#[test]
fn who_has_its_own_record_but_not_all_before_it_has_no_right_yet() {
    let mut simulation = full(7);
    let node = simulation.nodes.len() - 1;
    (0..3).for_each(|replica| simulation.kill(replica));
    simulation.kill(node);
    simulation
        .nodes
        .iter_mut()
        .enumerate()
        .filter(|(at, _)| *at != node)
        .for_each(|(_, node)| node.group = 1);
    simulation.start(node);
    let (to, held) = {
        let state = simulation.process(node).expect("runs").state();
        let key = Key::Member(CellId(1), simulation.nodes[node].name.clone());
        (state.to(), state.get(&key).expect("kept").clone())
    };
    let slot = to.slot();
    let Some(Value::Member(member)) = held.value else { panic!("a member") };
    let (version, value) =
        (Version::at(slot + 1, 0), Some(Value::Member(Member { incarnation: 2, ..member })));
    let own = Record { key: held.key, version, value };
    let give = |simulation: &mut CellsSimulation, after, upto, head, records: Vec<Record>| {
        let (to, head) = (Version::end_of(upto), Version::end_of(head));
        let delta = Delta { after, to, head, horizon: Version(0), digest: 0, records };
        simulation.inject(address(0), node, &write(fleet(FLEET), &Message::Delta(delta)));
    };
    give(&mut simulation, to, slot + 1, slot + 9, vec![own]);
    let right = |simulation: &CellsSimulation| simulation.process(node).map(|process| process.right());
    assert_eq!(right(&simulation), Some(0), "its cell may have given up something in what is still to come");
    give(&mut simulation, Version::end_of(slot + 1), slot + 9, slot + 9, vec![]);
    assert_eq!(right(&simulation), Some(WHOLE / 10));
}

/// Two processes of one machine's name, the older one still there, cut off: told to the log as one that ended.
#[test]
fn the_sum_catches_an_end_that_was_none() {
    let mut simulation = full(5);
    let alive = simulation.nodes.len() - 2;
    let name = simulation.nodes[alive].name.clone();
    simulation.nodes[alive].group = 1;
    submit(&mut simulation, 1, Action::Ended { cell: CellId(0), name, incarnation: 1 });
    let node = simulation.machine("new".into(), CellId(0), 0);
    let addition = simulation.addition(2, node);
    simulation.submit(0, addition);
    simulation.start(node);
    let over = |simulation: &CellsSimulation| simulation.rights() > u64::from(WHOLE);
    assert!(simulation.until(20_000, 50, over), "the check sees nothing: {}", simulation.rights());
}

/// A speaker that puts in a release before all were heard.
#[test]
fn the_sum_catches_a_release_that_came_too_early() {
    let mut simulation = full(6);
    let apart = simulation.nodes.len() - 2;
    simulation.nodes[apart].group = 1;
    submit(&mut simulation, 1, Action::Shrink { cell: CellId(0), by: WHOLE / 2 });
    simulation.passes(3000);
    let (_, _, at) = cell(&simulation, 0);
    submit(&mut simulation, 2, Action::Release { cell: CellId(0), at });
    submit(&mut simulation, 3, Action::Grow { cell: CellId(1), by: WHOLE / 2 });
    let over = |simulation: &CellsSimulation| simulation.rights() > u64::from(WHOLE);
    assert!(simulation.until(20_000, 50, over), "the check sees nothing: {}", simulation.rights());
}

proptest! {
    #![proptest_config(cases(192))]

    /// Whatever is cut, lost, killed, started, shrunk and grown: looked at four times a second.
    #[test]
    fn rights_never_sum_over_the_whole_and_all_agree_after_meeting_again(
        steps in prop::collection::vec((0..12u8, 0..26usize, 1..4000u64), 10..50),
        seed in any::<u64>(),
    ) {
        let mut simulation = full(seed).with_horizon(16);
        simulation.net = ROUGH;
        let mut id = 0;
        for (what, node, ms) in &steps {
            id += 1;
            let (node, of) = (node % 13, CellId((node % 2) as u16));
            let process = 3 + node % PROCESSES;
            match what % 12 {
                0 => simulation.kill(node),
                1 if !simulation.runs(node) => {
                    if node < 3 { simulation.start(node) } else { simulation.replace(5000 + id, node, 1) }
                }
                2 | 3 => simulation.nodes[node].group = 1 + node as u8 % 2,
                4 => simulation.nodes.iter_mut().for_each(|node| node.group = 0),
                5 => {
                    // A process that ends and says so; another comes in its place.
                    simulation.kill(process);
                    let (name, incarnation) = (simulation.nodes[process].name.clone(), simulation.nodes[process].incarnation);
                    let cell = simulation.nodes[process].site.cell.unwrap_or_default();
                    simulation.submit(node % 3, Change { id, action: Action::Ended { cell, name, incarnation } });
                    let addition = simulation.addition(7000 + id, process);
                    simulation.submit(node % 3, addition);
                    simulation.start(process);
                }
                6 | 7 => simulation.submit(node % 3, Change { id, action: Action::Shrink { cell: of, by: 100_000 } }),
                8 | 9 => simulation.submit(node % 3, Change { id, action: Action::Grow { cell: of, by: 100_000 } }),
                10 => simulation.replace(5000 + id, process, 1),
                _ => simulation.submit(node % 3, put(id, &format!("k{}", id % 4), "v")),
            }
            let mut left = *ms;
            while left > 0 {
                let step = left.min(250);
                simulation.passes(step);
                left -= step;
                prop_assert!(simulation.rights() <= u64::from(WHOLE), "{} of {WHOLE}", simulation.rights());
            }
        }
        prop_assert!(simulation.one_value.breaches.is_empty());
        simulation.net = CALM;
        for node in 0..simulation.nodes.len() {
            simulation.nodes[node].group = 0;
            if !simulation.runs(node) {
                if node < 3 { simulation.start(node) } else { simulation.replace(90_000 + node as u64, node, 1) }
            }
        }
        let agree = |simulation: &CellsSimulation| {
            let to: Vec<_> = simulation.processes().map(|(_, process)| (process.state().whole(), process.state().to())).collect();
            let first = simulation.replica(0).map(|replica| replica.state().to());
            to.iter().all(|(whole, to)| *whole && Some(*to) == first) && simulation.rights() <= u64::from(WHOLE)
        };
        simulation.passes(2000);
        prop_assert!(simulation.until(30_000, 250, agree), "they never agreed");
        let digests: std::collections::BTreeSet<_> = simulation.processes()
            .map(|(node, process)| (simulation.nodes[node].site.cell.map(|cell| cell.0), process.state().digest())).collect();
        prop_assert_eq!(digests.len(), 2, "one for each cell");
    }
}

/// What the log says is free is what is left of the whole, whatever is asked of it in whatever order.
#[test]
fn the_log_itself_never_gives_out_more_than_the_whole() {
    use nanorand::{Rng, WyRand};
    let mut rng = WyRand::new_seed(9);
    let mut state = State::new(Scope::All);
    for slot in 1..=4000u64 {
        let (cell, by) = (CellId(rng.generate_range(0..4u16)), rng.generate_range(0..400_000u32));
        let at = state.cell(cell).map_or(Version(0), |cell| cell.shrunk);
        let action = match rng.generate_range(0..4u32) {
            0 => Action::AddCell { cell, region: 0, places: 3, quota: by },
            1 => Action::Grow { cell, by },
            2 => Action::Shrink { cell, by },
            _ => Action::Release { cell, at },
        };
        state.apply(slot, &vec![Change { id: slot, action }], 64);
        let given: u64 = state.cells().map(|(_, cell)| u64::from(cell.quota) + u64::from(cell.escrow)).sum();
        assert!(given <= u64::from(WHOLE) && state.free() as u64 == u64::from(WHOLE) - given);
        assert!(state.get(&Key::Done(slot)).is_some());
    }
}
