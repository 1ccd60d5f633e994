//! Faults drawn from a seed, which is printed, against many processes for some minutes; every rule is checked at the end.
//!
//! `cargo run --release -p shelfgrade-trials --example faults -- PROCESSES SECONDS [SEED]`

use shelfgrade_testkit::checks;
use shelfgrade_testkit::fault_proxy::ROUGH;
use shelfgrade_testkit::trial::{Trial, TrialConfig, SMALL};
use std::time::Duration;
use tokio::time::sleep;

/// One fault, and what is said of it; those that were away are back when it is over.
async fn fault(trial: &mut Trial, down: &mut Vec<usize>) -> String {
    let size = trial.config.processes;
    let some = trial.draws(size / 2) + 1;
    match trial.draws(8) {
        0 => {
            let from = trial.draws(size);
            let killed: Vec<_> = (0..some).map(|i| (from + i) % size).filter(|i| !down.contains(i)).collect();
            killed.iter().for_each(|index| trial.kill(*index));
            down.extend(&killed);
            format!("{} processes killed", killed.len())
        }
        1 | 2 => {
            let back = std::mem::take(down);
            back.iter().for_each(|index| trial.start(*index));
            format!("{} processes started", back.len())
        }
        3 => {
            let index = trial.draws(size);
            if down.contains(&index) {
                return "nothing".into();
            }
            trial.stop(index);
            let ms = 500 + trial.draws(5000) as u64;
            sleep(Duration::from_millis(ms)).await;
            trial.wake(index);
            format!("process {index} stopped for {ms} ms")
        }
        4 => {
            trial.fault_proxy.halves(|index| index < some);
            format!("{some} processes cut off from the others")
        }
        5 => {
            trial.fault_proxy.becomes(ROUGH);
            "the way between them is rough".into()
        }
        6 => {
            trial.fault_proxy.heals();
            "the way between them is whole".into()
        }
        _ => {
            trial.discovery.goes();
            let ms = 500 + trial.draws(6000) as u64;
            sleep(Duration::from_millis(ms)).await;
            trial.discovery.is_back();
            format!("discovery was down for {ms} ms")
        }
    }
}

/// The power of everything, which ends every other fault.
async fn loss(trial: &mut Trial, down: &mut Vec<usize>) {
    trial.power_goes();
    down.clear();
    sleep(Duration::from_millis(1000)).await;
    trial.servers_start();
    (0..trial.config.processes).for_each(|index| trial.start(index));
}

#[tokio::main]
async fn main() {
    let numbers: Vec<u64> = std::env::args().skip(1).map(|text| text.parse().expect("a number")).collect();
    let (processes, seconds) = (numbers[0] as usize, numbers[1]);
    let seed = numbers.get(2).copied().unwrap_or_else(|| shelfgrade_testkit::server::unix_ms() as u64);
    println!("seed {seed}");
    let servers = processes.div_ceil(3).max(8);
    let mut trial =
        Trial::running(TrialConfig { processes, servers, clients: servers * 30, seed, ..SMALL }).await;
    let (began, mut down, mut faults) = (trial.recorder.now(), Vec::new(), 0u32);
    while trial.recorder.now() - began < Duration::from_secs(seconds) {
        faults += 1;
        let what = if faults.is_multiple_of(12) {
            loss(&mut trial, &mut down).await;
            "all power lost and back".to_owned()
        } else {
            fault(&mut trial, &mut down).await
        };
        let pause = 500 + trial.draws(4000) as u64;
        sleep(Duration::from_millis(pause)).await;
        let (stand, breaches) = (trial.standing(), checks::rules(&trial.recorder));
        println!(
            "{:5.1} s: {what}; {stand} stand, {} breaches",
            trial.recorder.now().as_secs_f64(),
            breaches.len()
        );
        breaches.iter().take(3).for_each(|breach| println!("    {breach}"));
    }
    trial.fault_proxy.heals();
    down.iter().for_each(|index| trial.start(*index));
    let wanted = trial.config.clients * 98 / 100;
    trial.until(Duration::from_secs(60), "service is back", |trial| trial.standing() >= wanted).await;
    let nearest =
        trial.recorder.observations().coldest.iter().map(|(n, bound)| *n as f64 / bound).fold(0.0, f64::max);
    let tries = trial.recorder.observations().requests.len();
    trial.ends().await;
    println!("{faults} faults, {tries} tries, no rule broken; the fullest cold server came to {nearest:.2} of its bound");
}
