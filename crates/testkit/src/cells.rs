//! A fleet in cells in virtual time: replicas and processes over a drawn network with regions and zones.

use nanorand::{Rng, WyRand};
use shelfgrade::time::{DurationExt, Timestamp};
use shelfgrade_cells::{
    CellId, Change, ChangeError, Key, Process, ProcessConfig, Replica, ReplicaAddress, ReplicaSet, Stored,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub mod fleet;
mod parts;
pub use parts::{address, Location, NetworkConditions, Node, SlotValueCheck, GOOD_NETWORK, POOR_NETWORK};
use parts::{node_at, Core, Event, EventKind, RecordedCalls};

pub const FLEET: &str = "drawn";

pub struct CellsSimulation {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub replicas: usize,
    pub network: NetworkConditions,
    pub horizon: u64,
    pub slot_value_check: SlotValueCheck,
    pub rejected: BTreeMap<&'static str, u64>,
    pub outcomes: BTreeMap<u64, Result<(), ChangeError>>,
    /// The entry whose arrival is noted, and when each node had it.
    pub watched: Option<String>,
    pub arrivals: BTreeMap<usize, Timestamp>,
    peers: ReplicaSet,
    events: BinaryHeap<Reverse<Event>>,
    number: u64,
    seeds: u64,
    rng: WyRand,
}

impl CellsSimulation {
    /// A fleet that was just founded, with one replica for each entry, in those regions.
    pub fn founded(replicas: &[u8], network: NetworkConditions, seed: u64) -> Self {
        let peers = replicas.iter().enumerate();
        let peers =
            peers.map(|(id, region)| ReplicaAddress { address: address(id), region: *region }).collect();
        let mut simulation = CellsSimulation {
            now: Timestamp::from_ms(1000.0),
            nodes: Vec::new(),
            replicas: replicas.len(),
            network,
            horizon: shelfgrade_cells::DEFAULT_HORIZON_SLOTS,
            slot_value_check: SlotValueCheck::default(),
            rejected: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            watched: None,
            arrivals: BTreeMap::new(),
            peers: ReplicaSet::new(peers).expect("addresses of their own"),
            events: BinaryHeap::new(),
            number: 0,
            seeds: seed,
            rng: WyRand::new_seed(seed),
        };
        for (id, region) in replicas.iter().enumerate() {
            simulation.place(format!("replica-{id}"), Location { region: *region, cell: None });
            let (peers, seed) = (simulation.peers.clone(), simulation.seed());
            let mut out = RecordedCalls::default();
            let core = Replica::found(FLEET, peers, id as u8, seed, simulation.now, &mut out);
            simulation.nodes[id].core = Some(Core::Replica(Box::new(core)));
            simulation.settle(id, out);
        }
        simulation
    }

    /// With this horizon at all replicas, those that start later too.
    pub fn with_horizon(mut self, slots: u64) -> Self {
        self.horizon = slots;
        for node in &mut self.nodes[..self.replicas] {
            if let Some(Core::Replica(core)) = node.core.take() {
                node.core = Some(Core::Replica(Box::new(core.with_horizon(slots))));
            }
        }
        self
    }

    fn seed(&mut self) -> u64 {
        self.seeds = self.seeds.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.seeds
    }

    fn place(&mut self, name: String, location: Location) -> usize {
        self.nodes.push(Node {
            core: None,
            location,
            name,
            incarnation: 0,
            partition: 0,
            stored: Vec::new(),
            snapshot: None,
            armed: Timestamp::NEVER,
            bytes: 0,
            datagrams: 0,
            second: 0,
            in_second: 0,
            most: 0,
            busy: Duration::ZERO,
        });
        self.nodes.len() - 1
    }

    /// A machine for a process, which does not run yet.
    pub fn add_machine(&mut self, name: String, cell: CellId, region: u8) -> usize {
        self.place(name, Location { region, cell: Some(cell) })
    }

    /// Starts what belongs on a machine, with what is on its disk.
    pub fn start(&mut self, node: usize) {
        let (seed, now, peers) = (self.seed(), self.now, self.peers.clone());
        let mut out = RecordedCalls::default();
        let of = &mut self.nodes[node];
        of.incarnation += 1;
        of.armed = Timestamp::NEVER;
        let core = match of.location.cell {
            None => {
                let stored = of.stored.clone();
                let core = Replica::restore(FLEET, peers, node as u8, seed, now, stored, &mut out);
                Core::Replica(Box::new(core.with_horizon(self.horizon)))
            }
            Some(cell) => {
                let (name, incarnation) = (of.name.clone(), of.incarnation);
                let (fleet, kept, region) = (FLEET.to_owned(), of.snapshot.take(), of.location.region);
                let replicas = peers;
                let config =
                    ProcessConfig { fleet, cell, region, name, incarnation, replicas, snapshot: kept, seed };
                Core::Process(Box::new(Process::new(config, now)))
            }
        };
        of.core = Some(core);
        self.settle(node, out);
    }

    /// A process keeps what it knows; a replica has on disk what it stored.
    pub fn kill(&mut self, node: usize) {
        if let Some(Core::Process(core)) = &self.nodes[node].core {
            self.nodes[node].snapshot = Some(core.snapshot());
        }
        self.nodes[node].core = None;
    }

    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].core.is_some()
    }

    pub fn replica(&self, node: usize) -> Option<&Replica> {
        match &self.nodes[node].core {
            Some(Core::Replica(core)) => Some(core),
            _ => None,
        }
    }

    pub fn process(&self, node: usize) -> Option<&Process> {
        match self.nodes.get(node).map(|node| &node.core) {
            Some(Some(Core::Process(core))) => Some(core),
            _ => None,
        }
    }

    pub fn processes(&self) -> impl Iterator<Item = (usize, &Process)> {
        (self.replicas..self.nodes.len()).filter_map(|node| Some((node, self.process(node)?)))
    }

    /// EventKind all that run may do together.
    pub fn quota_in_use(&self) -> u64 {
        self.processes().map(|(_, process)| u64::from(process.quota())).sum()
    }

    /// Writes a change at a node, as a replica's or process's own.
    pub fn submit(&mut self, node: usize, change: Change) {
        let now = self.now;
        self.call(node, |core, out| match core {
            Core::Replica(core) => core.submit(change, now, out),
            Core::Process(core) => core.submit(change, now, out),
        });
    }

    /// A datagram from anywhere, as it is.
    pub fn inject(&mut self, from: SocketAddr, to: usize, bytes: &[u8]) {
        let now = self.now;
        self.call(to, |core, out| match core {
            Core::Replica(core) => core.on_datagram(from, bytes, now, out),
            Core::Process(core) => core.on_datagram(from, bytes, now, out),
        });
    }

    fn call(&mut self, node: usize, with: impl FnOnce(&mut Core, &mut RecordedCalls)) {
        let mut out = RecordedCalls::default();
        let Some(core) = &mut self.nodes[node].core else { return };
        let began = Instant::now();
        with(core, &mut out);
        self.nodes[node].busy += began.elapsed();
        self.settle(node, out);
    }

    fn settle(&mut self, node: usize, out: RecordedCalls) {
        for stored in out.stored {
            if let Stored::Chosen { slot, batch } = &stored {
                self.slot_value_check.record_chosen(*slot, batch);
            }
            if matches!(stored, Stored::Checkpoint { .. }) {
                self.nodes[node].stored.clear();
            }
            self.nodes[node].stored.push(stored);
        }
        for why in out.rejected {
            *self.rejected.entry(why).or_default() += 1;
        }
        self.outcomes.extend(out.outcomes);
        if let Some(watched) = &self.watched {
            if out.news.iter().any(|key| matches!(key, Key::Entry(key) if key == watched)) {
                self.arrivals.entry(node).or_insert(self.now);
            }
        }
        for (to, bytes) in out.sends {
            self.send(node, to, bytes);
        }
        let next = match &self.nodes[node].core {
            Some(Core::Replica(core)) => core.next_wakeup(),
            Some(Core::Process(core)) => core.next_wakeup(),
            None => return,
        };
        // A core that is due at once is called again a moment later.
        let next = next.max(self.now + Duration::from_ms(0.1));
        if next < self.nodes[node].armed {
            self.nodes[node].armed = next;
            self.push(next, node, EventKind::Timer);
        }
    }

    fn push(&mut self, at: Timestamp, to: usize, what: EventKind) {
        self.number += 1;
        self.events.push(Reverse(Event { at, number: self.number, to, what }));
    }

    fn one_in(&mut self, thousand: u32) -> bool {
        thousand > 0 && self.rng.generate_range(0..1000u32) < thousand
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= shelfgrade_cells::MAX_DATAGRAM_BYTES, "a datagram of {} bytes", bytes.len());
        let second = self.now.periods(Duration::from_millis(1000));
        let of = &mut self.nodes[from];
        of.bytes += bytes.len() as u64;
        of.datagrams += 1;
        if of.second != second {
            (of.second, of.in_second) = (second, 0);
        }
        of.in_second += bytes.len() as u64;
        of.most = of.most.max(of.in_second);
        let Some(to) = node_at(to).filter(|to| *to < self.nodes.len()) else { return };
        if self.nodes[to].partition != self.nodes[from].partition || self.one_in(self.network.loss) {
            return;
        }
        let copies = if self.one_in(self.network.twice) { 2 } else { 1 };
        for _ in 0..copies {
            let mut ms = self.delay(from, to) * (1.0 + f64::from(self.rng.generate_range(0..100u32)) / 500.0);
            if self.one_in(self.network.late) {
                ms += f64::from(self.rng.generate_range(0..3000u32));
            }
            let at = self.now + Duration::from_ms(ms);
            self.push(at, to, EventKind::Datagram { from, bytes: bytes.clone() });
        }
    }

    /// One way, in milliseconds: 1 in a zone, 2 in a region, 40 to 150 between regions.
    fn delay(&self, from: usize, to: usize) -> f64 {
        let (a, b) = (self.nodes[from].location, self.nodes[to].location);
        if a.region != b.region {
            let (low, high) = (a.region.min(b.region), a.region.max(b.region));
            40.0 + f64::from((u32::from(low) * 7 + u32::from(high) * 13) * 37 % 111)
        } else if a.cell.is_some() && a.cell == b.cell {
            1.0
        } else {
            2.0
        }
    }

    pub fn run_for_ms(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while self.events.peek().is_some_and(|Reverse(event)| event.at <= until) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = self.now.max(event.at);
            let now = self.now;
            match event.what {
                EventKind::Datagram { from, bytes } => self.inject(address(from), event.to, &bytes),
                EventKind::Timer if self.nodes[event.to].armed == event.at => {
                    self.nodes[event.to].armed = Timestamp::NEVER;
                    self.call(event.to, |core, out| match core {
                        Core::Replica(core) => core.on_timer(now, out),
                        Core::Process(core) => core.on_timer(now, out),
                    });
                }
                EventKind::Timer => {}
            }
        }
        self.now = until;
    }

    /// Passes until it holds, looked at so often; false where it never did.
    pub fn run_until(
        &mut self,
        most_ms: u64,
        every_ms: u64,
        holds: impl Fn(&CellsSimulation) -> bool,
    ) -> bool {
        let mut left = most_ms;
        while !holds(self) {
            if left == 0 {
                return false;
            }
            let step = every_ms.min(left);
            self.run_for_ms(step);
            left -= step;
        }
        true
    }
}
