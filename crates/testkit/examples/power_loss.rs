//! The loss of power with the fleet file and without it, one after the other; prints what came of either.
//!
//! `cargo run --release -p shelfgrade-trials --example power_loss -- PROCESSES SERVERS CLIENTS SEED`

use shelfgrade_testkit::checks;
use shelfgrade_testkit::server::DEFAULT_SERVER;
use shelfgrade_testkit::trial::{Trial, TrialConfig};
use std::time::Duration;
use tokio::time::sleep;

/// How long it is watched after servers are up.
const WATCHED: Duration = Duration::from_secs(25);

async fn loss(config: TrialConfig) {
    let mut trial = Trial::running(config).await;
    let now = trial.recorder.now();
    let before = checks::standing(&trial.recorder.observations(), now - Duration::from_secs(1), now);
    trial.power_goes();
    sleep(Duration::from_millis(1000)).await;
    let up = trial.recorder.now();
    trial.servers_start();
    (0..config.processes).for_each(|index| trial.start(index));
    sleep(WATCHED).await;
    let now = trial.recorder.now();
    let calls = trial.calls(up, now);
    let back = |part: f64| {
        let back = checks::back_after(&trial.recorder.observations(), up, before * part);
        back.map_or_else(|| "never".to_owned(), |back| format!("{:.1} s", back.as_secs_f64()))
    };
    let (half, most, all) = (back(0.5), back(0.9), back(0.98));
    let alarms = |from, to| {
        let (stood, in_time, pushed) = checks::alarms(
            &trial.recorder.observations(),
            up + Duration::from_secs(from),
            up + Duration::from_secs(to),
        );
        format!("{stood} set up, {in_time} of them within 300 ms, {pushed} pushed back")
    };
    let (early, late) = (alarms(1, 6), alarms(6, 25));
    let breaches = checks::rules(&trial.recorder);
    let falls = trial.recorder.observations().overloads.len();
    let nearest =
        trial.recorder.observations().coldest.iter().map(|(n, bound)| *n as f64 / bound).fold(0.0, f64::max);
    println!("{}:", if config.fleet { "with the fleet file" } else { "without it" });
    println!("  {before:.0} stood before; half of them again after {half}, nine tenths after {most}, 98 in 100 after {all}");
    println!("  alarm, from the first second to the sixth: {early}; then {late}");
    println!("  {calls} calls to discovery; {} breaches, {falls} cold servers pushed over (nearest {nearest:.2} of the bound)", breaches.len());
    for breach in breaches.iter().take(5) {
        println!("    {breach}");
    }
}

#[tokio::main]
async fn main() {
    let numbers: Vec<usize> = std::env::args().skip(1).map(|text| text.parse().expect("a number")).collect();
    let [processes, servers, clients, seed] = numbers[..] else {
        panic!("wanted: PROCESSES SERVERS CLIENTS SEED");
    };
    for fleet in [false, true] {
        loss(TrialConfig {
            processes,
            servers,
            clients,
            fleet,
            seed: seed as u64,
            server_spec: DEFAULT_SERVER,
        })
        .await;
    }
}
