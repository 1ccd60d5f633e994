//! Derives the voters of each unit, with the same result at every member.

use super::Unit;
use crate::roster::{rank, MemberId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// With five voters, leases can still be renewed if two of them fail.
const MAX_VOTERS: usize = 5;
/// Maximum number of units in the cache: the units that this member requests and a few dozen that its peers request.
const MAX_CACHED_UNITS: usize = 64;
/// The ranking subject of unit 0; the other units use the numbers that follow it.
const FIRST_SUBJECT: u64 = 0x5ea7;

/// Derives and caches the voters of units. Cached because each derivation hashes every member.
pub(super) struct UnitVoters {
    size: usize,
    cache: RefCell<BTreeMap<Unit, Rc<[MemberId]>>>,
}

impl UnitVoters {
    /// `size` is the number of members in the roster.
    pub(super) fn new(size: usize) -> Self {
        UnitVoters { size, cache: RefCell::default() }
    }

    /// The members that grant leases on a unit.
    pub(super) fn of(&self, unit: Unit) -> Rc<[MemberId]> {
        let mut cache = self.cache.borrow_mut();
        if let Some(voters) = cache.get(&unit) {
            return voters.clone();
        }
        if cache.len() >= MAX_CACHED_UNITS {
            cache.clear();
        }
        let voters: Rc<[MemberId]> = self.derive(unit).into();
        cache.insert(unit, voters.clone());
        voters
    }

    fn derive(&self, unit: Unit) -> Vec<MemberId> {
        let mut members: Vec<_> = (0..self.size as u16).map(MemberId).collect();
        // An odd number: adding one voter to an odd number would not increase the number of failures tolerated.
        let count = MAX_VOTERS.min(self.size - 1 + self.size % 2);
        let subject = FIRST_SUBJECT + u64::from(unit);
        if count < members.len() {
            members.select_nth_unstable_by_key(count, |member| rank(subject, *member));
            members.truncate(count);
        }
        members
    }
}
