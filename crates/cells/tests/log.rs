//! The log: outcomes of changes, recovery of replicas that have lost their storage, and rejection of invalid input.

use shelfgrade_cells::{
    encode, Action, Ballot, CellId, Change, ChangeError, Message, Paxos, ReplicaAddress, ReplicaSet,
    ReplicaSetError, Scope, State, Stored, Version, Vote,
};
use shelfgrade_testkit::cells::fleet::{percentile, TEN_REPLICA_REGIONS};
use shelfgrade_testkit::cells::{address, CellsSimulation, FLEET, GOOD_NETWORK};

fn put(id: u64, key: &str, value: u8) -> Change {
    Change { id, action: Action::PutEntry { key: key.to_owned(), value: vec![value] } }
}

fn add_member(id: u64, cell: u16, name: &str) -> Change {
    let (cell, name, address) = (CellId(cell), name.to_owned(), address(id as usize));
    Change { id, action: Action::AddMember { cell, name, address, incarnation: 1 } }
}

fn add_cell(id: u64, cell: u16, capacity: u16, quota: u32) -> Change {
    Change { id, action: Action::AddCell { cell: CellId(cell), region: 0, capacity, quota } }
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
fn a_change_submitted_to_one_replica_reaches_all() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 1, 2], GOOD_NETWORK, 1);
    for id in 1..=40 {
        simulation.submit(id as usize % 3, put(id, &format!("k{id}"), 1));
    }
    let done = |simulation: &CellsSimulation| {
        replicas_have_converged(simulation)
            && simulation.replica(0).is_some_and(|r| r.state().entry_count() == 40)
    };
    assert!(simulation.run_until(20_000, 50, done), "the 40 changes did not reach all three replicas");
    assert!((1..=40).all(|id| simulation.outcomes.get(&id) == Some(&Ok(()))), "{:?}", simulation.outcomes);
    assert!(simulation.slot_value_check.conflicts.is_empty());
}

#[test]
fn replicas_that_all_propose_make_progress() {
    let mut simulation = CellsSimulation::start_replicas(&TEN_REPLICA_REGIONS, GOOD_NETWORK, 11);
    let mut times_ms = Vec::new();
    let mut pending: Vec<(u64, u64)> = Vec::new();
    for step in 0..1000u64 {
        if step % 10 == 0 && step < 900 {
            let id = 1 + step / 10;
            simulation.submit((id * 7 % 10) as usize, put(id, &format!("k{id}"), 1));
            pending.push((id, step));
        }
        simulation.run_for_ms(40);
        let done = |(id, _): &(u64, u64)| simulation.outcomes.contains_key(id);
        times_ms.extend(
            pending
                .iter()
                .filter(|change| done(change))
                .map(|(_, submitted)| (40 * (step - submitted)) as f64),
        );
        pending.retain(|change| !done(change));
    }
    assert!(pending.is_empty(), "not decided: {pending:?}");
    let (median, max) = (percentile(&mut times_ms, 50.0), percentile(&mut times_ms, 100.0));
    assert!(
        median <= 1500.0 && max <= 5000.0,
        "2.5 changes per second, at alternating replicas: median {median} ms, maximum {max} ms"
    );
}

#[test]
fn a_change_that_is_submitted_again_is_applied_once() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 0], GOOD_NETWORK, 2);
    simulation.submit(0, put(1, "k", 1));
    simulation.run_for_ms(2000);
    simulation.submit(1, put(2, "k", 2));
    simulation.run_for_ms(2000);
    // As from a submitter that got no response and retries at another replica.
    simulation.submit(2, put(1, "k", 1));
    simulation.run_for_ms(2000);
    assert_eq!(simulation.outcomes.get(&1), Some(&Err(ChangeError::AlreadyApplied)));
    for node in 0..3 {
        let state = simulation.replica(node).expect("a running replica").state();
        assert_eq!(state.entry("k"), Some(&[2][..]), "the retry overwrote a newer change");
    }
}

