//! Maintenance windows in a fleet of real processes.

use rustix::process::Signal;
use shelfgrade_testkit::server::unix_ms;
use shelfgrade_testkit::trial::{Trial, TrialConfig, SMALL};
use std::time::Duration;
use tokio::time::sleep;

/// A schedule for one site that begins in so many seconds, by a clock that reads universal time.
fn schedule(version: u64, begins_in: f64, lead_s: u32, lasts_s: u32) -> String {
    let begins = (unix_ms() / 1000.0 + begins_in) as i64;
    let (days, seconds) = (begins.div_euclid(86_400), begins.rem_euclid(86_400));
    let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    let date = date(days);
    format!(
        "version = {version}\ntime_zone = \"UTC\"\nleast_left = 0.4\n[[window]]\nname = \"try\"\nsite = \"b\"\n\
         begins = \"{date}T{hour:02}:{minute:02}:{second:02}\"\nlasts_s = {lasts_s}\nlead_s = {lead_s}\n"
    )
}

/// The date so many days after the first of 1970.
fn date(days: i64) -> jiff::civil::Date {
    let first = jiff::civil::date(1970, 1, 1);
    first.checked_add(jiff::SignedDuration::from_hours(24 * days)).expect("a date")
}

fn held(trial: &Trial, site: &str) -> usize {
    trial.servers.iter().filter(|server| server.zone() == site).map(|server| server.connection_count()).sum()
}

/// Traffic is gone from a site before its window begins, at every process, also one that starts in the midst of it; a fleet
/// that loses its power in it comes back without the site; and it comes back when the window is over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_site_is_empty_as_its_window_begins_stays_so_through_a_loss_of_power_and_comes_back() {
    const LEAD: f64 = 14.0;
    const LASTS: f64 = 14.0;
    let mut trial = Trial::running(TrialConfig { seed: 9, clients: 110, ..SMALL }).await;
    assert!(held(&trial, "b") > 20, "it has its share");
    trial.write_maintenance(1, &schedule(1, LEAD + 1.0, LEAD as u32, LASTS as u32));
    let begins = trial.recorder.now() + Duration::from_secs_f64(LEAD + 1.0);
    trial.processes[1].signal(Signal::HUP);
    let says =
        |trial: &mut Trial, word: &str| trial.processes.iter().all(|process| process.log().contains(word));
    trial.wait_until(Duration::from_secs(6), "all empty it", |trial| says(trial, "site b: draining")).await;
    sleep(begins.saturating_sub(trial.recorder.now() + Duration::from_millis(300))).await;
    let left = held(&trial, "b");
    assert!(left <= 2, "{left} are left as it begins");
    trial
        .wait_until(Duration::from_secs(4), "it is closed", |trial| says(trial, "site b: without traffic"))
        .await;
    trial.wait_until(Duration::from_secs(2), "nobody is left", |trial| held(trial, "b") == 0).await;
    let closed = trial.recorder.now();
    let until = begins + Duration::from_secs_f64(LASTS);
    let of_site: Vec<usize> = trial.servers.iter().filter(|s| s.zone() == "b").map(|s| s.index).collect();
    // Nothing new comes there until it is over, whatever happens to the processes.
    let drains =
        of_site.iter().map(|server| (*server, closed.saturating_sub(Duration::from_secs(2)), Some(until)));
    let drains: Vec<_> = drains.collect();
    trial.recorder.observations().drains.extend(drains);
    (0..SMALL.processes).for_each(|index| trial.kill(index));
    sleep(Duration::from_millis(300)).await;
    (0..SMALL.processes).for_each(|index| trial.start(index));
    let most = trial.config.clients * 95 / 100;
    let in_time = until.saturating_sub(trial.recorder.now());
    trial
        .wait_until(in_time, "service is back without the site", |trial| trial.session_count() >= most)
        .await;
    assert_eq!(held(&trial, "b"), 0);
    sleep(until.saturating_sub(trial.recorder.now()) + Duration::from_millis(1500)).await;
    trial
        .wait_until(Duration::from_secs(5), "it is open again", |trial| {
            trial.processes.iter().all(|process| process.log().contains("site b: open again"))
        })
        .await;
    let more = trial.start_client_burst(1, 60);
    trial.wait_until(Duration::from_secs(15), "it has clients again", |trial| held(trial, "b") >= 5).await;
    more.stop();
    trial.finish().await;
}
