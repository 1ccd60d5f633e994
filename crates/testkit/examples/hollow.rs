//! What the processes of one fleet send, know and cost at size: hollow processes in virtual time, in 6 regions and 16
//! zones. A JSON line for each point.
//!
//! `cargo run --release --locked -p shelfgrade-trials --example hollow -- [SIZES] [THREADS] [SEED]`, SIZES as in
//! `100,300,1000,3800`, on four threads unless another number is named.

use shelfgrade::time::DurationExt;
use shelfgrade_testkit::hollow_node::{name, roster, HollowNode};
use shelfgrade_testkit::simulation::{Simulation, Usage};
use shelfgrade_testkit::topology::{NetworkConditions, Topology, SIX_REGIONS};
use std::time::Duration;
use std::time::Instant;

const USUAL: NetworkConditions = NetworkConditions { lost: 2, doubled: 1 };
/// How closely it is looked when who knows what.
const STEP: Duration = Duration::from_millis(200);

fn main() {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let sizes = given.first().map_or("100,300,1000,3800", String::as_str);
    let threads = given.get(1).and_then(|number| number.parse().ok()).unwrap_or(4);
    let seed = given.get(2).and_then(|number| number.parse().ok()).unwrap_or(1);
    for size in sizes.split(',').filter_map(|size| size.parse().ok()) {
        Trial::begin(size, threads, seed).runs();
    }
}

struct Trial {
    all: Simulation<HollowNode>,
    size: usize,
    seed: u64,
    began: Instant,
    resident_before: u64,
}

/// What was spent up to some moment.
struct Mark {
    usage: Vec<Usage>,
    at_ms: f64,
}

impl Trial {
    fn begin(size: usize, threads: usize, seed: u64) -> Self {
        let resident_before = resident();
        let topology = Topology::of(&SIX_REGIONS, size, seed);
        let mut all = Simulation::begin(topology, USUAL, threads, seed);
        let roster = roster(size);
        all.start(0..size, move |process, now| HollowNode::new(&roster, &name(process), seed, now));
        Trial { all, size, seed, began: Instant::now(), resident_before }
    }

