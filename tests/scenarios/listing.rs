//! Stories of asking for the list.

use crate::fake::*;
use shelfgrade::time::DurationExt;
use std::time::Duration;

#[test]
fn the_list_is_asked_for_at_start_and_again_after_failures_but_never_too_late() {
    let mut proxy = Proxy::of_four();
    proxy.lives(400);
    assert_eq!(proxy.notes.subscribed, 1);
    for failures in 1..12 {
        proxy.balancer.on_poll_failed(proxy.now, proxy.now, &mut proxy.notes);
        let pause = proxy.notes.alarms.last().expect("an alarm").since(proxy.now);
        assert!(
            pause > Duration::from_millis(200) && pause < MUST_ASK_IN.scaled(0.85),
            "{failures}: {pause:?}"
        );
        proxy.lives(8500);
        assert_eq!(proxy.notes.subscribed, 1 + failures);
    }
}

#[test]
fn a_hundred_proxies_started_together_ask_for_the_list_one_after_the_other() {
    let asked = |proxies: usize| -> Vec<Duration> {
        let first = |seed| {
            let proxy = Proxy::among(proxies, None, seed, &TWELVE.map(server));
            proxy.notes.alarms[0].since(proxy.now)
        };
        (0..proxies as u64).map(first).collect()
    };
    // Of three, each asks well within half a second.
    assert!(asked(3)
        .iter()
        .all(|pause| (Duration::from_millis(200)..Duration::from_millis(400)).contains(pause)));
    // A service that answers 40 in a second keeps up with a hundred.
    let pauses = asked(100);
    let in_second = |from: u64| {
        let second = Duration::from_millis(from)..Duration::from_millis(from + 1000);
        pauses.iter().filter(|p| second.contains(p)).count()
    };
    assert!((0..5000).step_by(250).all(|from| in_second(from) <= 40), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause < MUST_ASK_IN));
}

/// Watches that fall silent together are asked for anew at once, and most calls are refused: the pause after that was
/// spread over up to eight seconds in a large fleet, where as many as four were left.
#[test]
fn after_a_silent_watch_no_pause_outlasts_half_of_what_is_left_until_its_news_counts_as_told() {
    for seed in 0..200 {
        let mut proxy = Proxy::among(300, None, seed, &TWELVE.map(server));
        let due = proxy.now + Duration::from_millis(3700);
        proxy.balancer.on_watch_lost(due, &mut proxy.notes);
        for _ in 0..3 {
            proxy.balancer.on_poll_failed(proxy.now, proxy.now, &mut proxy.notes);
            let (pause, left) =
                (proxy.notes.alarms.last().expect("an alarm").since(proxy.now), due.since(proxy.now));
            // And two tenths of a second.
            assert!(pause <= left.scaled(0.5) + Duration::from_millis(200), "{pause:?} of {left:?}");
            proxy.now = proxy.now + pause;
        }
        assert!(proxy.now < due, "three refusals leave time for another call");
        // A second silence puts it off no further, and past due it is asked for twice a second.
        proxy.balancer.on_watch_lost(due + Duration::from_millis(9000), &mut proxy.notes);
        proxy.now = due;
        for _ in 0..9 {
            proxy.balancer.on_poll_failed(proxy.now, proxy.now, &mut proxy.notes);
            let pause = proxy.notes.alarms.last().expect("an alarm").since(proxy.now);
            assert!(pause <= Duration::from_millis(600), "{pause:?}");
            proxy.now = proxy.now + pause;
        }
        // With news in hand calls are spread again.
        proxy.balancer.on_endpoints(&[], false, proxy.now);
        let later = |proxy: &mut Proxy| {
            proxy.balancer.on_poll_failed(proxy.now, proxy.now, &mut proxy.notes);
            proxy.notes.alarms.last().expect("an alarm").since(proxy.now)
        };
        assert!((0..20).any(|_| later(&mut proxy) > Duration::from_millis(1500)));
    }
}
