//! Stories of `trust.rs` from within.

use super::*;
use crate::snapshot::Held;
use shelfgrade_fleet::{Seat, Version};

fn fact(health: Health, born_ms: f64) -> Fact {
    let dial = "10.1.0.18:8000".parse().ok();
    Fact { dial, site: "a".into(), kind: "m2".into(), block: 3, health, born_ms }
}

/// What took the power from the proxies took it from the servers: one that was warm fell over as all came back to it.
#[test]
fn from_before_servers_are_cold_candidates_that_drain_if_they_drained() {
    let entry = |host: &str, fact: Fact| Entry {
        key: format!("{SERVERS}{host}"),
        version: Version { count: 3, by: 1 },
        owner: Seat(0),
        value: postcard::to_stdvec(&fact).ok(),
    };
    let entries = vec![
        entry("s1", fact(Health::InService, 0.0)),
        entry("s2", fact(Health::Terminating, 5.0)),
        entry("s3", fact(Health::Terminated, 5.0)),
        Entry { value: Some(vec![9]), ..entry("s4", fact(Health::InService, 0.0)) },
    ];
    let held = vec![Held { key: 8, server: "s1".into(), started_ms: 0.0 }];
    let (fleet, name) = ("dar".to_owned(), "n3".to_owned());
    let saved = Saved { fleet, name, number: 1, at_ms: 9, born: 40, entries: entries.clone(), held };
    let now = Timestamp::from_ms(77_000.0);
    let restored = Restored::from(saved, now);
    let lines: Vec<_> = restored.candidates.iter().map(|l| (&*l.server, l.started, l.state)).collect();
    assert_eq!(lines, [("s1", Some(now), EndpointState::Active), ("s2", Some(now), EndpointState::Draining)]);
    assert_eq!((restored.entries, restored.born), (entries, 41));
    assert_eq!(restored.held, [(8, "s1".to_owned(), 0.0)]);
}

#[test]
fn a_new_count_takes_back_nothing_of_a_servers_life_but_a_new_start_does() {
    let after = |new: Fact, known: Fact| new.after(Some(&known)).health;
    let (serves, drains) = (fact(Health::InService, 5.0), fact(Health::Terminating, 5.0));
    assert_eq!(after(serves.clone(), drains.clone()), Health::Terminating, "discovery has forgotten");
    assert_eq!(after(fact(Health::InService, 9.0), drains), Health::InService, "it was started anew");
    assert_eq!(after(fact(Health::Terminated, 5.0), serves.clone()), Health::Terminated);
    let digests = |facts: &[(&str, &Fact)]| digest(facts.iter().copied());
    let gone = fact(Health::Terminated, 5.0);
    assert_eq!(digests(&[("a", &serves), ("b", &gone)]), digests(&[("a", &serves)]));
    assert_ne!(digests(&[("a", &serves)]), digests(&[("b", &serves)]));
}
