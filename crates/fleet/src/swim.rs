//! Membership: SWIM with suspicion, implemented with the sans-I/O library `foca`. Entries of the replicated map are
//! gossiped on its messages.

mod gossip;
mod identity;
mod rng;

use crate::entry::Entry;
use crate::membership_filter::{self, Incarnations};
use crate::replica::Replica;
use crate::roster::{missing, Incarnation, MemberId, Roster};
use foca::{AccumulatingRuntime, Config, Foca, OwnedNotification, PeriodicParams, PostcardCodec, Timer};
use gossip::EntryGossip;
use nanorand::{Rng as _, WyRand};
use rng::SeededRng;
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// Receives the messages and events of the membership protocol.
pub(crate) trait SwimEvents {
    fn send_swim(&mut self, to: MemberId, bytes: Vec<u8>);
    fn member_joined(&mut self, member: MemberId);
    fn member_left(&mut self, member: MemberId);
    /// The local member continues with a new incarnation.
    fn incarnation_renewed(&mut self, incarnation: Incarnation);
}

/// The local member's view of the membership.
pub(crate) struct Swim {
    foca: Foca<Incarnation, PostcardCodec, SeededRng, EntryGossip>,
    runtime: AccumulatingRuntime<Incarnation>,
    timers: BTreeMap<TimerKey, Timer<Incarnation>>,
    last_timer: u64,
    me: Incarnation,
    /// The members that are alive, including the local one, in ascending order.
    alive: Vec<MemberId>,
    incarnations: Incarnations,
    announcement_rng: WyRand,
    next_announcement: Timestamp,
    started: Timestamp,
}

/// When a timer is due, with a sequence number to distinguish timers that are due at the same time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Timestamp,
    sequence: u64,
}

/// Maximum length of a message in bytes, so that it fits in one datagram together with the packet header.
const MAX_MESSAGE_BYTES: usize = 1200;
/// Keeps the random sequence for announcements distinct from the one that `foca` uses.
const ANNOUNCEMENT_SEED_SALT: u64 = 0x1f;

/// How often, and to how many members at once, this member announces itself to members that are not alive.
struct AnnouncementRate {
    interval: Duration,
    members: usize,
}

/// How long after its start a member announces itself at the higher rate, so that members that start at the same time
/// discover each other quickly.
const STARTUP_TIME: Duration = Duration::from_millis(5000);
const STARTUP_ANNOUNCEMENTS: AnnouncementRate =
    AnnouncementRate { interval: Duration::from_millis(300), members: 3 };
const LATER_ANNOUNCEMENTS: AnnouncementRate =
    AnnouncementRate { interval: Duration::from_millis(3000), members: 1 };

/// One probe per second and two gossip messages twice per second, regardless of the size of the fleet. A member that
/// does not respond is suspected within 1.5 s and declared failed 3 s later. Announcements to failed members every five
/// seconds let the sides of a network partition rejoin.
fn config(size: usize) -> Config {
    let periodic = |ms, members| {
        let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members })
    };
    // The formula that `foca` recommends for an update to reach all members.
    let transmissions = (4.0 * (size as f64 + 1.0).log10()).ceil() as u8;
    Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(400),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs(3),
        remove_down_after: Some(Duration::from_secs(3600)),
        max_packet_size: NonZeroUsize::new(MAX_MESSAGE_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(10_000, 1),
        periodic_announce_to_down_members: periodic(5000, 1),
        periodic_gossip: periodic(500, 2),
        ..Config::simple()
    }
}

impl Swim {
    pub(crate) fn new(
        me: Incarnation,
        roster: &Roster,
        replica: Rc<RefCell<Replica>>,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let gossip = EntryGossip::new(replica, roster.size());
        let config = config(roster.size());
        Swim {
            foca: Foca::with_custom_broadcast(me, config, SeededRng::new(seed), PostcardCodec, gossip),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            me,
            alive: vec![me.member],
            incarnations: Incarnations::new(roster.size()),
            announcement_rng: WyRand::new_seed(seed ^ ANNOUNCEMENT_SEED_SALT),
            next_announcement: now,
            started: now,
        }
    }

    /// The members that are alive, including the local one, in ascending order.
    pub(crate) fn alive(&self) -> &[MemberId] {
        &self.alive
    }

    /// The incarnation of a peer that is alive.
    pub(crate) fn incarnation(&self, member: MemberId) -> Option<Incarnation> {
        self.incarnations.of(member)
    }

