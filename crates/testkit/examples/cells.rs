//! Measures a fleet in cells in virtual time. Prints a line of JSON for each measurement.
//!
//! `cargo run --release --locked -p shelfgrade-testkit --example cells -- [PROCESSES [ENTRIES]]`
//!
//! PROCESSES is 300 and ENTRIES 1000 by default.

use shelfgrade::time::DurationExt;
use shelfgrade_cells::TOTAL_QUOTA;
use shelfgrade_testkit::cells::fleet::{percentile, put};
use shelfgrade_testkit::cells::{CellsSimulation, GOOD_NETWORK};
use std::time::Duration;
use std::time::Instant;

/// Resident memory of this process, in bytes, with pages of 4 KiB.
fn resident_bytes() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

struct Trial {
    simulation: CellsSimulation,
    size: usize,
    began: Instant,
}

impl Trial {
    /// Prints the traffic and CPU time of the last `ms` milliseconds with `extra_fields`, which are JSON, and resets the
    /// counters.
    fn print_point(&mut self, name: &str, ms: u64, extra_fields: &str) {
        let duration = Duration::from_millis(ms);
        let (mean, busiest, max_in_second) = self.simulation.send_rates(duration);
        let (replica_mean, busiest_replica) = self.simulation.replica_send_rates(duration);
        let seconds = ms as f64 / 1000.0;
        let cpu_percent =
            |node: &shelfgrade_testkit::cells::Node| node.busy_time.as_secs_f64() / seconds * 100.0;
        let processes = &self.simulation.nodes[self.simulation.replicas..];
        let mean_percent = processes.iter().map(cpu_percent).sum::<f64>() / processes.len() as f64;
        let max_percent = processes.iter().map(cpu_percent).fold(0.0, f64::max);
        println!(
            "{{\"point\":\"{name}\",\"processes\":{},\"bytes_s\":{mean:.0},\"busiest_bytes_s\":{busiest:.0},\
             \"most_bytes_in_a_second\":{max_in_second},\"replica_bytes_s\":{replica_mean:.0},\
             \"busiest_replica_bytes_s\":{busiest_replica:.0},\"core_percent\":{mean_percent:.4},\"most_core_percent\":{max_percent:.4}\
             {extra_fields},\"real_s\":{:.0}}}",
            self.size,
            self.began.elapsed().as_secs_f64()
        );
        self.simulation.reset_measurements();
    }

    /// Writes `count` entries, one after the other, and measures how long each takes to reach the processes.
    fn measure_changes(&mut self, name: &str, first: u64, count: u64) {
        let (mut propagation_ms, mut same_region_ms, mut never_reached) = (Vec::new(), Vec::new(), 0);
        let before = self.simulation.now;
        for id in first..first + count {
            let at = (id % 5) as usize;
            let region = self.simulation.nodes[at].location.region;
            for (process_region, ms) in self.simulation.measure_propagation(id, at, 30_000) {
                never_reached += usize::from(ms.is_infinite());
                propagation_ms.push(ms);
                if process_region == region {
                    same_region_ms.push(ms);
                }
            }
            self.simulation.run_for_ms(1000 + id * 37 % 500);
        }
        let ms = self.simulation.now.since(before).as_ms() as u64;
        let extra_fields = format!(
            ",\"changes\":{count},\"p50_ms\":{:.0},\"p99_ms\":{:.0},\"max_ms\":{:.0},\"own_region_p99_ms\":{:.0},\
             \"never\":{never_reached}",
            percentile(&mut propagation_ms, 50.0),
            percentile(&mut propagation_ms, 99.0),
            percentile(&mut propagation_ms, 100.0),
            percentile(&mut same_region_ms, 99.0)
        );
        self.print_point(name, ms, &extra_fields);
    }

    /// The numbers of unreachable members and of records, as JSON.
    fn record_counts(&self) -> String {
        let sizes = self.simulation.processes().map(|(_, process)| process.state().len());
        let (least, most) = sizes.fold((usize::MAX, 0), |(a, b), n| (a.min(n), b.max(n)));
        let replica = self.simulation.replica(0).map_or(0, |replica| replica.state().len());
        let unreachable =
            self.simulation.processes().map(|(_, process)| process.unreachable_members()).max().unwrap_or(0);
        format!(",\"most_unmet\":{unreachable},\"records_least\":{least},\"records_most\":{most},\"replica_records\":{replica}")
    }

