//! Who is there: SWIM with suspicion, by the library `foca`, which does no I/O; rumours of entries ride on its messages.

use crate::membership_filter::{self, Incarnations};
use crate::replicated_map::{Entry, MergeOutcome, ReplicatedMap, Version};
use crate::roster::{missing, Incarnation, MemberId, Roster};
use foca::{
    AccumulatingRuntime, BroadcastHandler, Config, Foca, Identity, Invalidates, OwnedNotification,
    PeriodicParams, PostcardCodec, Timer,
};
use nanorand::{Rng as _, WyRand};
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

impl Identity for Incarnation {
    type Addr = MemberId;

    /// Guards against a process that was taken for dead, or whose clock went back, never being believed again: its next
    /// life is later than any clock is wrong by.
    fn renew(&self) -> Option<Self> {
        const LATER: u64 = 6 * 3_600_000_000;
        Some(Incarnation { member: self.member, started_at: self.started_at.saturating_add(LATER) })
    }

    fn addr(&self) -> MemberId {
        self.member
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.started_at > other.started_at
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

/// The map, and what has changed in it since that was last told.
pub struct Known {
    pub map: ReplicatedMap,
    pub fresh: Vec<Entry>,
    pub over_bound: u64,
}

impl Known {
    pub fn merge(&mut self, entry: Entry) -> bool {
        let merged = self.map.merge(entry.clone());
        match merged {
            MergeOutcome::Applied => self.fresh.push(entry),
            MergeOutcome::Rejected => self.over_bound += 1,
            MergeOutcome::Stale => {}
        }
        merged == MergeOutcome::Applied
    }
}

#[derive(Debug, thiserror::Error)]
#[error("an entry that is none")]
struct NoEntry;

struct Rumour {
    key: String,
    version: Version,
}

impl Invalidates for Rumour {
    fn invalidates(&self, other: &Self) -> bool {
        self.key == other.key && self.version >= other.version
    }
}

struct Rumours {
    known: Rc<RefCell<Known>>,
    members: usize,
}

impl BroadcastHandler<Incarnation> for Rumours {
    type Key = Rumour;
    type Error = NoEntry;

    fn receive_item(&mut self, data: &[u8], sender: Option<&Incarnation>) -> Result<Option<Rumour>, NoEntry> {
        let entry: Entry = postcard::from_bytes(data).map_err(|_| NoEntry)?;
        if usize::from(entry.owner.0) >= self.members {
            return Err(NoEntry);
        }
        let rumour = Rumour { key: entry.key.clone(), version: entry.version };
        // What this process says itself stands in its map already.
        let news = sender.is_none() || self.known.borrow_mut().merge(entry);
        Ok(news.then_some(rumour))
    }
}

pub struct Swim {
    foca: Foca<Incarnation, PostcardCodec, Dice, Rumours>,
    runtime: AccumulatingRuntime<Incarnation>,
    /// What is due when; a number tells apart what is due at once.
    timers: BTreeMap<(Timestamp, u64), Timer<Incarnation>>,
    last_timer: u64,
    me: Incarnation,
    /// Who is there, this process included, in the order of the roster. Guards against a list of all that is built anew
    /// at each call: it follows what the library tells.
    there: Vec<MemberId>,
    incarnations: Incarnations,
    /// Whom it has not met, in turns.
    invites: WyRand,
    next_invite: Timestamp,
    began: Timestamp,
}

/// What the membership asks for or tells.
pub trait SwimEvents {
    fn send_swim(&mut self, to: MemberId, bytes: Vec<u8>);
    fn member_joined(&mut self, member: MemberId);
    fn member_left(&mut self, member: MemberId);
    /// This process goes on under another life.
    fn incarnation_renewed(&mut self, incarnation: Incarnation);
}

/// The longest message, in bytes: with what is round it, it fits in one datagram.
const LONGEST: usize = 1200;

/// One probe a second and a gossip to two twice a second, whatever the fleet's size; a process that answers nobody is
/// suspected within a second and a half and dead three later. Dead ones are asked again every five seconds, so that two
/// halves find each other.
fn config(size: usize) -> Config {
    let periodic = |ms, members| {
        let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members })
    };
    // A rumour has reached all when each has told it to so many: four times the logarithm is the library's figure.
    let transmissions = (4.0 * (size as f64 + 1.0).log10()).ceil() as u8;
    Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(400),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs(3),
        remove_down_after: Some(Duration::from_secs(3600)),
        max_packet_size: NonZeroUsize::new(LONGEST).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(10_000, 1),
        periodic_announce_to_down_members: periodic(5000, 1),
        periodic_gossip: periodic(500, 2),
        ..Config::simple()
    }
}