    /// Queues an entry for gossip.
    pub(crate) fn gossip(&mut self, entry: &Entry) {
        if let Ok(bytes) = postcard::to_stdvec(entry) {
            // The error is ignored: anti-entropy spreads entries that are too long for a message.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Processes a message from a peer. Returns whether it is well-formed.
    pub(crate) fn on_datagram(
        &mut self,
        message: &[u8],
        now: Timestamp,
        events: &mut impl SwimEvents,
    ) -> bool {
        // `foca` rejects messages that are too long.
        let filtered = (message.len() <= MAX_MESSAGE_BYTES)
            .then(|| membership_filter::without_known_members(message, &self.incarnations, self.me.member))
            .flatten();
        let message = filtered.as_deref().unwrap_or(message);
        let is_well_formed = self.foca.handle_data(message, &mut self.runtime).is_ok();
        self.drain_runtime(now, events);
        is_well_formed
    }

    /// Runs the timers that are due.
    pub(crate) fn on_timer(&mut self, now: Timestamp, roster: &Roster, events: &mut impl SwimEvents) {
        while let Some(first) = self.timers.first_entry().filter(|first| first.key().due <= now) {
            let timer = first.remove();
            // The error is ignored: `foca` returns one for timers that it has since replaced.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(now, events);
        }
        if now >= self.next_announcement {
            self.announce_to_missing_members(now, roster, events);
        }
    }

    /// Announces this member to random members that are not alive. Needed because `foca` itself only announces to
    /// members that it has known before.
    fn announce_to_missing_members(&mut self, now: Timestamp, roster: &Roster, events: &mut impl SwimEvents) {
        let is_starting = now.since(self.started) < STARTUP_TIME;
        let rate = if is_starting { STARTUP_ANNOUNCEMENTS } else { LATER_ANNOUNCEMENTS };
        self.next_announcement = now + rate.interval;
        let missing: Vec<MemberId> = missing(&self.alive, roster.size()).collect();
        for _ in 0..rate.members.min(missing.len()) {
            let member = missing[self.announcement_rng.generate_range(0..missing.len())];
            // The start of its incarnation is unknown until it replies.
            let _ = self.foca.announce(Incarnation { member, started_at: 0 }, &mut self.runtime);
        }
        self.drain_runtime(now, events);
    }

    /// The time at which [`Swim::on_timer`] has to be called next.
    pub(crate) fn next_wakeup(&self) -> Timestamp {
        let first_timer = self.timers.first_key_value().map(|(key, _)| key.due);
        first_timer.map_or(self.next_announcement, |due| due.min(self.next_announcement))
    }

    /// Announces that the local member leaves.
    pub(crate) fn leave(&mut self, now: Timestamp, events: &mut impl SwimEvents) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now, events);
    }

    /// Processes the timers, messages and notifications that `foca` has produced.
    fn drain_runtime(&mut self, now: Timestamp, events: &mut impl SwimEvents) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_timer += 1;
            let due = now + Duration::from_ms(after.as_secs_f64() * 1000.0);
            self.timers.insert(TimerKey { due, sequence: self.last_timer }, timer);
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            events.send_swim(to.member, bytes.to_vec());
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.on_notification(notification, events);
        }
    }

    fn on_notification(
        &mut self,
        notification: OwnedNotification<Incarnation>,
        events: &mut impl SwimEvents,
    ) {
        match notification {
            OwnedNotification::MemberUp(incarnation) => self.on_member_up(incarnation, events),
            OwnedNotification::MemberDown(incarnation) => self.on_member_down(incarnation.member, events),
            OwnedNotification::Rename(previous, incarnation) => {
                self.incarnations.member_renewed(previous, incarnation);
            }
            OwnedNotification::Rejoin(incarnation) => {
                self.me = incarnation;
                events.incarnation_renewed(incarnation);
            }
            _ => {}
        }
    }

    fn on_member_up(&mut self, incarnation: Incarnation, events: &mut impl SwimEvents) {
        if let Err(index) = self.alive.binary_search(&incarnation.member) {
            self.alive.insert(index, incarnation.member);
        }
        self.incarnations.member_joined(incarnation);
        events.member_joined(incarnation.member);
    }

    fn on_member_down(&mut self, member: MemberId, events: &mut impl SwimEvents) {
        let index = self.alive.binary_search(&member);
        if let Some(index) = index.ok().filter(|_| member != self.me.member) {
            self.alive.remove(index);
        }
        self.incarnations.member_left(member);
        events.member_left(member);
    }
}
