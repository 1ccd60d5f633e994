//! Hollow nodes: processes that consist of a fleet's core alone, without the rest of the program.

use crate::simulation::{Core, Outbox};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Environment, Fleet, MemberId, Roster};

/// A roster of `size` members whose names sort in the order of their indices.
pub fn roster(size: usize) -> Roster {
    Roster::new("trial", (0..size).map(node_name), &node_name(0)).expect("roster is valid")
}

pub fn node_name(process: usize) -> String {
    format!("n{process:05}")
}

/// A fleet's core as a process of a simulation. The simulation's time is also its wall clock.
pub struct HollowNode {
    pub fleet: Fleet,
    pub events: EventCounts,
}

/// Counts of the events that a core reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCounts {
    pub entries_changed: u64,
    pub members_joined: u64,
    pub members_left: u64,
    pub datagrams_rejected: u64,
}

impl HollowNode {
    /// `incarnation` distinguishes successive starts of the same member.
    pub fn new(roster: &Roster, name: &str, incarnation: u64, now: Timestamp) -> Self {
        let roster = roster.with_local_member(name).expect("name is in the roster");
        let member = roster.local_member().0;
        let started_at = now.as_ms() as u64 * 1000 + incarnation;
        let seed = u64::from(member).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ incarnation;
        HollowNode { fleet: Fleet::new(roster, started_at, seed, now), events: EventCounts::default() }
    }

    /// Runs `operation` on the core; datagrams that it sends go to `out`.
    pub fn with_fleet<T>(
        &mut self,
        out: &mut Outbox,
        operation: impl FnOnce(&mut Fleet, &mut dyn Environment) -> T,
    ) -> T {
        operation(&mut self.fleet, &mut HollowEnvironment { out, events: &mut self.events })
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
            "datagram of {} bytes exceeds the limit",
            datagram.len()
        );
        self.out.push((usize::from(to.0), datagram));
    }
    fn entry_changed(&mut self, _: &Entry) {
        self.events.entries_changed += 1;
    }
    fn member_joined(&mut self, _: MemberId) {
        self.events.members_joined += 1;
    }
    fn member_left(&mut self, _: MemberId) {
        self.events.members_left += 1;
    }
    fn datagram_rejected(&mut self, _: &'static str) {
        self.events.datagrams_rejected += 1;
    }
}

impl Core for HollowNode {
    fn on_datagram(&mut self, _: usize, datagram: &[u8], now: Timestamp, out: &mut Outbox) {
        self.with_fleet(out, |fleet, environment| {
            fleet.on_datagram(datagram, now, now.as_ms() as u64, environment)
        });
    }
    fn on_timer(&mut self, now: Timestamp, out: &mut Outbox) {
        self.with_fleet(out, |fleet, environment| fleet.on_timer(now, now.as_ms() as u64, environment));
    }
    fn next_wakeup(&self) -> Timestamp {
        self.fleet.next_wakeup()
    }
}
