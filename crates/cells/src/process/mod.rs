//! A process of the fleet, which is a member of a cell. It stores the members of its cell, all entries and all cells.

mod log_sync;
mod quota_release;

use crate::cell_members::{CellMembers, MembershipDatagram};
use crate::change::Change;
use crate::log_follower::LogFollower;
use crate::packet::{self, Message};
use crate::pending_changes::PendingChanges;
use crate::quota::{member_quota, AcknowledgedVersions};
use crate::record::{CellId, Record, Scope, Version};
use crate::replica_set::ReplicaSet;
use crate::state::State;
use crate::token_bucket::TokenBucket;
use crate::{rank, Environment};
use nanorand::WyRand;
use shelfgrade::time::Timestamp;
use std::net::SocketAddr;

/// With the burst below, limits the bytes that a process sends in any second to less than 4 KB.
const SEND_RATE_BYTES_PER_S: f64 = 2450.0;
const SEND_BURST_BYTES: f64 = 1600.0;
/// Part of the send budget that pull responses and pushes leave to the failure detector.
const MEMBERSHIP_RESERVE_BYTES: usize = 300;

/// Configuration with which a process starts.
pub struct ProcessConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Cell of the process.
    pub cell: CellId,
    /// Region of the process.
    pub region: u8,
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Must increase with each start, such as Unix time in seconds.
    pub incarnation: u32,
    /// The replicas of the log.
    pub replicas: ReplicaSet,
    /// Snapshot of an earlier incarnation. It does not entitle the process to quota.
    pub snapshot: Option<ProcessSnapshot>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// State that a process may store for its next start.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct ProcessSnapshot {
    /// The records; those with versions after `to` are ignored when the snapshot is restored.
    pub records: Vec<Record>,
    /// Version up to which no record is missing.
    pub to: Version,
    /// Version up to which deleted records have been dropped.
    pub horizon: Version,
}

/// A pull whose response has not arrived yet.
struct OutstandingPull {
    from: SocketAddr,
    deadline: Timestamp,
}

/// A process of the fleet.
pub struct Process {
    fleet: u64,
    cell: CellId,
    name: String,
    incarnation: u32,
    /// Addresses of the replicas in order of preference; those in the local region come first.
    replicas: Vec<SocketAddr>,
    follower: LogFollower,
    /// Whether, since its start, the process has had a complete state with its own member record.
    is_active: bool,
    members: CellMembers,
    next_pull_at: Timestamp,
    outstanding_pull: Option<OutstandingPull>,
    timed_out_pulls: u32,
    /// Index of the replica in use, to be taken modulo the number of replicas.
    replica_cursor: usize,
    retry_nearest_at: Timestamp,
    send_budget: TokenBucket,
    pending_changes: PendingChanges,
    acknowledged: AcknowledgedVersions,
    rng: WyRand,
    seed: u64,
}

impl Process {
    /// Creates a process that starts now.
    pub fn new(config: ProcessConfig, now: Timestamp) -> Self {
        let mut process = Process {
            fleet: packet::fleet_id(&config.fleet),
            cell: config.cell,
            replicas: replicas_by_preference(&config),
            follower: LogFollower::new(restored_state(config.cell, config.snapshot)),
            members: CellMembers::new(config.cell, config.name.clone()),
            name: config.name,
            incarnation: config.incarnation,
            is_active: false,
            next_pull_at: now,
            outstanding_pull: None,
            timed_out_pulls: 0,
            replica_cursor: 0,
            retry_nearest_at: now,
            send_budget: TokenBucket::new(SEND_RATE_BYTES_PER_S, SEND_BURST_BYTES, now),
            pending_changes: PendingChanges::default(),
            acknowledged: AcknowledgedVersions::default(),
            rng: WyRand::new_seed(config.seed ^ 0xce11),
            seed: config.seed,
        };
        process.members.refresh(process.follower.state());
        process
    }

    /// The stored records.
    pub fn state(&self) -> &State {
        self.follower.state()
    }

    /// The snapshot to store for the next start.
    pub fn snapshot(&self) -> ProcessSnapshot {
        let state = self.state();
        let complete_to = state.complete_to();
        let records = state.records().filter(|record| record.version <= complete_to).cloned().collect();
        // Records with later versions are left out. They may have replaced records up to `complete_to`, so that the
        // snapshot of an incomplete state is not complete up to any version.
        let to = if state.is_complete() { complete_to } else { Version(0) };
        ProcessSnapshot { records, to, horizon: state.horizon().min(to) }
    }

    /// Whether, since its start, the process has had a complete state with its own member record.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Names of the alive members of the cell, without this process.
    pub fn alive_members(&self) -> impl Iterator<Item = &str> {
        self.members.alive()
    }

    /// Number of other members of the cell that the failure detector does not consider alive.
    pub fn unreachable_members(&self) -> usize {
        self.members.unreachable()
    }

    /// Whether this process is a delegate of its cell.
    pub fn is_delegate(&self) -> bool {
        self.members.is_delegate()
    }

    /// Units of quota that this process may use, out of [`crate::TOTAL_QUOTA`].
    pub fn quota(&self) -> u32 {
        if self.is_active {
            member_quota(self.state(), self.cell, &self.name, self.incarnation)
        } else {
            0
        }
    }

    /// Submits a change to the log. The outcome is reported to [`Environment::change_decided`].
    pub fn submit(&mut self, change: Change, now: Timestamp, environment: &mut dyn Environment) {
        if self.pending_changes.contains(change.id) {
            return;
        }
        if let Some(replica) = self.replica(self.replica_cursor) {
            self.send(replica, &Message::Submit(change.clone()), now, environment);
        }
        self.pending_changes.insert(change, self.replica_cursor, now);
    }

