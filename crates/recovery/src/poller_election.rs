//! Elects the members that poll discovery on behalf of all.
//!
//! All members rank the roster in the same order, and the first few of those alive poll. After a loss of power nobody
//! knows yet who is alive, so until the membership has settled the first few of the entire roster poll. The number of
//! polls therefore does not depend on the size of the fleet. The other members receive the list from the pollers.

use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{rank, MemberId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The prefix of the keys of heartbeats in the replicated map; the number of the member follows.
pub const HEARTBEAT_PREFIX: &str = "beat/";

/// How many members poll, so that one may fail while another is being stopped.
pub(crate) const POLLERS: usize = 3;
/// How many members poll where the first ones get no answer: the network path or discovery itself may be down.
const MAX_POLLERS: usize = 3 * POLLERS;
/// How long the membership takes to settle after a start; three members are invited three times a second.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(2000);
/// After this long without a new heartbeat a poller counts as gone. Heartbeats come once a second, and gossip takes
/// some seconds in a large fleet.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(5000);

/// What a poller shares with all members once a second. Stored by the position of the fields.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The epoch of the poller's endpoint list.
    pub epoch: u64,
    /// The version number of its list.
    pub seq: u64,
    /// [`list_digest`](crate::list_digest) of its list.
    pub digest: u32,
    /// Discovery has answered it within the last few seconds.
    pub answered: bool,
}

/// The newest heartbeat of a poller.
struct ReceivedHeartbeat {
    /// Goes up from one heartbeat of a poller to the next.
    number: u64,
    heartbeat: Heartbeat,
    /// When it was received; none where it may be from before the poller's restart.
    live_at: Option<Timestamp>,
}

/// The election as one member sees it.
pub(crate) struct PollerElection {
    me: MemberId,
    /// All members, the most preferred poller first.
    ranking: Vec<MemberId>,
    started: Timestamp,
    heartbeats: BTreeMap<MemberId, ReceivedHeartbeat>,
    unanswered_since: BTreeMap<MemberId, Timestamp>,
}

impl PollerElection {
    /// `fleet_tag`: the roster's tag, so that each fleet has a ranking of its own.
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

    /// Whether this member polls discovery, given the members that it sees `alive`, in order.
    pub(crate) fn is_poller(&self, alive: &[MemberId], now: Timestamp) -> bool {
        let is_settling = now.since(self.started) < MEMBERSHIP_SETTLE_TIME;
        let is_candidate =
            |member: &MemberId| is_settling || *member == self.me || alive.binary_search(member).is_ok();
        let mut candidates = self.ranking.iter().copied().filter(is_candidate).take(MAX_POLLERS);
        let is_first_choice = candidates.by_ref().take(POLLERS).any(|member| member == self.me);
        is_first_choice || self.pollers_unanswered(alive, now) && candidates.any(|member| member == self.me)
    }

    /// Whether all first-choice pollers have reported for some time that discovery does not answer them.
    fn pollers_unanswered(&self, alive: &[MemberId], now: Timestamp) -> bool {
        let is_alive = |member: &&MemberId| alive.binary_search(member).is_ok();
        let mut pollers = self.ranking.iter().filter(is_alive).take(POLLERS);
        pollers.all(|member| {
            self.unanswered_since.get(member).is_some_and(|since| now.since(*since) > HEARTBEAT_TIMEOUT)
        })
    }

    /// Takes in a heartbeat. One restored from a snapshot or forwarded by a peer is no sign that its poller is alive:
    /// it counts only if it follows another one, or was written by the poller's current incarnation.
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
        if heartbeat.answered {
            self.unanswered_since.remove(&from);
        } else {
            self.unanswered_since.entry(from).or_insert(now);
        }
        let live_at = (previous.is_some() || is_of_current_incarnation).then_some(now);
        self.heartbeats.insert(from, ReceivedHeartbeat { number, heartbeat, live_at });
    }

    /// The heartbeat with the newest list, of the live pollers that discovery answers.
    pub(crate) fn newest_live(&self, now: Timestamp) -> Option<&Heartbeat> {
        let is_live = |received: &&ReceivedHeartbeat| {
            let is_recent = received.live_at.is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT);
            received.heartbeat.answered && is_recent
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
