//! Maintenance windows in a fleet of real processes.

use rustix::process::Signal;
use shelfgrade_testkit::server::unix_ms;
use shelfgrade_testkit::trial::{Trial, TrialConfig, SMALL};
use std::time::Duration;
use tokio::time::sleep;

/// A maintenance schedule with one window, for site b, that begins `begins_in` seconds from now. Its times are in UTC.
fn schedule(version: u64, begins_in: f64, lead_s: u32, lasts_s: u32) -> String {
    let begins = (unix_ms() / 1000.0 + begins_in) as i64;
    let (days, seconds) = (begins.div_euclid(86_400), begins.rem_euclid(86_400));
    let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    let date = date_after_epoch(days);
    format!(
        "version = {version}\ntime_zone = \"UTC\"\nleast_left = 0.4\n[[window]]\nname = \"try\"\nsite = \"b\"\n\
         begins = \"{date}T{hour:02}:{minute:02}:{second:02}\"\nlasts_s = {lasts_s}\nlead_s = {lead_s}\n"
    )
}

/// The date `days` days after 1970-01-01.
fn date_after_epoch(days: i64) -> jiff::civil::Date {
    let epoch = jiff::civil::date(1970, 1, 1);
    epoch.checked_add(jiff::SignedDuration::from_hours(24 * days)).expect("date is in range")
}

/// The number of connections of the servers at a site.
fn connections_at(trial: &Trial, site: &str) -> usize {
    trial.servers.iter().filter(|server| server.zone() == site).map(|server| server.connection_count()).sum()
}

/// All processes migrate the traffic of a site away before its maintenance window begins, including processes that
/// start during the window. A fleet whose processes are all killed during the window recovers without the site, and
/// the site gets traffic again when the window is over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn site_has_no_traffic_during_its_maintenance_window_even_after_a_power_loss() {
    const LEAD_S: f64 = 14.0;
    const DURATION_S: f64 = 14.0;
    let mut trial = Trial::running(TrialConfig { seed: 9, clients: 110, ..SMALL }).await;
    assert!(connections_at(&trial, "b") > 20, "site b has its share of the connections");
    trial.write_maintenance(1, &schedule(1, LEAD_S + 1.0, LEAD_S as u32, DURATION_S as u32));
    let begins = trial.recorder.now() + Duration::from_secs_f64(LEAD_S + 1.0);
    trial.processes[1].signal(Signal::HUP);
    let all_log =
        |trial: &mut Trial, text: &str| trial.processes.iter().all(|process| process.log().contains(text));
    trial
        .wait_until(Duration::from_secs(6), "all processes drain the site", |trial| {
            all_log(trial, "site b: draining")
        })
        .await;
    sleep(begins.saturating_sub(trial.recorder.now() + Duration::from_millis(300))).await;
    let connections = connections_at(&trial, "b");
    assert!(connections <= 2, "{connections} connections just before the window begins");
    trial
        .wait_until(Duration::from_secs(4), "all processes report the site without traffic", |trial| {
            all_log(trial, "site b: without traffic")
        })
        .await;
    trial
        .wait_until(Duration::from_secs(2), "the site has no connections", |trial| {
            connections_at(trial, "b") == 0
        })
        .await;
    let closed_at = trial.recorder.now();
    let ends = begins + Duration::from_secs_f64(DURATION_S);
    let servers: Vec<usize> =
        trial.servers.iter().filter(|server| server.zone() == "b").map(|server| server.index).collect();
    // Recorded as drains, so that the checks find any new request to the site until the window ends, even if processes
    // restart.
    let drains =
        servers.iter().map(|server| (*server, closed_at.saturating_sub(Duration::from_secs(2)), Some(ends)));
    let drains: Vec<_> = drains.collect();
    trial.recorder.observations().drains.extend(drains);
    (0..SMALL.processes).for_each(|index| trial.kill(index));
    sleep(Duration::from_millis(300)).await;
    (0..SMALL.processes).for_each(|index| trial.start(index));
    let most_clients = trial.config.clients * 95 / 100;
    let remaining = ends.saturating_sub(trial.recorder.now());
    trial
        .wait_until(remaining, "95% of the clients have a session without the site", |trial| {
            trial.session_count() >= most_clients
        })
        .await;
    assert_eq!(connections_at(&trial, "b"), 0);
    sleep(ends.saturating_sub(trial.recorder.now()) + Duration::from_millis(1500)).await;
    trial
        .wait_until(Duration::from_secs(5), "all processes report the site open again", |trial| {
            trial.processes.iter().all(|process| process.log().contains("site b: open again"))
        })
        .await;
    let new_clients = trial.start_client_burst(1, 60);
    trial
        .wait_until(Duration::from_secs(15), "the site has connections again", |trial| {
            connections_at(trial, "b") >= 5
        })
        .await;
    new_clients.stop();
    trial.finish().await;
}
