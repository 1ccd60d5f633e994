//! Who of a cell is alive: SWIM with suspicion, by the library `foca`, which does no I/O.

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

/// A process in a place of its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    pub place: u16,
    pub incarnation: u32,
    /// How often it was taken for dead and was not.
    pub again: u16,
}

impl Identity for Id {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(Id { again: self.again.saturating_add(1), ..*self })
    }

    fn addr(&self) -> u16 {
        self.place
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.again) > (other.incarnation, other.again)
    }
}

/// The library's chance, from the given seed.
struct Dice(WyRand);

impl rand::TryRng for Dice {
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

/// How often one asks another that it takes for dead, in milliseconds, where the cell is small. Guards against one that
/// starts having to answer all of a large cell at once: those ask together four times a second.
pub const SELDOM: u64 = 10_000;

/// One probe a second and a gossip to one, whatever the cell's size; who answers nobody is suspected within a second
/// and a half and dead three later. Dead ones are asked again, so that two halves find each other.
fn config(size: usize, seed: u64) -> Config {
    // Not all of a cell that started together at the same moment.
    let seldom = SELDOM.max(250 * size as u64);
    let seldom = seldom * 3 / 4 + WyRand::new_seed(seed).generate_range(0..seldom / 2);
    let periodic =
        |ms| Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: NonZeroUsize::MIN });
    // News has reached all when each has told it to so many: the library's figure.
    let transmissions = (4.0 * (size as f64 + 1.0).log10()).ceil() as u8;
    Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(400),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs(3),
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: NonZeroUsize::new(350).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(20_000),
        periodic_announce_to_down_members: periodic(seldom),
        periodic_gossip: periodic(1000),
        ..Config::simple()
    }
}

pub struct Swim {
    foca: Foca<Id, PostcardCodec, Dice, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Id>,
    /// What is due when; a number tells apart what is due at once.
    timers: BTreeMap<(Timestamp, u64), Timer<Id>>,
    last_timer: u64,
    /// True where who is there has changed since it was asked last.
    changed: bool,
}

/// Datagrams to places of the cell.
pub type Sends = Vec<(u16, Vec<u8>)>;

impl Swim {
    pub fn new(me: Id, size: usize, seed: u64) -> Self {
        let dice = Dice(WyRand::new_seed(seed));
        Swim {
            foca: Foca::new(me, config(size, seed), dice, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            changed: true,
        }
    }

    /// Who is there besides this process.
    pub fn alive(&self) -> impl Iterator<Item = Id> + '_ {
        self.foca.iter_members().map(|member| *member.id())
    }

    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Asks one that it has not met, by its place alone.
    pub fn invite(&mut self, place: u16, now: Timestamp, sends: &mut Sends) {
        let _ = self.foca.announce(Id { place, incarnation: 0, again: 0 }, &mut self.runtime);
        self.settle(now, sends);
    }

    /// True where the message could be read.
    pub fn on_datagram(&mut self, bytes: &[u8], now: Timestamp, sends: &mut Sends) -> bool {
        let read = self.foca.handle_data(bytes, &mut self.runtime).is_ok();
        self.settle(now, sends);
        read
    }

    pub fn on_timer(&mut self, now: Timestamp, sends: &mut Sends) {
        while let Some(due) = self.timers.first_entry().filter(|due| due.key().0 <= now) {
            let timer = due.remove();
            // A timer that the library no longer knows is none of its concern.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.settle(now, sends);
        }
    }

    pub fn next_wakeup(&self) -> Timestamp {
        self.timers.first_key_value().map_or(Timestamp::NEVER, |first| first.0 .0)
    }

    pub fn leave(&mut self, now: Timestamp, sends: &mut Sends) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.settle(now, sends);
    }

    fn settle(&mut self, now: Timestamp, sends: &mut Sends) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_timer += 1;
            let at = now + Duration::from_ms(after.as_secs_f64() * 1000.0);
            self.timers.insert((at, self.last_timer), timer);
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            sends.push((to.place, bytes.to_vec()));
        }
        while self.runtime.to_notify().is_some() {
            self.changed = true;
        }
    }
}
