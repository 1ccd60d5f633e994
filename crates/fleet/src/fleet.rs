//! The state machine of one fleet member: its state, its timers and what it passes to the parts.

mod datagrams;
mod map_access;

use crate::clock_skew::ClockSkew;
use crate::environment::Environment;
use crate::outbox::Outbox;
use crate::packet::Message;
use crate::quota_leases::{QuotaLeases, RENEW_INTERVAL};
use crate::replica::Replica;
use crate::reply_limit::ReplyLimit;
use crate::roster::{Incarnation, MemberId, Roster};
use crate::swim::Swim;
use nanorand::{Rng, WyRand};
use shelfgrade::time::Timestamp;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

pub use map_access::PutError;

/// The capacity of the replicated map: some thousands of servers, and what customers and sites have.
pub const MAX_ENTRIES: usize = 8192;

/// For this long after its start a member, which may know nothing, runs anti-entropy often.
const STARTUP_TIME: Duration = Duration::from_millis(5000);
/// How often anti-entropy runs during that time.
const STARTUP_ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(200);
/// How often anti-entropy runs after it; as often as the membership probes.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(1000);
/// Tells the generator of this module from those that others make of the same seed.
const SEED_SALT: u64 = 0xfee7;

/// State machine of one fleet member: its view of the membership, its replica of the shared map and its leases on the
/// fleet's quota.
pub struct Fleet {
    roster: Roster,
    me: Incarnation,
    /// Shared with the gossip handler inside `swim`.
    replica: Rc<RefCell<Replica>>,
    swim: Swim,
    quota_leases: QuotaLeases,
    clock_skew: ClockSkew,
    next_anti_entropy: Timestamp,
    next_lease_renewal: Timestamp,
    reply_limit: ReplyLimit,
    started: Timestamp,
    rng: WyRand,
}

impl Fleet {
    /// `started_at`: microseconds of Unix time, or more where an earlier incarnation is known to have had more.
    pub fn new(roster: Roster, started_at: u64, seed: u64, now: Timestamp) -> Self {
        let me = Incarnation { member: roster.me(), started_at };
        let replica = Rc::new(RefCell::new(Replica::new(MAX_ENTRIES)));
        Fleet {
            swim: Swim::new(me, &roster, replica.clone(), seed, now),
            quota_leases: QuotaLeases::new(me, roster.size(), now),
            me,
            replica,
            clock_skew: ClockSkew::default(),
            next_anti_entropy: now,
            next_lease_renewal: now,
            reply_limit: ReplyLimit::new(now),
            started: now,
            rng: WyRand::new_seed(seed ^ SEED_SALT),
            roster,
        }
    }

    /// The members that the fleet may have.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The local member's incarnation.
    pub fn me(&self) -> Incarnation {
        self.me
    }

    /// The members that are alive as far as this one sees, itself included, in the order of the roster.
    pub fn alive(&self) -> &[MemberId] {
        self.swim.alive()
    }

    /// The incarnation of a peer that is alive as far as this member sees.
    pub fn incarnation(&self, member: MemberId) -> Option<Incarnation> {
        self.swim.incarnation(member)
    }

    /// The fraction of the fleet's quota that this member may use now, from 0 to 1.
    pub fn quota_fraction(&self, now: Timestamp) -> f64 {
        self.quota_leases.quota_fraction(now)
    }

    /// Milliseconds to add to the local clock to have the median of the members' clocks; 0 while they agree.
    pub fn clock_correction_ms(&self) -> i64 {
        self.clock_skew.correction_ms()
    }

    /// Runs the timers that are due. `wall_ms`: this machine's Unix time in milliseconds, uncorrected.
    pub fn on_timer(&mut self, now: Timestamp, wall_ms: u64, environment: &mut dyn Environment) {
        let mut outbox = Outbox::new(&self.roster, self.me, wall_ms, environment);
        self.swim.on_timer(now, &self.roster, &mut outbox);
        if now >= self.next_anti_entropy {
            let is_starting = now.since(self.started) < STARTUP_TIME;
            let interval = if is_starting { STARTUP_ANTI_ENTROPY_INTERVAL } else { ANTI_ENTROPY_INTERVAL };
            self.next_anti_entropy = now + interval;
            if let Some(peer) = random_peer(self.swim.alive(), self.me.member, &mut self.rng) {
                outbox.send(peer, map_digest(&self.replica.borrow(), false));
            }
        }
        if now >= self.next_lease_renewal {
            self.next_lease_renewal = now + RENEW_INTERVAL;
            renew_leases(&mut self.quota_leases, self.me, self.swim.alive(), now, &mut outbox);
        }
        let renewed = outbox.renewed;
        self.finish_call(renewed, environment);
    }

    /// When [`Fleet::on_timer`] is to be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        self.swim.next_wakeup().min(self.next_anti_entropy).min(self.next_lease_renewal)
    }

    /// Leaves the fleet on shutdown, so that its peers need not detect the failure.
    pub fn leave(&mut self, now: Timestamp, wall_ms: u64, environment: &mut dyn Environment) {
        let mut outbox = Outbox::new(&self.roster, self.me, wall_ms, environment);
        self.swim.leave(now, &mut outbox);
    }

    /// Handles what a call has changed: a renewed incarnation, and entries that were merged from peers.
    fn finish_call(&mut self, renewed: Option<Incarnation>, environment: &mut dyn Environment) {
        if let Some(incarnation) = renewed {
            self.me = incarnation;
            self.quota_leases.incarnation_renewed(incarnation);
        }
        let merges = self.replica.borrow_mut().take_pending();
        for _ in 0..merges.rejected {
            environment.datagram_rejected("fleet entries over the limit");
        }
        for entry in &merges.applied {
            self.swim.gossip(entry);
            environment.entry_changed(entry);
        }
    }
}

/// The digests of all buckets, for a peer to compare.
fn map_digest(replica: &Replica, is_reply: bool) -> Message {
    Message::MapDigest { buckets: replica.map.bucket_digests().to_vec(), is_reply }
}

/// One of the members that are alive, other than the local one.
fn random_peer(alive: &[MemberId], me: MemberId, rng: &mut WyRand) -> Option<MemberId> {
    if alive.len() < 2 {
        return None;
    }
    let index = rng.generate_range(0..alive.len() - 1);
    // Skips the local member.
    Some(alive[index + usize::from(alive[index] >= me)])
}

/// Requests leases from their voters, of which this member may be one.
fn renew_leases(
    quota_leases: &mut QuotaLeases,
    me: Incarnation,
    alive: &[MemberId],
    now: Timestamp,
    outbox: &mut Outbox,
) {
    for addressed in quota_leases.request_leases(alive, now) {
        if addressed.voter == me.member {
            let grant = quota_leases.on_request(me, &addressed.request, now);
            quota_leases.on_grant(me.member, &grant);
        } else {
            outbox.send(addressed.voter, Message::LeaseRequest(addressed.request));
        }
    }
}
