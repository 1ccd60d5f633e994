//! What the processes of one fleet share: who is there, a map of entries that all come to know, and which part of what
//! the fleet may do each of them may. No I/O: time comes as an argument, datagrams go out and come in through
//! [`Environment`] and [`Fleet::heard`], chance is drawn from the given seed.
//!
//! What a process sends does not grow with the fleet: one probe and two gossips, one comparison of maps and one asking
//! for its unit of the pool a second, each with a bounded answer. `docs/fleet.md` has the figures.

mod anti_entropy;
mod clock_skew;
mod membership_filter;
mod packet;
mod quota_leases;
mod replicated_map;
mod roster;
mod swim;

pub use packet::{PacketError, MAX_DATAGRAM_BYTES};
pub use quota_leases::LEASE_DURATION;
pub use replicated_map::{Entry, MergeOutcome, ReplicatedMap, Version, MAX_KEY_BYTES, MAX_VALUE_BYTES};
pub use roster::{rank, Incarnation, MemberId, Roster, RosterError};

use clock_skew::Skew;
use packet::{Message, Packet};
use quota_leases::{QuotaLeases, RENEW_INTERVAL};
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use swim::{Known, Swim, SwimEvents};

/// How many entries the map holds: some thousands of servers, with room for what customers and sites have.
pub const MAX_ENTRIES: usize = 8192;

/// What the fleet's core asks of whoever carries it out, and tells.
pub trait Environment {
    fn send(&mut self, to: MemberId, datagram: Vec<u8>);
    /// An entry is new, or has changed.
    fn entry_changed(&mut self, entry: &Entry);
    fn member_joined(&mut self, member: MemberId);
    fn member_left(&mut self, member: MemberId);
    /// A datagram, or a part of one, was refused.
    fn datagram_rejected(&mut self, why: &'static str);
}

/// Why a value was not put into the map.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum PutError {
    #[error(
        "{key}: {length} bytes where {MAX_VALUE_BYTES} are the most: shorten it, or split it over several keys"
    )]
    TooLong { key: String, length: usize },
    #[error("{0}: the map is full: delete what is no longer used")]
    Full(String),
}

pub struct Fleet {
    roster: Roster,
    me: Incarnation,
    known: Rc<RefCell<Known>>,
    swim: Swim,
    quota_leases: QuotaLeases,
    skew: Skew,
    next_compare: Timestamp,
    next_ask: Timestamp,
    /// How many datagrams of answers may still go out, and since when it is that many.
    answers: (f64, Timestamp),
    began: Timestamp,
    chance: nanorand::WyRand,
}

/// What one call sends, before it goes out.
struct Outbox<'a> {
    roster: &'a Roster,
    me: Incarnation,
    wall_ms: u64,
    environment: &'a mut dyn Environment,
    renewed: Option<Incarnation>,
}

impl Outbox<'_> {
    fn send(&mut self, to: MemberId, message: Message) {
        let packet = Packet { from: self.me, wall_ms: self.wall_ms, message };
        self.environment.send(to, packet::write(self.roster, &packet));
    }
}

impl SwimEvents for Outbox<'_> {
    fn send_swim(&mut self, to: MemberId, bytes: Vec<u8>) {
        self.send(to, Message::Swim(bytes));
    }
    fn member_joined(&mut self, member: MemberId) {
        self.environment.member_joined(member);
    }
    fn member_left(&mut self, member: MemberId) {
        self.environment.member_left(member);
    }
    fn incarnation_renewed(&mut self, incarnation: Incarnation) {
        self.me = incarnation;
        self.renewed = Some(incarnation);
    }
}

impl Fleet {
    /// `born`: microseconds of Unix time, or more where an earlier life of this process is known to have had more.
    pub fn new(roster: Roster, started_at: u64, seed: u64, now: Timestamp) -> Self {
        let me = Incarnation { member: roster.me(), started_at };
        let map = ReplicatedMap::new(MAX_ENTRIES);
        let known = Rc::new(RefCell::new(Known { map, fresh: Vec::new(), over_bound: 0 }));
        Fleet {
            swim: Swim::new(me, &roster, known.clone(), seed, now),
            quota_leases: QuotaLeases::new(me, roster.size(), now),
            me,
            known,
            skew: Skew::default(),
            next_compare: now,
            next_ask: now,
            answers: (ANSWERS, now),
            began: now,
            chance: nanorand::WyRand::new_seed(seed ^ 0xfee7),
            roster,
        }
    }

    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    pub fn me(&self) -> Incarnation {
        self.me
    }

    /// Who is there, as far as this process sees, itself included, in the order of the roster.
    pub fn alive(&self) -> &[MemberId] {
        self.swim.alive()
    }

    /// The life of a fellow that is there, as far as this process sees.
    pub fn incarnation(&self, member: MemberId) -> Option<Incarnation> {
        self.swim.incarnation(member)
    }

