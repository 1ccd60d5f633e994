//! A fleet in cells in virtual time, measured: `cells PROCESSES [ENTRIES]` prints a line of JSON for each point.

use shelfgrade::time::DurationExt;
use shelfgrade_cells::TOTAL_QUOTA;
use shelfgrade_testkit::cells::fleet::{percentile, put};
use shelfgrade_testkit::cells::{CellsSimulation, GOOD_NETWORK};
use std::time::Duration;
use std::time::Instant;

/// What this whole program holds, in bytes.
fn resident() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

struct Trial {
    simulation: CellsSimulation,
    size: usize,
    began: Instant,
}

impl Trial {
    /// What was sent and used while so many milliseconds passed.
    fn point(&mut self, name: &str, ms: u64, also: &str) {
        let span = Duration::from_millis(ms);
        let (mean, busiest, second) = self.simulation.send_rates(span);
        let (replicas, replica) = self.simulation.replica_send_rates(span);
        let seconds = ms as f64 / 1000.0;
        let busy = |node: &shelfgrade_testkit::cells::Node| node.busy.as_secs_f64() / seconds * 100.0;
        let own = &self.simulation.nodes[self.simulation.replicas..];
        let core = own.iter().map(busy).sum::<f64>() / own.len() as f64;
        let most = own.iter().map(busy).fold(0.0, f64::max);
        println!(
            "{{\"point\":\"{name}\",\"processes\":{},\"bytes_s\":{mean:.0},\"busiest_bytes_s\":{busiest:.0},\
             \"most_bytes_in_a_second\":{second},\"replica_bytes_s\":{replicas:.0},\
             \"busiest_replica_bytes_s\":{replica:.0},\"core_percent\":{core:.4},\"most_core_percent\":{most:.4}\
             {also},\"real_s\":{:.0}}}",
            self.size,
            self.began.elapsed().as_secs_f64()
        );
        self.simulation.reset_measurements();
    }

    fn changes(&mut self, name: &str, first: u64, count: u64) {
        let (mut all, mut own, mut lost) = (Vec::new(), Vec::new(), 0);
        let before = self.simulation.now;
        for id in first..first + count {
            let at = (id % 5) as usize;
            let region = self.simulation.nodes[at].location.region;
            for (of, ms) in self.simulation.measure_propagation(id, at, 30_000) {
                lost += usize::from(ms.is_infinite());
                all.push(ms);
                if of == region {
                    own.push(ms);
                }
            }
            self.simulation.run_for_ms(1000 + id * 37 % 500);
        }
        let ms = self.simulation.now.since(before).as_ms() as u64;
        let also = format!(
            ",\"changes\":{count},\"p50_ms\":{:.0},\"p99_ms\":{:.0},\"max_ms\":{:.0},\"own_region_p99_ms\":{:.0},\
             \"never\":{lost}",
            percentile(&mut all, 50.0),
            percentile(&mut all, 99.0),
            percentile(&mut all, 100.0),
            percentile(&mut own, 99.0)
        );
        self.point(name, ms, &also);
    }

    fn state(&self) -> String {
        let sizes = self.simulation.processes().map(|(_, process)| process.state().len());
        let (least, most) = sizes.fold((usize::MAX, 0), |(a, b), n| (a.min(n), b.max(n)));
        let replica = self.simulation.replica(0).map_or(0, |replica| replica.state().len());
        let unmet =
            self.simulation.processes().map(|(_, process)| process.unreachable_members()).max().unwrap_or(0);
        format!(",\"most_unmet\":{unmet},\"records_least\":{least},\"records_most\":{most},\"replica_records\":{replica}")
    }