#[test]
fn a_majority_is_necessary_and_sufficient() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 1, 1, 2], GOOD_NETWORK, 3);
    simulation.kill(3);
    simulation.kill(4);
    simulation.submit(0, put(1, "k", 1));
    assert!(
        simulation.run_until(10_000, 50, |simulation| simulation.outcomes.contains_key(&1)),
        "three of five replicas are a majority"
    );
    simulation.kill(2);
    simulation.submit(0, put(2, "k", 2));
    simulation.run_for_ms(20_000);
    assert!(!simulation.outcomes.contains_key(&2), "two of five replicas are not a majority");
    simulation.start(2);
    assert!(
        simulation.run_until(10_000, 50, |simulation| simulation.outcomes.get(&2) == Some(&Ok(()))),
        "three of five replicas run again"
    );
}

#[test]
fn invalid_changes_have_no_effect_and_report_why() {
    let mut state = State::new(Scope::All);
    let mut slot = 0;
    let mut outcome = |change: Change| {
        slot += 1;
        state.apply(slot, &vec![change], 64).pop().map(|(_, outcome)| outcome).expect("one outcome")
    };
    assert_eq!(outcome(add_cell(1, 1, 2, 600_000)), Ok(()));
    assert_eq!(outcome(add_cell(2, 1, 2, 0)), Err(ChangeError::CellExists));
    assert_eq!(
        outcome(add_cell(3, 2, 2, 400_001)),
        Err(ChangeError::QuotaNotFree),
        "the sum exceeds the total"
    );
    assert_eq!(outcome(add_cell(4, 2, 2, 400_000)), Ok(()));
    assert_eq!(outcome(add_member(5, 1, "a")), Ok(()));
    assert_eq!(outcome(add_member(6, 1, "a")), Err(ChangeError::MemberExists));
    assert_eq!(
        outcome(add_member(7, 2, "a")),
        Err(ChangeError::MemberExists),
        "the name is used in another cell"
    );
    assert_eq!(outcome(add_member(8, 3, "b")), Err(ChangeError::UnknownCell));
    assert_eq!(outcome(add_member(9, 1, "b")), Ok(()));
    assert_eq!(outcome(add_member(10, 1, "c")), Err(ChangeError::CellFull));
    let cell_id = CellId(1);
    let member = |name: &str| (cell_id, name.to_owned());
    let (cell, name) = member("a");
    assert_eq!(outcome(Change { id: 11, action: Action::RemoveMember { cell, name } }), Ok(()));
    assert_eq!(
        outcome(add_member(12, 1, "c")),
        Err(ChangeError::CellFull),
        "the removed member is not recorded as ended"
    );
    let (cell, name) = member("a");
    let ended = |id, incarnation| Change {
        id,
        action: Action::RecordMemberEnd { cell, name: name.clone(), incarnation },
    };
    assert_eq!(outcome(ended(13, 2)), Err(ChangeError::UnknownMember), "a different incarnation");
    assert_eq!(outcome(ended(14, 1)), Ok(()));
    assert_eq!(outcome(add_member(15, 1, "c")), Ok(()));
    let grow = |id, units| Change { id, action: Action::GrowQuota { cell: cell_id, units } };
    let shrink = |id, units| Change { id, action: Action::ShrinkQuota { cell: cell_id, units } };
    assert_eq!(outcome(grow(16, 1)), Err(ChangeError::QuotaNotFree));
    assert_eq!(outcome(shrink(17, 100)), Ok(()));
    assert_eq!(outcome(grow(18, 1)), Err(ChangeError::QuotaNotFree), "quota in escrow may still be in use");
    assert_eq!(outcome(shrink(19, 100)), Err(ChangeError::ShrinkPending));
    let shrink_version = Version::at(17, 0);
    let release =
        |id, shrink_version| Change { id, action: Action::ReleaseEscrow { cell: cell_id, shrink_version } };
    assert_eq!(outcome(release(20, Version::at(16, 0))), Err(ChangeError::NothingToRelease));
    // Slots and change IDs are the same here, as each slot has one change.
    assert_eq!(outcome(release(21, shrink_version)), Ok(()));
    assert_eq!(outcome(release(22, shrink_version)), Err(ChangeError::NothingToRelease), "already released");
    assert_eq!(outcome(grow(23, 100)), Ok(()));
    assert_eq!(outcome(put(24, &"k".repeat(97), 1)), Err(ChangeError::OutOfBounds));
}

