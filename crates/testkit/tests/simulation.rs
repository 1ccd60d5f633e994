//! Tests of the simulated network: delays, partitions, and runs that do not depend on the number of threads.

use shelfgrade::time::Timestamp;
use shelfgrade_testkit::simulation::{Core, Outbox, Simulation};
use shelfgrade_testkit::topology::{NetworkConditions, Topology, SIX_REGIONS};
use std::time::Duration;

const LOSSLESS: NetworkConditions = NetworkConditions { lost_percent: 0, duplicated_percent: 0 };

/// Sends a datagram with the current time to four other processes every 100 ms, and records what it receives.
struct TimestampSender {
    process: usize,
    size: usize,
    next_send: Timestamp,
    /// The sender and the delay in milliseconds of each datagram.
    received: Vec<(usize, f64)>,
}

impl Core for TimestampSender {
    fn on_datagram(&mut self, from: usize, datagram: &[u8], now: Timestamp, _: &mut Outbox) {
        let sent_ms =
            u64::from_le_bytes(datagram.try_into().expect("datagram has eight bytes")) as f64 / 1000.0;
        self.received.push((from, now.as_ms() - sent_ms));
    }
    fn on_timer(&mut self, now: Timestamp, out: &mut Outbox) {
        self.next_send = now + Duration::from_millis(100);
        let datagram = ((now.as_ms() * 1000.0) as u64).to_le_bytes().to_vec();
        out.extend([1, 5, 20, 40].map(|offset| ((self.process + offset) % self.size, datagram.clone())));
    }
    fn next_wakeup(&self) -> Timestamp {
        self.next_send
    }
}

fn start_senders(size: usize, conditions: NetworkConditions, threads: usize) -> Simulation<TimestampSender> {
    let mut simulation = Simulation::new(Topology::new(&SIX_REGIONS, size, 3), conditions, threads, 3);
    simulation.start(0..size, move |process, now| TimestampSender {
        process,
        size,
        next_send: now,
        received: Vec::new(),
    });
    simulation
}

/// What each process has received, in order of arrival.
type Received = Vec<(usize, Vec<(usize, f64)>)>;

fn received(simulation: &Simulation<TimestampSender>) -> Received {
    simulation.map_running(|_, sender| sender.received.clone())
}

#[test]
fn run_is_the_same_on_one_thread_and_on_four() {
    let run = |threads| {
        let mut simulation =
            start_senders(64, NetworkConditions { lost_percent: 10, duplicated_percent: 10 }, threads);
        simulation.run_for(Duration::from_millis(777));
        simulation.isolate_zones(|zone| zone == 4);
        simulation.kill([3, 40]);
        simulation.run_for(Duration::from_millis(500));
        (
            received(&simulation),
            simulation
                .usage()
                .iter()
                .map(|usage| (usage.datagrams_sent, usage.datagrams_received))
                .collect::<Vec<_>>(),
        )
    };
    let single_threaded = run(1);
    assert_eq!(single_threaded, run(4));
    assert!(single_threaded.0.iter().all(|(_, received)| received.len() > 20));
}

#[test]
fn delays_follow_the_topology_and_isolated_regions_receive_nothing() {
    let mut simulation = start_senders(64, LOSSLESS, 2);
    simulation.run_for(Duration::from_millis(950));
    let topology = simulation.topology.clone();
    for (process, received) in received(&simulation) {
        for (from, delay_ms) in received {
            match (
                topology.region_of(from) == topology.region_of(process),
                topology.zone_of(from) == topology.zone_of(process),
            ) {
                (_, true) => {
                    assert!((1.0..1.21).contains(&delay_ms), "{delay_ms} ms from {from} to {process}")
                }
                (true, false) => {
                    assert!((2.0..2.41).contains(&delay_ms), "{delay_ms} ms from {from} to {process}")
                }
                _ => assert!((40.0..180.0).contains(&delay_ms), "{delay_ms} ms from {from} to {process}"),
            }
        }
    }
    simulation.isolate_region(1);
    simulation.run_for(Duration::from_millis(200));
    let before = received(&simulation);
    simulation.run_for(Duration::from_millis(500));
    for ((process, before), (_, after)) in before.iter().zip(received(&simulation)) {
        let is_reachable =
            |from: &usize| (topology.region_of(*from) == 1) == (topology.region_of(*process) == 1);
        assert!(
            after[before.len()..].iter().all(|(from, _)| is_reachable(from)),
            "{process} received datagrams across the partition"
        );
    }
    simulation.heal();
    simulation.run_for(Duration::from_millis(500));
    let received_across =
        received(&simulation).into_iter().filter(|(process, _)| topology.region_of(*process) == 1);
    let received_across = received_across
        .flat_map(|(_, received)| received)
        .filter(|(from, _)| topology.region_of(*from) != 1)
        .count();
    assert!(received_across > 20, "{received_across} datagrams from other regions after healing");
}

#[test]
fn every_process_belongs_to_exactly_one_zone_and_region() {
    for size in [16, 17, 100, 3800] {
        let topology = Topology::new(&SIX_REGIONS, size, 1);
        let assigned: usize = (0..6).map(|region| topology.processes_of(region).len()).sum();
        assert_eq!((topology.zone_count(), assigned), (16, size));
        for region in 0..6 {
            assert!(topology.processes_of(region).all(|process| topology.region_of(process) == region));
        }
    }
}
