//! The other members of a process's cell: their records from the log, their liveness from SWIM, and which of them are
//! the cell's delegates.

use crate::rank;
use crate::record::CellId;
use crate::state::State;
use crate::swim::{announce_period_ms, Swim, SwimDatagram, SwimId};
use nanorand::{Rng, WyRand};
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of delegates: members that pull from the replicas on behalf of their cell.
const DELEGATES: usize = 3;
/// Period after its activation in which a process announces itself frequently.
const JOINING_PERIOD: Duration = Duration::from_millis(3000);
const JOINING_ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Another member of the cell.
#[derive(Clone, Debug)]
struct CellMember {
    name: String,
    address: SocketAddr,
    index: u16,
    incarnation: u32,
    rank: u64,
    is_alive: bool,
}

/// A failure detector message and its destination.
pub struct MembershipDatagram {
    /// Address of the receiving member.
    pub to: SocketAddr,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// The failure detector, which runs from the activation of the process.
struct Detector {
    swim: Swim,
    activated_at: Timestamp,
    next_announce_at: Timestamp,
}

/// All other members of the cell.
pub struct CellMembers {
    cell: CellId,
    /// Name of this process.
    name: String,
    members: Vec<CellMember>,
    detector: Option<Detector>,
    is_delegate: bool,
    delegates: Vec<SocketAddr>,
}

impl CellMembers {
    /// An empty set of members, for the process with this cell and name.
    pub fn new(cell: CellId, name: String) -> Self {
        CellMembers {
            cell,
            name,
            members: Vec::new(),
            detector: None,
            is_delegate: false,
            delegates: Vec::new(),
        }
    }

    /// Reloads the members from the records of the state.
    pub fn refresh(&mut self, state: &State) {
        let cell = self.cell;
        let others = state.members(cell).filter(|(name, _)| *name != self.name);
        self.members = others
            .map(|(name, member)| CellMember {
                name: name.to_owned(),
                address: member.address,
                index: member.index,
                incarnation: member.incarnation,
                rank: rank(cell, name),
                is_alive: false,
            })
            .collect();
        self.refresh_liveness();
    }

    /// Starts the failure detector when the process becomes active in the cell.
    pub fn activate(&mut self, local_id: SwimId, seed: u64, now: Timestamp) {
        let swim = Swim::new(local_id, self.members.len(), seed);
        self.detector = Some(Detector { swim, activated_at: now, next_announce_at: now });
        self.refresh_liveness();
    }

    fn refresh_liveness(&mut self) {
        if let Some(detector) = &self.detector {
            let alive: BTreeMap<u16, u32> =
                detector.swim.alive().map(|id| (id.index, id.incarnation)).collect();
            for member in &mut self.members {
                member.is_alive = alive.get(&member.index) == Some(&member.incarnation);
            }
        }
        let mut ranked: Vec<_> = self.members.iter().filter(|member| member.is_alive).collect();
        ranked.sort_unstable_by_key(|member| std::cmp::Reverse(member.rank));
        let own_rank = rank(self.cell, &self.name);
        let higher_ranked = ranked.iter().filter(|member| member.rank > own_rank).count();
        self.is_delegate = self.detector.is_some() && higher_ranked < DELEGATES;
        let other_delegates = if self.is_delegate { DELEGATES - 1 } else { DELEGATES };
        self.delegates = ranked.iter().take(other_delegates).map(|member| member.address).collect();
    }

    /// Whether this process is a delegate of its cell.
    pub fn is_delegate(&self) -> bool {
        self.is_delegate
    }

    /// Addresses of the other delegates.
    pub fn delegates(&self) -> &[SocketAddr] {
        &self.delegates
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether this is the address of a member.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.members.iter().any(|member| member.address == address)
    }

    /// Names of the alive members.
    pub fn alive(&self) -> impl Iterator<Item = &str> {
        self.members.iter().filter(|member| member.is_alive).map(|member| member.name.as_str())
    }

    /// Number of members that are not alive.
    pub fn unreachable(&self) -> usize {
        self.members.iter().filter(|member| !member.is_alive).count()
    }

