//! A small fleet from the shipped files, against stand-ins: it places clients, loses its power, and comes back. Says in
//! plain lines what happened. `make try` runs it.

use shelfgrade_testkit::checks;
use shelfgrade_testkit::trial::{Trial, SMALL};
use std::time::Duration;
use tokio::time::sleep;

#[tokio::main]
async fn main() {
    println!(
        "Starting {} processes before {} servers, with clients' stand-ins.",
        SMALL.processes, SMALL.servers
    );
    let mut trial = Trial::running(SMALL).await;
    let stand = trial.standing();
    println!("{stand} of {} clients have their connection.", SMALL.clients);
    println!("The power goes: all processes are killed in one instant, all servers and discovery are down.");
    trial.power_goes();
    sleep(Duration::from_millis(1000)).await;
    println!("The power is back: {} clients have a connection, every server is cold.", trial.standing());
    let back = trial.recorder.now();
    trial.servers_start();
    (0..SMALL.processes).for_each(|index| trial.start(index));
    for part in [50, 98] {
        let wanted = SMALL.clients * part / 100;
        trial.until(Duration::from_secs(40), "service is back", |trial| trial.standing() >= wanted).await;
        let took = (trial.recorder.now() - back).as_secs_f64();
        println!("{part} of 100 clients have a connection again after {took:.1} s.");
    }
    println!(
        "{} calls went to discovery, from {} processes.",
        trial.calls(back, trial.recorder.now()),
        SMALL.processes
    );
    println!("What one of them logged since:");
    let log = trial.processes[0].log();
    let since: Vec<_> = log.lines().filter(|line| line.contains("recovery:")).collect();
    since.iter().rev().take(3).rev().for_each(|line| println!("  {line}"));
    let breaches = checks::rules(&trial.recorder);
    let nearest =
        trial.recorder.observations().coldest.iter().map(|(n, bound)| *n as f64 / bound).fold(0.0, f64::max);
    println!(
        "{} rules were broken; the fullest cold server came to {nearest:.2} of its bound.",
        breaches.len()
    );
    trial.ends().await;
    println!("All processes have ended by themselves.");
}
