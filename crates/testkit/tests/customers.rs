//! Customers' namespaces in a fleet of real processes.

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

/// One trial at a time: each wants the machine's cores for its processes.
static CORES: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// The servers that a customer's sessions of some request classes were sent to since a moment.
fn servers(trial: &Trial, customer: usize, class: Option<usize>, since: Duration) -> BTreeSet<usize> {
    let seen = trial.recorder.observations();
    let its = |id: &u64| {
        seen.requests.get(id).is_some_and(|t| {
            t.customer == customer && class.is_none_or(|class| t.class == class) && t.at >= since
        })
    };
    seen.forwarded.iter().filter(|sent| its(&sent.id)).map(|sent| sent.server).collect()
}

/// Tries of a customer's since a moment: how many stood, and how many did not.
fn fared(trial: &Trial, customer: usize, since: Duration) -> (usize, usize) {
    let seen = trial.recorder.observations();
    let its =
        seen.requests.values().filter(|t| t.customer == customer && t.at >= since && !t.answers.is_empty());
    let up =
        |answers: &[(Duration, String)]| answers.first().is_some_and(|(_, answer)| answer.starts_with("UP"));
    its.fold((0, 0), |(stood, not), t| if up(&t.answers) { (stood + 1, not) } else { (stood, not + 1) })
}

/// One process has the files and all go by them; one customer's storm, and its bad rules, are nobody else's.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_customers_rules_and_storm_leave_all_others_as_they_were() {
    let _cores = CORES.lock().await;
    let mut trial = Trial::new(TrialConfig { seed: 6, clients: 160, ..SMALL }).await;
    trial.write_namespaces(2, &[("grants.toml", GRANTS), ("msasani.toml", MSASANI), ("upanga.toml", UPANGA)]);
    (0..SMALL.processes).for_each(|index| trial.start(index));
    trial.wait_until_ready(SMALL.processes).await;
    let in_force = |trial: &mut Trial| {
        trial.processes.iter().all(|process| {
            ["msasani", "upanga"]
                .iter()
                .all(|name| process.log().contains(&format!("namespace of {name}: version 1 is in")))
        })
    };
    trial.wait_until(Duration::from_secs(10), "namespaces are in force everywhere", in_force).await;
    trial.start_clients(Duration::from_millis(1500));
    let most = trial.config.clients * 98 / 100;
    trial
        .wait_until(Duration::from_secs(20), "all clients stand", |trial| trial.session_count() >= most)
        .await;
    let began = Duration::ZERO;
    assert_eq!(servers(&trial, 0, Some(ALARM), began), BTreeSet::from([0]), "msasani's alarms");
    assert!(servers(&trial, 0, None, began).iter().all(|server| *server < 4), "and the rest");
    assert!(servers(&trial, 2, None, began).iter().all(|server| *server >= 6), "upanga");
    assert!(servers(&trial, 1, None, began).len() >= 6, "posta has no namespace, and goes anywhere");

    // Four hundred of upanga's come at once, where there is room for sixty; and somebody breaks upanga's file.
    let bad = UPANGA.replace("version = 1", "version = 2").replace("\"all\"", "\"all\"\nroom = 900");
    trial.write_namespaces(2, &[("upanga.toml", &bad)]);
    trial.processes[2].signal(Signal::HUP);
    let storm = trial.recorder.now();
    let crowd = trial.start_client_burst(2, 400);
    sleep(Duration::from_millis(6000)).await;
    let held = trial.servers[6].connection_count() + trial.servers[7].connection_count();
    assert!(held <= 80, "their room: {held}");
    assert!(servers(&trial, 2, None, storm).iter().all(|server| *server >= 6), "nowhere else");
    for customer in [0, 1] {
        let (stood, not) = fared(&trial, customer, storm);
        assert!(not <= stood.max(4), "{}: {stood} stood, {not} did not", CUSTOMERS[customer].0);
    }
    let told = |trial: &mut Trial| trial.processes[2].log().contains("rule all, room: more than the 60");
    trial.wait_until(Duration::from_secs(5), "the bad file is named", told).await;
    assert!(!trial.processes.iter().any(|process| process.log().contains("upanga: version 2 is in force")));
    crowd.stop();

    // A good one comes into force by itself, everywhere; who stands stays.
    let moved = MSASANI.replace("version = 1", "version = 2").replace("[\"s-000\"]", "[\"s-001\"]");
    trial.write_namespaces(2, &[("msasani.toml", &moved)]);
    let stood = trial.servers[0].connection_count();
    trial.processes[2].signal(Signal::HUP);
    let in_force = |trial: &mut Trial| {
        trial
            .processes
            .iter()
            .all(|process| process.log().contains("namespace of msasani: version 2 is in force"))
    };
    trial.wait_until(Duration::from_secs(10), "the new version is in force everywhere", in_force).await;
    let since = trial.recorder.now();
    assert!(trial.servers[0].connection_count() >= stood.saturating_sub(2), "nobody is moved for it");
    let more = trial.start_client_burst(0, 30);
    sleep(Duration::from_millis(2500)).await;
    assert!(!servers(&trial, 0, Some(ALARM), since).contains(&0), "new ones go by the new version");
    more.stop();
    trial.finish().await;
}

/// Two customers share all servers, and others go there too: a cold server is one cold server, with one share.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn after_a_loss_of_power_customers_that_share_servers_do_not_push_them_over() {
    let _cores = CORES.lock().await;
    let mut trial = Trial::new(TrialConfig { seed: 8, clients: 220, ..SMALL }).await;
    let shared = r#"
version = 1
others = 70
[[grant]]
customer = "msasani"
room = 160
[[grant]]
customer = "upanga"
room = 70
"#;
    let all = MSASANI.split("[[rule]]").next().unwrap().to_owned() + "[[rule]]\nname = \"all\"\n";
    trial.write_namespaces(0, &[("grants.toml", shared), ("msasani.toml", &all), ("upanga.toml", UPANGA)]);
    (0..SMALL.processes).for_each(|index| trial.start(index));
    trial.wait_until_ready(SMALL.processes).await;
    trial.start_clients(Duration::from_millis(1500));
    let most = trial.config.clients * 95 / 100;
    trial.wait_until(Duration::from_secs(25), "clients stand", |trial| trial.session_count() >= most).await;
    sleep(Duration::from_millis(1500)).await;
    trial.cut_power();
    sleep(Duration::from_millis(800)).await;
    trial.restore_servers();
    (0..SMALL.processes).for_each(|index| trial.start(index));
    let in_force =
        |trial: &mut Trial| trial.processes[3].log().matches("namespace of upanga: version 1").count() >= 2;
    trial.wait_until(Duration::from_secs(10), "namespaces outlive it", in_force).await;
    trial.wait_until(Duration::from_secs(30), "service is back", |trial| trial.session_count() >= most).await;
    trial.finish().await;
}
