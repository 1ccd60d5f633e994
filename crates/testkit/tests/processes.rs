//! A fleet of real processes on loopback under faults: power loss, damaged snapshots, network faults, clock skew.

use shelfgrade_testkit::checks::{self, Violation};
use shelfgrade_testkit::misbehaving_proxy::{self, Misbehaviour};
use shelfgrade_testkit::trial::{Trial, TrialConfig, SMALL};
use std::fs;
use std::time::Duration;
use tokio::time::sleep;

/// Serializes the tests: each trial needs the machine's cores for its processes.
static TRIAL_LOCK: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// 98% of a trial's clients.
fn most_clients(trial: &Trial) -> usize {
    trial.config.clients * 98 / 100
}

/// Waits up to `limit_s` seconds until 98% of the clients have a session.
async fn wait_until_recovered(trial: &mut Trial, limit_s: u64) {
    let wanted = most_clients(trial);
    trial
        .wait_until(Duration::from_secs(limit_s), "98% of the clients have a session", |trial| {
            trial.session_count() >= wanted
        })
        .await;
}

/// Tests the checks themselves: each must detect a proxy that violates just the invariants it is meant for.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn checks_detect_a_proxy_that_violates_their_invariant() {
    let _guard = TRIAL_LOCK.lock().await;
    for misbehaviour in [
        Misbehaviour::NeverAnswers,
        Misbehaviour::AnswersTwice,
        Misbehaviour::ForwardsTwice,
        Misbehaviour::AlwaysFirstServer,
    ] {
        let mut trial = Trial::new(TrialConfig { processes: 0, servers: 3, clients: 120, ..SMALL }).await;
        let address = misbehaving_proxy::start(
            misbehaviour,
            trial.servers.iter().map(|server| server.address).collect(),
        )
        .await;
        trial.direct_clients_to(address);
        trial.wait_until_ready(1).await;
        if misbehaviour == Misbehaviour::AlwaysFirstServer {
            trial.servers[0].power_off();
            trial.servers[0].power_on();
            trial.drain_server(0);
        }
        trial.start_clients(Duration::from_millis(200));
        let is_detected = |misbehaviour: Misbehaviour, violations: &[Violation]| match misbehaviour {
            Misbehaviour::NeverAnswers => {
                violations.iter().any(|violation| matches!(violation, Violation::Unanswered { .. }))
            }
            Misbehaviour::AnswersTwice => {
                violations.iter().any(|violation| matches!(violation, Violation::MultipleAnswers { .. }))
            }
            Misbehaviour::ForwardsTwice => {
                violations.iter().any(|violation| matches!(violation, Violation::ExecutedTwice { .. }))
            }
            Misbehaviour::AlwaysFirstServer => {
                violations.iter().any(|violation| matches!(violation, Violation::SentToDraining { .. }))
                    && violations
                        .iter()
                        .any(|violation| matches!(violation, Violation::ColdServerOverloaded { .. }))
            }
        };
        let description = format!("the checks detect {misbehaviour:?}");
        trial
            .wait_until(Duration::from_secs(10), &description, |trial| {
                is_detected(misbehaviour, &checks::find_violations(&trial.recorder))
            })
            .await;
    }
}

