//! EventKind a world of cells is made of.

use shelfgrade::time::Timestamp;
use shelfgrade_cells::{
    Batch, CellId, ChangeError, Environment, Key, Process, ProcessSnapshot, Record, Replica, Stored,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The network, in parts of a thousand.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    pub loss: u32,
    pub twice: u32,
    pub late: u32,
}

pub const GOOD_NETWORK: NetworkConditions = NetworkConditions { loss: 10, twice: 0, late: 0 };
pub const POOR_NETWORK: NetworkConditions = NetworkConditions { loss: 100, twice: 100, late: 100 };

/// Where a node is.
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

pub struct Node {
    pub(super) core: Option<Core>,
    pub location: Location,
    pub name: String,
    pub incarnation: u32,
    /// Nodes of unequal groups do not hear each other.
    pub partition: u8,
    pub stored: Vec<Stored>,
    pub snapshot: Option<ProcessSnapshot>,
    pub(super) armed: Timestamp,
    pub bytes: u64,
    pub datagrams: u64,
    pub(super) second: u64,
    pub(super) in_second: u64,
    /// The most bytes in any one second since it was last set to nothing.
    pub most: u64,
    pub busy: Duration,
}

pub(super) enum EventKind {
    Datagram { from: usize, bytes: Vec<u8> },
    Timer,
}

pub(super) struct Event {
    pub(super) at: Timestamp,
    pub(super) number: u64,
    pub(super) to: usize,
    pub(super) what: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Looks at every slot that any replica says was chosen: there is one value for each.
#[derive(Default)]
pub struct SlotValueCheck {
    chosen: BTreeMap<u64, Batch>,
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

#[derive(Default)]
pub(super) struct RecordedCalls {
    pub(super) sends: Vec<(SocketAddr, Vec<u8>)>,
    pub(super) stored: Vec<Stored>,
    pub(super) news: Vec<Key>,
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
        self.news.push(record.key.clone());
    }
    fn change_decided(&mut self, id: u64, outcome: Result<(), ChangeError>) {
        self.outcomes.push((id, outcome));
    }
    fn datagram_rejected(&mut self, why: &'static str) {
        self.rejected.push(why);
    }
}

pub fn address(node: usize) -> SocketAddr {
    let [_, a, b, c] = (node as u32).to_be_bytes();
    (Ipv4Addr::new(10, a, b, c), 9).into()
}

pub(super) fn node_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(at) => {
            let [_, a, b, c] = at.ip().octets();
            Some(u32::from_be_bytes([0, a, b, c]) as usize)
        }
        SocketAddr::V6(_) => None,
    }
}