impl Swim {
    pub fn new(
        me: Incarnation,
        roster: &Roster,
        known: Rc<RefCell<Known>>,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let rumours = Rumours { known, members: roster.size() };
        let dice = Dice(WyRand::new_seed(seed));
        Swim {
            foca: Foca::with_custom_broadcast(me, config(roster.size()), dice, PostcardCodec, rumours),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            me,
            there: vec![me.member],
            incarnations: Incarnations::new(roster.size()),
            invites: WyRand::new_seed(seed ^ 0x1f),
            next_invite: now,
            began: now,
        }
    }

    /// Who is there, this process included, in the order of the roster.
    pub fn alive(&self) -> &[MemberId] {
        &self.there
    }

    /// The life of who is there in a member, as far as it is known.
    pub fn incarnation(&self, member: MemberId) -> Option<Incarnation> {
        self.incarnations.of(member)
    }

    /// Hands on a rumour of an entry that was written here, or found elsewhere by comparing.
    pub fn spread(&mut self, entry: &Entry) {
        if let Ok(bytes) = postcard::to_stdvec(entry) {
            // One too long for a message is left to comparing.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// True where the message could be read.
    pub fn on_datagram(&mut self, bytes: &[u8], now: Timestamp, environment: &mut impl SwimEvents) -> bool {
        // One that is too long is for the library to refuse.
        let news = Some(bytes).filter(|bytes| bytes.len() <= LONGEST);
        let news = news.and_then(|bytes| membership_filter::news(bytes, &self.incarnations, self.me.member));
        let read = self.foca.handle_data(news.as_deref().unwrap_or(bytes), &mut self.runtime).is_ok();
        self.settle(now, environment);
        read
    }

    pub fn on_timer(&mut self, now: Timestamp, roster: &Roster, environment: &mut impl SwimEvents) {
        while let Some(due) = self.timers.first_entry().filter(|due| due.key().0 <= now) {
            let timer = due.remove();
            // A timer that the library no longer knows is none of its concern.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.settle(now, environment);
        }
        if now >= self.next_invite {
            self.invite(now, roster, environment);
        }
    }

    /// Guards against a fleet that never finds together: those that were not met are asked, by their members alone, often
    /// in the first seconds.
    fn invite(&mut self, now: Timestamp, roster: &Roster, environment: &mut impl SwimEvents) {
        const EARLY: Duration = Duration::from_millis(5000);
        let (pause, most) = if now.since(self.began) < EARLY {
            (Duration::from_millis(300), 3)
        } else {
            (Duration::from_millis(3000), 1)
        };
        self.next_invite = now + pause;
        let unmet: Vec<MemberId> = missing(&self.there, roster.size()).collect();
        for _ in 0..most.min(unmet.len()) {
            let member = unmet[self.invites.generate_range(0..unmet.len())];
            let _ = self.foca.announce(Incarnation { member, started_at: 0 }, &mut self.runtime);
        }
        self.settle(now, environment);
    }

    pub fn next_wakeup(&self) -> Timestamp {
        self.timers.first_key_value().map_or(self.next_invite, |first| first.0 .0.min(self.next_invite))
    }

    pub fn leave(&mut self, now: Timestamp, environment: &mut impl SwimEvents) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.settle(now, environment);
    }

    fn settle(&mut self, now: Timestamp, environment: &mut impl SwimEvents) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_timer += 1;
            let at = now + Duration::from_ms(after.as_secs_f64() * 1000.0);
            self.timers.insert((at, self.last_timer), timer);
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            environment.send_swim(to.member, bytes.to_vec());
        }
        while let Some(news) = self.runtime.to_notify() {
            match news {
                OwnedNotification::MemberUp(member) => {
                    if let Err(at) = self.there.binary_search(&member.member) {
                        self.there.insert(at, member.member);
                    }
                    self.incarnations.member_joined(member);
                    environment.member_joined(member.member);
                }
                OwnedNotification::MemberDown(member) => {
                    let at = self.there.binary_search(&member.member);
                    if let Some(at) = at.ok().filter(|_| member.member != self.me.member) {
                        self.there.remove(at);
                    }
                    self.incarnations.member_left(member.member);
                    environment.member_left(member.member);
                }
                OwnedNotification::Rename(before, incarnation) => {
                    self.incarnations.follows(before, incarnation)
                }
                OwnedNotification::Rejoin(incarnation) => {
                    self.me = incarnation;
                    environment.incarnation_renewed(incarnation);
                }
                _ => {}
            }
        }
    }
}