/// Power loss: all processes are killed at the same time, and every server restarts in slow start. Each process finds
/// a different fault in its state directory: truncated or empty snapshots, snapshots of a newer format or of another
/// process, or no directory. The fifth process has its own valid snapshots.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fleet_recovers_from_a_power_loss_with_damaged_snapshots() {
    let _guard = TRIAL_LOCK.lock().await;
    let mut trial = Trial::running(SMALL).await;
    trial.cut_power();
    let snapshot_path = |trial: &Trial, process: usize, generation: usize| {
        trial.processes[process].state_dir().join(format!("shelfgrade.{generation}"))
    };
    for generation in 0..2 {
        let valid = fs::read(snapshot_path(&trial, 0, generation)).expect("each generation has a snapshot");
        fs::write(snapshot_path(&trial, 0, generation), &valid[..valid.len() / 2]).unwrap();
        fs::write(snapshot_path(&trial, 1, generation), []).unwrap();
        let mut newer = valid.clone();
        // The format version starts at byte 8; a newer one cannot be read.
        newer[8] = 99;
        fs::write(snapshot_path(&trial, 2, generation), newer).unwrap();
        // The fourth process has the snapshot of the fifth, as if its disk had been cloned.
        fs::copy(snapshot_path(&trial, 4, generation), snapshot_path(&trial, 3, generation)).unwrap();
    }
    // The sixth process has no snapshot and cannot write one: a file is in place of its state directory.
    fs::remove_dir_all(trial.processes[5].state_dir()).unwrap();
    fs::write(trial.processes[5].state_dir(), "not a directory").unwrap();
    sleep(Duration::from_millis(800)).await;
    let restored_at = trial.recorder.now();
    trial.restore_servers();
    (0..SMALL.processes).for_each(|index| trial.start(index));
    wait_until_recovered(&mut trial, 30).await;
    let (took, calls) = (
        trial.recorder.now() - restored_at,
        trial.initial_discovery_calls(restored_at, trial.recorder.now()),
    );
    println!("recovered after {took:?} with {calls} calls to discovery");
    assert!(calls <= 6, "a few processes should poll for the whole fleet: {calls} calls");
    let expected_logs = [
        "torn at",
        "snapshot 0: empty",
        "of format 99",
        "of the process n004",
        "recovery:",
        "cannot write snapshot (",
    ];
    for (process, text) in trial.processes.iter().zip(expected_logs) {
        assert!(process.log().contains(text), "no {text:?} in the log: {}", process.log());
    }
    trial.finish().await;
}

/// Processes restart one by one, and the first, alone, serves what its guaranteed share allows. A second power loss
/// interrupts the recovery; the fleet recovers from it like from the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn processes_restarted_one_by_one_recover_despite_a_second_power_loss() {
    let _guard = TRIAL_LOCK.lock().await;
    let mut trial = Trial::running(TrialConfig { seed: 2, ..SMALL }).await;
    trial.cut_power();
    trial.restore_servers();
    trial.start(0);
    trial
        .wait_until(Duration::from_secs(8), "the only running process holds 10 sessions", |trial| {
            trial.session_count() >= 10
        })
        .await;
    trial.start(1);
    sleep(Duration::from_millis(1500)).await;
    trial.cut_power();
    sleep(Duration::from_millis(300)).await;
    trial.restore_servers();
    for index in 0..SMALL.processes {
        trial.start(index);
        sleep(Duration::from_millis(2500)).await;
    }
    wait_until_recovered(&mut trial, 30).await;
    trial.finish().await;
}

/// Discovery restarts last and has lost its state: it counts its list versions from 1 again, and publishes a server as
/// in service that was drained before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drained_server_gets_no_new_requests_after_discovery_loses_its_state() {
    let _guard = TRIAL_LOCK.lock().await;
    let mut trial = Trial::running(TrialConfig { seed: 3, clients: 200, ..SMALL }).await;
    trial.drain_server(0);
    trial
        .wait_until(Duration::from_secs(20), "the drained server has no connections", |trial| {
            trial.servers[0].connection_count() == 0
        })
        .await;
    trial
        .wait_until(Duration::from_secs(5), "98% of the clients have a session", |trial| {
            trial.session_count() >= most_clients(trial)
        })
        .await;
    sleep(Duration::from_millis(700)).await;
    // Only discovery and the processes go down; the servers stay up, and the drained one remains drained.
    trial.discovery.take_down();
    (0..SMALL.processes).for_each(|index| trial.kill(index));
    sleep(Duration::from_millis(300)).await;
    (0..SMALL.processes).for_each(|index| trial.start(index));
    let wait_timed_out =
        |process: &shelfgrade_testkit::process::Process| process.log().contains("no list in time");
    trial
        .wait_until(Duration::from_secs(8), "all processes give up waiting for the endpoint list", |trial| {
            trial.processes.iter().all(wait_timed_out)
        })
        .await;
    let servers: Vec<_> = trial.servers.iter().map(|server| &**server).collect();
    trial.discovery.reset_to(1, &servers, "in_service");
    trial.discovery.publish(&[&trial.servers[3]], "in_service");
    trial.discovery.bring_up();
    wait_until_recovered(&mut trial, 30).await;
    sleep(Duration::from_secs(3)).await;
    trial.finish().await;
}

