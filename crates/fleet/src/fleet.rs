//! The state machine of a fleet member: holds its state, runs its timers and dispatches to the components.

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

/// The capacity of the replicated map: enough for several thousand servers plus the entries of customers and sites.
pub const MAX_ENTRIES: usize = 8192;

/// How long after its start a member runs anti-entropy at the higher rate, as its replica may still be empty.
const STARTUP_TIME: Duration = Duration::from_millis(5000);
/// Anti-entropy interval during [`STARTUP_TIME`].
const STARTUP_ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(200);
/// Anti-entropy interval after [`STARTUP_TIME`]; equal to the probe interval of the membership protocol.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(1000);
/// Keeps this module's random sequence distinct from others that are derived from the same seed.
const SEED_SALT: u64 = 0xfee7;

/// The state machine of a fleet member: its view of the membership, its replica of the shared map and its leases on the
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
    /// `started_at` identifies the incarnation: the Unix time in microseconds, or a higher value if an earlier
    /// incarnation is known to have used the current time or a later one.
    pub fn new(roster: Roster, started_at: u64, seed: u64, now: Timestamp) -> Self {
        let me = Incarnation { member: roster.local_member(), started_at };
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

    /// All members of the fleet, alive or not.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The incarnation of the local member.
    pub fn local_incarnation(&self) -> Incarnation {
        self.me
    }

    /// The members that this member considers alive, including itself, in roster order.
    pub fn alive(&self) -> &[MemberId] {
        self.swim.alive()
    }

    /// The incarnation of a peer; `None` if this member does not consider it alive.
    pub fn incarnation(&self, member: MemberId) -> Option<Incarnation> {
        self.swim.incarnation(member)
    }

    /// The fraction of the fleet's quota that this member may currently use, from 0 to 1.
    pub fn quota_fraction(&self, now: Timestamp) -> f64 {
        self.quota_leases.quota_fraction(now)
    }

    /// Milliseconds to add to the local clock to match the median of the members' clocks; 0 while they agree.
    pub fn clock_correction_ms(&self) -> i64 {
        self.clock_skew.correction_ms()
    }

    /// Runs the timers that are due. `wall_ms` is the local Unix time in milliseconds, without clock correction.
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

    /// The time at which [`Fleet::on_timer`] has to be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        self.swim.next_wakeup().min(self.next_anti_entropy).min(self.next_lease_renewal)
    }

    /// Announces that this member leaves the fleet, so that peers do not have to detect its absence as a failure.
    pub fn leave(&mut self, now: Timestamp, wall_ms: u64, environment: &mut dyn Environment) {
        let mut outbox = Outbox::new(&self.roster, self.me, wall_ms, environment);
        self.swim.leave(now, &mut outbox);
    }

    /// Processes the results of a call: a renewed incarnation, and entries that were merged from peers.
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

/// Builds the message with all bucket digests for a peer to compare.
fn map_digest(replica: &Replica, is_reply: bool) -> Message {
    Message::MapDigest { buckets: replica.map.bucket_digests().to_vec(), is_reply }
}

/// Picks a random member that is alive, other than the local one.
fn random_peer(alive: &[MemberId], me: MemberId, rng: &mut WyRand) -> Option<MemberId> {
    if alive.len() < 2 {
        return None;
    }
    let index = rng.generate_range(0..alive.len() - 1);
    // `alive` is sorted: indexes from that of the local member on are shifted by one, which skips it.
    Some(alive[index + usize::from(alive[index] >= me)])
}

/// Requests leases from their voters. The local member may be one of them and is then called directly.
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
