//! Measures the traffic, convergence times, CPU time and memory of large fleets: hollow nodes in virtual time, in 6
//! regions and 16 zones. Prints a line of JSON for each measurement.
//!
//! `cargo run --release --locked -p shelfgrade-testkit --example hollow -- [SIZES] [THREADS] [SEED]`
//!
//! SIZES is a comma-separated list of fleet sizes, `100,300,1000,3800` by default; THREADS is 4 by default, SEED 1.

use shelfgrade::time::DurationExt;
use shelfgrade_testkit::hollow_node::{node_name, roster, HollowNode};
use shelfgrade_testkit::simulation::{Simulation, Usage};
use shelfgrade_testkit::topology::{NetworkConditions, Topology, SIX_REGIONS};
use std::time::Duration;
use std::time::Instant;

const NETWORK: NetworkConditions = NetworkConditions { lost_percent: 2, duplicated_percent: 1 };
/// The interval between two checks of a condition; convergence times are measured to this precision.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let sizes = args.first().map_or("100,300,1000,3800", String::as_str);
    let threads = args.get(1).and_then(|arg| arg.parse().ok()).unwrap_or(4);
    let seed = args.get(2).and_then(|arg| arg.parse().ok()).unwrap_or(1);
    for size in sizes.split(',').filter_map(|size| size.parse().ok()) {
        Trial::new(size, threads, seed).run();
    }
}

struct Trial {
    simulation: Simulation<HollowNode>,
    size: usize,
    seed: u64,
    began: Instant,
    resident_before: u64,
}

/// The usage of all processes up to a point in time.
struct Counters {
    usage: Vec<Usage>,
    at_ms: f64,
}

impl Trial {
    fn new(size: usize, threads: usize, seed: u64) -> Self {
        let resident_before = resident_bytes();
        let topology = Topology::new(&SIX_REGIONS, size, seed);
        let mut simulation = Simulation::new(topology, NETWORK, threads, seed);
        let roster = roster(size);
        simulation
            .start(0..size, move |process, now| HollowNode::new(&roster, &node_name(process), seed, now));
        Trial { simulation, size, seed, began: Instant::now(), resident_before }
    }

