//! How traffic, state and convergence times grow with the size of a fleet: hollow nodes in 6 regions and 16 zones, in
//! fleets small enough to test on every change. Only growth is checked, not times measured on the machine.
//! `examples/hollow.rs` measures large fleets.

use shelfgrade::time::DurationExt;
use shelfgrade_testkit::hollow_node::{node_name, roster, HollowNode};
use shelfgrade_testkit::loopback_address;
use shelfgrade_testkit::simulation::Simulation;
use shelfgrade_testkit::sockets::SocketFleet;
use shelfgrade_testkit::topology::{NetworkConditions, Topology, SIX_REGIONS};
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

const TYPICAL_NETWORK: NetworkConditions = NetworkConditions { lost_percent: 2, duplicated_percent: 1 };
/// The interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn start_fleet(size: usize) -> Simulation<HollowNode> {
    let mut simulation = Simulation::new(Topology::new(&SIX_REGIONS, size, 7), TYPICAL_NETWORK, 2, 7);
    let roster = roster(size);
    simulation.start(0..size, move |process, now| HollowNode::new(&roster, &node_name(process), 1, now));
    simulation
}

/// Runs until `holds` is true, and returns how many milliseconds that took; panics after `limit_ms`.
fn run_until(
    simulation: &mut Simulation<HollowNode>,
    limit_ms: f64,
    holds: impl Fn(&Simulation<HollowNode>) -> bool,
) -> f64 {
    let began = simulation.now();
    while !holds(simulation) {
        simulation.run_for(CHECK_INTERVAL);
        assert!(simulation.now().since(began).as_ms() <= limit_ms, "condition not met within {limit_ms} ms");
    }
    simulation.now().since(began).as_ms()
}

/// The mean numbers of bytes and datagrams that a process has sent since the start.
fn mean_sent(simulation: &Simulation<HollowNode>) -> (f64, f64) {
    let usage = simulation.usage();
    let sum =
        |of: fn(&shelfgrade_testkit::simulation::Usage) -> u64| usage.iter().map(of).sum::<u64>() as f64;
    (
        sum(|usage| usage.bytes_sent) / usage.len() as f64,
        sum(|usage| usage.datagrams_sent) / usage.len() as f64,
    )
}

fn put_entries(simulation: &mut Simulation<HollowNode>, process: usize, count: usize, prefix: &'static str) {
    simulation.with_core(process, move |node, _, out| {
        for i in 0..count {
            node.with_fleet(out, |fleet, environment| fleet.put(&format!("{prefix}/{i}"), &i, environment))
                .expect("entry is accepted");
        }
    });
}

fn has_converged(simulation: &Simulation<HollowNode>) -> bool {
    simulation
        .map_running(|_, node| node.fleet.state_digest())
        .into_iter()
        .map(|(_, state)| state)
        .collect::<BTreeSet<_>>()
        .len()
        == 1
}

#[test]
fn idle_traffic_per_process_is_constant_when_the_fleet_quadruples() {
    let figures = [64, 256].map(|size| {
        let mut simulation = start_fleet(size);
        simulation.run_for(Duration::from_millis(30_000));
        let before = mean_sent(&simulation);
        simulation.run_for(Duration::from_millis(10_000));
        let after = mean_sent(&simulation);
        ((after.0 - before.0) / 10.0, (after.1 - before.1) / 10.0)
    });
    let [small, large] = figures;
    assert!(large.0 < 1.3 * small.0 && large.1 < 1.3 * small.1, "{figures:?}");
    assert!(large.0 < 4096.0, "{figures:?}");
}

#[test]
fn change_propagates_in_a_few_more_gossip_rounds_when_the_fleet_quadruples() {
    let figures = [64, 256].map(|size| {
        let mut simulation = start_fleet(size);
        simulation.run_for(Duration::from_millis(10_000));
        put_entries(&mut simulation, 3, 1, "change");
        run_until(&mut simulation, 20_000.0, |simulation| {
            simulation
                .map_running(|_, node| node.fleet.version("change/0").is_some())
                .iter()
                .all(|(_, known)| *known)
        })
    });
    // Each process gossips with two peers twice a second, so each round at least doubles the number of processes
    // reached. A fleet of four times the size needs two more rounds, plus some for lost datagrams.
    assert!(figures[1] <= figures[0] + 2000.0, "{figures:?}");
}

#[test]
fn startup_traffic_per_process_grows_at_most_linearly_with_the_fleet() {
    let figures = [64, 256].map(|size| {
        let mut simulation = start_fleet(size);
        let discovered_ms = run_until(&mut simulation, 20_000.0, |simulation| {
            simulation
                .map_running(|_, node| node.fleet.alive().len())
                .iter()
                .all(|(_, alive)| *alive * 100 >= size * 99)
        });
        (discovered_ms, mean_sent(&simulation).0)
    });
    let [small, large] = figures;
    assert!(large.1 < 4.0 * small.1 && large.0 < small.0 + 3000.0, "{figures:?}");
}

/// A region that was cut off agrees with the others soon after the partition heals, and the quota fractions never add
/// up to more than 1.
#[test]
fn isolated_region_converges_after_healing_and_quota_is_never_exceeded() {
    let mut simulation = start_fleet(96);
    simulation.run_for(Duration::from_millis(15_000));
    simulation.isolate_region(2);
    let total_quota = |simulation: &Simulation<HollowNode>| {
        let now = simulation.now();
        simulation
            .map_running(move |_, node| node.fleet.quota_fraction(now))
            .into_iter()
            .map(|(_, fraction)| fraction)
            .sum::<f64>()
    };
    for step in 0..100 {
        match step {
            50 => put_entries(&mut simulation, 0, 3, "outside"),
            51 => put_entries(&mut simulation, 50, 3, "inside"),
            _ => simulation.run_for(Duration::from_millis(200)),
        }
        assert!(total_quota(&simulation) <= 1.0 + 1e-9, "{}", total_quota(&simulation));
    }
    assert!(!has_converged(&simulation), "the isolated region cannot exchange datagrams with the others");
    simulation.heal();
    run_until(&mut simulation, 30_000.0, |simulation| {
        assert!(total_quota(simulation) <= 1.0 + 1e-9, "{}", total_quota(simulation));
        has_converged(simulation)
    });
}

/// The same on real sockets: traffic per node must not grow when the fleet triples.
#[test]
fn hollow_nodes_on_real_sockets_converge_and_send_no_more_when_the_fleet_triples() {
    let figures = [8, 24].map(|size| {
        let sockets: Vec<_> =
            (0..size).map(|_| UdpSocket::bind(loopback_address()).expect("socket is bound")).collect();
        let address = |socket: &UdpSocket| socket.local_addr().expect("address is available");
        let members: Vec<_> =
            sockets.iter().enumerate().map(|(i, socket)| (node_name(i), address(socket))).collect();
        let mut fleet = SocketFleet::new(sockets, &members);
        let limit = Duration::from_secs(60);
        assert!(
            fleet.run_until(limit, |fleet| fleet.mean_alive_members() == size as f64).is_some(),
            "all see each other alive"
        );
        fleet.put_entries(20, "change");
        assert!(fleet
            .run_until(limit, |fleet| fleet.count_with_entry("change/19") == size
                && fleet.distinct_states() == 1)
            .is_some());
        let (sent, began) = (fleet.sent, Instant::now());
        fleet.run_for(Duration::from_secs(4));
        (fleet.sent.datagrams - sent.datagrams) as f64 / size as f64 / began.elapsed().as_secs_f64()
    });
    assert!(figures[1] < 2.0 * figures[0], "{figures:?}");
}
