//! What all share of servers, and what of it is believed by a process that has just begun.

use crate::snapshot::Saved;
use serde::{Deserialize, Serialize};
use shelfgrade::host::{Listed, Standing};
use shelfgrade::time::Point;
use shelfgrade_fleet::Entry;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The keys of what all share here.
pub const SERVERS: &str = "server/";
pub const BEATS: &str = "beat/";
pub const LIST: &str = "list";

/// A line of the server list as all share it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    pub dial: Option<SocketAddr>,
    pub site: String,
    pub kind: String,
    pub block: u64,
    pub health: Health,
    /// Unix time in milliseconds; 0 for long ago.
    pub born_ms: f64,
}

/// In the order in which a server goes through them in one life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    InService,
    Terminating,
    Terminated,
}

impl Health {
    pub fn standing(self) -> Standing {
        match self {
            Health::InService => Standing::Active,
            Health::Terminating => Standing::Draining,
            Health::Terminated => Standing::Gone,
        }
    }
}

impl Fact {
    /// Where a new count of discovery's begins: what was known of this life of the server is not taken back by it.
    /// Guards against a draining server that looks new because discovery has forgotten.
    pub fn after(mut self, known: Option<&Fact>) -> Self {
        if let Some(known) = known.filter(|known| known.born_ms == self.born_ms) {
            self.health = self.health.max(known.health);
        }
        self
    }

    pub fn line(&self, host: &str, started: Option<Point>) -> Listed {
        Listed {
            server: host.into(),
            zone: self.site.clone(),
            kind: self.kind.clone(),
            cell: self.block,
            started,
            standing: self.health.standing(),
        }
    }
}

/// A server's line in what all share.
pub(crate) fn server(entry: &Entry) -> Option<(String, Fact)> {
    let host = entry.key.strip_prefix(SERVERS)?;
    Some((host.to_owned(), postcard::from_bytes(entry.value.as_deref()?).ok()?))
}

/// One number for a whole list: the same where all lines are, in whatever order. What is gone counts as not there.
pub fn digest<'a>(facts: impl Iterator<Item = (&'a str, &'a Fact)>) -> u32 {
    let there = facts.filter(|(_, fact)| fact.health != Health::Terminated);
    let line = |(host, fact): (&str, &Fact)| xxh3_64(&postcard::to_stdvec(&(host, fact)).unwrap_or_default());
    there.fold(0, |all, fact| all ^ line(fact) as u32)
}

/// What a process that begins takes from before, each item with what it is worth.
pub struct Restored {
    /// All that the fleet shared, with its versions: the newest wins when the fellows are heard.
    pub entries: Vec<Entry>,
    /// Servers as candidates. Guards against taking one for warm: what took the power from this process took it from
    /// them, so all count as started now, until discovery or a fellow that has heard it since says when they were.
    pub candidates: Vec<Listed>,
    /// Where clients' connections stood, by their keys' hashes, for servers whose start turns out unchanged.
    pub held: Vec<(u64, String, f64)>,
    /// The least that this life may be born at, so that it is later than the last one whatever the clock says.
    pub born: u64,
}

impl Restored {
    pub fn from(saved: Saved, now: Point) -> Self {
        let fact = |entry: &Entry| -> Option<Listed> {
            let (host, fact) = server(entry)?;
            Some(fact.line(&host, Some(now))).filter(|_| fact.health != Health::Terminated)
        };
        Restored {
            candidates: saved.entries.iter().filter_map(fact).collect(),
            held: saved.held.into_iter().map(|held| (held.key, held.server, held.started_ms)).collect(),
            entries: saved.entries,
            born: saved.born + 1,
        }
    }
}

#[cfg(test)]
mod tests {
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
        let now = Point::from_ms(77_000.0);
        let restored = Restored::from(saved, now);
        let lines: Vec<_> = restored.candidates.iter().map(|l| (&*l.server, l.started, l.standing)).collect();
        assert_eq!(lines, [("s1", Some(now), Standing::Active), ("s2", Some(now), Standing::Draining)]);
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
}
