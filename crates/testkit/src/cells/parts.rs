//! The parts of a cells simulation: nodes, network conditions, events and the calls of a core to its environment.

use shelfgrade::time::Timestamp;
use shelfgrade_cells::{
    Batch, CellId, ChangeError, Environment, Key, Process, ProcessSnapshot, Record, Replica, Stored,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The share of datagrams, per thousand, that are lost, duplicated, and delayed by up to 3 s.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    pub lost_per_mille: u32,
    pub duplicated_per_mille: u32,
    pub delayed_per_mille: u32,
}

pub const GOOD_NETWORK: NetworkConditions =
    NetworkConditions { lost_per_mille: 10, duplicated_per_mille: 0, delayed_per_mille: 0 };
pub const POOR_NETWORK: NetworkConditions =
    NetworkConditions { lost_per_mille: 100, duplicated_per_mille: 100, delayed_per_mille: 100 };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    pub region: u8,
    /// Replicas are in no cell.
    pub cell: Option<CellId>,
}

pub(super) enum Core {
    Replica(Box<Replica>),
    Process(Box<Process>),
}

/// A machine with a replica or a process.
pub struct Node {
    pub(super) core: Option<Core>,
    pub location: Location,
    pub name: String,
    pub incarnation: u32,
    /// Nodes of different partitions cannot reach each other.
    pub partition: u8,
    /// The disk of a replica.
    pub stored: Vec<Stored>,
    /// The disk of a process.
    pub snapshot: Option<ProcessSnapshot>,
    pub(super) next_timer: Timestamp,
    /// Bytes and datagrams sent since the last reset.
    pub bytes: u64,
    pub datagrams: u64,
    pub(super) current_second: u64,
    pub(super) bytes_in_second: u64,
    /// The most bytes sent in any second since the last reset.
    pub max_bytes_per_second: u64,
    /// Wall-clock time spent in the core since the last reset.
    pub busy_time: Duration,
}

pub(super) enum EventKind {
    Datagram { from: usize, bytes: Vec<u8> },
    Timer,
}

/// An event, ordered by time; a sequence number orders events at the same time.
pub(super) struct Event {
    pub(super) at: Timestamp,
    pub(super) sequence: u64,
    pub(super) to: usize,
    pub(super) kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Checks that all replicas agree on the value of each slot that any of them reports as chosen.
#[derive(Default)]
pub struct SlotValueCheck {
    chosen: BTreeMap<u64, Batch>,
    /// Slots with more than one value.
    pub conflicts: Vec<u64>,
}

impl SlotValueCheck {
    pub fn record_chosen(&mut self, slot: u64, batch: &Batch) {
        if self.chosen.entry(slot).or_insert_with(|| batch.clone()) != batch {
            self.conflicts.push(slot);
        }
    }

    pub fn slots(&self) -> usize {
        self.chosen.len()
    }
}

/// What a core requested of its environment in one call.
#[derive(Default)]
pub(super) struct RecordedCalls {
    pub(super) sends: Vec<(SocketAddr, Vec<u8>)>,
    pub(super) stored: Vec<Stored>,
    pub(super) changed_keys: Vec<Key>,
    pub(super) outcomes: Vec<(u64, Result<(), ChangeError>)>,
    pub(super) rejected: Vec<&'static str>,
}

impl Environment for RecordedCalls {
    fn send(&mut self, to: SocketAddr, datagram: Vec<u8>) {
        self.sends.push((to, datagram));
    }
    fn store(&mut self, stored: Stored) {
        self.stored.push(stored);
    }
    fn record_changed(&mut self, record: &Record) {
        self.changed_keys.push(record.key.clone());
    }
    fn change_decided(&mut self, id: u64, outcome: Result<(), ChangeError>) {
        self.outcomes.push((id, outcome));
    }
    fn datagram_rejected(&mut self, reason: &'static str) {
        self.rejected.push(reason);
    }
}

/// The address of a node, which contains its index.
pub fn address(node: usize) -> SocketAddr {
    let [_, a, b, c] = (node as u32).to_be_bytes();
    (Ipv4Addr::new(10, a, b, c), 9).into()
}

/// The node with this address; the inverse of [`address`].
pub(super) fn node_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(at) => {
            let [_, a, b, c] = at.ip().octets();
            Some(u32::from_be_bytes([0, a, b, c]) as usize)
        }
        SocketAddr::V6(_) => None,
    }
}
