//! Real processes on loopback, and what goes wrong round them.

use shelfgrade_testkit::checks::{self, Violation};
use shelfgrade_testkit::misbehaving_proxy::{self, Misbehaviour};
use shelfgrade_testkit::trial::{Trial, TrialConfig, SMALL};
use std::fs;
use std::time::Duration;
use tokio::time::sleep;

/// One trial at a time: each wants the machine's cores for its processes.
static CORES: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Nearly all clients of a trial.
fn most(trial: &Trial) -> usize {
    trial.config.clients * 98 / 100
}

/// Waits until service is back, for so long at most.
async fn comes_back(trial: &mut Trial, within: u64) {
    let wanted = most(trial);
    trial
        .wait_until(Duration::from_secs(within), "service is back", |trial| trial.session_count() >= wanted)
        .await;
}

/// Each rule's check has to catch a proxy that breaks just that rule.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_rules_check_catches_a_proxy_that_breaks_it() {
    let _cores = CORES.lock().await;
    for wrong in [
        Misbehaviour::NeverAnswers,
        Misbehaviour::AnswersTwice,
        Misbehaviour::ForwardsTwice,
        Misbehaviour::AlwaysFirstServer,
    ] {
        let mut trial = Trial::new(TrialConfig { processes: 0, servers: 3, clients: 120, ..SMALL }).await;
        let address =
            misbehaving_proxy::start(wrong, trial.servers.iter().map(|server| server.address).collect())
                .await;
        trial.direct_clients_to(address);
        trial.wait_until_ready(1).await;
        if wrong == Misbehaviour::AlwaysFirstServer {
            trial.servers[0].power_off();
            trial.servers[0].power_on();
            trial.drain_server(0);
        }
        trial.start_clients(Duration::from_millis(200));
        let found = |wrong: Misbehaviour, breaches: &[Violation]| match wrong {
            Misbehaviour::NeverAnswers => breaches.iter().any(|b| matches!(b, Violation::Unanswered { .. })),
            Misbehaviour::AnswersTwice => {
                breaches.iter().any(|b| matches!(b, Violation::MultipleAnswers { .. }))
            }
            Misbehaviour::ForwardsTwice => {
                breaches.iter().any(|b| matches!(b, Violation::ExecutedTwice { .. }))
            }
            Misbehaviour::AlwaysFirstServer => {
                breaches.iter().any(|b| matches!(b, Violation::SentToDraining { .. }))
                    && breaches.iter().any(|b| matches!(b, Violation::ColdServerOverloaded { .. }))
            }
        };
        let what = format!("{wrong:?} is found out");
        trial
            .wait_until(Duration::from_secs(10), &what, |trial| {
                found(wrong, &checks::find_violations(&trial.recorder))
            })
            .await;
    }
}

/// All processes are killed in the same instant, every server is cold as it comes back, and every disk has another fault.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn after_a_loss_of_power_service_is_back_whatever_the_disks_hold() {
    let _cores = CORES.lock().await;
    let mut trial = Trial::running(SMALL).await;
    trial.cut_power();
    let file = |trial: &Trial, process: usize, generation: usize| {
        trial.processes[process].state_dir().join(format!("shelfgrade.{generation}"))
    };
    for generation in 0..2 {
        let good = fs::read(file(&trial, 0, generation)).expect("a snapshot of each generation");
        fs::write(file(&trial, 0, generation), &good[..good.len() / 2]).unwrap();
        fs::write(file(&trial, 1, generation), []).unwrap();
        let mut newer = good.clone();
        newer[8] = 99;
        fs::write(file(&trial, 2, generation), newer).unwrap();
        // The fourth has the fifth one's, as of a copied disk.
        fs::copy(file(&trial, 4, generation), file(&trial, 3, generation)).unwrap();
    }
    // The sixth one's is gone, and cannot be written: something else has its name.
    fs::remove_dir_all(trial.processes[5].state_dir()).unwrap();
    fs::write(trial.processes[5].state_dir(), "no folder").unwrap();
    sleep(Duration::from_millis(800)).await;
    let back = trial.recorder.now();
    trial.restore_servers();
    (0..SMALL.processes).for_each(|index| trial.start(index));
    comes_back(&mut trial, 30).await;
    let (took, calls) =
        (trial.recorder.now() - back, trial.initial_discovery_calls(back, trial.recorder.now()));
    println!("back after {took:?} with {calls} calls to discovery");
    assert!(calls <= 6, "a few ask for all: {calls}");
    let words = [
        "torn at",
        "snapshot 0: empty",
        "of format 99",
        "of the process n004",
        "recovery:",
        "cannot write snapshot (",
    ];
    for (process, word) in trial.processes.iter().zip(words) {
        assert!(process.log().contains(word), "{word} in {}", process.log());
    }
    trial.finish().await;
}

