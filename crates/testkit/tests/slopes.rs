//! How what a process sends, knows and waits for grows with the fleet: hollow processes in 6 regions and 16 zones, small
//! enough for every change. The shape is looked at, and no time of the machine's. `examples/hollow.rs` has the sizes.

use shelfgrade::time::DurationExt;
use shelfgrade_testkit::hollow_node::{node_name, roster, HollowNode};
use shelfgrade_testkit::loopback_address;
use shelfgrade_testkit::simulation::Simulation;
use shelfgrade_testkit::sockets::SocketFleet;
use shelfgrade_testkit::topology::{NetworkConditions, Topology, SIX_REGIONS};
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

const USUAL: NetworkConditions = NetworkConditions { lost_percent: 2, duplicated_percent: 1 };
const STEP: Duration = Duration::from_millis(100);

fn started(size: usize) -> Simulation<HollowNode> {
    let mut all = Simulation::new(Topology::new(&SIX_REGIONS, size, 7), USUAL, 2, 7);
    let roster = roster(size);
    all.start(0..size, move |process, now| HollowNode::new(&roster, &node_name(process), 1, now));
    all
}

fn until(
    all: &mut Simulation<HollowNode>,
    most_ms: f64,
    holds: impl Fn(&Simulation<HollowNode>) -> bool,
) -> f64 {
    let began = all.now();
    while !holds(all) {
        all.run_for(STEP);
        assert!(all.now().since(began).as_ms() <= most_ms, "not within {most_ms} ms");
    }
    all.now().since(began).as_ms()
}

/// Bytes and datagrams that one process sends on the mean, since the beginning.
fn sent(all: &Simulation<HollowNode>) -> (f64, f64) {
    let usage = all.usage();
    let sum =
        |of: fn(&shelfgrade_testkit::simulation::Usage) -> u64| usage.iter().map(of).sum::<u64>() as f64;
    (
        sum(|usage| usage.bytes_sent) / usage.len() as f64,
        sum(|usage| usage.datagrams_sent) / usage.len() as f64,
    )
}

fn put(all: &mut Simulation<HollowNode>, process: usize, number: usize, kind: &'static str) {
    all.with_core(process, move |hollow, _, out| {
        for i in 0..number {
            hollow
                .with_fleet(out, |fleet, environment| fleet.put(&format!("{kind}/{i}"), &i, environment))
                .expect("put");
        }
    });
}

fn agree(all: &Simulation<HollowNode>) -> bool {
    all.map_running(|_, hollow| hollow.fleet.state_digest())
        .into_iter()
        .map(|(_, state)| state)
        .collect::<BTreeSet<_>>()
        .len()
        == 1
}

#[test]
fn at_rest_a_process_sends_as_much_in_a_fleet_four_times_the_size() {
    let figures = [64, 256].map(|size| {
        let mut all = started(size);
        all.run_for(Duration::from_millis(30_000));
        let before = sent(&all);
        all.run_for(Duration::from_millis(10_000));
        let after = sent(&all);
        ((after.0 - before.0) / 10.0, (after.1 - before.1) / 10.0)
    });
    let [small, large] = figures;
    assert!(large.0 < 1.3 * small.0 && large.1 < 1.3 * small.1, "{figures:?}");
    assert!(large.0 < 4096.0, "{figures:?}");
}

#[test]
fn a_change_takes_a_few_rounds_more_in_a_fleet_four_times_the_size() {
    let figures = [64, 256].map(|size| {
        let mut all = started(size);
        all.run_for(Duration::from_millis(10_000));
        put(&mut all, 3, 1, "change");
        until(&mut all, 20_000.0, |all| {
            all.map_running(|_, hollow| hollow.fleet.version("change/0").is_some())
                .iter()
                .all(|(_, known)| *known)
        })
    });
    // Two gossips twice a second reach twice as many or more in each round: two further doublings, and what was lost.
    assert!(figures[1] <= figures[0] + 2000.0, "{figures:?}");
}

#[test]
fn a_fleet_that_starts_at_once_sends_no_more_than_in_step_with_its_size() {
    let figures = [64, 256].map(|size| {
        let mut all = started(size);
        let met = until(&mut all, 20_000.0, |all| {
            all.map_running(|_, hollow| hollow.fleet.alive().len())
                .iter()
                .all(|(_, alive)| *alive * 100 >= size * 99)
        });
        (met, sent(&all).0)
    });
    let [small, large] = figures;
    assert!(large.1 < 4.0 * small.1 && large.0 < small.0 + 3000.0, "{figures:?}");
}

/// Two regions that were apart know the same soon after they meet, and the sum of rights was never over the whole.
#[test]
fn a_region_that_was_cut_off_agrees_again_and_nobody_had_more_than_the_whole() {
    let mut all = started(96);
    all.run_for(Duration::from_millis(15_000));
    all.isolate_region(2);
    let whole = |all: &Simulation<HollowNode>| {
        let now = all.now();
        all.map_running(move |_, hollow| hollow.fleet.quota_fraction(now))
            .into_iter()
            .map(|(_, part)| part)
            .sum::<f64>()
    };
    for step in 0..100 {
        match step {
            50 => put(&mut all, 0, 3, "without"),
            51 => put(&mut all, 50, 3, "within"),
            _ => all.run_for(Duration::from_millis(200)),
        }
        assert!(whole(&all) <= 1.0 + 1e-9, "{}", whole(&all));
    }
    assert!(!agree(&all), "they cannot hear each other");
    all.heal();
    until(&mut all, 30_000.0, |all| {
        assert!(whole(all) <= 1.0 + 1e-9, "{}", whole(all));
        agree(all)
    });
}

/// On sockets, with no more sent for three times as many.
#[test]
fn hollow_processes_with_sockets_of_their_own_meet_agree_and_send_no_more_for_three_times_as_many() {
    let figures = [8, 24].map(|size| {
        let sockets: Vec<_> =
            (0..size).map(|_| UdpSocket::bind(loopback_address()).expect("a socket")).collect();
        let address = |socket: &UdpSocket| socket.local_addr().expect("an address");
        let all: Vec<_> =
            sockets.iter().enumerate().map(|(i, socket)| (node_name(i), address(socket))).collect();
        let mut all = SocketFleet::new(sockets, &all);
        let long = Duration::from_secs(60);
        assert!(all.run_until(long, |all| all.mean_alive_members() == size as f64).is_some(), "all meet");
        all.put_entries(20, "change");
        assert!(all
            .run_until(long, |all| all.count_with_entry("change/19") == size && all.distinct_states() == 1)
            .is_some());
        let (sent, began) = (all.sent, Instant::now());
        all.run_for(Duration::from_secs(4));
        (all.sent.datagrams - sent.datagrams) as f64 / size as f64 / began.elapsed().as_secs_f64()
    });
    assert!(figures[1] < 2.0 * figures[0], "{figures:?}");
}
