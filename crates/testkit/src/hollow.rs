//! Hollow processes: a fleet's core each, and nothing of the program round it.

use crate::simulation::{Core, Outbox};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Fleet, Roster, Seat, Surroundings};

/// A roster of so many, whose names are in the order of their numbers.
pub fn roster(size: usize) -> Roster {
    Roster::new("trial", (0..size).map(name), &name(0)).expect("a roster")
}

pub fn name(process: usize) -> String {
    format!("n{process:05}")
}

/// A fleet's core as a process of a simulation. Its wall clock is the simulation's.
pub struct Hollow {
    pub fleet: Fleet,
    pub told: Told,
}

/// What a core told of itself, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    pub entries: u64,
    pub came: u64,
    pub went: u64,
    pub refused: u64,
}

impl Hollow {
    /// `life` tells apart what is started in one seat.
    pub fn new(roster: &Roster, name: &str, life: u64, now: Timestamp) -> Self {
        let roster = roster.seen_by(name).expect("one of the roster");
        let process = roster.me().0;
        let born = now.as_ms() as u64 * 1000 + life;
        let seed = u64::from(process).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ life;
        Hollow { fleet: Fleet::new(roster, born, seed, now), told: Told::default() }
    }

    /// Has the core do something that it may send for.
    pub fn act<T>(
        &mut self,
        out: &mut Outbox,
        act: impl FnOnce(&mut Fleet, &mut dyn Surroundings) -> T,
    ) -> T {
        act(&mut self.fleet, &mut Around { out, told: &mut self.told })
    }
}

struct Around<'a> {
    out: &'a mut Outbox,
    told: &'a mut Told,
}

impl Surroundings for Around<'_> {
    fn send(&mut self, to: Seat, datagram: Vec<u8>) {
        assert!(datagram.len() <= shelfgrade_fleet::LONGEST, "{} bytes in one datagram", datagram.len());
        self.out.push((usize::from(to.0), datagram));
    }
    fn entry(&mut self, _: &Entry) {
        self.told.entries += 1;
    }
    fn came(&mut self, _: Seat) {
        self.told.came += 1;
    }
    fn went(&mut self, _: Seat) {
        self.told.went += 1;
    }
    fn refused(&mut self, _: &'static str) {
        self.told.refused += 1;
    }
}

impl Core for Hollow {
    fn heard(&mut self, _: usize, datagram: &[u8], now: Timestamp, out: &mut Outbox) {
        self.act(out, |fleet, around| fleet.heard(datagram, now, now.as_ms() as u64, around));
    }
    fn on_timer(&mut self, now: Timestamp, out: &mut Outbox) {
        self.act(out, |fleet, around| fleet.on_timer(now, now.as_ms() as u64, around));
    }
    fn next(&self) -> Timestamp {
        self.fleet.next()
    }
}
