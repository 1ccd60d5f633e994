//! HollowNode processes: a fleet's core each, and nothing of the program round it.

use crate::simulation::{Core, Outbox};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Environment, Fleet, MemberId, Roster};

/// A roster of so many, whose names are in the order of their numbers.
pub fn roster(size: usize) -> Roster {
    Roster::new("trial", (0..size).map(name), &name(0)).expect("a roster")
}

pub fn name(process: usize) -> String {
    format!("n{process:05}")
}

/// A fleet's core as a process of a simulation. Its wall clock is the simulation's.
pub struct HollowNode {
    pub fleet: Fleet,
    pub events: EventCounts,
}

/// What a core told of itself, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCounts {
    pub entries: u64,
    pub came: u64,
    pub went: u64,
    pub refused: u64,
}

impl HollowNode {
    /// `life` tells apart what is started in one seat.
    pub fn new(roster: &Roster, name: &str, incarnation: u64, now: Timestamp) -> Self {
        let roster = roster.with_local_member(name).expect("one of the roster");
        let process = roster.local_member().0;
        let started_at = now.as_ms() as u64 * 1000 + incarnation;
        let seed = u64::from(process).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ incarnation;
        HollowNode { fleet: Fleet::new(roster, started_at, seed, now), events: EventCounts::default() }
    }

    /// Has the core do something that it may send for.
    pub fn act<T>(&mut self, out: &mut Outbox, act: impl FnOnce(&mut Fleet, &mut dyn Environment) -> T) -> T {
        act(&mut self.fleet, &mut HollowEnvironment { out, events: &mut self.events })
    }
}

struct HollowEnvironment<'a> {
    out: &'a mut Outbox,
    events: &'a mut EventCounts,
}

impl Environment for HollowEnvironment<'_> {
    fn send(&mut self, to: MemberId, datagram: Vec<u8>) {
        assert!(
            datagram.len() <= shelfgrade_fleet::MAX_DATAGRAM_BYTES,
            "{} bytes in one datagram",
            datagram.len()
        );
        self.out.push((usize::from(to.0), datagram));
    }
    fn entry_changed(&mut self, _: &Entry) {
        self.events.entries += 1;
    }
    fn member_joined(&mut self, _: MemberId) {
        self.events.came += 1;
    }
    fn member_left(&mut self, _: MemberId) {
        self.events.went += 1;
    }
    fn datagram_rejected(&mut self, _: &'static str) {
        self.events.refused += 1;
    }
}

impl Core for HollowNode {
    fn on_datagram(&mut self, _: usize, datagram: &[u8], now: Timestamp, out: &mut Outbox) {
        self.act(out, |fleet, environment| fleet.on_datagram(datagram, now, now.as_ms() as u64, environment));
    }
    fn on_timer(&mut self, now: Timestamp, out: &mut Outbox) {
        self.act(out, |fleet, environment| fleet.on_timer(now, now.as_ms() as u64, environment));
    }
    fn next_wakeup(&self) -> Timestamp {
        self.fleet.next_wakeup()
    }
}