    /// Addresses of `count` random members, chosen among the alive ones if there are any.
    pub fn sample(&self, count: usize, rng: &mut WyRand) -> Vec<SocketAddr> {
        let alive = self.members.iter().filter(|member| member.is_alive);
        let mut candidates: Vec<_> = alive.map(|member| member.address).collect();
        if candidates.is_empty() {
            candidates = self.members.iter().map(|member| member.address).collect();
        }
        let mut sample = Vec::new();
        while sample.len() < count && !candidates.is_empty() {
            sample.push(candidates.swap_remove(rng.generate_range(0..candidates.len())));
        }
        sample
    }

    /// Handles a failure detector message. Returns whether it could be decoded; responses are added to `outgoing`.
    pub fn on_datagram(
        &mut self,
        bytes: &[u8],
        now: Timestamp,
        outgoing: &mut Vec<MembershipDatagram>,
    ) -> bool {
        let Some(detector) = &mut self.detector else { return true };
        let mut swim_datagrams = Vec::new();
        let is_valid = detector.swim.on_datagram(bytes, now, &mut swim_datagrams);
        self.resolve_addresses(swim_datagrams, outgoing);
        is_valid
    }

    /// Handles due timers of the failure detector.
    pub fn on_timer(&mut self, now: Timestamp, outgoing: &mut Vec<MembershipDatagram>) {
        let Some(detector) = &mut self.detector else { return };
        let mut swim_datagrams = Vec::new();
        detector.swim.on_timer(now, &mut swim_datagrams);
        self.resolve_addresses(swim_datagrams, outgoing);
    }

    /// Announces this process to a random member that is not alive, if an announcement is due. Announcements are
    /// frequent in the first seconds, so that the members of a new cell find each other.
    pub fn announce(&mut self, rng: &mut WyRand, now: Timestamp, outgoing: &mut Vec<MembershipDatagram>) {
        let Some(detector) = &mut self.detector else { return };
        if now < detector.next_announce_at {
            return;
        }
        let period = Duration::from_millis(announce_period_ms(self.members.len()));
        // Jitter, because the processes of a cell may start at the same time.
        let jitter = 0.5 + f64::from(rng.generate_range(0..1000u32)) / 1000.0;
        let is_joining = now.since(detector.activated_at) < JOINING_PERIOD;
        detector.next_announce_at =
            now + if is_joining { JOINING_ANNOUNCE_PERIOD } else { period.scaled(jitter) };
        let unreachable: Vec<_> =
            self.members.iter().filter(|member| !member.is_alive).map(|member| member.index).collect();
        if unreachable.is_empty() {
            return;
        }
        let index = unreachable[rng.generate_range(0..unreachable.len())];
        let mut swim_datagrams = Vec::new();
        detector.swim.announce(index, now, &mut swim_datagrams);
        self.resolve_addresses(swim_datagrams, outgoing);
    }

    /// Announces to the cell that this process leaves.
    pub fn leave(&mut self, now: Timestamp, outgoing: &mut Vec<MembershipDatagram>) {
        let Some(detector) = &mut self.detector else { return };
        let mut swim_datagrams = Vec::new();
        detector.swim.leave(now, &mut swim_datagrams);
        self.resolve_addresses(swim_datagrams, outgoing);
    }

    /// When the next failure detector timer or announcement is due.
    pub fn next_wakeup(&self) -> Timestamp {
        self.detector
            .as_ref()
            .map_or(Timestamp::NEVER, |detector| detector.swim.next_wakeup().min(detector.next_announce_at))
    }

    /// Resolves member indices to addresses, and refreshes the liveness if the failure detector reports changes.
    fn resolve_addresses(
        &mut self,
        swim_datagrams: Vec<SwimDatagram>,
        outgoing: &mut Vec<MembershipDatagram>,
    ) {
        for SwimDatagram { index, bytes } in swim_datagrams {
            if let Some(member) = self.members.iter().find(|member| member.index == index) {
                outgoing.push(MembershipDatagram { to: member.address, bytes });
            }
        }
        if self.detector.as_mut().is_some_and(|detector| detector.swim.take_changed()) {
            self.refresh_liveness();
        }
    }
}
