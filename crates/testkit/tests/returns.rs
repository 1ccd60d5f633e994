//! The return of three hundred in virtual time: who asks, when all know the list, and in which order states follow.

use shelfgrade::time::{DurationExt, Timestamp};
use shelfgrade_recovery::{Node, RecoveryState, ServerHealth, ServerRecord};
use shelfgrade_testkit::simulated_fleet::{Network, SimulatedFleet};
use std::collections::BTreeSet;
use std::time::Duration;

const USUAL: Network = Network { delay_ms: (1, 20), lost_percent: 2, duplicated_percent: 1 };
const SIZE: usize = 300;

/// Discovery's list: servers that started a moment ago.
fn list(now: Timestamp) -> Vec<(String, ServerRecord)> {
    let fact = || ServerRecord {
        address: "10.1.0.18:8000".parse().ok(),
        zone: "a".into(),
        kind: "m2".into(),
        cell: 0,
        health: ServerHealth::InService,
        started_ms: now.as_ms(),
    };
    (0..81).map(|i| (format!("s-{i:03}"), fact())).collect()
}

/// A whole fleet that has just started, with discovery there from `there_ms` on; whoever watches it asks once a second until
/// it is answered. Gives the fleet after eight seconds and who has asked.
fn comes_back(seed: u64, there_ms: u64, dead: &[usize]) -> (SimulatedFleet<Node>, Vec<(Timestamp, usize)>) {
    let mut fleet: SimulatedFleet<Node> = SimulatedFleet::running(SIZE, USUAL, seed);
    dead.iter().for_each(|member| fleet.kill(*member));
    let began = fleet.now;
    let facts = list(began);
    let (mut calls, mut answered) = (Vec::new(), BTreeSet::new());
    let mut due = vec![began; SIZE];
    while fleet.now.since(began) < Duration::from_millis(8000) {
        fleet.run_for_ms(50);
        for member in fleet.running_members() {
            if !fleet.processes[member].is_polling || answered.contains(&member) || fleet.now < due[member] {
                continue;
            }
            calls.push((fleet.now, member));
            due[member] = fleet.now + Duration::from_millis(1000);
            if fleet.now.since(began) >= Duration::from_millis(there_ms) {
                answered.insert(member);
                let (facts, now) = (facts.clone(), fleet.now);
                fleet.with_core(member, |core, environment| {
                    core.on_endpoint_list(facts, true, 1, now, environment)
                });
            }
        }
    }
    (fleet, calls)
}

fn states(fleet: &SimulatedFleet<Node>, member: usize) -> Vec<RecoveryState> {
    fleet.processes[member].recovery_states.iter().map(|(_, state)| *state).collect()
}

/// Each of three hundred asked discovery for itself.
#[test]
fn three_ask_for_three_hundred_and_all_have_the_list_within_the_wait() {
    let (fleet, calls) = comes_back(1, 0, &[]);
    assert_eq!(calls.len(), 3, "{calls:?}");
    let began = fleet.now - Duration::from_millis(8000);
    let late: Vec<_> =
        (0..SIZE).map(|member| fleet.processes[member].recovery_states[0].0.since(began).as_ms()).collect();
    let slowest = late.iter().copied().fold(0.0, f64::max);
    println!("three hundred have the list after {slowest} ms at the latest, with {} calls", calls.len());
    assert!(
        slowest <= 2300.0 && (0..SIZE).all(|member| states(&fleet, member)[0] == RecoveryState::RampingUp)
    );
    assert!(fleet.total_quota_fraction() > 0.95 && fleet.total_quota_fraction() <= 1.0 + 1e-9);
}

#[test]
fn where_the_first_three_are_dead_the_next_step_in_and_where_discovery_is_late_nine_ask_at_most() {
    let (_, calls) = comes_back(1, 0, &[]);
    let first: Vec<usize> = calls.iter().map(|call| call.1).collect();
    let (fleet, calls) = comes_back(1, 0, &first);
    let asked: BTreeSet<_> = calls.iter().map(|call| call.1).collect();
    assert!(calls.len() <= 6 && asked.is_disjoint(&first.iter().copied().collect()), "{calls:?}");
    assert!(fleet.running_members().iter().all(|member| !states(&fleet, *member).is_empty()));
    let (fleet, calls) = comes_back(1, 60_000, &[]);
    let asked: BTreeSet<_> = calls.iter().map(|call| call.1).collect();
    assert!(asked.len() <= 9, "{asked:?}");
    // Nobody knew any server: what is known from before has to do, and there is nothing.
    assert!((0..SIZE).all(|member| states(&fleet, member) == [RecoveryState::Serving]));
}

#[test]
fn a_return_is_the_same_for_the_same_seed() {
    let told = |seed| {
        let (fleet, calls) = comes_back(seed, 300, &[3, 50]);
        let states: Vec<_> = fleet.processes.iter().map(|process| process.recovery_states.clone()).collect();
        (calls, states, fleet.processes.iter().map(|process| process.sent).collect::<Vec<_>>())
    };
    assert_eq!(told(5), told(5));
}
