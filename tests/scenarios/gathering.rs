//! Stories of groups that meet.

use crate::fake::*;
use shelfgrade::host::*;
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn a_group_that_came_back_as_a_crowd_to_a_proxy_just_started_is_spread_by_its_share() {
    let mut proxy = Proxy::of_twelve();
    for i in 0..48 {
        // The group is half of all that comes.
        let (key, group) = (format!("back-{i}"), if i % 2 == 0 { "lifts" } else { &format!("other-{i}") });
        proxy.settles(Arrival { group: Some(group), reconnected: true, ..plain(&key) });
    }
    let servers: std::collections::BTreeSet<_> =
        proxy.notes.attempts.iter().filter(|c| c.0 % 2 == 1).map(|c| &c.1).collect();
    assert!(servers.len() >= 4, "{servers:?}");
}

#[test]
fn servers_gone_but_still_listed_do_not_take_the_places_of_those_that_are_there() {
    let mut proxy = Proxy::with(&["a1", "a2", "b1", "b2", "b3"].map(server));
    let gone = ["a1", "a2", "b1"];
    for i in 0..200 {
        let key = format!("back-{i}");
        let group = format!("group-{}", i % 10);
        let session = proxy.arrives(Arrival { group: Some(&group), reconnected: true, ..plain(&key) });
        while proxy.sent_to(session).last().is_some_and(|place| gone.contains(&place.as_str())) {
            let tried = proxy.sent_to(session).len();
            proxy.attempt_ends(session, AttemptOutcome::Unreachable);
            if proxy.sent_to(session).len() == tried {
                break;
            }
        }
        proxy.balancer.on_established(SessionId(session), proxy.now);
        proxy.passes(20);
    }
    assert_eq!(proxy.notes.rejected.len(), 0, "two are sound");
}

#[test]
fn a_change_of_the_list_moves_only_the_homes_of_the_server_that_went() {
    let (mut before, mut after) = (Proxy::of_twelve(), Proxy::of_twelve());
    after.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Removed, ..server("a3") }],
        false,
        after.now,
    );
    let groups: Vec<String> = (0..60).map(|i| format!("bank-{i}")).collect();
    let homes: Vec<_> = groups.iter().map(|g| (home(&mut before, g), home(&mut after, g))).collect();
    let moved = homes.iter().filter(|(was, is)| was != is).collect::<Vec<_>>();
    assert!(moved.iter().all(|(was, _)| was.as_deref() == Some("a3")) && !moved.is_empty(), "{moved:?}");
}

#[test]
fn a_group_gathers_on_as_many_servers_as_its_share_needs() {
    let mut proxy = Proxy::of_twelve();
    for i in 0..60 {
        let group = if i % 2 == 0 { "large".to_owned() } else { format!("small-{i}") };
        proxy.settles(Arrival { group: Some(&group), ..plain(&format!("new-{i}")) });
    }
    let mut places = |group: &str| {
        let back = |i| {
            let key = format!("back-{i}");
            proxy.settles(Arrival { group: Some(group), reconnected: true, ..plain(&key) })
        };
        (0..30).map(back).collect::<BTreeSet<_>>().len()
    };
    let (large, small) = (places("large"), places("small-1"));
    assert!((5..=9).contains(&large) && small <= 2, "{large} {small}");
}

/// Three hundred proxies placed 1,218 clients by hash, 15 to a server, and saw no strain before servers broke off.
#[test]
fn where_a_proxy_cannot_see_most_servers_a_group_meets_from_its_first_clients_on() {
    let list: Vec<_> = (0..80).map(|i| server(&format!("a{i:02}"))).collect();
    let places = |proxies: usize, part: Option<f64>| -> BTreeSet<_> {
        let first = |i| {
            let mut proxy = Proxy::among(proxies, part, i, &list);
            proxy.settles(Arrival { group: Some("g"), ..plain(&format!("key{i}")) })
        };
        let placed: Vec<_> = (0..30).filter_map(first).collect();
        assert_eq!(placed.len(), 30);
        placed.into_iter().collect()
    };
    // What eighty servers can hold is 30 each; a few draws still go by the key's hash.
    assert!(places(300, Some(8.0)).len() <= 10);
    assert!(places(3, Some(800.0)).len() > 20);
    assert!(places(3, None).len() > 20);
    // Numbers alone tell it where no customer has a bound.
    assert!(places(300, None).len() <= 10);
}

/// Groups met on 231 servers of 81: some held 55 connections and broke off, others one, and no proxy saw either.
#[test]
fn where_a_proxy_cannot_see_most_servers_the_first_to_give_a_sign_of_life_gets_the_session() {
    let mut placed = 0;
    for seed in 0..30 {
        let mut proxy = one_of_many(seed);
        let session = proxy.arrives(Arrival { group: Some("g"), ..plain("k") });
        // A few draws go by the key's hash and ask nobody.
        let [_, second, third] = &proxy.notes.probed.clone()[..] else { continue };
        assert!(proxy.sent_to(session).is_empty());
        proxy.passes(9);
        proxy.answers(second, 9);
        proxy.answers(third, 10);
        proxy.lives(1000);
        assert_eq!(proxy.sent_to(session), [second.as_str()]);
        placed += 1;
    }
    assert!(placed > 20, "{placed}");
}

