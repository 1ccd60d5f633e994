//! Which part of what the fleet may do this process may: so much for each that all together never have more than the
//! whole, however they are cut off from each other.
//!
//! Half of the whole is dealt out for good: each member has its floor, one part of twice the roster, alone or not. The
//! other half is a pool of as many units, one for each member. A unit is held by one process at a time, on leases from a
//! majority of its witnesses, which are five members at most, the same at every process. The process of its own member
//! holds it while it incarnations; where it does not, who comes first in an order that all know asks for it. Two majorities of
//! the same witnesses have one in common, and that one grants a unit to nobody else before the lease that it granted
//! has run out, by its own clock and some more. A lease counts from when it was asked for, so it is over for who holds
//! it before it is over for who granted it. A witness that has just begun does not know what it granted before, and
//! grants nothing for as long as a lease lasts.

use crate::packet::Message;
use crate::roster::{missing, rank, Incarnation, MemberId};
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// How long a unit is held without another word: four askings, so that losing three in a row costs nothing. It is also how
/// long a fleet has its floors alone after a loss of power: with four seconds service took one and a half longer.
pub const LEASE_DURATION: Duration = Duration::from_millis(2000);
/// What a witness waits beyond that: clocks of two machines do not run apart by a twentieth.
const MORE: f64 = 1.05;
/// How often leases are asked for anew.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Of how many one is enough to lose two.
const WITNESSES: usize = 5;
/// How many units one process asks for: what it sends does not grow with what is dead.
const MOST_UNITS: usize = 8;
/// Of how many units the witnesses are remembered: those asked for, and some dozens that others ask this process for.
const REMEMBERED: usize = 64;

/// A unit that this process asks for, with when it asked each witness that has granted it.
struct Claim {
    /// The first asking of this claim. Guards against a grant from before a release, which the witness has forgotten.
    first: u32,
    granted: BTreeMap<MemberId, Timestamp>,
}

/// What a witness knows of a unit that it granted.
struct Held {
    by: Incarnation,
    since: Timestamp,
    /// The asking that it was last granted to. Guards against an older release that comes late, or twice.
    number: u32,
}

pub struct QuotaLeases {
    me: Incarnation,
    size: usize,
    began: Timestamp,
    /// As a witness: who holds a unit, and since when.
    held_by: BTreeMap<u16, Held>,
    claims: BTreeMap<u16, Claim>,
    /// The last askings, with their numbers.
    asked: VecDeque<(u32, Timestamp)>,
    last_number: u32,
    /// Guards against ranking all members for each datagram: finding a unit's witnesses takes a hash of every member.
    witnesses: RefCell<BTreeMap<u16, Rc<[MemberId]>>>,
}

impl QuotaLeases {
    pub fn new(me: Incarnation, size: usize, now: Timestamp) -> Self {
        QuotaLeases {
            me,
            size,
            began: now,
            held_by: BTreeMap::new(),
            claims: BTreeMap::new(),
            asked: VecDeque::new(),
            last_number: 0,
            witnesses: RefCell::default(),
        }
    }

    /// This process goes on under another life: what it held under the last one it holds no longer.
    pub fn incarnation_renewed(&mut self, me: Incarnation) {
        self.me = me;
        self.claims.clear();
    }

    /// The members that grant a unit.
    fn witnesses(&self, unit: u16) -> Rc<[MemberId]> {
        let mut remembered = self.witnesses.borrow_mut();
        if let Some(members) = remembered.get(&unit) {
            return members.clone();
        }
        if remembered.len() >= REMEMBERED {
            remembered.clear();
        }
        let members: Rc<[MemberId]> = self.draws_witnesses(unit).into();
        remembered.insert(unit, members.clone());
        members
    }

    fn draws_witnesses(&self, unit: u16) -> Vec<MemberId> {
        let mut members: Vec<_> = (0..self.size as u16).map(MemberId).collect();
        // An odd number: of an even one more than half would be as many.
        let number = WITNESSES.min(self.size - 1 + self.size % 2);
        let of = 0x5ea7 + u64::from(unit);
        if number < members.len() {
            members.select_nth_unstable_by_key(number, |member| rank(of, *member));
            members.truncate(number);
        }
        members
    }

