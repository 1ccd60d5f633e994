//! Demonstrates a small fleet with stand-ins: it places clients, loses its power and recovers. Prints each step.
//! `make try` runs it.

use shelfgrade_testkit::checks;
use shelfgrade_testkit::trial::{Trial, SMALL};
use std::time::Duration;
use tokio::time::sleep;

#[tokio::main]
async fn main() {
    println!(
        "Starting {} processes in front of {} servers, with stand-ins for clients.",
        SMALL.processes, SMALL.servers
    );
    let mut trial = Trial::running(SMALL).await;
    let sessions = trial.session_count();
    println!("{sessions} of {} clients have a session.", SMALL.clients);
    println!("Power loss: all processes are killed at the same time, all servers and discovery are down.");
    trial.cut_power();
    sleep(Duration::from_millis(1000)).await;
    println!(
        "Power is back: {} clients have a session, every server is in slow start.",
        trial.session_count()
    );
    let restored_at = trial.recorder.now();
    trial.restore_servers();
    (0..SMALL.processes).for_each(|index| trial.start(index));
    for percent in [50, 98] {
        let wanted = SMALL.clients * percent / 100;
        trial
            .wait_until(Duration::from_secs(40), "clients have a session again", |trial| {
                trial.session_count() >= wanted
            })
            .await;
        let took = (trial.recorder.now() - restored_at).as_secs_f64();
        println!("{percent}% of the clients have a session again after {took:.1} s.");
    }
    println!(
        "{} calls to discovery, from {} processes.",
        trial.initial_discovery_calls(restored_at, trial.recorder.now()),
        SMALL.processes
    );
    println!("The last recovery log lines of the first process:");
    let log = trial.processes[0].log();
    let recovery: Vec<_> = log.lines().filter(|line| line.contains("recovery:")).collect();
    recovery.iter().rev().take(3).rev().for_each(|line| println!("  {line}"));
    let violations = checks::find_violations(&trial.recorder);
    let highest_load = trial
        .recorder
        .observations()
        .cold_loads
        .iter()
        .map(|(n, limit)| *n as f64 / limit)
        .fold(0.0, f64::max);
    println!(
        "{} violations; highest load of a server in slow start: {highest_load:.2} of its limit.",
        violations.len()
    );
    trial.finish().await;
    println!("All processes have exited.");
}
