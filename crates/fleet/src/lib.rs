//! What the processes of one fleet share: who is there, a map of entries that all come to know, and which part of what
//! the fleet may do each of them may. No I/O: time comes as an argument, datagrams go out and come in through
//! [`Surroundings`] and [`Fleet::heard`], chance is drawn from the given seed.
//!
//! What a process sends does not grow with the fleet: one probe and two gossips, one comparison of maps and one asking
//! for its unit of the pool a second, each with a bounded answer. `docs/fleet.md` has the figures.

mod compare;
mod map;
mod packet;
mod rights;
mod roster;
mod sift;
mod skew;
mod swim;

pub use map::{Entry, Map, Merged, Version, LONGEST_KEY, LONGEST_VALUE};
pub use packet::{PacketError, LONGEST};
pub use rights::{Rights, LEASE, RENEW};
pub use roster::{rank, Life, Roster, RosterError, Seat};

use packet::{Message, Packet};
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade::time::{DurationExt, Timestamp};
use skew::Skew;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use swim::{Around, Known, Swim};

/// How many entries the map holds: some thousands of servers, with room for what customers and sites have.
pub const MOST_ENTRIES: usize = 8192;

/// What the fleet's core asks of whoever carries it out, and tells.
pub trait Surroundings {
    fn send(&mut self, to: Seat, datagram: Vec<u8>);
    /// An entry is new, or has changed.
    fn entry(&mut self, entry: &Entry);
    fn came(&mut self, seat: Seat);
    fn went(&mut self, seat: Seat);
    /// A datagram, or a part of one, was refused.
    fn refused(&mut self, why: &'static str);
}

/// Why a value was not put into the map.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum PutError {
    #[error(
        "{key}: {length} bytes where {LONGEST_VALUE} are the most: shorten it, or split it over several keys"
    )]
    TooLong { key: String, length: usize },
    #[error("{0}: the map is full: delete what is no longer used")]
    Full(String),
}

pub struct Fleet {
    roster: Roster,
    me: Life,
    known: Rc<RefCell<Known>>,
    swim: Swim,
    rights: Rights,
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
    me: Life,
    wall_ms: u64,
    around: &'a mut dyn Surroundings,
    renewed: Option<Life>,
}

impl Outbox<'_> {
    fn send(&mut self, to: Seat, message: Message) {
        let packet = Packet { from: self.me, wall_ms: self.wall_ms, message };
        self.around.send(to, packet::write(self.roster, &packet));
    }
}

impl Around for Outbox<'_> {
    fn swim(&mut self, to: Seat, bytes: Vec<u8>) {
        self.send(to, Message::Swim(bytes));
    }
    fn came(&mut self, seat: Seat) {
        self.around.came(seat);
    }
    fn went(&mut self, seat: Seat) {
        self.around.went(seat);
    }
    fn renewed(&mut self, life: Life) {
        self.me = life;
        self.renewed = Some(life);
    }
}

