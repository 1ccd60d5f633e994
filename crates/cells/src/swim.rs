//! Failure detection in a cell by SWIM with suspicion, implemented by the `foca` crate, which does no I/O.

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec, Timer,
};
use nanorand::{Rng as _, WyRand};
use serde::{Deserialize, Serialize};
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Identity of a process; its address is the member index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SwimId {
    /// Index of the member in its cell.
    pub index: u16,
    /// Incarnation of the process.
    pub incarnation: u32,
    /// Number of times the process was declared dead while it was alive.
    pub refutations: u16,
}

impl Identity for SwimId {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(SwimId { refutations: self.refutations.saturating_add(1), ..*self })
    }

    fn addr(&self) -> u16 {
        self.index
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.refutations) > (other.incarnation, other.refutations)
    }
}

/// Random number generator for `foca`, initialized from a given seed.
struct SwimRng(WyRand);

impl rand::TryRng for SwimRng {
    type Error = Infallible;
    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok(self.0.generate())
    }
    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.generate())
    }
    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        self.0.fill(bytes);
        Ok(())
    }
}

/// Minimum period between announcements of a process to a member that it considers dead.
const MIN_ANNOUNCE_PERIOD_MS: u64 = 10_000;
/// Period per member of the cell. All members together then announce themselves to a dead one four times a second.
const ANNOUNCE_PERIOD_PER_MEMBER_MS: u64 = 250;
/// Maximum size of the messages of `foca`, without the datagram header.
const MAX_SWIM_BYTES: usize = 350;

/// Period between announcements of a process to a member that it considers dead, for this number of members.
pub fn announce_period_ms(members: usize) -> u64 {
    MIN_ANNOUNCE_PERIOD_MS.max(ANNOUNCE_PERIOD_PER_MEMBER_MS * members as u64)
}

/// One probe and one gossip message per second, independent of the size of the cell. A member that does not respond is
/// suspected within 1.5 seconds and declared dead 3 seconds later. Announcements are also sent to dead members, so that
/// the sides of a partition find each other again.
fn config(size: usize, seed: u64) -> Config {
    // Jitter, because the processes of a cell may start at the same time.
    let period_ms = announce_period_ms(size);
    let period_ms = period_ms * 3 / 4 + WyRand::new_seed(seed).generate_range(0..period_ms / 2);
    let periodic =
        |ms| Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: NonZeroUsize::MIN });
    // Number of transmissions after which `foca` expects an update to have reached all members.
    let transmissions = (4.0 * (size as f64 + 1.0).log10()).ceil() as u8;
    Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(400),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs(3),
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: NonZeroUsize::new(MAX_SWIM_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(20_000),
        periodic_announce_to_down_members: periodic(period_ms),
        periodic_gossip: periodic(1000),
        ..Config::simple()
    }
}

/// The failure detector of one process.
pub struct Swim {
    foca: Foca<SwimId, PostcardCodec, SwimRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<SwimId>,
    /// Timers by due time and sequence number; the latter distinguishes timers that are due at the same time.
    timers: BTreeMap<(Timestamp, u64), Timer<SwimId>>,
    last_sequence: u64,
    has_changed: bool,
}

/// A message to a member of the cell.
pub struct SwimDatagram {
    /// Index of the receiving member.
    pub index: u16,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

impl Swim {
    /// A failure detector that does not know any other member yet.
    pub fn new(local_id: SwimId, size: usize, seed: u64) -> Self {
        let rng = SwimRng(WyRand::new_seed(seed));
        Swim {
            foca: Foca::new(local_id, config(size, seed), rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_sequence: 0,
            has_changed: true,
        }
    }

    /// The alive members, without this process.
    pub fn alive(&self) -> impl Iterator<Item = SwimId> + '_ {
        self.foca.iter_members().map(|member| *member.id())
    }

    /// Whether the set of alive members has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Announces this process to the member with this index, whose incarnation need not be known.
    pub fn announce(&mut self, index: u16, now: Timestamp, outgoing: &mut Vec<SwimDatagram>) {
        let _ = self.foca.announce(SwimId { index, incarnation: 0, refutations: 0 }, &mut self.runtime);
        self.drain_runtime(now, outgoing);
    }

    /// Handles a message. Returns whether it was valid.
    pub fn on_datagram(&mut self, bytes: &[u8], now: Timestamp, outgoing: &mut Vec<SwimDatagram>) -> bool {
        let is_valid = self.foca.handle_data(bytes, &mut self.runtime).is_ok();
        self.drain_runtime(now, outgoing);
        is_valid
    }

    /// Handles due timers.
    pub fn on_timer(&mut self, now: Timestamp, outgoing: &mut Vec<SwimDatagram>) {
        while let Some(due) = self.timers.first_entry().filter(|due| due.key().0 <= now) {
            let timer = due.remove();
            // `foca` returns an error for timers that it has cancelled.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(now, outgoing);
        }
    }

    /// When the next timer is due.
    pub fn next_wakeup(&self) -> Timestamp {
        self.timers.first_key_value().map_or(Timestamp::NEVER, |first| first.0 .0)
    }

    /// Announces to the members that this process leaves.
    pub fn leave(&mut self, now: Timestamp, outgoing: &mut Vec<SwimDatagram>) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now, outgoing);
    }

    fn drain_runtime(&mut self, now: Timestamp, outgoing: &mut Vec<SwimDatagram>) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_sequence += 1;
            let at = now + Duration::from_ms(after.as_secs_f64() * 1000.0);
            self.timers.insert((at, self.last_sequence), timer);
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            outgoing.push(SwimDatagram { index: to.index, bytes: bytes.to_vec() });
        }
        while self.runtime.to_notify().is_some() {
            self.has_changed = true;
        }
    }
}
