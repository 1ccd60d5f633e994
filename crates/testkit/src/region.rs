//! One region of a simulation: its processes, their events in order of time, and the datagrams for other regions.

use crate::simulation::{Core, Outbox, Usage, START_MS};
use crate::topology::{NetworkConditions, Topology};
use nanorand::{Rng, WyRand};
use rustix::time::{clock_gettime, ClockId};
use shelfgrade::time::Timestamp;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;

/// CPU time is measured for one process in this many.
const CPU_SAMPLE_INTERVAL: usize = 16;

pub struct Datagram {
    arrival: Timestamp,
    from: usize,
    pub to: usize,
    bytes: Vec<u8>,
}

/// A datagram in flight, ordered by arrival time; a sequence number orders those that arrive at the same time.
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

/// The processes of one region and their events. Methods take a process by its index within the region.
pub struct Region<C> {
    pub index: usize,
    pub first_process: usize,
    pub topology: Arc<Topology>,
    pub conditions: NetworkConditions,
    /// Pairs of zones; datagrams from the first to the second are dropped.
    pub blocked: Arc<BTreeSet<(usize, usize)>>,
    pub now: Timestamp,
    pub cores: Vec<Option<C>>,
    pub usage: Vec<Usage>,
    /// The next wakeup time of each process, `NEVER` if it has none; `timers` holds the others in order.
    wakeups: Vec<Timestamp>,
    timers: BTreeSet<(Timestamp, usize)>,
    in_flight: BinaryHeap<Reverse<Arrival>>,
    last_sequence: u64,
    /// Datagrams for other regions.
    pub outbound: Vec<Datagram>,
    rng: WyRand,
}

impl<C: Core> Region<C> {
    pub fn set_core(&mut self, local: usize, core: Option<C>) {
        self.cores[local] = core;
        self.reschedule(local);
    }

    fn reschedule(&mut self, local: usize) {
        let next = self.cores[local].as_ref().map_or(Timestamp::NEVER, C::next_wakeup);
        let before = std::mem::replace(&mut self.wakeups[local], next);
        if before != next {
            self.timers.remove(&(before, local));
            if next < Timestamp::NEVER {
                self.timers.insert((next, local));
            }
        }
    }

    pub fn call<T>(
        &mut self,
        local: usize,
        operation: impl FnOnce(&mut C, Timestamp, &mut Outbox) -> T,
    ) -> Option<T> {
        let now = self.now;
        let core = self.cores[local].as_mut()?;
        let mut out = Outbox::new();
        let cpu_before = (self.first_process + local).is_multiple_of(CPU_SAMPLE_INTERVAL).then(thread_cpu_ms);
        let result = operation(core, now, &mut out);
        if let Some(before) = cpu_before {
            *self.usage[local].cpu_ms.get_or_insert(0.0) += thread_cpu_ms() - before;
        }
        for (to, bytes) in out {
            self.send(local, to, bytes);
        }
        self.reschedule(local);
        Some(result)
    }

    fn send(&mut self, local: usize, to: usize, bytes: Vec<u8>) {
        self.usage[local].datagrams_sent += 1;
        self.usage[local].bytes_sent += bytes.len() as u64;
        let from = self.first_process + local;
        let copies = match self.rng.generate_range(0..100u32) {
            draw if draw < self.conditions.lost_percent => 0,
            draw if draw < self.conditions.lost_percent + self.conditions.duplicated_percent => 2,
            _ => 1,
        };
        if self.blocked.contains(&(self.topology.zone_of(from), self.topology.zone_of(to))) {
            return;
        }
        for _ in 0..copies {
            let arrival = self.now + self.topology.delay(from, to, &mut self.rng);
            let datagram = Datagram { arrival, from, to, bytes: bytes.clone() };
            if self.topology.region_of(to) == self.index {
                self.enqueue(datagram);
            } else {
                self.outbound.push(datagram);
            }
        }
    }

    pub fn enqueue(&mut self, datagram: Datagram) {
        self.last_sequence += 1;
        self.in_flight.push(Reverse(Arrival { order: (datagram.arrival, self.last_sequence), datagram }));
    }

    pub fn run_until(&mut self, end: Timestamp) {
        loop {
            let arrival = self.in_flight.peek().map(|first| first.0.order.0);
            let timer = self.timers.first().copied();
            let at = [arrival, timer.map(|timer| timer.0)].into_iter().flatten().min();
            let Some(at) = at.filter(|at| *at <= end) else { break };
            self.now = self.now.max(at);
            if arrival == Some(at) {
                let Some(Reverse(Arrival { datagram, .. })) = self.in_flight.pop() else { break };
                let local = datagram.to - self.first_process;
                let delivered = self.call(local, |core, now, out| {
                    core.on_datagram(datagram.from, &datagram.bytes, now, out);
                });
                if delivered.is_some() {
                    self.usage[local].datagrams_received += 1;
                    self.usage[local].bytes_received += datagram.bytes.len() as u64;
                }
            } else if let Some((_, local)) = timer {
                self.call(local, |core, now, out| core.on_timer(now, out));
            }
        }
        self.now = end;
    }
}

fn thread_cpu_ms() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

/// What a [`Region`] is built from, on the thread that runs it.
pub struct RegionSpec {
    pub index: usize,
    pub topology: Arc<Topology>,
    pub conditions: NetworkConditions,
    pub seed: u64,
}

impl RegionSpec {
    pub fn build<C>(self) -> Region<C> {
        let processes = self.topology.processes_of(self.index);
        let size = processes.len();
        Region {
            index: self.index,
            first_process: processes.start,
            conditions: self.conditions,
            blocked: Arc::default(),
            now: Timestamp::from_ms(START_MS),
            cores: (0..size).map(|_| None).collect(),
            usage: vec![Usage::default(); size],
            wakeups: vec![Timestamp::NEVER; size],
            timers: BTreeSet::new(),
            in_flight: BinaryHeap::new(),
            last_sequence: 0,
            outbound: Vec::new(),
            rng: WyRand::new_seed(self.seed ^ (0x9e37_79b9 * (self.index as u64 + 1))),
            topology: self.topology,
        }
    }
}