#[test]
fn a_session_whose_servers_give_no_sign_in_time_is_sent_all_the_same_and_one_answer_is_as_good_for_two() {
    let mut proxy = one_of_many(1);
    let first = proxy.arrives(Arrival { group: Some("g"), ..plain("k") });
    let second = proxy.arrives(Arrival { group: Some("g"), ..plain("k") });
    assert_eq!(proxy.notes.probed.len(), 3, "what is asked already is not asked twice");
    proxy.lives(49);
    assert!(proxy.notes.attempts.is_empty());
    proxy.lives(1);
    assert_eq!((proxy.sent_to(first).len(), proxy.sent_to(second).len()), (1, 1));
    [first, second].iter().for_each(|session| proxy.balancer.on_established(SessionId(*session), proxy.now));
    // A sign that comes after its time, or in place of one given up, sends nothing.
    let place = proxy.notes.probed[2].clone();
    proxy.answers(&place, 51);
    assert_eq!(proxy.notes.attempts.len(), 2);
    let third = proxy.arrives(Arrival {
        group: Some("g"),
        deadline: proxy.now + Duration::from_millis(20),
        ..plain("k")
    });
    let fourth = proxy.arrives(Arrival { group: Some("g"), ..plain("k") });
    proxy.answers(&place, 4);
    assert_eq!((proxy.sent_to(third), proxy.sent_to(fourth)), (vec![place.clone()], vec![place]));
}

#[test]
fn a_sign_of_life_sends_nothing_for_a_client_that_has_left_nor_to_a_server_that_drains_since() {
    let mut proxy = one_of_many(1);
    let left = proxy.arrives(Arrival { group: Some("g"), ..plain("k") });
    let asked = proxy.notes.probed.clone();
    proxy.balancer.on_client_closed(SessionId(left));
    asked.iter().for_each(|place| proxy.answers(place, 3));
    proxy.lives(1000);
    assert!(proxy.notes.attempts.is_empty() && proxy.notes.rejected.is_empty());
    let stays = proxy.arrives(Arrival { group: Some("g"), ..plain("k") });
    proxy.balancer.on_endpoints(
        &[Endpoint { state: EndpointState::Draining, ..server(&asked[0]) }],
        false,
        proxy.now,
    );
    proxy.answers(&asked[0], 3);
    assert!(proxy.sent_to(stays).len() == 1 && proxy.last_place() != asked[0]);
}

#[test]
fn a_strained_fleet_gathers_new_sessions_even_at_servers_not_heard_of() {
    let at_b4 = |group: &String| home(&mut Proxy::of_twelve(), group).as_deref() == Some("b4");
    let group = (0..).map(|i| format!("bank-{i}")).find(at_b4).expect("a group");
    let places = |strained: &[&str]| {
        let new = |i| {
            let mut proxy = Proxy::of_twelve();
            proxy.strains(strained, 500);
            proxy.settles(Arrival { group: Some(&group), ..plain(&format!("new-{i}")) })
        };
        (0..12).map(new).filter(|place| place.as_deref() == Some("b4")).count()
    };
    assert!(places(&[]) < 6);
    assert_eq!(places(&["a1", "a2", "a3"]), 12);
}

#[test]
fn a_strained_fleet_does_not_scatter_a_group_over_its_last_good_servers() {
    let mut proxy = Proxy::of_twelve();
    let first = home(&mut proxy, "bank").expect("a home");
    proxy.strains(&[&first], 500);
    let second = home(&mut proxy, "bank").expect("the next in rank");
    proxy.strains(&[&second], 500);
    let third = home(&mut proxy, "bank").expect("the one after");
    proxy.strains(&[&third], 500);
    assert_eq!(home(&mut proxy, "bank"), None);
    assert_eq!(proxy.notes.rejected.len(), 1);
}

/// Three servers for each group where none can be asked: on days of strain half of all load was the groups' own.
#[test]
fn where_probes_are_refused_a_group_starts_on_three_servers_and_comes_back_to_one() {
    let list: Vec<_> = (0..50).map(|i| server(&format!("a{i:02}"))).collect();
    let places = |reconnected: bool, cold: &str| -> BTreeSet<_> {
        let place_of = |seed: u64| {
            let mut proxy = Proxy::among(150, None, seed, &list);
            proxy.notes.mute = true;
            proxy.balancer.on_endpoints(
                &[Endpoint { started: Some(proxy.now), ..server(cold) }],
                false,
                proxy.now,
            );
            // By then it may have nearly all that it can bear.
            proxy.passes(7900);
            proxy.settles(Arrival { group: Some("g"), reconnected, ..plain(&format!("key{seed}")) })
        };
        (0..60).filter_map(place_of).collect()
    };
    let back = places(true, "a00");
    let home = back.first().expect("a place").clone();
    let (first, to_a_cold_one) = (places(false, "a00"), places(true, &home));
    // A few in a hundred go by their hash when they first come.
    assert!((3..=6).contains(&first.len()) && back.len() == 1, "{first:?} {back:?}");
    // Three groups at home on a server that was not yet warm sent it 6.5 times what it could do.
    assert!(to_a_cold_one.len() >= 3, "{to_a_cold_one:?}");
}
