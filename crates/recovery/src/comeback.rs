//! A process among its fellows, from its start on: what it takes from before, the list that it agrees on with them, and
//! when it serves.

use crate::around::{Around, Heard, Line, RecoverySettings};
use crate::asking::{Asking, Beat};
use crate::counting::{Counting, Told};
use crate::order::{Return, State};
use crate::snapshot::{Held, Saved};
use crate::trust::{digest, server, Fact, Health, Restored, BEATS, LIST, SERVERS};
use nanorand::{Rng, WyRand};
use shelfgrade::host::{Endpoint, ServerId, Turn};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Fleet, Roster, Seat, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub struct Comeback {
    fleet: Fleet,
    asking: Asking,
    counting: Counting,
    back: Return,
    facts: BTreeMap<String, Fact>,
    /// What was known of servers before this life, and of which count of discovery's: not told to anybody.
    before: (u64, BTreeMap<String, Fact>),
    candidates: Vec<Endpoint>,
    /// Where the start-up file has its servers.
    dials: BTreeMap<ServerId, SocketAddr>,
    held: Vec<(u64, String, f64)>,
    /// All lines of the list are those that an asker has.
    agreed: bool,
    watches: bool,
    answered: Option<Timestamp>,
    next_beat: Timestamp,
    corrected_ms: i64,
    saved: u64,
    chance: WyRand,
}

/// Beats come often while somebody may wait for them, and then as often as the membership probes.
const BEAT: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(1000)];
/// Discovery that has answered within this is there: a watch that is over after four seconds and some more.
const ANSWERS: Duration = Duration::from_millis(6000);

impl Comeback {
    /// `wall_ms`: this machine's Unix time. `before`: what an earlier life left on the disk.
    pub fn new(
        roster: Roster,
        settings: RecoverySettings,
        before: Option<Saved>,
        seed: u64,
        (now, wall_ms): (Timestamp, u64),
    ) -> Self {
        let saved = before.as_ref().map_or(0, |saved| saved.number);
        let restored = before.map(|saved| Restored::from(saved, now));
        let born = restored.as_ref().map_or(0, |restored| restored.born).max(wall_ms * 1000);
        let asking = Asking::new(roster.me(), roster.seats(), roster.tag(), now);
        let spans = (settings.wait, settings.slow_start, settings.most_pause);
        let mut comeback = Comeback {
            fleet: Fleet::new(roster, born, seed, now),
            asking,
            counting: Counting::default(),
            back: Return::new(settings.classes, settings.shares, spans, now),
            facts: BTreeMap::new(),
            before: Default::default(),
            candidates: Vec::new(),
            dials: BTreeMap::new(),
            held: Vec::new(),
            agreed: false,
            watches: false,
            answered: None,
            next_beat: now,
            corrected_ms: 0,
            saved,
            chance: WyRand::new_seed(seed ^ 0xc0),
        };
        if let Some(restored) = restored {
            let (servers, others): (Vec<_>, Vec<_>) =
                restored.entries.into_iter().partition(|entry| entry.key.starts_with(SERVERS));
            for entry in &others {
                comeback.take(entry, now);
            }
            // Guards against old lines spreading as if somebody had heard them since the power was back.
            comeback.before.0 = comeback.counting.epoch;
            comeback.before.1.extend(servers.iter().filter_map(server));
            comeback.fleet.remember(others);
            comeback.candidates = restored.candidates;
            comeback.held = restored.held;
        }
        comeback
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// For what others put into what all share.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    pub fn state(&self) -> State {
        self.back.state()
    }

    pub fn is_asker(&self) -> bool {
        self.watches
    }

    /// Servers that were known before, where nothing newer is: the start-up file's, as candidates beside the snapshot's.
    pub fn knows(&mut self, lines: impl Iterator<Item = Line>, now: Timestamp) {
        let held: BTreeSet<_> = self.candidates.iter().map(|c| c.server.clone()).collect();
        for Line { listed, dial } in lines {
            self.dials.extend(dial.map(|dial| (listed.server.clone(), dial)));
            if !held.contains(&listed.server) {
                self.candidates.push(Endpoint { started: Some(now), ..listed });
            }
        }
    }

    /// The part of what the fleet may do that this process may, from 0 to 1.
    pub fn part(&self, now: Timestamp) -> f64 {
        self.fleet.part(now)
    }

    /// The turn of a session that has come, or none where all is as ever.
    pub fn turn(&mut self, of: (Option<usize>, Option<usize>), key: u64, now: Timestamp) -> Option<Turn> {
        let luck = f64::from(self.chance.generate::<f32>());
        self.back.turn(of, key, luck, now)
    }

    /// The session that came last was let in.
    pub fn let_in(&mut self) {
        self.back.let_in();
    }

    pub fn heard(&mut self, datagram: &[u8], (now, wall_ms): (Timestamp, u64), around: &mut dyn Around) {
        let mut heard = Heard { around, entries: Vec::new() };
        self.fleet.heard(datagram, now, wall_ms, &mut heard);
        let entries = heard.entries;
        self.after(entries, now, around);
    }