#[test]
fn empty_too_long_and_duplicate_replica_lists_are_rejected() {
    let replica = |id| ReplicaAddress { address: address(id), region: 0 };
    assert_eq!(
        ReplicaSet::new(vec![replica(1), replica(2), replica(1)]),
        Err(ReplicaSetError::Duplicate(address(1)))
    );
    assert_eq!(ReplicaSet::new(vec![]), Err(ReplicaSetError::Empty));
    assert_eq!(ReplicaSet::new((0..40).map(replica).collect()), Err(ReplicaSetError::TooMany(40)));
}

#[test]
fn a_replica_that_lost_its_storage_does_not_vote_until_it_has_caught_up() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 0], GOOD_NETWORK, 4);
    for id in 1..=5 {
        simulation.submit(0, put(id, "k", id as u8));
        simulation.run_for_ms(500);
    }
    simulation.kill(2);
    simulation.nodes[2].stored.clear();
    simulation.kill(1);
    simulation.start(2);
    simulation.submit(0, put(6, "k", 6));
    simulation.run_for_ms(20_000);
    let lost = simulation.replica(2).expect("a running replica");
    assert!(
        !lost.can_vote() && !simulation.outcomes.contains_key(&6),
        "the replica must not vote, as its earlier votes are unknown"
    );
    assert_eq!(lost.state().entry("k"), Some(&[5][..]), "the replica must learn chosen batches nevertheless");
    assert!(simulation.rejected["cells storage lost, empty or with a gap"] == 1);
    simulation.start(1);
    assert!(
        simulation.run_until(10_000, 50, |simulation| simulation.outcomes.get(&6) == Some(&Ok(()))),
        "two replicas have their storage"
    );
    // The replica votes again once the others have chosen the batch of a further slot.
    simulation.submit(0, put(7, "k", 7));
    simulation.run_for_ms(3000);
    assert!(simulation.replica(2).is_some_and(|lost| lost.can_vote()));
    simulation.kill(1);
    simulation.submit(0, put(8, "k", 8));
    assert!(
        simulation.run_until(10_000, 50, |simulation| simulation.outcomes.get(&8) == Some(&Ok(()))),
        "the recovered replica counts for the majority again"
    );
}

#[test]
fn a_change_submitted_to_a_replica_that_lost_its_storage_is_chosen_by_the_others() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 0], GOOD_NETWORK, 10);
    simulation.submit(0, put(1, "k", 1));
    simulation.run_for_ms(1000);
    simulation.kill(2);
    simulation.nodes[2].stored.clear();
    simulation.start(2);
    simulation.submit(2, put(2, "k", 2));
    assert!(
        simulation.run_until(5000, 50, |simulation| simulation.outcomes.get(&2) == Some(&Ok(()))),
        "the change was not chosen"
    );
}

#[test]
fn a_replica_that_restarts_during_recovery_continues_it() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 0], GOOD_NETWORK, 5);
    simulation.submit(0, put(1, "k", 1));
    simulation.run_for_ms(1000);
    simulation.kill(2);
    simulation.nodes[2].stored.clear();
    simulation.kill(1);
    for _ in 0..3 {
        simulation.start(2);
        simulation.run_for_ms(2000);
        assert!(!simulation.replica(2).is_some_and(|lost| lost.can_vote()));
        simulation.kill(2);
    }
}

#[test]
fn storage_with_a_gap_counts_as_lost() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 0], GOOD_NETWORK, 6);
    for id in 1..=4 {
        simulation.submit(0, put(id, "k", id as u8));
        simulation.run_for_ms(500);
    }
    simulation.kill(0);
    let chosen = |stored: &Stored| matches!(stored, Stored::Chosen { slot: 2, .. });
    let index = simulation.nodes[0].stored.iter().position(chosen).expect("stored");
    simulation.nodes[0].stored.remove(index);
    simulation.start(0);
    assert!(simulation.rejected.contains_key("cells storage lost, empty or with a gap"));
    assert!(!simulation.replica(0).is_some_and(|replica| replica.can_vote()));
    assert!(
        simulation.run_until(5000, 50, replicas_have_converged),
        "the replica did not catch up from the others"
    );
}

