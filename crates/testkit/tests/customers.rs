//! Namespaces and grants of customers in a fleet of real processes.

use rustix::process::Signal;
use shelfgrade_testkit::clients::{ALARM, CUSTOMERS};
use shelfgrade_testkit::trial::{Trial, TrialConfig, SMALL};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::sleep;

const GRANTS: &str = r#"
version = 1
others = 60
[[grant]]
customer = "msasani"
room = 160
part = { ids = ["s-000", "s-001", "s-002", "s-003"] }
[[grant]]
customer = "upanga"
room = 60
part = { ids = ["s-006", "s-007"] }
"#;

const MSASANI: &str = r#"
customer = "msasani"
version = 1
[[rule]]
name = "alarms"
offerings = ["alarm"]
to = { ids = ["s-000"] }
[[rule]]
name = "rest"
to = { ids = ["s-001", "s-002", "s-003"] }
"#;

const UPANGA: &str = r#"
customer = "upanga"
version = 1
[[rule]]
name = "all"
"#;

/// Serializes the tests: each trial needs the machine's cores for its processes.
static TRIAL_LOCK: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// The servers that received a customer's requests sent since `since`; those of one class only, if given.
fn servers_used(trial: &Trial, customer: usize, class: Option<usize>, since: Duration) -> BTreeSet<usize> {
    let observations = trial.recorder.observations();
    let is_selected = |id: &u64| {
        observations.requests.get(id).is_some_and(|request| {
            request.customer == customer
                && class.is_none_or(|class| request.class == class)
                && request.at >= since
        })
    };
    observations
        .forwarded
        .iter()
        .filter(|forwarded| is_selected(&forwarded.id))
        .map(|forwarded| forwarded.server)
        .collect()
}

/// Of a customer's answered requests since `since`: how many established a session, and how many did not.
fn count_outcomes(trial: &Trial, customer: usize, since: Duration) -> (usize, usize) {
    let observations = trial.recorder.observations();
    let answered = observations
        .requests
        .values()
        .filter(|request| request.customer == customer && request.at >= since && !request.answers.is_empty());
    let is_established =
        |answers: &[(Duration, String)]| answers.first().is_some_and(|(_, answer)| answer.starts_with("UP"));
    answered.fold((0, 0), |(established, not_established), request| {
        if is_established(&request.answers) {
            (established + 1, not_established)
        } else {
            (established, not_established + 1)
        }
    })
}