    /// The part of what the fleet may do that this process may now, from 0 to 1.
    pub fn quota_fraction(&self, now: Timestamp) -> f64 {
        self.quota_leases.quota_fraction(now)
    }

    /// Milliseconds to add to this machine's clock to have the time of most of the fleet.
    pub fn clock_correction_ms(&self) -> i64 {
        self.skew.correction_ms()
    }

    /// The value under a key, where there is one that can be read.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.known.borrow().map.get(key).and_then(read)
    }

    pub fn version(&self, key: &str) -> Option<Version> {
        self.known.borrow().map.get(key).map(|entry| entry.version)
    }

    /// All values whose keys begin so, in the order of the keys, with what they are in.
    pub fn under<T: DeserializeOwned>(&self, prefix: &str) -> Vec<(Entry, T)> {
        let known = self.known.borrow();
        known.map.under(prefix).filter_map(|entry| Some((entry.clone(), read(entry)?))).collect()
    }

    /// Everything that is known, deleted entries included, in the order of the keys.
    pub fn entries(&self) -> Vec<Entry> {
        self.known.borrow().map.iter().cloned().collect()
    }

    /// One number for all that is known: equal where two know the same.
    pub fn state_digest(&self) -> u64 {
        self.known.borrow().map.digest().iter().fold(0, |all, part| all.rotate_left(5) ^ part)
    }

    /// Writes a value as the newest under its key.
    pub fn put<T: Serialize>(
        &mut self,
        key: &str,
        value: &T,
        environment: &mut dyn Environment,
    ) -> Result<Version, PutError> {
        let count = self.version(key).map_or(1, |held| held.count + 1);
        let version = Version { count, by: self.me.started_at };
        self.put_version(key, value, version, environment).map(|()| version)
    }

    /// Writes a value under a version of the caller's; one that is not newer than what is held changes nothing.
    pub fn put_version<T: Serialize>(
        &mut self,
        key: &str,
        value: &T,
        version: Version,
        environment: &mut dyn Environment,
    ) -> Result<(), PutError> {
        let value = postcard::to_stdvec(value).unwrap_or_default();
        if value.len() > MAX_VALUE_BYTES || key.len() > MAX_KEY_BYTES {
            return Err(PutError::TooLong { key: key.to_owned(), length: value.len() });
        }
        self.write(
            Entry { key: key.to_owned(), version, owner: self.me.member, value: Some(value) },
            environment,
        )
    }

    /// Deletes what is under a key, everywhere.
    pub fn delete(&mut self, key: &str, environment: &mut dyn Environment) -> Result<(), PutError> {
        let Some(held) = self.version(key) else { return Ok(()) };
        let version = Version { count: held.count + 1, by: self.me.started_at };
        self.write(Entry { key: key.to_owned(), version, owner: self.me.member, value: None }, environment)
    }

    fn write(&mut self, entry: Entry, environment: &mut dyn Environment) -> Result<(), PutError> {
        let merged = self.known.borrow_mut().map.merge(entry.clone());
        match merged {
            MergeOutcome::Applied => {
                self.swim.spread(&entry);
                environment.entry_changed(&entry);
                Ok(())
            }
            MergeOutcome::Stale => Ok(()),
            MergeOutcome::Rejected => Err(PutError::Full(entry.key)),
        }
    }

    /// Takes in what was known before this life, without a word to anybody: comparing will find who knows less.
    pub fn restore(&mut self, entries: Vec<Entry>) {
        let mut known = self.known.borrow_mut();
        for entry in entries {
            known.map.merge(entry);
        }
    }

    /// A datagram has come. `wall_ms` is this machine's Unix time, uncorrected.
    pub fn on_datagram(
        &mut self,
        datagram: &[u8],
        now: Timestamp,
        wall_ms: u64,
        environment: &mut dyn Environment,
    ) {
        let packet = match packet::read(&self.roster, datagram) {
            Ok(packet) if packet.message.members_within(self.roster.size()) => packet,
            Ok(_) => return environment.datagram_rejected("fleet datagrams naming unknown members"),
            Err(PacketError::Foreign) => {
                return environment.datagram_rejected("fleet datagrams from other fleets")
            }
            Err(PacketError::Damaged) => return environment.datagram_rejected("fleet datagrams damaged"),
            Err(_) => return environment.datagram_rejected("fleet datagrams malformed"),
        };
        let from = packet.from;
        if from.member == self.me.member {
            // Its own from before, come late, or another process under its name.
            if from.started_at != self.me.started_at {
                environment.datagram_rejected("fleet datagrams from a duplicate member");
            }
            return;
        }
        self.skew.observe(from.member, packet.wall_ms, wall_ms);
        let mut out = outbox(&self.roster, self.me, wall_ms, environment);
        match packet.message {
            Message::Swim(bytes) => {
                if !self.swim.on_datagram(&bytes, now, &mut out) {
                    out.environment.datagram_rejected("fleet datagrams malformed");
                }
            }
            Message::Digest { parts, answer } => {
                let differing = self.known.borrow().differing(&parts);
                let mut answers = self.known.borrow().answers(&differing, &mut self.chance);
                if !answer && !differing.is_empty() {
                    let parts = self.known.borrow().map.digest().to_vec();
                    answers.push(Message::Digest { parts, answer: true });
                }
                for message in answers {
                    if take(&mut self.answers, now) {
                        out.send(from.member, message);
                    }
                }
            }
            Message::Summary { part, states } => {
                let (entries, wanted) = self.known.borrow().compare(usize::from(part), &states);
                if !wanted.is_empty() && take(&mut self.answers, now) {
                    out.send(from.member, Message::Want(wanted));
                }
                if !entries.is_empty() && take(&mut self.answers, now) {
                    out.send(from.member, Message::Entries(entries));
                }
            }
            Message::Want(wanted) => {
                let entries = self.known.borrow().wanted(&wanted);
                if !entries.is_empty() && take(&mut self.answers, now) {
                    out.send(from.member, Message::Entries(entries));
                }
            }
            Message::Entries(entries) => {
                for entry in entries {
                    self.known.borrow_mut().merge(entry);
                }
            }
            Message::Ask { number, units, releases } => {
                let units = self.quota_leases.asked_by(from, number, (&units, &releases), now);
                out.send(from.member, Message::Grant { number, units });
            }
            Message::Grant { number, units } => self.quota_leases.granted(from.member, number, &units),
        }
        let renewed = out.renewed;
        self.after(renewed, environment);
    }

    /// The time has come that `next` names.
    pub fn on_timer(&mut self, now: Timestamp, wall_ms: u64, environment: &mut dyn Environment) {
        // Often while it is new and may know nothing, then as often as the membership probes.
        const NEW: Duration = Duration::from_millis(5000);
        const COMPARE: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1000)];
        let mut out = outbox(&self.roster, self.me, wall_ms, environment);
        self.swim.on_timer(now, &self.roster, &mut out);
        if now >= self.next_compare {
            self.next_compare = now + COMPARE[usize::from(now.since(self.began) >= NEW)];
            let alive = self.swim.alive();
            if alive.len() > 1 {
                let parts = self.known.borrow().map.digest().to_vec();
                let at = nanorand::Rng::generate_range(&mut self.chance, 0..alive.len() - 1);
                // Any but this process itself.
                let other = alive[at + usize::from(alive[at] >= self.me.member)];
                out.send(other, Message::Digest { parts, answer: false });
            }
        }
        if now >= self.next_ask {
            self.next_ask = now + RENEW_INTERVAL;
            for (witness, message) in self.quota_leases.ask(self.swim.alive(), now) {
                match message {
                    Message::Ask { number, units, releases } if witness == self.me.member => {
                        let units = self.quota_leases.asked_by(self.me, number, (&units, &releases), now);
                        self.quota_leases.granted(witness, number, &units);
                    }
                    message => out.send(witness, message),
                }
            }
        }
        let renewed = out.renewed;
        self.after(renewed, environment);
    }

    /// When `on_timer` is to be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        self.swim.next_wakeup().min(self.next_compare).min(self.next_ask)
    }

    /// This process ends, and its fellows need not find out by themselves.
    pub fn leave(&mut self, now: Timestamp, wall_ms: u64, environment: &mut dyn Environment) {
        let mut out = outbox(&self.roster, self.me, wall_ms, environment);
        self.swim.leave(now, &mut out);
    }

    fn after(&mut self, renewed: Option<Incarnation>, environment: &mut dyn Environment) {
        if let Some(incarnation) = renewed {
            self.me = incarnation;
            self.quota_leases.incarnation_renewed(incarnation);
        }
        let (fresh, over) = {
            let mut known = self.known.borrow_mut();
            (std::mem::take(&mut known.fresh), std::mem::take(&mut known.over_bound))
        };
        (0..over).for_each(|_| environment.datagram_rejected("fleet entries over the limit"));
        for entry in &fresh {
            self.swim.spread(entry);
            environment.entry_changed(entry);
        }
    }
}

/// Datagrams of answers a second, and how many at once: four whole exchanges.
const ANSWERS: f64 = 32.0;

fn take(answers: &mut (f64, Timestamp), now: Timestamp) -> bool {
    let (left, since) = *answers;
    let left = (left + now.since(since).as_ms() / 1000.0 * ANSWERS).min(ANSWERS);
    let may = left >= 1.0;
    *answers = (if may { left - 1.0 } else { left }, now);
    may
}

fn read<T: DeserializeOwned>(entry: &Entry) -> Option<T> {
    entry.value.as_deref().and_then(|value| postcard::from_bytes(value).ok())
}

fn outbox<'a>(
    roster: &'a Roster,
    me: Incarnation,
    wall_ms: u64,
    environment: &'a mut dyn Environment,
) -> Outbox<'a> {
    Outbox { roster, me, wall_ms, environment, renewed: None }
}