/// The network between the processes is partitioned, then one-way for one process, and loses, duplicates and reorders
/// datagrams; two clocks are an hour off; one process is suspended and resumes with outdated state. Servers that are
/// drained meanwhile must become empty.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invariants_hold_and_drains_propagate_under_network_faults_and_clock_skew() {
    let _guard = TRIAL_LOCK.lock().await;
    let mut trial = Trial::new(TrialConfig { seed: 4, clients: 200, ..SMALL }).await;
    trial.processes[1].clock_ahead_ms = 3_600_000;
    trial.processes[2].clock_ahead_ms = -3_600_000;
    (0..SMALL.processes).for_each(|index| trial.start(index));
    trial.wait_until_ready(SMALL.processes).await;
    trial.start_clients(Duration::from_millis(1500));
    wait_until_recovered(&mut trial, 20).await;
    trial.fault_proxy.set_conditions(shelfgrade_testkit::fault_proxy::POOR_LINK);
    trial.fault_proxy.partition(|index| index < 3);
    sleep(Duration::from_millis(5000)).await;
    trial.drain_server(7);
    trial.suspend(5);
    sleep(Duration::from_millis(4000)).await;
    trial.resume(5);
    sleep(Duration::from_millis(1000)).await;
    trial.fault_proxy.heal();
    // One-way fault: the last process receives datagrams from the others, but its own are dropped.
    trial.fault_proxy.block((0..5).map(|to| (5, to)));
    trial.drain_server(6);
    sleep(Duration::from_millis(4000)).await;
    trial.fault_proxy.heal();
    trial
        .wait_until(Duration::from_secs(20), "both drained servers have no connections", |trial| {
            trial.servers[7].connection_count() + trial.servers[6].connection_count() == 0
        })
        .await;
    wait_until_recovered(&mut trial, 20).await;
    trial.finish().await;
}

/// Two processes run under the same name at different addresses, so that neither is accepted for good by the peers of
/// the other: the duplicate is reported, and service continues.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn duplicate_process_name_is_reported_and_service_continues() {
    let _guard = TRIAL_LOCK.lock().await;
    let mut trial = Trial::running(TrialConfig { seed: 5, clients: 120, ..SMALL }).await;
    // In the files of the last process its name and that of the first are swapped: it runs under the first one's name,
    // at its own address.
    trial.kill(5);
    let duplicate = trial.processes[0].name.clone();
    let (fleet_file, config_file) = (trial.processes[5].fleet_file_path(), trial.processes[5].config_path());
    let own = trial.processes[5].name.clone();
    let swap_names =
        |text: String| text.replace(&own, "swap").replace(&duplicate, &own).replace("swap", &duplicate);
    fs::write(&fleet_file, swap_names(fs::read_to_string(&fleet_file).unwrap())).unwrap();
    fs::write(&config_file, swap_names(fs::read_to_string(&config_file).unwrap())).unwrap();
    trial.start(5);
    let is_reported = |trial: &mut Trial| {
        trial.processes.iter().any(|process| process.log().contains("from a duplicate member"))
    };
    trial.wait_until(Duration::from_secs(15), "the duplicate name is reported", is_reported).await;
    wait_until_recovered(&mut trial, 20).await;
    trial.finish().await;
}
