//! Simulates a fleet in cells in virtual time: replicas and processes over a network with regions and zones.

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

/// The name of the simulated fleet.
pub const FLEET: &str = "drawn";

pub struct CellsSimulation {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    /// The number of replicas, which are the first nodes.
    pub replicas: usize,
    pub network: NetworkConditions,
    /// The horizon of the replicas, in slots.
    pub horizon: u64,
    pub slot_value_check: SlotValueCheck,
    /// Counts of rejected datagrams, by reason.
    pub rejected: BTreeMap<&'static str, u64>,
    /// Outcomes of the submitted changes, by change ID.
    pub outcomes: BTreeMap<u64, Result<(), ChangeError>>,
    /// The key of the entry whose propagation is measured.
    pub watched: Option<String>,
    /// When each node received the watched entry.
    pub arrivals: BTreeMap<usize, Timestamp>,
    peers: ReplicaSet,
    events: BinaryHeap<Reverse<Event>>,
    last_sequence: u64,
    last_seed: u64,
    rng: WyRand,
}

impl CellsSimulation {
    /// A newly initialized fleet, with one replica in each of these regions (a region may be listed more than once).
    pub fn start_replicas(replicas: &[u8], network: NetworkConditions, seed: u64) -> Self {
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
            peers: ReplicaSet::new(peers).expect("replica addresses are distinct"),
            events: BinaryHeap::new(),
            last_sequence: 0,
            last_seed: seed,
            rng: WyRand::new_seed(seed),
        };
        for (id, region) in replicas.iter().enumerate() {
            simulation.add_node(format!("replica-{id}"), Location { region: *region, cell: None });
            let (peers, seed) = (simulation.peers.clone(), simulation.next_seed());
            let mut calls = RecordedCalls::default();
            let core = Replica::initialize(FLEET, peers, id as u8, seed, simulation.now, &mut calls);
            simulation.nodes[id].core = Some(Core::Replica(Box::new(core)));
            simulation.apply_calls(id, calls);
        }
        simulation
    }

    /// Sets the horizon of all replicas, including those that start later.
    pub fn with_horizon(mut self, slots: u64) -> Self {
        self.horizon = slots;
        for node in &mut self.nodes[..self.replicas] {
            if let Some(Core::Replica(core)) = node.core.take() {
                node.core = Some(Core::Replica(Box::new(core.with_horizon(slots))));
            }
        }
        self
    }

    fn next_seed(&mut self) -> u64 {
        self.last_seed = self.last_seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.last_seed
    }

    fn add_node(&mut self, name: String, location: Location) -> usize {
        self.nodes.push(Node {
            core: None,
            location,
            name,
            incarnation: 0,
            partition: 0,
            stored: Vec::new(),
            snapshot: None,
            next_timer: Timestamp::NEVER,
            bytes: 0,
            datagrams: 0,
            current_second: 0,
            bytes_in_second: 0,
            max_bytes_per_second: 0,
            busy_time: Duration::ZERO,
        });
        self.nodes.len() - 1
    }

    /// Adds a machine for a process, which does not run yet, and returns its index.
    pub fn add_machine(&mut self, name: String, cell: CellId, region: u8) -> usize {
        self.add_node(name, Location { region, cell: Some(cell) })
    }

    /// Starts the replica or process of a machine from what is on its disk.
    pub fn start(&mut self, node: usize) {
        let (seed, now, peers) = (self.next_seed(), self.now, self.peers.clone());
        let mut calls = RecordedCalls::default();
        let machine = &mut self.nodes[node];
        machine.incarnation += 1;
        machine.next_timer = Timestamp::NEVER;
        let core = match machine.location.cell {
            None => {
                let stored = machine.stored.clone();
                let core = Replica::restore(FLEET, peers, node as u8, seed, now, stored, &mut calls);
                Core::Replica(Box::new(core.with_horizon(self.horizon)))
            }
            Some(cell) => {
                let (name, incarnation) = (machine.name.clone(), machine.incarnation);
                let (fleet, snapshot, region) =
                    (FLEET.to_owned(), machine.snapshot.take(), machine.location.region);
                let replicas = peers;
                let config =
                    ProcessConfig { fleet, cell, region, name, incarnation, replicas, snapshot, seed };
                Core::Process(Box::new(Process::new(config, now)))
            }
        };
        machine.core = Some(core);
        self.apply_calls(node, calls);
    }

    /// Kills a node. A process leaves a snapshot of its state on disk, a replica what it has stored.
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

    /// The sum of the quotas of all running processes.
    pub fn quota_in_use(&self) -> u64 {
        self.processes().map(|(_, process)| u64::from(process.quota())).sum()
    }

    /// Submits a change at a replica or process.
    pub fn submit(&mut self, node: usize, change: Change) {
        let now = self.now;
        self.call(node, |core, calls| match core {
            Core::Replica(core) => core.submit(change, now, calls),
            Core::Process(core) => core.submit(change, now, calls),
        });
    }

    /// Delivers a datagram from any address, unchanged and at once.
    pub fn inject(&mut self, from: SocketAddr, to: usize, bytes: &[u8]) {
        let now = self.now;
        self.call(to, |core, calls| match core {
            Core::Replica(core) => core.on_datagram(from, bytes, now, calls),
            Core::Process(core) => core.on_datagram(from, bytes, now, calls),
        });
    }

    fn call(&mut self, node: usize, operation: impl FnOnce(&mut Core, &mut RecordedCalls)) {
        let mut calls = RecordedCalls::default();
        let Some(core) = &mut self.nodes[node].core else { return };
        let began = Instant::now();
        operation(core, &mut calls);
        self.nodes[node].busy_time += began.elapsed();
        self.apply_calls(node, calls);
    }

    fn apply_calls(&mut self, node: usize, calls: RecordedCalls) {
        for stored in calls.stored {
            if let Stored::Chosen { slot, batch } = &stored {
                self.slot_value_check.record_chosen(*slot, batch);
            }
            if matches!(stored, Stored::Checkpoint { .. }) {
                self.nodes[node].stored.clear();
            }
            self.nodes[node].stored.push(stored);
        }
        for reason in calls.rejected {
            *self.rejected.entry(reason).or_default() += 1;
        }
        self.outcomes.extend(calls.outcomes);
        if let Some(watched) = &self.watched {
            if calls.changed_keys.iter().any(|key| matches!(key, Key::Entry(key) if key == watched)) {
                self.arrivals.entry(node).or_insert(self.now);
            }
        }
        for (to, bytes) in calls.sends {
            self.send(node, to, bytes);
        }
        let next = match &self.nodes[node].core {
            Some(Core::Replica(core)) => core.next_wakeup(),
            Some(Core::Process(core)) => core.next_wakeup(),
            None => return,
        };
        // A core that is due at once is called again 0.1 ms later.
        let next = next.max(self.now + Duration::from_ms(0.1));
        if next < self.nodes[node].next_timer {
            self.nodes[node].next_timer = next;
            self.push(next, node, EventKind::Timer);
        }
    }

    fn push(&mut self, at: Timestamp, to: usize, kind: EventKind) {
        self.last_sequence += 1;
        self.events.push(Reverse(Event { at, sequence: self.last_sequence, to, kind }));
    }

    fn occurs(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.generate_range(0..1000u32) < per_mille
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(
            bytes.len() <= shelfgrade_cells::MAX_DATAGRAM_BYTES,
            "datagram of {} bytes exceeds the limit",
            bytes.len()
        );
        let current_second = self.now.elapsed_periods(Duration::from_millis(1000));
        let machine = &mut self.nodes[from];
        machine.bytes += bytes.len() as u64;
        machine.datagrams += 1;
        if machine.current_second != current_second {
            (machine.current_second, machine.bytes_in_second) = (current_second, 0);
        }
        machine.bytes_in_second += bytes.len() as u64;
        machine.max_bytes_per_second = machine.max_bytes_per_second.max(machine.bytes_in_second);
        let Some(to) = node_at(to).filter(|to| *to < self.nodes.len()) else { return };
        if self.nodes[to].partition != self.nodes[from].partition || self.occurs(self.network.lost_per_mille)
        {
            return;
        }
        let copies = if self.occurs(self.network.duplicated_per_mille) { 2 } else { 1 };
        for _ in 0..copies {
            let mut ms = self.delay(from, to) * (1.0 + f64::from(self.rng.generate_range(0..100u32)) / 500.0);
            if self.occurs(self.network.delayed_per_mille) {
                ms += f64::from(self.rng.generate_range(0..3000u32));
            }
            let at = self.now + Duration::from_ms(ms);
            self.push(at, to, EventKind::Datagram { from, bytes: bytes.clone() });
        }
    }

    /// The one-way delay in milliseconds: 1 within a cell, 2 within a region, 40 to 150 between regions.
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

    /// Advances virtual time.
    pub fn run_for_ms(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while self.events.peek().is_some_and(|Reverse(event)| event.at <= until) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = self.now.max(event.at);
            let now = self.now;
            match event.kind {
                EventKind::Datagram { from, bytes } => self.inject(address(from), event.to, &bytes),
                EventKind::Timer if self.nodes[event.to].next_timer == event.at => {
                    self.nodes[event.to].next_timer = Timestamp::NEVER;
                    self.call(event.to, |core, calls| match core {
                        Core::Replica(core) => core.on_timer(now, calls),
                        Core::Process(core) => core.on_timer(now, calls),
                    });
                }
                EventKind::Timer => {}
            }
        }
        self.now = until;
    }

    /// Runs until `holds` is true, checked every `check_interval_ms`; returns false if it was not within `limit_ms`.
    pub fn run_until(
        &mut self,
        limit_ms: u64,
        check_interval_ms: u64,
        holds: impl Fn(&CellsSimulation) -> bool,
    ) -> bool {
        let mut left = limit_ms;
        while !holds(self) {
            if left == 0 {
                return false;
            }
            let step = check_interval_ms.min(left);
            self.run_for_ms(step);
            left -= step;
        }
        true
    }
}
