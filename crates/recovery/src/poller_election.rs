//! Elects the members that poll discovery on behalf of the fleet.
//!
//! All members rank the roster in the same order, and the first few members that are alive poll. After a power outage
//! no member knows yet which others are alive, so the first few of the entire roster poll until the membership has
//! settled. The number of polls therefore does not depend on the size of the fleet. The other members receive the list
//! from the pollers.

use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{rank, MemberId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The key prefix of heartbeats in the replicated map; the member id follows.
pub const HEARTBEAT_PREFIX: &str = "beat/";

/// Number of members that poll: enough for one to fail while another is being stopped.
pub(crate) const POLLER_COUNT: usize = 3;
/// Number of members that poll if the first ones get no answer, because of the network path or discovery itself.
const MAX_POLLER_COUNT: usize = 3 * POLLER_COUNT;
/// How long the membership takes to settle after a start. A starting member announces itself to three members at a
/// time, about three times per second.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(2000);
/// A poller without a new heartbeat for this long counts as not alive. Heartbeats are sent once per second, and gossip
/// takes a few seconds in a large fleet.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(5000);

/// The status that a poller shares with all members once per second. Stored by field position.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The epoch of the poller's endpoint list.
    pub epoch: u64,
    /// The version number of the poller's list.
    pub seq: u64,
    /// [`list_digest`](crate::list_digest) of the poller's list.
    pub digest: u32,
    /// Whether discovery has answered the poller within the last few seconds.
    pub is_answered: bool,
}

/// The newest heartbeat received from a poller.
struct ReceivedHeartbeat {
    /// Incremented with each heartbeat of a poller.
    number: u64,
    heartbeat: Heartbeat,
    /// When the heartbeat was received; `None` if it may have been sent before the poller's last restart.
    live_at: Option<Timestamp>,
}

/// The election as one member sees it.
pub(crate) struct PollerElection {
    me: MemberId,
    /// All members, most preferred poller first.
    ranking: Vec<MemberId>,
    started: Timestamp,
    heartbeats: BTreeMap<MemberId, ReceivedHeartbeat>,
    /// When each poller that currently gets no answer from discovery was first reported as such.
    unanswered_since: BTreeMap<MemberId, Timestamp>,
}

impl PollerElection {
    /// `fleet_tag` is the tag of the roster, which gives each fleet its own ranking.
    pub(crate) fn new(
        me: MemberId,
        members: impl Iterator<Item = MemberId>,
        fleet_tag: u64,
        now: Timestamp,
    ) -> Self {
        let mut ranking: Vec<_> = members.collect();
        ranking.sort_by_key(|member| rank(fleet_tag, *member));
        PollerElection {
            me,
            ranking,
            started: now,
            heartbeats: BTreeMap::new(),
            unanswered_since: BTreeMap::new(),
        }
    }

    /// Whether this member polls discovery. `alive` are the members that it considers alive, in ascending order.
    pub(crate) fn is_poller(&self, alive: &[MemberId], now: Timestamp) -> bool {
        let is_settling = now.since(self.started) < MEMBERSHIP_SETTLE_TIME;
        let is_candidate =
            |member: &MemberId| is_settling || *member == self.me || alive.binary_search(member).is_ok();
        let mut candidates = self.ranking.iter().copied().filter(is_candidate).take(MAX_POLLER_COUNT);
        let is_first_choice = candidates.by_ref().take(POLLER_COUNT).any(|member| member == self.me);
        is_first_choice
            || self.no_poller_is_answered(alive, now) && candidates.any(|member| member == self.me)
    }

    /// Whether all first-choice pollers have reported for longer than [`HEARTBEAT_TIMEOUT`] that discovery does not
    /// answer them.
    fn no_poller_is_answered(&self, alive: &[MemberId], now: Timestamp) -> bool {
        let is_alive = |member: &&MemberId| alive.binary_search(member).is_ok();
        let mut pollers = self.ranking.iter().filter(is_alive).take(POLLER_COUNT);
        pollers.all(|member| {
            self.unanswered_since.get(member).is_some_and(|since| now.since(*since) > HEARTBEAT_TIMEOUT)
        })
    }

    /// Processes a heartbeat. A heartbeat that was restored from a snapshot or forwarded by a peer does not prove that
    /// its poller is alive. It counts as live only if an earlier one of the same poller is known, or if it was written
    /// by the poller's current incarnation.
    pub(crate) fn on_heartbeat(
        &mut self,
        from: MemberId,
        number: u64,
        heartbeat: Heartbeat,
        is_of_current_incarnation: bool,
        now: Timestamp,
    ) {
        let previous = self.heartbeats.get(&from);
        if previous.is_some_and(|previous| number <= previous.number) {
            return;
        }
        if heartbeat.is_answered {
            self.unanswered_since.remove(&from);
        } else {
            self.unanswered_since.entry(from).or_insert(now);
        }
        let live_at = (previous.is_some() || is_of_current_incarnation).then_some(now);
        self.heartbeats.insert(from, ReceivedHeartbeat { number, heartbeat, live_at });
    }

    /// The heartbeat with the newest list among the live pollers that discovery answers.
    pub(crate) fn newest_live_heartbeat(&self, now: Timestamp) -> Option<&Heartbeat> {
        let is_live = |received: &&ReceivedHeartbeat| {
            let is_recent = received.live_at.is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT);
            received.heartbeat.is_answered && is_recent
        };
        let live = self.heartbeats.values().filter(is_live);
        let newest =
            live.max_by_key(|received| (received.heartbeat.epoch, received.heartbeat.seq, received.number));
        newest.map(|received| &received.heartbeat)
    }
}

#[cfg(test)]
#[path = "../tests/unit/poller_election.rs"]
mod tests;
