//! What the processes share at size: three hundred cores in virtual time. `cargo test -- --nocapture` prints the figures.

use shelfgrade::time::DurationExt;
use shelfgrade_fleet::{Fleet, MemberId};
use shelfgrade_testkit::simulated_fleet::{Network, SimulatedFleet, GOOD_NETWORK};

/// A network as between machines of one site: some loss, and now and then one comes late.
const USUAL: Network = Network { delay_ms: (1, 20), lost_percent: 2, duplicated_percent: 1 };

/// Datagrams and bytes a second that one process sends on the mean, in a fleet of so many that is at rest but for a change
/// a second.
fn traffic(size: usize) -> (f64, f64) {
    const SECONDS: u64 = 20;
    let mut fleet = SimulatedFleet::<Fleet>::running(size, USUAL, 11);
    fleet.run_for_ms(20_000);
    let before: Vec<_> = fleet.processes.iter().map(|p| p.sent).collect();
    for second in 0..SECONDS {
        let key = format!("server/s-{}", second % 7);
        fleet
            .with_core(0, |core, environment| core.put(&key, &(second, "10.1.0.18:8000"), environment))
            .expect("put");
        fleet.run_for_ms(1000);
    }
    let each = (size as u64 * SECONDS) as f64;
    let sums = fleet.processes.iter().zip(before).fold((0, 0), |(datagrams, bytes), (process, before)| {
        (datagrams + process.sent.0 - before.0, bytes + process.sent.1 - before.1)
    });
    (sums.0 as f64 / each, sums.1 as f64 / each)
}

#[test]
fn what_a_process_sends_does_not_grow_with_the_fleet() {
    let figures = [3, 30, 300].map(|size| (size, traffic(size)));
    for (size, (datagrams, bytes)) in figures {
        println!("{size} processes: {datagrams:.1} datagrams and {bytes:.0} bytes a second from each");
    }
    let [_, (_, of_30), (_, of_300)] = figures;
    assert!(of_300.0 < 1.3 * of_30.0 && of_300.1 < 1.5 * of_30.1, "{figures:?}");
    assert!(of_300.0 < 40.0 && of_300.1 < 8000.0, "{figures:?}");
}

/// Milliseconds until all know the same.
fn agrees_within(fleet: &mut SimulatedFleet, most_ms: u64) -> u64 {
    const STEP: u64 = 100;
    let began = fleet.now;
    while !fleet.has_converged() {
        fleet.run_for_ms(STEP);
        assert!(fleet.now.since(began).as_ms() <= most_ms as f64, "no agreement");
    }
    fleet.now.since(began).as_ms() as u64
}

#[test]
fn three_hundred_come_to_know_a_release_of_servers_within_seconds_also_after_two_halves_were_apart() {
    let mut fleet = SimulatedFleet::<Fleet>::running(300, USUAL, 5);
    fleet.run_for_ms(15_000);
    let meets =
        fleet.running_members().iter().filter(|member| fleet.core(**member).alive().len() == 300).count();
    assert!(meets >= 297, "{meets} know of all");
    for server in 0..81 {
        let key = format!("server/s-{server:03}");
        fleet
            .with_core(7, |core, environment| core.put(&key, &(server, "10.1.0.18:8000"), environment))
            .expect("put");
    }
    let whole = agrees_within(&mut fleet, 20_000);
    fleet.partition(|member| member < 150);
    fleet.run_for_ms(20_000);
    for (member, server) in [(3, 4), (200, 9), (3, 70), (200, 70)] {
        let key = format!("server/s-{server:03}");
        fleet
            .with_core(member, |core, environment| core.put(&key, &(member, "drains"), environment))
            .expect("put");
    }
    fleet.with_core(200, |core, environment| core.delete("server/s-000", environment)).expect("deleted");
    fleet.run_for_ms(10_000);
    assert!(!fleet.has_converged(), "they cannot hear each other");
    fleet.blocked.clear();
    let healed = agrees_within(&mut fleet, 60_000);
    println!(
        "81 entries known to 300 after {whole} ms, and after 30 s apart {healed} ms from when they met again"
    );
    assert_eq!(fleet.core(1).get::<(u64, String)>("server/s-000"), None, "a deletion is known like all else");
    fleet.run_for_ms(30_000);
    assert!(
        fleet.total_quota_fraction() > 0.97 && fleet.total_quota_fraction() <= 1.0 + 1e-9,
        "{}",
        fleet.total_quota_fraction()
    );
}

#[test]
fn the_same_seed_gives_the_same_fleet_to_the_byte() {
    let run = |seed| {
        let mut fleet = SimulatedFleet::<Fleet>::running(40, USUAL, seed);
        fleet.run_for_ms(3000);
        fleet.kill(4);
        fleet.with_core(2, |core, environment| core.put("server/s-1", &1, environment)).expect("put");
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
fn nothing_that_cannot_be_read_or_is_not_this_fleets_changes_anything_and_it_is_counted() {
    let mut fleet = SimulatedFleet::<Fleet>::running(3, GOOD_NETWORK, 5);
    fleet.run_for_ms(5000);
    let state = fleet.core(0).state_digest();
    let mut others = SimulatedFleet::<Fleet>::running(4, GOOD_NETWORK, 5);
    others.run_for_ms(300);
    // What the other fleet's first process would send to its second.
    let mut caught = Vec::new();
    struct Catch<'a>(&'a mut Vec<Vec<u8>>);
    impl shelfgrade_fleet::Environment for Catch<'_> {
        fn send(&mut self, _: MemberId, datagram: Vec<u8>) {
            self.0.push(datagram);
        }
        fn entry_changed(&mut self, _: &shelfgrade_fleet::Entry) {}
        fn member_joined(&mut self, _: MemberId) {}
        fn member_left(&mut self, _: MemberId) {}
        fn datagram_rejected(&mut self, _: &'static str) {}
    }
    let later = others.now + std::time::Duration::from_millis(2000);
    others.processes[0].core.as_mut().expect("runs").on_timer(later, 0, &mut Catch(&mut caught));
    let foreign = caught.pop().expect("a datagram");
    let mine = {
        let mut caught = Vec::new();
        let later = fleet.now + std::time::Duration::from_millis(1);
        fleet.processes[1].core.as_mut().expect("runs").leave(later, 0, &mut Catch(&mut caught));
        caught.pop().expect("a datagram")
    };
    fleet.inject(0, foreign);
    fleet.inject(0, Vec::new());
    fleet.inject(0, vec![7; 15]);
    for at in [17, 20, mine.len() - 1] {
        let mut damaged = mine.clone();
        damaged[at] ^= 0x10;
        fleet.inject(0, damaged);
    }
    fleet.run_for_ms(0);
    let refused = &fleet.processes[0].rejected;
    assert_eq!(refused.get("fleet datagrams from other fleets"), Some(&1), "{refused:?}");
    assert_eq!(refused.get("fleet datagrams damaged"), Some(&3), "{refused:?}");
    assert_eq!(refused.get("fleet datagrams malformed"), Some(&2), "{refused:?}");
    assert_eq!((fleet.core(0).state_digest(), fleet.core(0).alive().len()), (state, 3));
}