    fn retry_changes(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        for retry in self.pending_changes.take_due(now) {
            if let Some(replica) = self.replica(retry.replica) {
                environment.send(replica, packet::encode(self.fleet, &Message::Submit(retry.change)));
            }
        }
    }

    fn replica(&self, index: usize) -> Option<SocketAddr> {
        self.replicas.get(index % self.replicas.len().max(1)).copied()
    }

    fn send(&mut self, to: SocketAddr, message: &Message, now: Timestamp, environment: &mut dyn Environment) {
        let datagram = packet::encode(self.fleet, message);
        self.send_budget.take(datagram.len(), now);
        environment.send(to, datagram);
    }

    /// Sends a message if the send budget allows it; drops it otherwise.
    fn send_within_budget(
        &mut self,
        to: SocketAddr,
        message: &Message,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let datagram = packet::encode(self.fleet, message);
        if self.send_budget.try_take(datagram.len(), MEMBERSHIP_RESERVE_BYTES, now) {
            environment.send(to, datagram);
        }
    }

    /// Sends failure detector messages as far as the send budget, without any reserve, allows it. The others are
    /// dropped; the protocol tolerates losses.
    fn send_membership(
        &mut self,
        outgoing: Vec<MembershipDatagram>,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        for MembershipDatagram { to, bytes } in outgoing {
            let datagram = packet::encode(self.fleet, &Message::Swim(bytes));
            if self.send_budget.try_take(datagram.len(), 0, now) {
                environment.send(to, datagram);
            }
        }
    }

    /// Whether this is the address of a replica or of a member of the cell; no other sender may change the state.
    fn is_known_sender(&self, address: SocketAddr) -> bool {
        self.replicas.contains(&address) || self.members.contains(address)
    }

    /// Handles a datagram.
    pub fn on_datagram(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let message = match packet::decode(self.fleet, datagram) {
            Ok(message) => message,
            Err(error) => return environment.datagram_rejected(error.counter()),
        };
        match message {
            Message::Swim(bytes) => self.on_swim(from, &bytes, now, environment),
            Message::Pull { scope, after, snapshot } => {
                self.on_pull(from, scope, after, snapshot, now, environment);
            }
            Message::Delta(_) | Message::Push(_) | Message::Ack { .. } if !self.is_known_sender(from) => {
                environment.datagram_rejected("cells datagrams from strangers");
            }
            Message::Delta(delta) => self.on_delta(from, &delta, now, environment),
            Message::Push(delta) => self.on_push(from, &delta, now, environment),
            Message::Ack { cell, name, incarnation, version } => {
                if cell != self.cell {
                    return environment.datagram_rejected("cells acks of another cell");
                }
                self.acknowledged.observe(name, incarnation, version);
                self.submit_release(now, environment);
            }
            Message::Outcome { id, outcome } => {
                if self.replicas.contains(&from) && self.pending_changes.remove(id) {
                    environment.change_decided(id, outcome);
                }
            }
            Message::Submit(_) | Message::Paxos(_) => {
                environment.datagram_rejected("cells datagrams for replicas");
            }
        }
    }

    fn on_swim(&mut self, from: SocketAddr, bytes: &[u8], now: Timestamp, environment: &mut dyn Environment) {
        if !self.is_active {
            return;
        }
        if !self.members.contains(from) {
            return environment.datagram_rejected("cells membership from strangers");
        }
        let mut outgoing = Vec::new();
        if !self.members.on_datagram(bytes, now, &mut outgoing) {
            environment.datagram_rejected("cells membership not to be read");
        }
        self.send_membership(outgoing, now, environment);
    }

    /// Performs due actions. Must be called at [`Process::next_wakeup`]; additional calls are harmless.
    pub fn on_timer(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        let mut outgoing = Vec::new();
        self.members.on_timer(now, &mut outgoing);
        self.send_membership(outgoing, now, environment);
        self.pull_if_due(now, environment);
        let mut outgoing = Vec::new();
        self.members.announce(&mut self.rng, now, &mut outgoing);
        self.send_membership(outgoing, now, environment);
        self.retry_changes(now, environment);
    }

    /// When [`Process::on_timer`] must be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        let pull_deadline = self.outstanding_pull.as_ref().map_or(Timestamp::NEVER, |pull| pull.deadline);
        let pull = pull_deadline.min(self.next_pull_at);
        pull.min(self.members.next_wakeup()).min(self.pending_changes.next_retry_at())
    }

    /// Announces to the cell that this process leaves.
    pub fn leave(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        let mut outgoing = Vec::new();
        self.members.leave(now, &mut outgoing);
        self.send_membership(outgoing, now, environment);
    }
}

/// Addresses of the replicas: those in the region of the process first; within each group ordered by a hash of cell and
/// address, which spreads the cells over the replicas.
fn replicas_by_preference(config: &ProcessConfig) -> Vec<SocketAddr> {
    let mut replicas: Vec<_> = config.replicas.iter().map(|(_, replica)| *replica).collect();
    replicas.sort_by_key(|replica| {
        (replica.region != config.region, rank(config.cell, &replica.address.to_string()))
    });
    replicas.iter().map(|replica| replica.address).collect()
}

fn restored_state(cell: CellId, snapshot: Option<ProcessSnapshot>) -> State {
    let scope = Scope::Cell(cell);
    let mut state = State::new(scope);
    let Some(snapshot) = snapshot else { return state };
    for record in snapshot.records {
        if record.version <= snapshot.to && scope.contains(&record.key) {
            state.insert(record);
        }
    }
    state.set_complete_to(snapshot.to);
    state.compact(snapshot.horizon);
    state
}
