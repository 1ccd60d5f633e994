//! Measures the recovery from a power loss, first without a fleet file and then with one.
//!
//! `cargo run --release -p shelfgrade-testkit --example power_loss -- PROCESSES SERVERS CLIENTS SEED`

use shelfgrade_testkit::checks;
use shelfgrade_testkit::server::DEFAULT_SERVER_SPEC;
use shelfgrade_testkit::trial::{Trial, TrialConfig};
use std::time::Duration;
use tokio::time::sleep;

/// How long the recovery is measured after the servers are up.
const MEASURED: Duration = Duration::from_secs(25);

async fn measure_power_loss(config: TrialConfig) {
    let mut trial = Trial::running(config).await;
    let now = trial.recorder.now();
    let before = checks::mean_sessions(&trial.recorder.observations(), now - Duration::from_secs(1), now);
    trial.cut_power();
    sleep(Duration::from_millis(1000)).await;
    let restored_at = trial.recorder.now();
    trial.restore_servers();
    (0..config.processes).for_each(|index| trial.start(index));
    sleep(MEASURED).await;
    let now = trial.recorder.now();
    let discovery_calls = trial.initial_discovery_calls(restored_at, now);
    let recovered_after = |part: f64| {
        let time = checks::time_to_sessions(&trial.recorder.observations(), restored_at, before * part);
        time.map_or_else(|| "never".to_owned(), |time| format!("{:.1} s", time.as_secs_f64()))
    };
    let (after_50, after_90, after_98) = (recovered_after(0.5), recovered_after(0.9), recovered_after(0.98));
    let alarms = |from, to| {
        let (established, in_time, rejected) = checks::alarm_outcomes(
            &trial.recorder.observations(),
            restored_at + Duration::from_secs(from),
            restored_at + Duration::from_secs(to),
        );
        format!("{established} sessions established, {in_time} of them within 300 ms, {rejected} requests rejected")
    };
    let (early, late) = (alarms(1, 6), alarms(6, 25));
    let violations = checks::find_violations(&trial.recorder);
    let overloads = trial.recorder.observations().overloads.len();
    let highest_load = trial
        .recorder
        .observations()
        .cold_loads
        .iter()
        .map(|(n, limit)| *n as f64 / limit)
        .fold(0.0, f64::max);
    println!("{}:", if config.fleet_enabled { "with a fleet file" } else { "without a fleet file" });
    println!("  {before:.0} sessions before; 50% again after {after_50}, 90% after {after_90}, 98% after {after_98}");
    println!("  alarm requests, from second 1 to 6: {early}; from second 6 to 25: {late}");
    println!(
        "  {discovery_calls} calls to discovery; {} violations; {overloads} servers overloaded in slow start \
         (highest load: {highest_load:.2} of the limit)",
        violations.len()
    );
    for violation in violations.iter().take(5) {
        println!("    {violation}");
    }
}

#[tokio::main]
async fn main() {
    let args: Vec<usize> =
        std::env::args().skip(1).map(|text| text.parse().expect("arguments are numbers")).collect();
    let [processes, servers, clients, seed] = args[..] else {
        panic!("usage: power_loss PROCESSES SERVERS CLIENTS SEED");
    };
    for fleet_enabled in [false, true] {
        measure_power_loss(TrialConfig {
            processes,
            servers,
            clients,
            fleet_enabled,
            seed: seed as u64,
            server_spec: DEFAULT_SERVER_SPEC,
        })
        .await;
    }
}
