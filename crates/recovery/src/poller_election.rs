//! Who asks discovery: a few for all. The others have the list from them, and step in where they are gone.
//!
//! The order of the members is the same at every process. After a loss of power nobody knows who is there, so at first
//! the first few of all members ask; once the fellows had time to be heard, the first few of those that are there do. The
//! number of calls is so many for each of these moments, whatever the number of processes.

use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{rank, MemberId};
use std::collections::BTreeMap;
use std::time::Duration;

/// How many ask: one may die as another is stopped, and there is still the list.
pub const POLLERS: usize = 3;
/// How long fellows have to be heard before a process goes by whom it sees: membership invites three of them three times
/// a second.
pub const HEARD_BY: Duration = Duration::from_millis(2000);
/// A heartbeat that has not gone on for this long is of one that asks no more: they come once a second, and rumours take some
/// seconds in a large fleet.
pub const FRESH: Duration = Duration::from_millis(5000);

/// What an poller tells all once a second.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// What the list came to there: the count, the version and a digest of all lines.
    pub epoch: u64,
    pub seq: u64,
    pub digest: u32,
    /// Discovery has answered it within the last few seconds.
    pub answered: bool,
}

/// How many may ask where the first ones have no answer, which may be the way there or discovery itself.
const AT_MOST: usize = 3 * POLLERS;

pub struct PollerElection {
    me: MemberId,
    /// The members in the order in which they ask.
    order: Vec<MemberId>,
    began: Timestamp,
    heartbeats: BTreeMap<MemberId, (u64, Heartbeat, Option<Timestamp>)>,
    unanswered_since: BTreeMap<MemberId, Timestamp>,
}

impl PollerElection {
    /// `fleet`: the roster's tag, so that fleets have orders of their own.
    pub fn new(me: MemberId, members: impl Iterator<Item = MemberId>, fleet: u64, now: Timestamp) -> Self {
        let mut order: Vec<_> = members.collect();
        order.sort_by_key(|member| rank(fleet, *member));
        PollerElection {
            me,
            order,
            began: now,
            heartbeats: BTreeMap::new(),
            unanswered_since: BTreeMap::new(),
        }
    }

    /// Whether this process is to ask discovery, by those that it sees.
    pub fn is_poller(&self, alive: &[MemberId], now: Timestamp) -> bool {
        let early = now.since(self.began) < HEARD_BY;
        let there = |member: &MemberId| early || *member == self.me || alive.binary_search(member).is_ok();
        let mut first = self.order.iter().copied().filter(there).take(AT_MOST);
        let mut asks = first.by_ref().take(POLLERS);
        asks.any(|member| member == self.me)
            || self.unanswered(alive, now) && first.any(|member| member == self.me)
    }

    /// Whether all that ask for this one have said for a while that they get no answer.
    fn unanswered(&self, alive: &[MemberId], now: Timestamp) -> bool {
        let there = |member: &&MemberId| alive.binary_search(member).is_ok();
        let since = |member: &MemberId| self.unanswered_since.get(member).copied();
        let mut first = self.order.iter().filter(there).take(POLLERS);
        first.all(|member| since(member).is_some_and(|at| now.since(at) > FRESH))
    }

    /// A heartbeat was heard, by its number, which goes up from one to the next. Guards against taking one that was kept from
    /// before for a sign of life: it counts where it goes on, or is of the life that its poller has now.
    pub fn on_heartbeat(
        &mut self,
        from: MemberId,
        number: u64,
        heartbeat: Heartbeat,
        of_this_incarnation: bool,
        now: Timestamp,
    ) {
        let held = self.heartbeats.get(&from);
        if held.is_some_and(|held| number <= held.0) {
            return;
        }
        if heartbeat.answered {
            self.unanswered_since.remove(&from);
        } else {
            self.unanswered_since.entry(from).or_insert(now);
        }
        let goes_on = (held.is_some() || of_this_incarnation).then_some(now);
        self.heartbeats.insert(from, (number, heartbeat, goes_on));
    }

    /// The newest heartbeat of an poller that discovery answers.
    pub fn fresh(&self, now: Timestamp) -> Option<&Heartbeat> {
        let goes_on = |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < FRESH);
        let fresh = self.heartbeats.values().filter(|(_, heartbeat, at)| heartbeat.answered && goes_on(*at));
        fresh
            .max_by_key(|(number, heartbeat, _)| (heartbeat.epoch, heartbeat.seq, *number))
            .map(|(_, heartbeat, _)| heartbeat)
    }
}

#[cfg(test)]
#[path = "../tests/unit/poller_election.rs"]
mod tests;
