//! The replicated map and the quota at scale: a fleet of 300 processes in virtual time. `cargo test -- --nocapture`
//! prints the figures.

use shelfgrade::time::DurationExt;
use shelfgrade_fleet::{Fleet, MemberId};
use shelfgrade_testkit::simulated_fleet::{Network, SimulatedFleet, GOOD_NETWORK};

/// A network like that between the machines of one site: some loss, and some datagrams that arrive late.
const TYPICAL_NETWORK: Network = Network { delay_ms: (1, 20), lost_percent: 2, duplicated_percent: 1 };

/// The mean numbers of datagrams and bytes that a process sends per second, in a fleet of `size` processes with one
/// change per second.
fn send_rates(size: usize) -> (f64, f64) {
    const SECONDS: u64 = 20;
    let mut fleet = SimulatedFleet::<Fleet>::running(size, TYPICAL_NETWORK, 11);
    fleet.run_for_ms(20_000);
    let before: Vec<_> = fleet.processes.iter().map(|process| process.sent).collect();
    for second in 0..SECONDS {
        let key = format!("server/s-{}", second % 7);
        fleet
            .with_core(0, |core, environment| core.put(&key, &(second, "10.1.0.18:8000"), environment))
            .expect("entry is accepted");
        fleet.run_for_ms(1000);
    }
    let process_seconds = (size as u64 * SECONDS) as f64;
    let sums = fleet.processes.iter().zip(before).fold((0, 0), |(datagrams, bytes), (process, before)| {
        (datagrams + process.sent.0 - before.0, bytes + process.sent.1 - before.1)
    });
    (sums.0 as f64 / process_seconds, sums.1 as f64 / process_seconds)
}

#[test]
fn traffic_per_process_does_not_grow_with_the_fleet() {
    let figures = [3, 30, 300].map(|size| (size, send_rates(size)));
    for (size, (datagrams, bytes)) in figures {
        println!("{size} processes: {datagrams:.1} datagrams and {bytes:.0} bytes per second from each");
    }
    let [_, (_, of_30), (_, of_300)] = figures;
    assert!(of_300.0 < 1.3 * of_30.0 && of_300.1 < 1.5 * of_30.1, "{figures:?}");
    assert!(of_300.0 < 40.0 && of_300.1 < 8000.0, "{figures:?}");
}

/// Runs the fleet until all processes hold the same state, and returns how many milliseconds that took.
fn run_until_converged(fleet: &mut SimulatedFleet, limit_ms: u64) -> u64 {
    const STEP: u64 = 100;
    let began = fleet.now;
    while !fleet.has_converged() {
        fleet.run_for_ms(STEP);
        assert!(fleet.now.since(began).as_ms() <= limit_ms as f64, "not converged within {limit_ms} ms");
    }
    fleet.now.since(began).as_ms() as u64
}

#[test]
fn fleet_of_300_converges_within_seconds_after_many_changes_and_after_a_partition() {
    let mut fleet = SimulatedFleet::<Fleet>::running(300, TYPICAL_NETWORK, 5);
    fleet.run_for_ms(15_000);
    let with_full_view =
        fleet.running_members().iter().filter(|member| fleet.core(**member).alive().len() == 300).count();
    assert!(with_full_view >= 297, "{with_full_view} processes see all members alive");
    for server in 0..81 {
        let key = format!("server/s-{server:03}");
        fleet
            .with_core(7, |core, environment| core.put(&key, &(server, "10.1.0.18:8000"), environment))
            .expect("entry is accepted");
    }
    let connected_ms = run_until_converged(&mut fleet, 20_000);
    fleet.partition(|member| member < 150);
    fleet.run_for_ms(20_000);
    for (member, server) in [(3, 4), (200, 9), (3, 70), (200, 70)] {
        let key = format!("server/s-{server:03}");
        fleet
            .with_core(member, |core, environment| core.put(&key, &(member, "drains"), environment))
            .expect("entry is accepted");
    }
    fleet.with_core(200, |core, environment| core.delete("server/s-000", environment)).expect("deleted");
    fleet.run_for_ms(10_000);
    assert!(!fleet.has_converged(), "the two halves cannot exchange datagrams");
    fleet.blocked.clear();
    let healed_ms = run_until_converged(&mut fleet, 60_000);
    println!(
        "300 processes have 81 entries after {connected_ms} ms, and converge {healed_ms} ms after a 30 s partition heals"
    );
    assert_eq!(
        fleet.core(1).get::<(u64, String)>("server/s-000"),
        None,
        "a deletion propagates like other changes"
    );
    fleet.run_for_ms(30_000);
    assert!(
        fleet.total_quota_fraction() > 0.97 && fleet.total_quota_fraction() <= 1.0 + 1e-9,
        "{}",
        fleet.total_quota_fraction()
    );
}

