//! Stories of who is looked at and sent away.

use crate::fake::*;
use shelfgrade::host::*;
use shelfgrade::time::DurationExt;
use std::time::Duration;

#[test]
fn a_hundred_proxies_that_hear_of_strain_do_not_empty_the_server_at_once() {
    let strained = |seed: u64| {
        // Seeds that follow each other begin with draws that are alike.
        let mut proxy = Proxy::seeded(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15), &TWELVE.map(server));
        proxy.settles(plain("lift-1"));
        proxy.on_message_latency(1, 500);
        proxy.notes.migrated.len()
    };
    let away: usize = (0..100).map(strained).sum();
    assert!((20..=50).contains(&away), "{away}");
}

#[test]
fn a_strained_server_has_guests_sent_away_and_they_gather_with_their_group() {
    let mut proxy = Proxy::of_four();
    let member = |key| Arrival { group: Some("bank-1"), ..plain(key) };
    let returned = |key| Arrival { reconnected: true, ..member(key) };
    let home = proxy.settles(returned("k1")).expect("a place");
    let away = ["a1", "a2", "b1", "b2"].into_iter().find(|place| *place != home).expect("another");
    let (light, heavy) = (key_for(away), key_for(away));
    proxy.settles(member(&light));
    proxy.settles(member(&heavy));
    proxy.balancer.on_load_report(SessionId(3), 9.0);
    while proxy.notes.migrated.is_empty() {
        proxy.on_message_latency(2, 200);
    }
    assert_eq!(proxy.notes.migrated, [3], "the heavier guest");
    (0..50).for_each(|_| proxy.on_message_latency(2, 200));
    assert_eq!(proxy.notes.migrated, [3, 2], "each once, and nobody who is at home");
    assert_eq!(proxy.settles(returned(&heavy)).as_deref(), Some(home.as_str()));
}

#[test]
fn where_work_has_piled_up_those_at_home_are_sent_away_too() {
    let mut proxy = Proxy::of_four();
    home(&mut proxy, "bank");
    (0..50).for_each(|_| proxy.on_message_latency(1, 100));
    assert!(proxy.notes.migrated.is_empty());
    (0..50).for_each(|_| proxy.on_message_latency(1, 500));
    assert_eq!(proxy.notes.migrated, [1]);
}

/// With a third of a strained server's guests at a time a fleet strained all over was never relieved.
#[test]
fn relief_goes_up_where_the_other_servers_are_strained_too() {
    let away = |others: u64| {
        let strained = |seed: u64| {
            let mut proxy = Proxy::seeded(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15), &TWELVE.map(server));
            proxy.strains(&["a2", "a3", "a4"], others);
            let before = proxy.notes.migrated.len();
            proxy.strains(&["a1"], 500);
            proxy.notes.migrated.len() - before
        };
        (0..100).map(strained).sum::<usize>()
    };
    let (alone, among) = (away(1), away(500));
    assert!((20..=50).contains(&alone) && among > 80, "{alone} {among}");
}

#[test]
fn where_messages_tell_nothing_a_slow_probe_starts_relief() {
    let mut proxy = Proxy::of_four();
    proxy.balancer.start_periodic_checks(true, proxy.now, &mut proxy.notes);
    assert!(proxy.notes.probed.is_empty(), "nothing is held anywhere");
    let guests: Vec<u64> = (0..12)
        .map(|i| {
            let key = format!("lift-{i}");
            proxy.settles(Arrival { group: Some(&key), ..plain(&key) }).expect("a server");
            i + 1
        })
        .collect();
    proxy.lives(300);
    let place = proxy.sent_to(guests[0])[0].clone();
    assert!(proxy.notes.probed.contains(&place));
    for ms in [2, 3] {
        proxy.balancer.on_health_check(&place, Duration::from_millis(ms), proxy.now, &mut proxy.notes);
    }
    assert!(proxy.notes.migrated.is_empty(), "a probe half as slow again is chance");
    for _ in 0..12 {
        proxy.balancer.on_health_check(&place, Duration::from_millis(30), proxy.now, &mut proxy.notes);
    }
    assert!(!proxy.notes.migrated.is_empty());
    assert!(proxy.notes.migrated.iter().all(|c| proxy.sent_to(*c) == [place.clone()]));
    let before = proxy.notes.probed.iter().filter(|p| **p == place).count();
    proxy.lives(2200);
    let after = proxy.notes.probed.iter().filter(|p| **p == place).count();
    assert!(after >= before + 2, "a strained server is looked at each second");
}

#[test]
fn a_draining_server_is_emptied_before_it_stops() {
    let mut proxy = Proxy::of_four();
    for i in 0..8 {
        proxy.settles(plain(&format!("lift-{i}")));
    }
    let place = proxy.sent_to(1)[0].clone();
    let held: Vec<u64> = (1..=8).filter(|c| proxy.sent_to(*c) == [place.clone()]).collect();
    let draining = Endpoint { state: EndpointState::Draining, ..server(&place) };
    proxy.balancer.on_endpoints(&[draining], false, proxy.now);
    proxy.balancer.start_periodic_checks(true, proxy.now, &mut proxy.notes);
    assert!(proxy.notes.migrated.len() <= 1, "one at a time");
    proxy.lives(8000);
    let mut migrated = proxy.notes.migrated.clone();
    migrated.sort_unstable();
    assert_eq!(migrated, held);
}

#[test]
fn a_client_whose_server_has_gone_without_a_word_is_sent_away_once() {
    let mut proxy = Proxy::of_four();
    proxy.settles(plain("lift-1"));
    proxy.on_message_latency(1, 4000);
    proxy.on_message_latency(1, 5000);
    assert_eq!(proxy.notes.migrated, [1]);
}

#[test]
fn a_freak_answer_does_not_set_a_servers_quickest_for_good() {
    let mut proxy = Proxy::of_four();
    let key = key_for("a1");
    proxy.balancer.on_health_check("a1", Duration::from_ms(0.05), proxy.now, &mut proxy.notes);
    for _ in 0..40 {
        proxy.balancer.on_health_check("a1", Duration::from_millis(2), proxy.now, &mut proxy.notes);
    }
    proxy.passes(60_000);
    assert_eq!(proxy.settles(plain(&key)).as_deref(), Some("a1"));
    proxy.balancer.on_health_check("a1", Duration::from_millis(2), proxy.now, &mut proxy.notes);
    assert!(proxy.notes.migrated.is_empty());
}
