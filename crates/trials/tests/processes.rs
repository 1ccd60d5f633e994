//! Real processes on loopback, and what goes wrong round them.

use shelfgrade_trials::checks::{self, Breach};
use shelfgrade_trials::rogue::{self, Wrong};
use shelfgrade_trials::trial::{Shape, Trial, SMALL};
use std::time::Duration;
use tokio::time::sleep;

/// Each rule's check has to catch a proxy that breaks just that rule.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_rules_check_catches_a_proxy_that_breaks_it() {
    for wrong in [Wrong::Silent, Wrong::AnswersTwice, Wrong::SendsTwice, Wrong::First] {
        let mut trial = Trial::begin(Shape { processes: 0, servers: 3, clients: 120, ..SMALL }).await;
        let address = rogue::begin(wrong, trial.servers.iter().map(|server| server.address).collect()).await;
        trial.before(address);
        trial.until_ready(1).await;
        if wrong == Wrong::First {
            trial.servers[0].loses_power();
            trial.servers[0].starts();
            trial.drains(0);
        }
        trial.clients_come(Duration::from_millis(200));
        let found = |wrong: Wrong, breaches: &[Breach]| match wrong {
            Wrong::Silent => breaches.iter().any(|b| matches!(b, Breach::Unanswered { .. })),
            Wrong::AnswersTwice => breaches.iter().any(|b| matches!(b, Breach::AnsweredTwice { .. })),
            Wrong::SendsTwice => breaches.iter().any(|b| matches!(b, Breach::TwoEffects { .. })),
            Wrong::First => {
                breaches.iter().any(|b| matches!(b, Breach::Drain { .. }))
                    && breaches.iter().any(|b| matches!(b, Breach::PushedOver { .. }))
            }
        };
        let what = format!("{wrong:?} is found out");
        trial
            .until(Duration::from_secs(10), &what, |trial| found(wrong, &checks::rules(&trial.record)))
            .await;
    }
}

/// All processes killed in the same instant, every server cold as it comes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn after_a_loss_of_power_service_is_back_and_no_rule_is_broken() {
    let mut trial = Trial::running(SMALL).await;
    trial.power_goes();
    sleep(Duration::from_millis(800)).await;
    let back = trial.record.now();
    trial.servers_start();
    (0..SMALL.processes).for_each(|index| trial.start(index));
    let wanted = SMALL.clients * 98 / 100;
    trial.until(Duration::from_secs(25), "service is back", |trial| trial.standing() >= wanted).await;
    let took = trial.record.now() - back;
    let calls = trial.calls(back, trial.record.now());
    println!("back after {took:?} with {calls} calls to discovery");
    assert!(calls <= 6, "a few ask for all: {calls}");
    trial.ends().await;
}