#[test]
fn simulation_is_deterministic_for_a_seed() {
    let run = |seed| {
        let mut fleet = SimulatedFleet::<Fleet>::running(40, TYPICAL_NETWORK, seed);
        fleet.run_for_ms(3000);
        fleet.kill(4);
        fleet
            .with_core(2, |core, environment| core.put("server/s-1", &1, environment))
            .expect("entry is accepted");
        fleet.blocked.insert((MemberId(1), MemberId(2)));
        fleet.run_for_ms(5000);
        let sent: Vec<_> = fleet.processes.iter().map(|process| process.sent).collect();
        (
            sent,
            fleet
                .running_members()
                .iter()
                .map(|member| fleet.core(*member).state_digest())
                .collect::<Vec<_>>(),
        )
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn invalid_and_foreign_datagrams_are_counted_and_change_nothing() {
    let mut fleet = SimulatedFleet::<Fleet>::running(3, GOOD_NETWORK, 5);
    fleet.run_for_ms(5000);
    let state = fleet.core(0).state_digest();
    let mut other_fleet = SimulatedFleet::<Fleet>::running(4, GOOD_NETWORK, 5);
    other_fleet.run_for_ms(300);
    // A datagram that the first process of the other fleet would send to its second.
    let mut captured = Vec::new();
    struct CaptureSends<'a>(&'a mut Vec<Vec<u8>>);
    impl shelfgrade_fleet::Environment for CaptureSends<'_> {
        fn send(&mut self, _: MemberId, datagram: Vec<u8>) {
            self.0.push(datagram);
        }
        fn entry_changed(&mut self, _: &shelfgrade_fleet::Entry) {}
        fn member_joined(&mut self, _: MemberId) {}
        fn member_left(&mut self, _: MemberId) {}
        fn datagram_rejected(&mut self, _: &'static str) {}
    }
    let later = other_fleet.now + std::time::Duration::from_millis(2000);
    other_fleet.processes[0].core.as_mut().expect("process is running").on_timer(
        later,
        0,
        &mut CaptureSends(&mut captured),
    );
    let foreign = captured.pop().expect("a datagram was sent");
    let valid = {
        let mut captured = Vec::new();
        let later = fleet.now + std::time::Duration::from_millis(1);
        fleet.processes[1].core.as_mut().expect("process is running").leave(
            later,
            0,
            &mut CaptureSends(&mut captured),
        );
        captured.pop().expect("a datagram was sent")
    };
    fleet.inject(0, foreign);
    fleet.inject(0, Vec::new());
    fleet.inject(0, vec![7; 15]);
    for offset in [17, 20, valid.len() - 1] {
        let mut damaged = valid.clone();
        damaged[offset] ^= 0x10;
        fleet.inject(0, damaged);
    }
    fleet.run_for_ms(0);
    let rejected = &fleet.processes[0].rejected;
    assert_eq!(rejected.get("fleet datagrams from other fleets"), Some(&1), "{rejected:?}");
    assert_eq!(rejected.get("fleet datagrams damaged"), Some(&3), "{rejected:?}");
    assert_eq!(rejected.get("fleet datagrams malformed"), Some(&2), "{rejected:?}");
    assert_eq!((fleet.core(0).state_digest(), fleet.core(0).alive().len()), (state, 3));
}
