//! The simulated network itself: what arrives when, what is cut, and that it is one run whatever the threads.

use shelfgrade::time::Timestamp;
use shelfgrade_testkit::simulation::{Core, Outbox, Simulation};
use shelfgrade_testkit::topology::{NetworkConditions, Topology, SIX_REGIONS};
use std::time::Duration;

const FAIR: NetworkConditions = NetworkConditions { lost_percent: 0, duplicated_percent: 0 };

/// Sends a word to some others every 100 ms, and remembers who was heard, and how many milliseconds after it spoke.
struct Speaker {
    process: usize,
    size: usize,
    next: Timestamp,
    heard: Vec<(usize, f64)>,
}

impl Core for Speaker {
    fn on_datagram(&mut self, from: usize, datagram: &[u8], now: Timestamp, _: &mut Outbox) {
        let said = u64::from_le_bytes(datagram.try_into().expect("eight bytes")) as f64 / 1000.0;
        self.heard.push((from, now.as_ms() - said));
    }
    fn on_timer(&mut self, now: Timestamp, out: &mut Outbox) {
        self.next = now + Duration::from_millis(100);
        let word = ((now.as_ms() * 1000.0) as u64).to_le_bytes().to_vec();
        out.extend([1, 5, 20, 40].map(|further| ((self.process + further) % self.size, word.clone())));
    }
    fn next_wakeup(&self) -> Timestamp {
        self.next
    }
}

fn speakers(size: usize, conditions: NetworkConditions, threads: usize) -> Simulation<Speaker> {
    let mut all = Simulation::new(Topology::new(&SIX_REGIONS, size, 3), conditions, threads, 3);
    all.start(0..size, move |process, now| Speaker { process, size, next: now, heard: Vec::new() });
    all
}

/// Whom each has heard in its order, and how long it took.
type Heard = Vec<(usize, Vec<(usize, f64)>)>;

fn heard(all: &Simulation<Speaker>) -> Heard {
    all.map_running(|_, speaker| speaker.heard.clone())
}

#[test]
fn a_run_is_the_same_on_one_thread_and_on_four() {
    let run = |threads| {
        let mut all = speakers(64, NetworkConditions { lost_percent: 10, duplicated_percent: 10 }, threads);
        all.run_for(Duration::from_millis(777));
        all.isolate_zones(|zone| zone == 4);
        all.kill([3, 40]);
        all.run_for(Duration::from_millis(500));
        (
            heard(&all),
            all.usage()
                .iter()
                .map(|usage| (usage.datagrams_sent, usage.datagrams_received))
                .collect::<Vec<_>>(),
        )
    };
    let one = run(1);
    assert_eq!(one, run(4));
    assert!(one.0.iter().all(|(_, heard)| heard.len() > 20));
}

#[test]
fn a_datagram_takes_the_way_between_its_zones_and_none_that_is_cut() {
    let mut all = speakers(64, FAIR, 2);
    all.run_for(Duration::from_millis(950));
    let topology = all.topology.clone();
    for (process, heard) in heard(&all) {
        for (from, way) in heard {
            match (
                topology.region_of(from) == topology.region_of(process),
                topology.zone_of(from) == topology.zone_of(process),
            ) {
                (_, true) => assert!((1.0..1.21).contains(&way), "{way}"),
                (true, false) => assert!((2.0..2.41).contains(&way), "{way}"),
                _ => assert!((40.0..180.0).contains(&way), "{way}"),
            }
        }
    }
    all.isolate_region(1);
    all.run_for(Duration::from_millis(200));
    let before = heard(&all);
    all.run_for(Duration::from_millis(500));
    for ((process, before), (_, after)) in before.iter().zip(heard(&all)) {
        let within = |from: &usize| (topology.region_of(*from) == 1) == (topology.region_of(*process) == 1);
        assert!(
            after[before.len()..].iter().all(|(from, _)| within(from)),
            "{process} heard through the cut"
        );
    }
    all.heal();
    all.run_for(Duration::from_millis(500));
    let across = heard(&all).into_iter().filter(|(process, _)| topology.region_of(*process) == 1);
    let across =
        across.flat_map(|(_, heard)| heard).filter(|(from, _)| topology.region_of(*from) != 1).count();
    assert!(across > 20, "{across}");
}

#[test]
fn every_process_is_in_one_zone_and_its_region_has_it() {
    for size in [16, 17, 100, 3800] {
        let topology = Topology::new(&SIX_REGIONS, size, 1);
        let dealt: usize = (0..6).map(|region| topology.processes_of(region).len()).sum();
        assert_eq!((topology.zone_count(), dealt), (16, size));
        for region in 0..6 {
            assert!(topology.processes_of(region).all(|process| topology.region_of(process) == region));
        }
    }
}