impl Fleet {
    /// `born`: microseconds of Unix time, or more where an earlier life of this process is known to have had more.
    pub fn new(roster: Roster, born: u64, seed: u64, now: Timestamp) -> Self {
        let me = Life { seat: roster.me(), born };
        let map = Map::new(MOST_ENTRIES);
        let known = Rc::new(RefCell::new(Known { map, fresh: Vec::new(), over_bound: 0 }));
        Fleet {
            swim: Swim::new(me, &roster, known.clone(), seed, now),
            rights: Rights::new(me, roster.size(), now),
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

    pub fn me(&self) -> Life {
        self.me
    }

    /// Who is there, as far as this process sees, itself included, in the order of the roster.
    pub fn alive(&self) -> &[Seat] {
        self.swim.alive()
    }

    /// The life of a fellow that is there, as far as this process sees.
    pub fn life(&self, seat: Seat) -> Option<Life> {
        self.swim.life(seat)
    }

    /// The part of what the fleet may do that this process may now, from 0 to 1.
    pub fn part(&self, now: Timestamp) -> f64 {
        self.rights.part(now)
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
    pub fn state(&self) -> u64 {
        self.known.borrow().map.digest().iter().fold(0, |all, part| all.rotate_left(5) ^ part)
    }

    /// Writes a value as the newest under its key.
    pub fn put<T: Serialize>(
        &mut self,
        key: &str,
        value: &T,
        around: &mut dyn Surroundings,
    ) -> Result<Version, PutError> {
        let count = self.version(key).map_or(1, |held| held.count + 1);
        let version = Version { count, by: self.me.born };
        self.put_at(key, value, version, around).map(|()| version)
    }

    /// Writes a value under a version of the caller's; one that is not newer than what is held changes nothing.
    pub fn put_at<T: Serialize>(
        &mut self,
        key: &str,
        value: &T,
        version: Version,
        around: &mut dyn Surroundings,
    ) -> Result<(), PutError> {
        let value = postcard::to_stdvec(value).unwrap_or_default();
        if value.len() > LONGEST_VALUE || key.len() > LONGEST_KEY {
            return Err(PutError::TooLong { key: key.to_owned(), length: value.len() });
        }
        self.write(Entry { key: key.to_owned(), version, owner: self.me.seat, value: Some(value) }, around)
    }

    /// Deletes what is under a key, everywhere.
    pub fn delete(&mut self, key: &str, around: &mut dyn Surroundings) -> Result<(), PutError> {
        let Some(held) = self.version(key) else { return Ok(()) };
        let version = Version { count: held.count + 1, by: self.me.born };
        self.write(Entry { key: key.to_owned(), version, owner: self.me.seat, value: None }, around)
    }

    fn write(&mut self, entry: Entry, around: &mut dyn Surroundings) -> Result<(), PutError> {
        let merged = self.known.borrow_mut().map.merge(entry.clone());
        match merged {
            Merged::News => {
                self.swim.spread(&entry);
                around.entry(&entry);
                Ok(())
            }
            Merged::Known => Ok(()),
            Merged::OverBound => Err(PutError::Full(entry.key)),
        }
    }

    /// Takes in what was known before this life, without a word to anybody: comparing will find who knows less.
    pub fn remember(&mut self, entries: Vec<Entry>) {
        let mut known = self.known.borrow_mut();
        for entry in entries {
            known.map.merge(entry);
        }
    }

    /// A datagram has come. `wall_ms` is this machine's Unix time, uncorrected.
    pub fn heard(&mut self, datagram: &[u8], now: Timestamp, wall_ms: u64, around: &mut dyn Surroundings) {
        let packet = match packet::read(&self.roster, datagram) {
            Ok(packet) if packet.message.seats_within(self.roster.size()) => packet,
            Ok(_) => return around.refused("fleet datagrams that name nobody"),
            Err(PacketError::Foreign) => return around.refused("fleet datagrams of others"),
            Err(PacketError::Damaged) => return around.refused("fleet datagrams damaged"),
            Err(_) => return around.refused("fleet datagrams not to be read"),
        };
        let from = packet.from;
        if from.seat == self.me.seat {
            // Its own from before, come late, or another process under its name.
            if from.born != self.me.born {
                around.refused("fleet datagrams from another process of this name");
            }
            return;
        }
        self.skew.heard(from.seat, packet.wall_ms, wall_ms);
        let mut out = outbox(&self.roster, self.me, wall_ms, around);
        match packet.message {
            Message::Swim(bytes) => {
                if !self.swim.heard(&bytes, now, &mut out) {
                    out.around.refused("fleet datagrams not to be read");
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
                        out.send(from.seat, message);
                    }
                }
            }
            Message::Summary { part, states } => {
                let (entries, wanted) = self.known.borrow().compare(usize::from(part), &states);
                if !wanted.is_empty() && take(&mut self.answers, now) {
                    out.send(from.seat, Message::Want(wanted));
                }
                if !entries.is_empty() && take(&mut self.answers, now) {
                    out.send(from.seat, Message::Entries(entries));
                }
            }
            Message::Want(wanted) => {
                let entries = self.known.borrow().wanted(&wanted);
                if !entries.is_empty() && take(&mut self.answers, now) {
                    out.send(from.seat, Message::Entries(entries));
                }
            }
            Message::Entries(entries) => {
                for entry in entries {
                    self.known.borrow_mut().merge(entry);
                }
            }
            Message::Ask { number, units, releases } => {
                let units = self.rights.asked_by(from, number, (&units, &releases), now);
                out.send(from.seat, Message::Grant { number, units });
            }
            Message::Grant { number, units } => self.rights.granted(from.seat, number, &units),
        }
        let renewed = out.renewed;
        self.after(renewed, around);
    }

    /// The time has come that `next` names.
    pub fn on_timer(&mut self, now: Timestamp, wall_ms: u64, around: &mut dyn Surroundings) {
        // Often while it is new and may know nothing, then as often as the membership probes.
        const NEW: Duration = Duration::from_millis(5000);
        const COMPARE: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1000)];
        let mut out = outbox(&self.roster, self.me, wall_ms, around);
        self.swim.on_timer(now, &self.roster, &mut out);
        if now >= self.next_compare {
            self.next_compare = now + COMPARE[usize::from(now.since(self.began) >= NEW)];
            let alive = self.swim.alive();
            if alive.len() > 1 {
                let parts = self.known.borrow().map.digest().to_vec();
                let at = nanorand::Rng::generate_range(&mut self.chance, 0..alive.len() - 1);
                // Any but this process itself.
                let other = alive[at + usize::from(alive[at] >= self.me.seat)];
                out.send(other, Message::Digest { parts, answer: false });
            }
        }
        if now >= self.next_ask {
            self.next_ask = now + RENEW;
            for (witness, message) in self.rights.ask(self.swim.alive(), now) {
                match message {
                    Message::Ask { number, units, releases } if witness == self.me.seat => {
                        let units = self.rights.asked_by(self.me, number, (&units, &releases), now);
                        self.rights.granted(witness, number, &units);
                    }
                    message => out.send(witness, message),
                }
            }
        }
        let renewed = out.renewed;
        self.after(renewed, around);
    }

    /// When `on_timer` is to be called next.
    pub fn next(&self) -> Timestamp {
        self.swim.next().min(self.next_compare).min(self.next_ask)
    }

    /// This process ends, and its fellows need not find out by themselves.
    pub fn leave(&mut self, now: Timestamp, wall_ms: u64, around: &mut dyn Surroundings) {
        let mut out = outbox(&self.roster, self.me, wall_ms, around);
        self.swim.leave(now, &mut out);
    }

    fn after(&mut self, renewed: Option<Life>, around: &mut dyn Surroundings) {
        if let Some(life) = renewed {
            self.me = life;
            self.rights.renewed(life);
        }
        let (fresh, over) = {
            let mut known = self.known.borrow_mut();
            (std::mem::take(&mut known.fresh), std::mem::take(&mut known.over_bound))
        };
        (0..over).for_each(|_| around.refused("fleet entries over the bound"));
        for entry in &fresh {
            self.swim.spread(entry);
            around.entry(entry);
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

fn outbox<'a>(roster: &'a Roster, me: Life, wall_ms: u64, around: &'a mut dyn Surroundings) -> Outbox<'a> {
    Outbox { roster, me, wall_ms, around, renewed: None }
}