    fn runs(mut self) {
        let began = self.mark();
        // All at once: until each knows of 99 in 100.
        let met = self.until(30, |trial| trial.mean_alive() >= 0.99 * trial.size as f64);
        let alive = self.alive();
        self.tells("all start at once", &began, &format!(r#""99_in_100_known_to_each_ms":{met},{alive}"#));
        for part in ["the first 10 s after that", "the next 10 s", "the third 10 s"] {
            let told = self.mark();
            self.all.passes(Duration::from_millis(10_000));
            self.tells(part, &told, &self.alive());
        }

        let rest = self.mark();
        self.all.passes(Duration::from_millis(20_000));
        self.tells("at rest", &rest, &format!(r#""memory_kb":{}"#, self.memory_kb()));

        let change = self.mark();
        self.put(7, 1, "change");
        let (most, last) = self.knows("change/0", 60);
        self.tells(
            "one change",
            &change,
            &format!(r#""known_to_99_in_100_ms":{most},"known_to_all_ms":{last}"#),
        );

        let many = self.mark();
        self.put(self.size / 2, 1000, "server");
        self.all.passes(Duration::from_millis(10_000));
        self.tells("1000 entries at once, the first 10 s", &many, &self.agreement());
        let agree = self.until(300, |trial| trial.states() == 1);
        let all = 10_000 + agree.parse::<u64>().unwrap_or(0);
        let all = if agree == "null" { agree } else { all.to_string() };
        let memory = self.memory_kb();
        self.tells("1000 entries at once", &many, &format!(r#""agree_after_ms":{all},"memory_kb":{memory}"#));

        self.all.cut_region(0);
        let cut = self.mark();
        self.all.passes(Duration::from_millis(20_000));
        self.tells("a region cut off, the first 20 s", &cut, "");
        let later = self.mark();
        self.put(0, 3, "within");
        self.put(self.size - 1, 3, "without");
        self.all.passes(Duration::from_millis(20_000));
        self.tells("a region cut off, the next 20 s", &later, "");
        self.all.heal();
        let healed = self.mark();
        let agree = self.until(120, |trial| trial.states() == 1);
        let alive = self.alive();
        self.tells("a region is back", &healed, &format!(r#""agree_after_ms":{agree},{alive}"#));
    }

    fn mark(&self) -> Mark {
        Mark { usage: self.all.usage(), at_ms: self.all.now().as_ms() }
    }

    fn put(&mut self, process: usize, number: usize, kind: &'static str) {
        self.all.with(process, move |hollow, _, out| {
            for i in 0..number {
                let key = format!("{kind}/{i}");
                hollow
                    .act(out, |fleet, environment| {
                        fleet.put(&key, &(i as u64, "10.1.0.18:8000", 1.5), environment)
                    })
                    .expect("put");
            }
        });
    }

    /// Milliseconds until it holds, as JSON: null where it did not within so many seconds.
    fn until(&mut self, most_s: u64, holds: impl Fn(&Self) -> bool) -> String {
        let began = self.all.now();
        while !holds(self) {
            if self.all.now().since(began) >= Duration::from_millis(most_s * 1000) {
                return "null".to_owned();
            }
            self.all.passes(STEP);
        }
        format!("{:.0}", self.all.now().since(began).as_ms())
    }

    /// Milliseconds until 99 in 100 have a key, and until all have.
    fn knows(&mut self, key: &'static str, most_s: u64) -> (String, String) {
        let have = move |trial: &Self| {
            let have = trial.all.each(move |_, hollow| hollow.fleet.version(key).is_some());
            have.into_iter().filter(|(_, has)| *has).count()
        };
        let began = self.all.now().as_ms();
        let enough = (self.size * 99).div_ceil(100);
        let most = self.until(most_s, |trial| have(trial) >= enough);
        let last = self.until(most_s, |trial| have(trial) == trial.size);
        let last = if last == "null" { last } else { format!("{:.0}", self.all.now().as_ms() - began) };
        (most, last)
    }

    fn mean_alive(&self) -> f64 {
        let alive = self.all.each(|_, hollow| hollow.fleet.alive().len());
        alive.iter().map(|(_, alive)| *alive).sum::<usize>() as f64 / alive.len() as f64
    }

    /// How many each knows to be there.
    fn alive(&self) -> String {
        let alive = self.all.each(|_, hollow| hollow.fleet.alive().len());
        let least = alive.into_iter().map(|(_, alive)| alive).min().unwrap_or(0);
        format!(r#""alive_mean":{:.1},"alive_least":{least}"#, self.mean_alive())
    }

    /// How many different things are known.
    fn states(&self) -> usize {
        let states = self.all.each(|_, hollow| hollow.fleet.state_digest());
        states.into_iter().map(|(_, state)| state).collect::<std::collections::BTreeSet<_>>().len()
    }

    fn agreement(&self) -> String {
        let known = self
            .all
            .each(|_, hollow| hollow.fleet.entries_with_prefix::<(u64, String, f64)>("server/").len());
        let known: Vec<usize> = known.into_iter().map(|(_, known)| known).collect();
        let mean = known.iter().sum::<usize>() as f64 / known.len() as f64;
        format!(
            r#""states":{},"entries_known_mean":{mean:.0},"entries_known_least":{}"#,
            self.states(),
            known.iter().min().unwrap_or(&0)
        )
    }

    fn memory_kb(&self) -> u64 {
        resident().saturating_sub(self.resident_before) / 1024 / self.size as u64
    }

    /// A line of what each sent and took since then, by the second.
    fn tells(&self, point: &str, since: &Mark, more: &str) {
        let seconds = (self.all.now().as_ms() - since.at_ms) / 1000.0;
        let usage = self.all.usage();
        let spent: Vec<_> = usage.iter().zip(&since.usage).collect();
        let mean = |of: &dyn Fn(&Usage) -> u64| {
            spent.iter().map(|(now, then)| of(now) - of(then)).sum::<u64>() as f64
                / self.size as f64
                / seconds
        };
        let worst = |of: &dyn Fn(&Usage) -> u64| {
            spent.iter().map(|(now, then)| of(now) - of(then)).max().unwrap_or(0) as f64 / seconds
        };
        let processor: Vec<f64> = spent
            .iter()
            .filter_map(|(now, then)| Some(now.processor_ms? - then.processor_ms.unwrap_or(0.0)))
            .collect();
        let core = |ms: f64| ms / 10.0 / seconds;
        println!(
            r#"{{"trial":"hollow","seed":{},"size":{},"point":"{point}","seconds":{seconds:.1},"bytes_a_second":{:.0},"bytes_a_second_worst":{:.0},"datagrams_a_second":{:.1},"datagrams_a_second_worst":{:.1},"heard_bytes_a_second":{:.0},"processor_percent":{:.4},"processor_percent_worst":{:.4}{}{more},"real_s":{:.1}}}"#,
            self.seed,
            self.size,
            mean(&|usage| usage.bytes),
            worst(&|usage| usage.bytes),
            mean(&|usage| usage.datagrams),
            worst(&|usage| usage.datagrams),
            mean(&|usage| usage.heard_bytes),
            core(processor.iter().sum::<f64>() / processor.len().max(1) as f64),
            core(processor.iter().copied().fold(0.0, f64::max)),
            if more.is_empty() { "" } else { "," },
            self.began.elapsed().as_secs_f64(),
        );
    }
}

/// What the system counts as this process's memory, in bytes.
fn resident() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}
