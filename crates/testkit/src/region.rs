//! One region of a simulation: its processes, their events in the order of their time, and what it sends elsewhere.

use crate::simulation::{Core, Outbox, Usage, BEGINS_MS};
use crate::topology::{NetworkConditions, Topology};
use nanorand::{Rng, WyRand};
use rustix::time::{clock_gettime, ClockId};
use shelfgrade::time::Timestamp;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;

/// How many processes there are for each whose processor time is taken.
const TIMED: usize = 16;

pub struct Datagram {
    at: Timestamp,
    from: usize,
    pub to: usize,
    bytes: Vec<u8>,
}

/// What is under way, in the order of arrival; a number tells apart what comes at once.
struct Arrival {
    order: (Timestamp, u64),
    datagram: Datagram,
}

impl PartialEq for Arrival {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Arrival {}
impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Arrival {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.order.cmp(&other.order)
    }
}

/// The processes of one region, with their events.
pub struct Region<C> {
    pub index: usize,
    pub first: usize,
    pub topology: Arc<Topology>,
    pub conditions: NetworkConditions,
    /// Pairs of zones whose first one cannot reach the second.
    pub cut: Arc<BTreeSet<(usize, usize)>>,
    pub now: Timestamp,
    pub cores: Vec<Option<C>>,
    pub usage: Vec<Usage>,
    wakes: Vec<Timestamp>,
    alarms: BTreeSet<(Timestamp, usize)>,
    under_way: BinaryHeap<Reverse<Arrival>>,
    number: u64,
    /// What goes to other regions.
    pub leaves: Vec<Datagram>,
    rng: WyRand,
}

impl<C: Core> Region<C> {
    pub fn set(&mut self, at: usize, core: Option<C>) {
        self.cores[at] = core;
        self.set_alarm(at);
    }

    fn set_alarm(&mut self, at: usize) {
        let next = self.cores[at].as_ref().map_or(Timestamp::NEVER, C::next_wakeup);
        let before = std::mem::replace(&mut self.wakes[at], next);
        if before != next {
            self.alarms.remove(&(before, at));
            if next < Timestamp::NEVER {
                self.alarms.insert((next, at));
            }
        }
    }

    pub fn call<T>(&mut self, at: usize, act: impl FnOnce(&mut C, Timestamp, &mut Outbox) -> T) -> Option<T> {
        let now = self.now;
        let core = self.cores[at].as_mut()?;
        let mut out = Outbox::new();
        let timed = (self.first + at).is_multiple_of(TIMED).then(processor_ms);
        let done = act(core, now, &mut out);
        if let Some(began) = timed {
            *self.usage[at].processor_ms.get_or_insert(0.0) += processor_ms() - began;
        }
        for (to, bytes) in out {
            self.send(at, to, bytes);
        }
        self.set_alarm(at);
        Some(done)
    }

    fn send(&mut self, at: usize, to: usize, bytes: Vec<u8>) {
        self.usage[at].datagrams += 1;
        self.usage[at].bytes += bytes.len() as u64;
        let from = self.first + at;
        let times = match self.rng.generate_range(0..100u32) {
            draw if draw < self.conditions.lost => 0,
            draw if draw < self.conditions.lost + self.conditions.doubled => 2,
            _ => 1,
        };
        if self.cut.contains(&(self.topology.zone(from), self.topology.zone(to))) {
            return;
        }
        for _ in 0..times {
            let at = self.now + self.topology.delay(from, to, &mut self.rng);
            let datagram = Datagram { at, from, to, bytes: bytes.clone() };
            if self.topology.region(to) == self.index {
                self.arrives(datagram);
            } else {
                self.leaves.push(datagram);
            }
        }
    }

    pub fn arrives(&mut self, datagram: Datagram) {
        self.number += 1;
        self.under_way.push(Reverse(Arrival { order: (datagram.at, self.number), datagram }));
    }

    pub fn passes(&mut self, end: Timestamp) {
        loop {
            let arrival = self.under_way.peek().map(|first| first.0.order.0);
            let alarm = self.alarms.first().copied();
            let at = [arrival, alarm.map(|alarm| alarm.0)].into_iter().flatten().min();
            let Some(at) = at.filter(|at| *at <= end) else { break };
            self.now = self.now.max(at);
            if arrival == Some(at) {
                let Some(Reverse(Arrival { datagram, .. })) = self.under_way.pop() else { break };
                let to = datagram.to - self.first;
                let heard = self.call(to, |core, now, out| {
                    core.on_datagram(datagram.from, &datagram.bytes, now, out);
                });
                if heard.is_some() {
                    self.usage[to].heard += 1;
                    self.usage[to].heard_bytes += datagram.bytes.len() as u64;
                }
            } else if let Some((_, process)) = alarm {
                self.call(process, |core, now, out| core.on_timer(now, out));
            }
        }
        self.now = end;
    }
}

fn processor_ms() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

/// What a region is made of, on the thread that has it.
pub struct RegionSeed {
    pub index: usize,
    pub topology: Arc<Topology>,
    pub conditions: NetworkConditions,
    pub seed: u64,
}

impl RegionSeed {
    pub fn region<C>(self) -> Region<C> {
        let processes = self.topology.processes_of(self.index);
        let size = processes.len();
        Region {
            index: self.index,
            first: processes.start,
            conditions: self.conditions,
            cut: Arc::default(),
            now: Timestamp::from_ms(BEGINS_MS),
            cores: (0..size).map(|_| None).collect(),
            usage: vec![Usage::default(); size],
            wakes: vec![Timestamp::NEVER; size],
            alarms: BTreeSet::new(),
            under_way: BinaryHeap::new(),
            number: 0,
            leaves: Vec::new(),
            rng: WyRand::new_seed(self.seed ^ (0x9e37_79b9 * (self.index as u64 + 1))),
            topology: self.topology,
        }
    }
}