    /// The part of the whole that this process may do now, from 0 to 1. Guards against leases that ran out while it
    /// was stopped: it asks the clock each time.
    pub fn quota_fraction(&self, now: Timestamp) -> f64 {
        let units = self.claims.iter().filter(|(unit, claim)| self.holds(**unit, claim, now)).count();
        (1 + units) as f64 / (2 * self.size) as f64
    }

    fn holds(&self, unit: u16, claim: &Claim, now: Timestamp) -> bool {
        let majority = self.witnesses(unit).len() / 2 + 1;
        claim.granted.values().filter(|asked| now < **asked + LEASE_DURATION).count() >= majority
    }

    /// Asks for the units that this process should hold, as far as it sees who is `alive`, itself included; the
    /// messages for each witness.
    pub fn ask(&mut self, alive: &[MemberId], now: Timestamp) -> Vec<(MemberId, Message)> {
        // Enough that an answer four leases late still finds its asking.
        const ASKINGS: usize = 16;
        let mine = self.me.member;
        let before_me = |unit: u16, member: &MemberId| {
            (rank(u64::from(unit), *member), *member) < (rank(u64::from(unit), mine), mine)
        };
        // Ends at the first one that comes before, mostly after a few: a region that is gone is hundreds of units.
        let heir = |unit: &u16| !alive.iter().any(|member| before_me(*unit, member));
        let missing = missing(alive, self.size).map(|member| member.0);
        let wanted = std::iter::once(mine.0).chain(missing.filter(heir).take(MOST_UNITS - 1));
        let wanted: Vec<u16> = wanted.collect();
        let released: Vec<u16> = self.claims.keys().filter(|unit| !wanted.contains(unit)).copied().collect();
        released.iter().for_each(|unit| drop(self.claims.remove(unit)));
        self.last_number += 1;
        let claim = || Claim { first: self.last_number, granted: BTreeMap::new() };
        for unit in &wanted {
            self.claims.entry(*unit).or_insert_with(claim);
        }
        self.asked.push_back((self.last_number, now));
        self.asked.drain(..self.asked.len().saturating_sub(ASKINGS));

        let mut to: BTreeMap<MemberId, (Vec<u16>, Vec<u16>)> = BTreeMap::new();
        for unit in &wanted {
            self.witnesses(*unit).iter().for_each(|member| to.entry(*member).or_default().0.push(*unit));
        }
        for unit in &released {
            self.witnesses(*unit).iter().for_each(|member| to.entry(*member).or_default().1.push(*unit));
        }
        let number = self.last_number;
        to.into_iter()
            .map(|(member, (units, releases))| (member, Message::Ask { number, units, releases }))
            .collect()
    }

    /// As a witness: which of the units asked for are granted.
    pub fn asked_by(
        &mut self,
        holder: Incarnation,
        number: u32,
        (units, releases): (&[u16], &[u16]),
        now: Timestamp,
    ) -> Vec<u16> {
        for unit in releases {
            if self.held_by.get(unit).is_some_and(|held| held.by == holder && held.number < number) {
                self.held_by.remove(unit);
            }
        }
        let long = LEASE_DURATION.scaled(MORE);
        if now < self.began + long {
            return Vec::new();
        }
        let free = |unit: &u16| {
            self.witnesses(*unit).contains(&self.me.member)
                && self.held_by.get(unit).is_none_or(|held| held.by == holder || now >= held.since + long)
        };
        let granted: Vec<u16> = units.iter().filter(|unit| free(unit)).copied().collect();
        for unit in &granted {
            let number = self.held_by.get(unit).map_or(number, |held| held.number.max(number));
            self.held_by.insert(*unit, Held { by: holder, since: now, number });
        }
        granted
    }

    /// A witness has granted these; it counts from when they were asked for.
    pub fn granted(&mut self, witness: MemberId, number: u32, units: &[u16]) {
        let Some((_, asked)) = self.asked.iter().find(|(asked, _)| *asked == number).copied() else { return };
        for unit in units {
            if !self.witnesses(*unit).contains(&witness) {
                continue;
            }
            if let Some(claim) = self.claims.get_mut(unit).filter(|claim| number >= claim.first) {
                let at = claim.granted.entry(witness).or_insert(asked);
                *at = (*at).max(asked);
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/quota_leases.rs"]
mod tests;