#[test]
fn a_vote_survives_a_restart() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 0], GOOD_NETWORK, 7);
    let send = |simulation: &mut CellsSimulation, from: usize, to: usize, message: Paxos| {
        let bytes = encode(shelfgrade_cells::fleet_id(FLEET), &Message::Paxos(message));
        simulation.inject(address(from), to, &bytes);
    };
    let higher = Ballot { round: 9, proposer: 1 };
    send(&mut simulation, 1, 0, Paxos::Prepare { slot: 1, ballot: higher });
    simulation.kill(0);
    simulation.start(0);
    let lower = Ballot { round: 8, proposer: 2 };
    send(&mut simulation, 2, 0, Paxos::Accept { slot: 1, ballot: lower, batch: vec![put(1, "k", 1)] });
    let stored_vote = |simulation: &CellsSimulation| {
        simulation.nodes[0].stored.iter().rev().find_map(|stored| match stored {
            Stored::Vote(vote) => Some(vote.clone()),
            _ => None,
        })
    };
    assert_eq!(
        stored_vote(&simulation),
        Some(Vote { slot: 1, promised: higher, accepted: None }),
        "the replica had promised a higher ballot"
    );
}

#[test]
fn forks_gaps_and_votes_from_no_replica_change_nothing_and_are_counted() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 0], GOOD_NETWORK, 8);
    simulation.submit(0, put(1, "k", 1));
    simulation.run_for_ms(1000);
    let fleet = shelfgrade_cells::fleet_id(FLEET);
    let chosen =
        |slot, id| encode(fleet, &Message::Paxos(Paxos::Chosen { slot, batch: vec![put(id, "k", 9)] }));
    let before = simulation.replica(0).expect("a running replica").state().digest();
    simulation.inject(address(1), 0, &chosen(1, 77));
    simulation.inject(address(1), 0, &chosen(9, 78));
    simulation.inject(address(400), 0, &chosen(2, 79));
    let other_proposer = Paxos::Prepare { slot: 2, ballot: Ballot { round: 1, proposer: 2 } };
    simulation.inject(address(1), 0, &encode(fleet, &Message::Paxos(other_proposer)));
    simulation.inject(address(1), 0, &encode(fleet ^ 1, &Message::Submit(put(5, "k", 5))));
    let mut other_format = encode(fleet, &Message::Submit(put(5, "k", 5)));
    other_format[0] = 0;
    simulation.inject(address(1), 0, &other_format);
    let mut damaged = encode(fleet, &Message::Submit(put(5, "k", 5)));
    *damaged.last_mut().expect("not empty") ^= 1;
    simulation.inject(address(1), 0, &damaged);
    simulation.inject(address(1), 0, &[7; 5]);
    simulation.inject(address(1), 0, &encode(fleet, &Message::Submit(put(6, &"k".repeat(200), 5))));
    assert_eq!(simulation.replica(0).expect("a running replica").state().digest(), before);
    for counter in [
        "cells log with a fork",
        "cells log with a gap",
        "cells votes from no replica",
        "cells ballots of others",
        "cells datagrams of others",
        "cells datagrams of another format",
        "cells datagrams damaged",
        "cells datagrams not to be read",
        "cells changes over a bound",
    ] {
        assert_eq!(simulation.rejected.get(counter), Some(&1), "{counter}: {:?}", simulation.rejected);
    }
}

#[test]
fn a_replica_that_restarts_after_a_compaction_gets_a_snapshot_and_drops_deleted_records() {
    let mut simulation = CellsSimulation::start_replicas(&[0, 0, 0], GOOD_NETWORK, 9).with_horizon(16);
    simulation.submit(0, put(1, "gone", 1));
    simulation.submit(0, put(2, "stays", 1));
    simulation.run_for_ms(1000);
    simulation.kill(2);
    simulation.submit(0, Change { id: 3, action: Action::DeleteEntry { key: "gone".into() } });
    for id in 10..60 {
        simulation.submit(0, put(id, &format!("k{}", id % 5), id as u8));
        simulation.run_for_ms(200);
    }
    let state = simulation.replica(0).expect("a running replica").state();
    assert!(
        state.horizon() > Version(0) && state.get(&shelfgrade_cells::Key::Entry("gone".into())).is_none()
    );
    assert!(state.len() < 40, "change IDs and deleted records must be dropped: {} records", state.len());
    simulation.start(2);
    assert!(
        simulation.run_until(5000, 50, replicas_have_converged),
        "the restarted replica did not converge"
    );
    let restarted = simulation.replica(2).expect("a running replica").state();
    assert!(restarted.entry("gone").is_none() && restarted.entry("stays").is_some());
}
