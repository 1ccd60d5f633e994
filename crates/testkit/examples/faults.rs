//! Injects random faults into many processes for some minutes and checks the invariants. The faults follow from a seed,
//! which is printed.
//!
//! `cargo run --release -p shelfgrade-testkit --example faults -- PROCESSES SECONDS [SEED]`

use shelfgrade_testkit::checks;
use shelfgrade_testkit::fault_proxy::POOR_LINK;
use shelfgrade_testkit::trial::{Trial, TrialConfig, SMALL};
use std::time::Duration;
use tokio::time::sleep;

/// Injects one random fault, waits until it is over if it is temporary, and returns its description. `down` holds the
/// processes that are killed.
async fn inject_fault(trial: &mut Trial, down: &mut Vec<usize>) -> String {
    let size = trial.config.processes;
    let count = trial.random_below(size / 2) + 1;
    match trial.random_below(8) {
        0 => {
            let first = trial.random_below(size);
            let killed: Vec<_> =
                (0..count).map(|i| (first + i) % size).filter(|i| !down.contains(i)).collect();
            killed.iter().for_each(|index| trial.kill(*index));
            down.extend(&killed);
            format!("{} processes killed", killed.len())
        }
        1 | 2 => {
            let killed = std::mem::take(down);
            killed.iter().for_each(|index| trial.start(*index));
            format!("{} processes started", killed.len())
        }
        3 => {
            let index = trial.random_below(size);
            if down.contains(&index) {
                return "no fault".into();
            }
            trial.suspend(index);
            let ms = 500 + trial.random_below(5000) as u64;
            sleep(Duration::from_millis(ms)).await;
            trial.resume(index);
            format!("process {index} suspended for {ms} ms")
        }
        4 => {
            trial.fault_proxy.partition(|index| index < count);
            format!("{count} processes partitioned from the others")
        }
        5 => {
            trial.fault_proxy.set_conditions(POOR_LINK);
            "links between processes are poor".into()
        }
        6 => {
            trial.fault_proxy.heal();
            "links between processes are healed".into()
        }
        _ => {
            trial.discovery.take_down();
            let ms = 500 + trial.random_below(6000) as u64;
            sleep(Duration::from_millis(ms)).await;
            trial.discovery.bring_up();
            format!("discovery was down for {ms} ms")
        }
    }
}

/// Simulates a power loss of all processes, servers and discovery, and its end. Killed processes are started too.
async fn lose_power(trial: &mut Trial, down: &mut Vec<usize>) {
    trial.cut_power();
    down.clear();
    sleep(Duration::from_millis(1000)).await;
    trial.restore_servers();
    (0..trial.config.processes).for_each(|index| trial.start(index));
}

#[tokio::main]
async fn main() {
    let args: Vec<u64> =
        std::env::args().skip(1).map(|text| text.parse().expect("arguments are numbers")).collect();
    let (processes, seconds) = (args[0] as usize, args[1]);
    let seed = args.get(2).copied().unwrap_or_else(|| shelfgrade_testkit::server::unix_ms() as u64);
    println!("seed {seed}");
    let servers = processes.div_ceil(3).max(8);
    let mut trial =
        Trial::running(TrialConfig { processes, servers, clients: servers * 30, seed, ..SMALL }).await;
    let (began, mut down, mut faults) = (trial.recorder.now(), Vec::new(), 0u32);
    while trial.recorder.now() - began < Duration::from_secs(seconds) {
        faults += 1;
        let description = if faults.is_multiple_of(12) {
            lose_power(&mut trial, &mut down).await;
            "power lost and restored".to_owned()
        } else {
            inject_fault(&mut trial, &mut down).await
        };
        let pause = 500 + trial.random_below(4000) as u64;
        sleep(Duration::from_millis(pause)).await;
        let (sessions, violations) = (trial.session_count(), checks::find_violations(&trial.recorder));
        println!(
            "{:5.1} s: {description}; {sessions} sessions, {} violations",
            trial.recorder.now().as_secs_f64(),
            violations.len()
        );
        violations.iter().take(3).for_each(|violation| println!("    {violation}"));
    }
    trial.fault_proxy.heal();
    down.iter().for_each(|index| trial.start(*index));
    let wanted = trial.config.clients * 98 / 100;
    trial
        .wait_until(Duration::from_secs(60), "98% of the clients have a session", |trial| {
            trial.session_count() >= wanted
        })
        .await;
    let highest_load = trial
        .recorder
        .observations()
        .cold_loads
        .iter()
        .map(|(n, limit)| *n as f64 / limit)
        .fold(0.0, f64::max);
    let requests = trial.recorder.observations().requests.len();
    trial.finish().await;
    println!(
        "{faults} faults, {requests} requests, no violation; highest load of a server in slow start: \
         {highest_load:.2} of its limit"
    );
}
