//! Stories of servers that are passed over.

use crate::fake::*;
use shelfgrade::host::*;

#[test]
fn a_strained_server_gets_less_until_the_distrust_has_faded() {
    let mut proxy = Proxy::of_four();
    let key = key_for("a2");
    proxy.settles(plain(&key));
    proxy.on_message_latency(1, 200);
    assert_eq!(proxy.settles(plain(&key)).as_deref(), Some("b1"));
    proxy.passes(60_000);
    assert_eq!(proxy.settles(plain(&key)).as_deref(), Some("a2"));
}

#[test]
fn an_overload_that_leaves_no_server_trusted_is_not_fed() {
    let mut proxy = Proxy::of_four();
    let held = ["a1", "a2", "b1", "b2"].map(|place| proxy.arrives(plain(&key_for(place))));
    for session in held {
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.on_message_latency(session, 500);
    }
    let session = proxy.arrives(plain("one more"));
    assert_eq!(proxy.notes.rejected.iter().map(|(c, _)| *c).collect::<Vec<_>>(), [session]);
}

#[test]
fn a_client_that_asks_again_at_once_does_not_leak_into_a_strained_fleet() {
    let mut proxy = Proxy::of_four();
    for place in ["a1", "a2", "b1", "b2"] {
        let session = proxy.arrives(plain(&key_for(place)));
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.on_message_latency(session, 35);
    }
    // Partly distrusted servers let some clients in and turn others away, but no client by asking often.
    let mut admitted = [0, 0];
    for client in 0..20 {
        let key = format!("client-{client}");
        let tries: Vec<bool> = (0..10).map(|_| proxy.settles(plain(&key)).is_some()).collect();
        assert!(tries.iter().all(|t| *t == tries[0]), "{tries:?}");
        admitted[usize::from(tries[0])] += 1;
        proxy.now = shelfgrade::time::Timestamp::from_ms(60_100.0);
    }
    assert!(admitted[0] > 0 && admitted[1] > 0, "{admitted:?}");
    // Between two notes the score does not fade, so that nobody slips in.
    let mut proxy = Proxy::with(&[server("a1")]);
    proxy.settles(plain("first"));
    proxy.on_message_latency(1, 100);
    proxy.passes(1200);
    for i in 0..100 {
        proxy.arrives(plain(&format!("later-{i}")));
    }
    assert_eq!(proxy.notes.attempts.len(), 1);
}

#[test]
fn a_session_that_no_server_can_use_costs_only_the_first_of_them_trust() {
    let mut proxy = Proxy::of_twelve();
    for _ in 0..3 {
        let bad = proxy.arrives(plain("bad"));
        for _ in 0..4 {
            proxy.attempt_ends(bad, AttemptOutcome::Failed);
        }
        assert_eq!(proxy.sent_to(bad).len(), 4, "it may still be the servers");
    }
    let before = proxy.notes.attempts.len();
    let first = proxy.notes.attempts[0].1.clone();
    for i in 0..100 {
        proxy.settles(plain(&format!("good-{i}")));
    }
    let elsewhere = proxy.notes.attempts[before..].iter().filter(|c| c.1 != first).count();
    assert!(elsewhere >= 100 * 11 / 12 - 5, "the others keep theirs: {elsewhere}");
    assert!(proxy.notes.rejected.len() <= 5, "{:?}", proxy.notes.rejected.len());
}

/// One kind of machine restarted within half a second: who held three of them went on to the others of their kind.
#[test]
fn a_server_where_nothing_is_held_is_distrusted_as_its_zone_is_beyond_the_others() {
    let list: Vec<_> =
        ["a", "b"].iter().flat_map(|z| (0..20).map(move |i| server(&format!("{z}{i:02}")))).collect();
    let unmet_in_a = |bad: &[&str]| {
        let to_a = |seed: u64| {
            let mut proxy = Proxy::among(100, None, seed, &list);
            proxy.notes.mute = true;
            for place in ["a00", "a01", "a02", "b00", "b01", "b02"] {
                proxy.strains(&[place], if bad.contains(&place) { 500 } else { 1 });
            }
            let key = format!("key{seed}");
            let came = proxy.arrives(Arrival { group: Some(&key), ..plain(&key) });
            proxy.sent_to(came).first().is_some_and(|p| p.starts_with('a') && p.as_str() > "a02")
        };
        (0..200).filter(|seed| to_a(*seed)).count()
    };
    let (usual, lost) = (unmet_in_a(&[]), unmet_in_a(&["a00", "a01", "a02"]));
    assert!(usual > 60 && lost < usual / 2, "{lost} of {usual}");
    // Strain that is everywhere says nothing of one zone, nor does a kind that all share.
    let all = unmet_in_a(&["a00", "a01", "a02", "b00", "b01", "b02"]);
    assert!(all > usual / 2, "{all} of {usual}");
}

/// On a day of 258 proxies before 81 servers each tried every strained server again within ten seconds or so, which was
/// thirty attempts a second for all of them: old machines stood at 2.8 s of work piled up all day.
#[test]
fn many_proxies_together_try_a_strained_server_again_no_more_often_than_few() {
    let nine: Vec<_> = TWELVE[..9].iter().map(|place| server(place)).collect();
    // Clients of so many proxies that come back to it, fifteen seconds after each proxy has last heard of its strain.
    let tried = |proxies: usize| {
        let tries = |seed: &u64| {
            let mut proxy = Proxy::among(proxies, Some(1000.0), *seed, &nine);
            let home = home(&mut proxy, "bank").expect("a home");
            proxy.strains(&[&home], 500);
            proxy.passes(15_000);
            proxy.settles(Arrival { group: Some("bank"), reconnected: true, ..plain("back") }) == Some(home)
        };
        (0..60).filter(tries).count()
    };
    let (of_three, of_ninety) = (tried(3), tried(90));
    assert!(of_three > 40 && of_ninety < 10, "{of_three} {of_ninety}");
}
