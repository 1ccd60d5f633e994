//! Stories of asking for the list.

use crate::fake::*;
use shelfgrade::time::Span;

#[test]
fn the_list_is_asked_for_at_start_and_again_after_failures_but_never_too_late() {
    let mut proxy = Proxy::of_four();
    proxy.lives(400);
    assert_eq!(proxy.notes.subscribed, 1);
    for failures in 1..12 {
        proxy.chooser.list_failed(proxy.now, &mut proxy.notes);
        let pause = proxy.notes.alarms.last().expect("an alarm").since(proxy.now);
        assert!(pause > Span::millis(200) && pause < MUST_ASK_IN.times(0.85), "{failures}: {pause:?}");
        proxy.lives(8500);
        assert_eq!(proxy.notes.subscribed, 1 + failures);
    }
}

#[test]
fn a_hundred_proxies_started_together_ask_for_the_list_one_after_the_other() {
    let asked = |proxies: usize| -> Vec<Span> {
        let first = |seed| {
            let proxy = Proxy::among(proxies, None, seed, &TWELVE.map(server));
            proxy.notes.alarms[0].since(proxy.now)
        };
        (0..proxies as u64).map(first).collect()
    };
    // Of three, each asks well within half a second.
    assert!(asked(3).iter().all(|pause| (Span::millis(200)..Span::millis(400)).contains(pause)));
    // A service that answers 40 in a second keeps up with a hundred.
    let pauses = asked(100);
    let in_second = |from: u64| {
        let second = Span::millis(from)..Span::millis(from + 1000);
        pauses.iter().filter(|p| second.contains(p)).count()
    };
    assert!((0..5000).step_by(250).all(|from| in_second(from) <= 40), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause < MUST_ASK_IN));
}