    fn run(mut self) {
        let began = self.counters();
        // All processes start at once: until the mean process sees 99% of the members alive.
        let discovered_ms =
            self.run_until(30, |trial| trial.mean_alive_members() >= 0.99 * trial.size as f64);
        let alive = self.alive_summary();
        self.print_point(
            "all start at once",
            &began,
            &format!(r#""99_in_100_known_to_each_ms":{discovered_ms},{alive}"#),
        );
        for point in ["the first 10 s after that", "the next 10 s", "the third 10 s"] {
            let settling = self.counters();
            self.simulation.run_for(Duration::from_millis(10_000));
            self.print_point(point, &settling, &self.alive_summary());
        }

        let idle = self.counters();
        self.simulation.run_for(Duration::from_millis(20_000));
        self.print_point("at rest", &idle, &format!(r#""memory_kb":{}"#, self.memory_kb()));

        let change = self.counters();
        self.put_entries(7, 1, "change");
        let (most_ms, all_ms) = self.propagation_ms("change/0", 60);
        self.print_point(
            "one change",
            &change,
            &format!(r#""known_to_99_in_100_ms":{most_ms},"known_to_all_ms":{all_ms}"#),
        );

        let bulk = self.counters();
        self.put_entries(self.size / 2, 1000, "server");
        self.simulation.run_for(Duration::from_millis(10_000));
        self.print_point("1000 entries at once, the first 10 s", &bulk, &self.entry_summary());
        let agree_ms = self.run_until(300, |trial| trial.distinct_states() == 1);
        let all_ms = 10_000 + agree_ms.parse::<u64>().unwrap_or(0);
        let all_ms = if agree_ms == "null" { agree_ms } else { all_ms.to_string() };
        let memory = self.memory_kb();
        self.print_point(
            "1000 entries at once",
            &bulk,
            &format!(r#""agree_after_ms":{all_ms},"memory_kb":{memory}"#),
        );

        self.simulation.isolate_region(0);
        let isolated = self.counters();
        self.simulation.run_for(Duration::from_millis(20_000));
        self.print_point("a region cut off, the first 20 s", &isolated, "");
        let later = self.counters();
        self.put_entries(0, 3, "within");
        self.put_entries(self.size - 1, 3, "without");
        self.simulation.run_for(Duration::from_millis(20_000));
        self.print_point("a region cut off, the next 20 s", &later, "");
        self.simulation.heal();
        let healed = self.counters();
        let agree_ms = self.run_until(120, |trial| trial.distinct_states() == 1);
        let alive = self.alive_summary();
        self.print_point("a region is back", &healed, &format!(r#""agree_after_ms":{agree_ms},{alive}"#));
    }

    fn counters(&self) -> Counters {
        Counters { usage: self.simulation.usage(), at_ms: self.simulation.now().as_ms() }
    }

    fn put_entries(&mut self, process: usize, count: usize, prefix: &'static str) {
        self.simulation.with_core(process, move |node, _, out| {
            for i in 0..count {
                let key = format!("{prefix}/{i}");
                node.with_fleet(out, |fleet, environment| {
                    fleet.put(&key, &(i as u64, "10.1.0.18:8000", 1.5), environment)
                })
                .expect("entry is accepted");
            }
        });
    }

    /// Milliseconds until `holds` is true, as JSON: null if it was not within `limit_s` seconds.
    fn run_until(&mut self, limit_s: u64, holds: impl Fn(&Self) -> bool) -> String {
        let began = self.simulation.now();
        while !holds(self) {
            if self.simulation.now().since(began) >= Duration::from_millis(limit_s * 1000) {
                return "null".to_owned();
            }
            self.simulation.run_for(CHECK_INTERVAL);
        }
        format!("{:.0}", self.simulation.now().since(began).as_ms())
    }

    /// Milliseconds until 99% of the processes have a key, and until all have it.
    fn propagation_ms(&mut self, key: &'static str, limit_s: u64) -> (String, String) {
        let count_with_key = move |trial: &Self| {
            let has_key = trial.simulation.map_running(move |_, node| node.fleet.version(key).is_some());
            has_key.into_iter().filter(|(_, has)| *has).count()
        };
        let began = self.simulation.now().as_ms();
        let ninety_nine_percent = (self.size * 99).div_ceil(100);
        let most_ms = self.run_until(limit_s, |trial| count_with_key(trial) >= ninety_nine_percent);
        let all_ms = self.run_until(limit_s, |trial| count_with_key(trial) == trial.size);
        let all_ms =
            if all_ms == "null" { all_ms } else { format!("{:.0}", self.simulation.now().as_ms() - began) };
        (most_ms, all_ms)
    }

    fn mean_alive_members(&self) -> f64 {
        let alive = self.simulation.map_running(|_, node| node.fleet.alive().len());
        alive.iter().map(|(_, alive)| *alive).sum::<usize>() as f64 / alive.len() as f64
    }

    /// The mean and least number of members that a process sees alive, as JSON.
    fn alive_summary(&self) -> String {
        let alive = self.simulation.map_running(|_, node| node.fleet.alive().len());
        let least = alive.into_iter().map(|(_, alive)| alive).min().unwrap_or(0);
        format!(r#""alive_mean":{:.1},"alive_least":{least}"#, self.mean_alive_members())
    }

    /// The number of distinct states among the processes.
    fn distinct_states(&self) -> usize {
        let states = self.simulation.map_running(|_, node| node.fleet.state_digest());
        states.into_iter().map(|(_, state)| state).collect::<std::collections::BTreeSet<_>>().len()
    }

    /// The number of distinct states, and the mean and least number of entries that a process has, as JSON.
    fn entry_summary(&self) -> String {
        let known = self
            .simulation
            .map_running(|_, node| node.fleet.entries_with_prefix::<(u64, String, f64)>("server/").len());
        let known: Vec<usize> = known.into_iter().map(|(_, count)| count).collect();
        let mean = known.iter().sum::<usize>() as f64 / known.len() as f64;
        format!(
            r#""states":{},"entries_known_mean":{mean:.0},"entries_known_least":{}"#,
            self.distinct_states(),
            known.iter().min().unwrap_or(&0)
        )
    }

    /// Resident memory that each process has added to this one, in KiB.
    fn memory_kb(&self) -> u64 {
        resident_bytes().saturating_sub(self.resident_before) / 1024 / self.size as u64
    }

    /// Prints what the processes sent and used per second since `since`, with `extra_fields`, which are JSON.
    fn print_point(&self, point: &str, since: &Counters, extra_fields: &str) {
        let seconds = (self.simulation.now().as_ms() - since.at_ms) / 1000.0;
        let usage = self.simulation.usage();
        let used: Vec<_> = usage.iter().zip(&since.usage).collect();
        let mean = |of: &dyn Fn(&Usage) -> u64| {
            used.iter().map(|(now, then)| of(now) - of(then)).sum::<u64>() as f64 / self.size as f64 / seconds
        };
        let worst = |of: &dyn Fn(&Usage) -> u64| {
            used.iter().map(|(now, then)| of(now) - of(then)).max().unwrap_or(0) as f64 / seconds
        };
        let cpu_ms: Vec<f64> =
            used.iter().filter_map(|(now, then)| Some(now.cpu_ms? - then.cpu_ms.unwrap_or(0.0))).collect();
        let cpu_percent = |ms: f64| ms / 10.0 / seconds;
        println!(
            r#"{{"trial":"hollow","seed":{},"size":{},"point":"{point}","seconds":{seconds:.1},"bytes_a_second":{:.0},"bytes_a_second_worst":{:.0},"datagrams_a_second":{:.1},"datagrams_a_second_worst":{:.1},"heard_bytes_a_second":{:.0},"processor_percent":{:.4},"processor_percent_worst":{:.4}{}{extra_fields},"real_s":{:.1}}}"#,
            self.seed,
            self.size,
            mean(&|usage| usage.bytes_sent),
            worst(&|usage| usage.bytes_sent),
            mean(&|usage| usage.datagrams_sent),
            worst(&|usage| usage.datagrams_sent),
            mean(&|usage| usage.bytes_received),
            cpu_percent(cpu_ms.iter().sum::<f64>() / cpu_ms.len().max(1) as f64),
            cpu_percent(cpu_ms.iter().copied().fold(0.0, f64::max)),
            if extra_fields.is_empty() { "" } else { "," },
            self.began.elapsed().as_secs_f64(),
        );
    }
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}