/// Processes come back one by one, the first alone, and the power goes again in the middle of that.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn processes_back_one_by_one_serve_what_they_may_and_a_second_loss_of_power_is_as_the_first() {
    let _cores = CORES.lock().await;
    let mut trial = Trial::running(TrialConfig { seed: 2, ..SMALL }).await;
    trial.cut_power();
    trial.restore_servers();
    trial.start(0);
    trial.wait_until(Duration::from_secs(8), "one alone serves", |trial| trial.session_count() >= 10).await;
    trial.start(1);
    sleep(Duration::from_millis(1500)).await;
    trial.cut_power();
    sleep(Duration::from_millis(300)).await;
    trial.restore_servers();
    for index in 0..SMALL.processes {
        trial.start(index);
        sleep(Duration::from_millis(2500)).await;
    }
    comes_back(&mut trial, 30).await;
    trial.finish().await;
}

/// Discovery comes back last, has forgotten all, counts from 1, and calls a server in service that has drained for long.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_draining_server_that_discovery_has_forgotten_gets_nothing_new() {
    let _cores = CORES.lock().await;
    let mut trial = Trial::running(TrialConfig { seed: 3, clients: 200, ..SMALL }).await;
    trial.drain_server(0);
    trial
        .wait_until(Duration::from_secs(20), "it is empty", |trial| trial.servers[0].connection_count() == 0)
        .await;
    trial
        .wait_until(Duration::from_secs(5), "all clients stand", |trial| trial.session_count() >= most(trial))
        .await;
    sleep(Duration::from_millis(700)).await;
    // The processes lose their power alone; the server goes on with what it was.
    trial.discovery.take_down();
    (0..SMALL.processes).for_each(|index| trial.kill(index));
    sleep(Duration::from_millis(300)).await;
    (0..SMALL.processes).for_each(|index| trial.start(index));
    let waited = |process: &shelfgrade_testkit::process::Process| process.log().contains("no list in time");
    trial
        .wait_until(Duration::from_secs(8), "the wait is over", |trial| trial.processes.iter().all(waited))
        .await;
    let forgetful: Vec<_> = trial.servers.iter().map(|server| &**server).collect();
    trial.discovery.reset_to(1, &forgetful, "in_service");
    trial.discovery.publish(&[&trial.servers[3]], "in_service");
    trial.discovery.bring_up();
    comes_back(&mut trial, 30).await;
    sleep(Duration::from_secs(3)).await;
    trial.finish().await;
}

/// The way between the processes is cut in two, is one-sided, loses a third, doubles and reorders; clocks are an hour off;
/// a process is stopped and wakes with what it knew; a server drains meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whatever_the_way_between_them_does_the_rules_hold_and_all_hear_of_a_drain() {
    let _cores = CORES.lock().await;
    let mut trial = Trial::new(TrialConfig { seed: 4, clients: 200, ..SMALL }).await;
    trial.processes[1].clock_ahead_ms = 3_600_000;
    trial.processes[2].clock_ahead_ms = -3_600_000;
    (0..SMALL.processes).for_each(|index| trial.start(index));
    trial.wait_until_ready(SMALL.processes).await;
    trial.start_clients(Duration::from_millis(1500));
    comes_back(&mut trial, 20).await;
    trial.fault_proxy.set_conditions(shelfgrade_testkit::fault_proxy::POOR_LINK);
    trial.fault_proxy.partition(|index| index < 3);
    sleep(Duration::from_millis(5000)).await;
    trial.drain_server(7);
    trial.suspend(5);
    sleep(Duration::from_millis(4000)).await;
    trial.resume(5);
    sleep(Duration::from_millis(1000)).await;
    trial.fault_proxy.heal();
    // The last one hears all, and nobody hears it.
    trial.fault_proxy.block((0..5).map(|to| (5, to)));
    trial.drain_server(6);
    sleep(Duration::from_millis(4000)).await;
    trial.fault_proxy.heal();
    trial
        .wait_until(Duration::from_secs(20), "both are empty", |t| {
            t.servers[7].connection_count() + t.servers[6].connection_count() == 0
        })
        .await;
    comes_back(&mut trial, 20).await;
    trial.finish().await;
}

/// Two processes under one name: neither is believed by the other's fellows for good, and nothing breaks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_processes_under_one_name_are_found_out_and_break_nothing() {
    let _cores = CORES.lock().await;
    let mut trial = Trial::running(TrialConfig { seed: 5, clients: 120, ..SMALL }).await;
    // The last one takes the first one's name: its fellows find either at its own address.
    trial.kill(5);
    let taken = trial.processes[0].name.clone();
    let (file, start) = (trial.processes[5].fleet_file_path(), trial.processes[5].config_path());
    let own = trial.processes[5].name.clone();
    let swap = |text: String| text.replace(&own, "swap").replace(&taken, &own).replace("swap", &taken);
    fs::write(&file, swap(fs::read_to_string(&file).unwrap())).unwrap();
    fs::write(&start, swap(fs::read_to_string(&start).unwrap())).unwrap();
    trial.start(5);
    let told =
        |trial: &mut Trial| trial.processes.iter().any(|p| p.log().contains("from a duplicate member"));
    trial.wait_until(Duration::from_secs(15), "it is told", told).await;
    comes_back(&mut trial, 20).await;
    trial.finish().await;
}