    pub fn next(&self) -> Timestamp {
        self.fleet.next().min(self.next_beat)
    }

    pub fn on_timer(&mut self, (now, wall_ms): (Timestamp, u64), around: &mut dyn Around) {
        let mut heard = Heard { around, entries: Vec::new() };
        self.fleet.on_timer(now, wall_ms, &mut heard);
        let entries = heard.entries;
        self.after(entries, now, around);
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + BEAT[usize::from(self.back.state() == State::Serving)];
        self.look_at_the_askers(now, around);
        if self.back.waited(now) {
            self.go_by_what_was(now, around);
        }
        if self.back.on_timer(now) {
            around.enters(State::Serving, "all servers are warm");
        }
        let corrected = self.fleet.clock_correction_ms();
        // Less is the network's delay.
        const CHANGED_MS: u64 = 1000;
        if self.agreed && corrected.abs_diff(self.corrected_ms) > CHANGED_MS {
            self.corrected_ms = corrected;
            around.follow(self.lines(now), true);
        }
    }

    fn look_at_the_askers(&mut self, now: Timestamp, around: &mut dyn Around) {
        let watches = self.asking.is_asker(self.fleet.alive(), now);
        if watches != self.watches {
            self.watches = watches;
            self.answered = None;
            around.watch(watches);
        }
        if watches {
            let beat = Beat {
                epoch: self.counting.epoch,
                seq: self.counting.seq,
                digest: self.digest(),
                answered: self.answered.is_some_and(|at| now.since(at) < ANSWERS),
            };
            let key = format!("{BEATS}{}", self.fleet.me().seat.0);
            let put = self.fleet.put(&key, &beat, around);
            debug_assert!(put.is_ok(), "{put:?}");
            self.asking.heard(self.fleet.me().seat, put.map_or(0, |version| version.count), beat, true, now);
        }
    }

    /// The wait for the list is over: the servers known from before have to do, all as cold.
    fn go_by_what_was(&mut self, now: Timestamp, around: &mut dyn Around) {
        // Guards against servers that can be chosen and not be dialled: those that the start-up file alone knows.
        let before = |line: &Endpoint| self.before.1.get(&*line.server).and_then(|fact| fact.dial);
        let dial = |line: &Endpoint| before(line).or(self.dials.get(&line.server).copied());
        let lines: Vec<_> =
            self.candidates.iter().map(|c| Line { dial: dial(c), listed: c.clone() }).collect();
        let why =
            format!("no list in time; {} servers are known from before, and taken for cold", lines.len());
        self.back.list_is_here(lines.iter().map(|line| line.listed.started), now);
        around.follow(lines, true);
        around.enters(self.back.state(), &why);
    }

    /// Discovery has told a list, which only an asker asks for; whether it was taken.
    pub fn told(
        &mut self,
        facts: Vec<(String, Fact)>,
        whole: bool,
        seq: u64,
        now: Timestamp,
        around: &mut dyn Around,
    ) -> bool {
        // Guards against changes to a list that was not taken, or is of another count: all of it is to be asked for.
        if !whole && (!self.agreed || seq < self.counting.seq) {
            around.refused_list(&format!("version {seq} changes a list that is not held"));
            return false;
        }
        let mut next = if whole { BTreeMap::new() } else { self.facts.clone() };
        next.extend(facts);
        let what = digest(next.iter().map(|(host, fact)| (host.as_str(), fact)));
        let told = if whole { self.counting.judge(seq, what) } else { Told::Goes };
        if told == Told::Older {
            let held = self.counting.seq;
            around.refused_list(&format!("version {seq} as it was told before, where {held} is held"));
            return false;
        }
        // Guards against an asker with no list being taken for one with an empty list.
        self.answered = Some(now);
        let mut counting = self.counting.clone();
        counting.took(told, seq, what);
        for (host, known) in self.facts.iter().filter(|_| whole) {
            // Absent from a whole list: gone.
            let gone = || Fact { health: Health::Terminated, ..known.clone() };
            next.entry(host.clone()).or_insert_with(gone);
        }
        if told == Told::Anew {
            next = next
                .into_iter()
                .map(|(host, fact)| (host.clone(), fact.after(self.facts.get(&host))))
                .collect();
            // What is known of servers may make another list of it.
            counting.past.clear();
            counting.past.push((seq, what));
        }
        let version = Version { count: counting.stamp(seq), by: self.fleet.me().born };
        let mut heard = Heard { around, entries: Vec::new() };
        for (host, fact) in &next {
            let key = format!("{SERVERS}{host}");
            if self.fleet.get::<Fact>(&key).as_ref() == Some(fact) {
                continue;
            }
            let put = self.fleet.put_at(&key, fact, version, &mut heard);
            if let Err(error) = put {
                heard.around.refused_list(&error.to_string());
            }
        }
        if counting != self.counting {
            let _ = self.fleet.put_at(LIST, &counting, version, &mut heard);
        }
        let entries = std::mem::take(&mut heard.entries);
        self.counting = counting;
        self.after(entries, now, around);
        self.agrees("discovery has told the list", now, around);
        true
    }