/// Namespace files that only one process has apply to the whole fleet. A burst of requests from one customer and an
/// invalid version of its file do not affect the other customers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_customers_rules_and_request_burst_do_not_affect_other_customers() {
    let _guard = TRIAL_LOCK.lock().await;
    let mut trial = Trial::new(TrialConfig { seed: 6, clients: 160, ..SMALL }).await;
    trial.write_namespaces(2, &[("grants.toml", GRANTS), ("msasani.toml", MSASANI), ("upanga.toml", UPANGA)]);
    (0..SMALL.processes).for_each(|index| trial.start(index));
    trial.wait_until_ready(SMALL.processes).await;
    let are_active = |trial: &mut Trial| {
        trial.processes.iter().all(|process| {
            ["msasani", "upanga"]
                .iter()
                .all(|name| process.log().contains(&format!("namespace of {name}: version 1 is in")))
        })
    };
    trial.wait_until(Duration::from_secs(10), "the namespaces are active in all processes", are_active).await;
    trial.start_clients(Duration::from_millis(1500));
    let most_clients = trial.config.clients * 98 / 100;
    trial
        .wait_until(Duration::from_secs(20), "98% of the clients have a session", |trial| {
            trial.session_count() >= most_clients
        })
        .await;
    let start = Duration::ZERO;
    assert_eq!(
        servers_used(&trial, 0, Some(ALARM), start),
        BTreeSet::from([0]),
        "alarms of msasani go to server 0"
    );
    assert!(
        servers_used(&trial, 0, None, start).iter().all(|server| *server < 4),
        "msasani uses servers 0 to 3 only"
    );
    assert!(
        servers_used(&trial, 2, None, start).iter().all(|server| *server >= 6),
        "upanga uses servers 6 and 7 only"
    );
    assert!(
        servers_used(&trial, 1, None, start).len() >= 6,
        "posta has no namespace and may use all servers"
    );

    // 400 clients of upanga connect at once, although it is granted 60 connections; and a new version of its file is
    // invalid.
    let invalid = UPANGA.replace("version = 1", "version = 2").replace("\"all\"", "\"all\"\nroom = 900");
    trial.write_namespaces(2, &[("upanga.toml", &invalid)]);
    trial.processes[2].signal(Signal::HUP);
    let burst_began = trial.recorder.now();
    let burst = trial.start_client_burst(2, 400);
    sleep(Duration::from_millis(6000)).await;
    let connections = trial.servers[6].connection_count() + trial.servers[7].connection_count();
    assert!(connections <= 80, "the grant limits upanga: {connections} connections");
    assert!(
        servers_used(&trial, 2, None, burst_began).iter().all(|server| *server >= 6),
        "upanga uses servers 6 and 7 only during the burst"
    );
    for customer in [0, 1] {
        let (established, not_established) = count_outcomes(&trial, customer, burst_began);
        assert!(
            not_established <= established.max(4),
            "{}: {established} sessions established, {not_established} requests without one",
            CUSTOMERS[customer].0
        );
    }
    let is_reported =
        |trial: &mut Trial| trial.processes[2].log().contains("rule all, room: more than the 60");
    trial.wait_until(Duration::from_secs(5), "the invalid file is reported", is_reported).await;
    assert!(!trial.processes.iter().any(|process| process.log().contains("upanga: version 2 is in force")));
    burst.stop();

    // A valid new version becomes active in all processes by itself, and established sessions stay where they are.
    let updated = MSASANI.replace("version = 1", "version = 2").replace("[\"s-000\"]", "[\"s-001\"]");
    trial.write_namespaces(2, &[("msasani.toml", &updated)]);
    let connections_before = trial.servers[0].connection_count();
    trial.processes[2].signal(Signal::HUP);
    let is_active = |trial: &mut Trial| {
        trial
            .processes
            .iter()
            .all(|process| process.log().contains("namespace of msasani: version 2 is in force"))
    };
    trial.wait_until(Duration::from_secs(10), "the new version is active in all processes", is_active).await;
    let updated_at = trial.recorder.now();
    assert!(
        trial.servers[0].connection_count() >= connections_before.saturating_sub(2),
        "a new version must not migrate sessions"
    );
    let new_clients = trial.start_client_burst(0, 30);
    sleep(Duration::from_millis(2500)).await;
    assert!(
        !servers_used(&trial, 0, Some(ALARM), updated_at).contains(&0),
        "new sessions follow the new version"
    );
    new_clients.stop();
    trial.finish().await;
}

/// Two customers are granted all servers, which other customers use too: the slow start of a server limits the
/// requests of all customers together.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn customers_that_share_servers_do_not_overload_them_after_a_power_loss() {
    let _guard = TRIAL_LOCK.lock().await;
    let mut trial = Trial::new(TrialConfig { seed: 8, clients: 220, ..SMALL }).await;
    let shared_grants = r#"
version = 1
others = 70
[[grant]]
customer = "msasani"
room = 160
[[grant]]
customer = "upanga"
room = 70
"#;
    let msasani = MSASANI.split("[[rule]]").next().unwrap().to_owned() + "[[rule]]\nname = \"all\"\n";
    trial.write_namespaces(
        0,
        &[("grants.toml", shared_grants), ("msasani.toml", &msasani), ("upanga.toml", UPANGA)],
    );
    (0..SMALL.processes).for_each(|index| trial.start(index));
    trial.wait_until_ready(SMALL.processes).await;
    trial.start_clients(Duration::from_millis(1500));
    let most_clients = trial.config.clients * 95 / 100;
    trial
        .wait_until(Duration::from_secs(25), "95% of the clients have a session", |trial| {
            trial.session_count() >= most_clients
        })
        .await;
    sleep(Duration::from_millis(1500)).await;
    trial.cut_power();
    sleep(Duration::from_millis(800)).await;
    trial.restore_servers();
    (0..SMALL.processes).for_each(|index| trial.start(index));
    let is_active_again =
        |trial: &mut Trial| trial.processes[3].log().matches("namespace of upanga: version 1").count() >= 2;
    trial
        .wait_until(
            Duration::from_secs(10),
            "the namespaces are active again after the power loss",
            is_active_again,
        )
        .await;
    trial
        .wait_until(Duration::from_secs(30), "95% of the clients have a session again", |trial| {
            trial.session_count() >= most_clients
        })
        .await;
    trial.finish().await;
}