    /// Processes start in the places of their former selves, one every so often; how long until each holds all, its own
    /// record included.
    fn starts(&mut self, name: &str, first: u64, count: usize, every_ms: u64) {
        let nodes = self.simulation.nodes.len() - self.simulation.replicas;
        let (mut took, mut waits) = (Vec::new(), Vec::new());
        let before = self.simulation.now;
        for start in 0..count {
            let node = self.simulation.replicas + start * 7919 % nodes;
            self.simulation.replace_process(first + start as u64, node, 300.min(every_ms / 2));
            waits.push((node, self.simulation.now));
            let mut left = every_ms - 300.min(every_ms / 2);
            if start + 1 == count {
                left += 20_000;
            }
            while left > 0 {
                let step = left.min(20);
                self.simulation.run_for_ms(step);
                left -= step;
                let simulation = &self.simulation;
                waits.retain(|(node, at)| {
                    let holds = simulation.process(*node).is_some_and(|process| process.is_active());
                    if holds {
                        took.push(simulation.now.since(*at).as_ms());
                    }
                    !holds
                });
            }
        }
        took.extend(waits.iter().map(|_| f64::INFINITY));
        let ms = self.simulation.now.since(before).as_ms() as u64;
        let (p50, p99) = (percentile(&mut took, 50.0), percentile(&mut took, 99.0));
        let most = percentile(&mut took, 100.0);
        let state = self.state();
        let also = format!(
            ",\"starts\":{count},\"has_all_p50_ms\":{p50:.0},\"has_all_p99_ms\":{p99:.0},\"has_all_max_ms\":{most:.0}{state}"
        );
        self.point(name, ms, &also);
    }
}

fn main() {
    let number = |at: usize, or: usize| std::env::args().nth(at).and_then(|n| n.parse().ok()).unwrap_or(or);
    let (size, entries) = (number(1, 300), number(2, 1000));
    let empty = resident();
    let began = Instant::now();
    let simulation = CellsSimulation::start_fleet(size, 16, entries, GOOD_NETWORK, 7);
    let mut trial = Trial { simulation, size, began };
    trial.simulation.reset_measurements();
    let begun = trial.simulation.now;
    trial.simulation.run_until(120_000, 50, CellsSimulation::has_converged);
    let ms = trial.simulation.now.since(begun).as_ms();
    trial.point("all start at once", ms.max(1.0) as u64, &format!(",\"all_have_all_ms\":{ms:.0}"));
    trial.simulation.run_for_ms(20_000);
    trial.simulation.reset_measurements();
    trial.simulation.run_for_ms(30_000);
    let memory = (resident() - empty) / trial.size as f64 / 1024.0;
    let also = format!(",\"memory_kb_each\":{memory:.0}{}", trial.state());
    trial.point("at rest", 30_000, &also);
    trial.changes("one change at a time", 1, 20);
    trial.starts("starts", 2000, 100, 1000);

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
    trial.point("1,000 entries change", ms as u64, &format!(",\"in_all_after_ms\":{ms:.0}"));
    trial.simulation.run_for_ms(10_000);
    trial.simulation.reset_measurements();

    let cut = |simulation: &mut CellsSimulation, group: u8| {
        simulation
            .nodes
            .iter_mut()
            .filter(|node| node.location.region == 5)
            .for_each(|node| node.partition = group);
    };
    cut(&mut trial.simulation, 1);
    let mut over = 0;
    for _ in 0..280 {
        trial.simulation.run_for_ms(1000);
        over += usize::from(trial.simulation.quota_in_use() > u64::from(TOTAL_QUOTA));
    }
    trial.point("a region is cut off", 280_000, &format!(",\"times_over_the_whole\":{over}"));
    trial.changes("one change while a region is cut off", 3001, 5);
    cut(&mut trial.simulation, 0);
    let before = trial.simulation.now;
    trial.simulation.run_until(60_000, 50, CellsSimulation::has_converged);
    let ms = trial.simulation.now.since(before).as_ms();
    trial.simulation.run_for_ms(10_000);
    trial.point("met again", ms as u64 + 10_000, &format!(",\"all_agree_after_ms\":{ms:.0}"));

    let before = resident();
    trial.starts("1,400 replacements in ten minutes", 20_000, 1400, 428);
    trial.simulation.run_for_ms(20_000);
    trial.simulation.reset_measurements();
    trial.simulation.run_for_ms(20_000);
    let grown = (resident() - before) / 1024.0 / trial.size as f64;
    let also = format!(
        ",\"grown_kb_each\":{grown:.1},\"agree\":{}{}",
        trial.simulation.has_converged(),
        trial.state()
    );
    trial.point("after the replacements", 20_000, &also);
    println!("{{\"point\":\"refused\",\"processes\":{size},\"counts\":\"{:?}\"}}", trial.simulation.rejected);
}