    /// Takes in what is new in what all share.
    fn after(&mut self, entries: Vec<Entry>, now: Timestamp, around: &mut dyn Around) {
        let mut changed = Vec::new();
        for entry in &entries {
            changed.extend(self.take(entry, now));
            self.recall(entry, around);
        }
        if self.agreed && !changed.is_empty() {
            let lines = changed.iter().filter_map(|host| self.line(host, now)).collect();
            around.follow(lines, false);
        }
        let fresh = self.asking.fresh(now).filter(|_| !self.agreed).map(|beat| beat.digest);
        if fresh.is_some_and(|digest| digest == self.digest()) {
            self.agrees("fellows have told the list", now, around);
        }
    }

    /// Guards against a draining server that looks new because discovery counts anew and its askers have forgotten: who
    /// knew says so, under the same version, until discovery says something newer.
    fn recall(&mut self, entry: &Entry, around: &mut dyn Around) {
        let Some((host, told)) = server(entry) else { return };
        let Some(known) = self.before.1.remove(&host) else { return };
        let fact = told.clone().after(Some(&known));
        if Counting::epoch_of(entry.version.count) > self.before.0 && fact != told {
            let version = Version { count: entry.version.count, by: u64::MAX };
            let put = self.fleet.put_at(&entry.key, &fact, version, around);
            debug_assert!(put.is_ok(), "{put:?}");
            self.facts.insert(host, fact);
        }
    }

    /// One entry; the server whose line it changed.
    fn take(&mut self, entry: &Entry, now: Timestamp) -> Option<String> {
        let value = entry.value.as_deref()?;
        if let Some((host, fact)) = server(entry) {
            self.facts.insert(host.clone(), fact);
            return Some(host);
        }
        if let Some(seat) = entry.key.strip_prefix(BEATS).and_then(|seat| seat.parse().ok()).map(Seat) {
            let beat: Beat = postcard::from_bytes(value).ok()?;
            let of_this_life = self.fleet.life(seat).is_some_and(|life| life.born == entry.version.by);
            if seat != self.fleet.me().seat {
                self.asking.heard(seat, entry.version.count, beat, of_this_life, now);
            }
        } else if entry.key == LIST {
            let counting: Counting = postcard::from_bytes(value).ok()?;
            if counting.stamp(counting.seq) >= self.counting.stamp(self.counting.seq) {
                self.counting = counting;
            }
        }
        None
    }

    fn agrees(&mut self, why: &str, now: Timestamp, around: &mut dyn Around) {
        if std::mem::replace(&mut self.agreed, true) {
            return;
        }
        self.corrected_ms = self.fleet.clock_correction_ms();
        let lines = self.lines(now);
        let (all, cold) = (lines.len(), lines.iter().filter(|line| line.listed.started.is_some()).count());
        // Also where the wait had passed: servers that were not known then may be cold.
        self.back.list_is_here(lines.iter().map(|line| line.listed.started), now);
        around.follow(lines, true);
        for (key, server, started_ms) in std::mem::take(&mut self.held) {
            if self.facts.get(&server).is_some_and(|fact| fact.born_ms == started_ms) {
                around.held_before(key, &server, started_ms);
            }
        }
        around.enters(self.back.state(), &format!("{why}: {all} servers, {cold} of them with a start"));
    }

    fn digest(&self) -> u32 {
        digest(self.facts.iter().map(|(host, fact)| (host.as_str(), fact)))
    }

    fn lines(&self, now: Timestamp) -> Vec<Line> {
        let there = self.facts.iter().filter(|(_, fact)| fact.health != Health::Terminated);
        there.filter_map(|(host, _)| self.line(host, now)).collect()
    }

    /// A server's line, its start by this machine's clock. Guards against a clock that is an hour off: one ahead takes
    /// cold servers for warm, one behind takes them for cold for an hour.
    fn line(&self, host: &str, now: Timestamp) -> Option<Line> {
        let fact = self.facts.get(host)?;
        let mine_ms = (fact.born_ms - self.fleet.clock_correction_ms() as f64).max(1.0);
        let started = (fact.born_ms > 0.0).then(|| Timestamp::from_ms(mine_ms).min(now));
        Some(Line { listed: fact.line(host, started), dial: fact.dial })
    }

    /// What outlives this process; `held` are the mid-flow keys with their servers.
    pub fn save(&mut self, held: impl Iterator<Item = (u64, String)>, wall_ms: u64) -> Saved {
        self.saved += 1;
        let born = |server: &str| self.facts.get(server).map(|fact| fact.born_ms);
        let held = held.filter_map(|(key, server)| Some(Held { key, started_ms: born(&server)?, server }));
        Saved {
            fleet: self.fleet.roster().fleet().to_owned(),
            name: self.fleet.roster().name(self.fleet.me().seat).unwrap_or_default().to_owned(),
            number: self.saved,
            at_ms: wall_ms,
            born: self.fleet.me().born,
            entries: self.fleet.entries(),
            held: held.collect(),
        }
    }

    pub fn leave(&mut self, (now, wall_ms): (Timestamp, u64), around: &mut dyn Around) {
        self.fleet.leave(now, wall_ms, &mut Heard { around, entries: Vec::new() });
    }
}
