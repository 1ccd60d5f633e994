//! Who asks discovery: a few for all. The others have the list from them, and step in where they are gone.
//!
//! The order of the seats is the same at every process. After a loss of power nobody knows who is there, so at first
//! the first few of all seats ask; once the fellows had time to be heard, the first few of those that are there do. The
//! number of calls is so many for each of these moments, whatever the number of processes.

use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{rank, Seat};
use std::collections::BTreeMap;
use std::time::Duration;

/// How many ask: one may die as another is stopped, and there is still the list.
pub const ASKERS: usize = 3;
/// How long fellows have to be heard before a process goes by whom it sees: membership invites three of them three times
/// a second.
pub const HEARD_BY: Duration = Duration::from_millis(2000);
/// A beat that has not gone on for this long is of one that asks no more: they come once a second, and rumours take some
/// seconds in a large fleet.
pub const FRESH: Duration = Duration::from_millis(5000);

/// What an asker tells all once a second.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Beat {
    /// What the list came to there: the count, the version and a digest of all lines.
    pub epoch: u64,
    pub seq: u64,
    pub digest: u32,
    /// Discovery has answered it within the last few seconds.
    pub answered: bool,
}

/// How many may ask where the first ones have no answer, which may be the way there or discovery itself.
const AT_MOST: usize = 3 * ASKERS;

pub struct Asking {
    me: Seat,
    /// The seats in the order in which they ask.
    order: Vec<Seat>,
    began: Timestamp,
    beats: BTreeMap<Seat, (u64, Beat, Option<Timestamp>)>,
    unanswered_since: BTreeMap<Seat, Timestamp>,
}

impl Asking {
    /// `fleet`: the roster's tag, so that fleets have orders of their own.
    pub fn new(me: Seat, seats: impl Iterator<Item = Seat>, fleet: u64, now: Timestamp) -> Self {
        let mut order: Vec<_> = seats.collect();
        order.sort_by_key(|seat| rank(fleet, *seat));
        Asking { me, order, began: now, beats: BTreeMap::new(), unanswered_since: BTreeMap::new() }
    }

    /// Whether this process is to ask discovery, by those that it sees.
    pub fn is_asker(&self, alive: &[Seat], now: Timestamp) -> bool {
        let early = now.since(self.began) < HEARD_BY;
        let there = |seat: &Seat| early || *seat == self.me || alive.binary_search(seat).is_ok();
        let mut first = self.order.iter().copied().filter(there).take(AT_MOST);
        let mut asks = first.by_ref().take(ASKERS);
        asks.any(|seat| seat == self.me) || self.unanswered(alive, now) && first.any(|seat| seat == self.me)
    }

    /// Whether all that ask for this one have said for a while that they get no answer.
    fn unanswered(&self, alive: &[Seat], now: Timestamp) -> bool {
        let there = |seat: &&Seat| alive.binary_search(seat).is_ok();
        let since = |seat: &Seat| self.unanswered_since.get(seat).copied();
        let mut first = self.order.iter().filter(there).take(ASKERS);
        first.all(|seat| since(seat).is_some_and(|at| now.since(at) > FRESH))
    }

    /// A beat was heard, by its number, which goes up from one to the next. Guards against taking one that was kept from
    /// before for a sign of life: it counts where it goes on, or is of the life that its asker has now.
    pub fn heard(&mut self, from: Seat, number: u64, beat: Beat, of_this_life: bool, now: Timestamp) {
        let held = self.beats.get(&from);
        if held.is_some_and(|held| number <= held.0) {
            return;
        }
        if beat.answered {
            self.unanswered_since.remove(&from);
        } else {
            self.unanswered_since.entry(from).or_insert(now);
        }
        let goes_on = (held.is_some() || of_this_life).then_some(now);
        self.beats.insert(from, (number, beat, goes_on));
    }

    /// The newest beat of an asker that discovery answers.
    pub fn fresh(&self, now: Timestamp) -> Option<&Beat> {
        let goes_on = |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) < FRESH);
        let fresh = self.beats.values().filter(|(_, beat, at)| beat.answered && goes_on(*at));
        fresh.max_by_key(|(number, beat, _)| (beat.epoch, beat.seq, *number)).map(|(_, beat, _)| beat)
    }
}

#[cfg(test)]
#[path = "../tests/unit/asking.rs"]
mod tests;
