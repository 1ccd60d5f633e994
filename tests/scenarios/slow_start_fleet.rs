//! Slow start, enforced by all proxies of a simulated fleet together.

use crate::simulated_fleet::*;

const LOADS: [Load; 3] = [Load::Burst, Load::ZoneBack, Load::ColdStart];
/// Of the first 20 seeds, the hardest ones for proxies that do not count their attempts.
const SEEDS: [u64; 3] = [0, 10, 18];

/// A warming server may rank first for many groups, which no single proxy observes.
///
/// Prints a table with, for each case, the largest number of attempts that any restarted server was sent in two
/// seconds as a fraction of its bound, the 99th percentile of that fraction, and in brackets the mean as a fraction
/// of everything that the settings allow (N). For `docs/results.md`: `RAMP_SEEDS=60 cargo test --release --test
/// scenarios slow_start_fleet -- --nocapture`.
#[test]
fn any_number_of_proxies_keep_warming_servers_within_the_bound_together() {
    let seeds_override = std::env::var("RAMP_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: Vec<u64> = seeds_override.map_or(SEEDS.to_vec(), |count| (0..count).collect());
    let mut violations = Vec::new();
    for (load, grouped) in LOADS.into_iter().flat_map(|load| [(load, false), (load, true)]) {
        println!(
            "| {load:?}, {}groups | 1 warming | 4 warming | 8 warming | 12 warming |",
            if grouped { "" } else { "no " }
        );
        println!("| --- | --- | --- | --- | --- |");
        for proxies in [3, 12, 24, 30, 300] {
            let mut row = format!("| {proxies} proxies ");
            for warming in [1, 4, 8, 12] {
                let (mut worst_utilization, mut mean_utilization) = (Vec::new(), 0.0);
                for seed in &seeds {
                    let scenario = Scenario {
                        proxies,
                        warming,
                        grouped,
                        load,
                        seed: *seed,
                        server_capacity: SERVER_CAPACITY,
                        window_ms: WINDOW_MS,
                    };
                    let fleet = Fleet::new(scenario).run();
                    let over_bound =
                        fleet.worst_utilization().into_iter().filter(|utilization| *utilization > 1.0);
                    violations
                        .extend(over_bound.map(|utilization| format!("{scenario:?}: {utilization:.2}")));
                    worst_utilization.extend(fleet.worst_utilization());
                    mean_utilization += fleet.mean_utilization() / seeds.len() as f64;
                }
                worst_utilization.sort_by(f64::total_cmp);
                let p99 = worst_utilization[(worst_utilization.len() * 99).div_ceil(100) - 1];
                row += &format!(
                    "| {:.2}, {p99:.2} ({mean_utilization:.2}) ",
                    worst_utilization[worst_utilization.len() - 1]
                );
            }
            println!("{row}|");
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// A burst that is shorter than the usual two seconds also overloads a server whose overload window is shorter.
#[test]
fn a_burst_keeps_to_the_budget_in_the_configured_overload_window() {
    let mut violations = Vec::new();
    for (window_ms, proxies) in
        [500.0, 1000.0, 3000.0].into_iter().flat_map(|window_ms| [(window_ms, 1), (window_ms, 30)])
    {
        for (warming, seed) in [(4, 6), (12, 2), (12, 6)] {
            for grouped in [false, true] {
                let server_capacity = if proxies == 1 { 300.0 } else { SERVER_CAPACITY };
                let scenario = Scenario {
                    proxies,
                    warming,
                    grouped,
                    load: Load::Rush,
                    seed,
                    server_capacity,
                    window_ms,
                };
                let over_bound = Fleet::new(scenario)
                    .run()
                    .worst_utilization()
                    .into_iter()
                    .filter(|utilization| *utilization > 1.0);
                violations.extend(over_bound.map(|utilization| format!("{scenario:?}: {utilization:.2}")));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