    /// Replaces `count` processes, one every `interval_ms`, and measures how long each takes until it is up to date,
    /// including its own record.
    fn measure_replacements(&mut self, name: &str, first: u64, count: usize, interval_ms: u64) {
        let nodes = self.simulation.nodes.len() - self.simulation.replicas;
        let (mut update_times_ms, mut waiting) = (Vec::new(), Vec::new());
        let before = self.simulation.now;
        for start in 0..count {
            let node = self.simulation.replicas + start * 7919 % nodes;
            self.simulation.replace_process(first + start as u64, node, 300.min(interval_ms / 2));
            waiting.push((node, self.simulation.now));
            let mut remaining_ms = interval_ms - 300.min(interval_ms / 2);
            if start + 1 == count {
                remaining_ms += 20_000;
            }
            while remaining_ms > 0 {
                let step_ms = remaining_ms.min(20);
                self.simulation.run_for_ms(step_ms);
                remaining_ms -= step_ms;
                let simulation = &self.simulation;
                waiting.retain(|(node, at)| {
                    let is_active = simulation.process(*node).is_some_and(|process| process.is_active());
                    if is_active {
                        update_times_ms.push(simulation.now.since(*at).as_ms());
                    }
                    !is_active
                });
            }
        }
        update_times_ms.extend(waiting.iter().map(|_| f64::INFINITY));
        let ms = self.simulation.now.since(before).as_ms() as u64;
        let (p50, p99) = (percentile(&mut update_times_ms, 50.0), percentile(&mut update_times_ms, 99.0));
        let max = percentile(&mut update_times_ms, 100.0);
        let counts = self.record_counts();
        let extra_fields = format!(
            ",\"starts\":{count},\"has_all_p50_ms\":{p50:.0},\"has_all_p99_ms\":{p99:.0},\"has_all_max_ms\":{max:.0}{counts}"
        );
        self.print_point(name, ms, &extra_fields);
    }
}

fn main() {
    let number = |index: usize, default: usize| {
        std::env::args().nth(index).and_then(|n| n.parse().ok()).unwrap_or(default)
    };
    let (size, entries) = (number(1, 300), number(2, 1000));
    let memory_before = resident_bytes();
    let began = Instant::now();
    let simulation = CellsSimulation::start_fleet(size, 16, entries, GOOD_NETWORK, 7);
    let mut trial = Trial { simulation, size, began };
    trial.simulation.reset_measurements();
    let before = trial.simulation.now;
    trial.simulation.run_until(120_000, 50, CellsSimulation::has_converged);
    let ms = trial.simulation.now.since(before).as_ms();
    trial.print_point("all start at once", ms.max(1.0) as u64, &format!(",\"all_have_all_ms\":{ms:.0}"));
    trial.simulation.run_for_ms(20_000);
    trial.simulation.reset_measurements();
    trial.simulation.run_for_ms(30_000);
    let memory = (resident_bytes() - memory_before) / trial.size as f64 / 1024.0;
    let extra_fields = format!(",\"memory_kb_each\":{memory:.0}{}", trial.record_counts());
    trial.print_point("at rest", 30_000, &extra_fields);
    trial.measure_changes("one change at a time", 1, 20);
    trial.measure_replacements("starts", 2000, 100, 1000);

    for entry in 0..1000 {
        trial
            .simulation
            .submit(0, put(100_000 + entry, &format!("server/{entry:05}"), "10.0.0.2:8080 cold weight 3"));
    }
    let before = trial.simulation.now;
    let done = |simulation: &CellsSimulation| {
        simulation.outcomes.contains_key(&100_999) && simulation.has_converged()
    };
    trial.simulation.run_until(300_000, 100, done);
    let ms = trial.simulation.now.since(before).as_ms();
    trial.print_point("1,000 entries change", ms as u64, &format!(",\"in_all_after_ms\":{ms:.0}"));
    trial.simulation.run_for_ms(10_000);
    trial.simulation.reset_measurements();

    let set_partition = |simulation: &mut CellsSimulation, partition: u8| {
        simulation
            .nodes
            .iter_mut()
            .filter(|node| node.location.region == 5)
            .for_each(|node| node.partition = partition);
    };
    set_partition(&mut trial.simulation, 1);
    let mut seconds_over_total = 0;
    for _ in 0..280 {
        trial.simulation.run_for_ms(1000);
        seconds_over_total += usize::from(trial.simulation.quota_in_use() > u64::from(TOTAL_QUOTA));
    }
    trial.print_point(
        "a region is cut off",
        280_000,
        &format!(",\"times_over_the_whole\":{seconds_over_total}"),
    );
    trial.measure_changes("one change while a region is cut off", 3001, 5);
    set_partition(&mut trial.simulation, 0);
    let before = trial.simulation.now;
    trial.simulation.run_until(60_000, 50, CellsSimulation::has_converged);
    let ms = trial.simulation.now.since(before).as_ms();
    trial.simulation.run_for_ms(10_000);
    trial.print_point("partition healed", ms as u64 + 10_000, &format!(",\"all_agree_after_ms\":{ms:.0}"));

    let before = resident_bytes();
    trial.measure_replacements("1,400 replacements in ten minutes", 20_000, 1400, 428);
    trial.simulation.run_for_ms(20_000);
    trial.simulation.reset_measurements();
    trial.simulation.run_for_ms(20_000);
    let grown = (resident_bytes() - before) / 1024.0 / trial.size as f64;
    let extra_fields = format!(
        ",\"grown_kb_each\":{grown:.1},\"agree\":{}{}",
        trial.simulation.has_converged(),
        trial.record_counts()
    );
    trial.print_point("after the replacements", 20_000, &extra_fields);
    println!(
        "{{\"point\":\"rejected datagrams\",\"processes\":{size},\"counts\":\"{:?}\"}}",
        trial.simulation.rejected
    );
}
