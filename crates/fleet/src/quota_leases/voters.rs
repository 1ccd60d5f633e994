//! The voters of each unit, the same at every member.

use super::Unit;
use crate::roster::{rank, MemberId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// With five voters, leases survive the loss of two.
const MAX_VOTERS: usize = 5;
/// For how many units the voters are kept: those requested here, and some dozens that peers request.
const MAX_CACHED_UNITS: usize = 64;
/// The subject of the rank order of unit 0; those of the others follow.
const FIRST_SUBJECT: u64 = 0x5ea7;

/// Derives the voters of units. Keeps the last ones, since a derivation takes a hash of every member.
pub(super) struct UnitVoters {
    size: usize,
    cache: RefCell<BTreeMap<Unit, Rc<[MemberId]>>>,
}

impl UnitVoters {
    /// `size`: how many members the roster has.
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
        // An odd number, since one more voter would not let a majority spare one more.
        let count = MAX_VOTERS.min(self.size - 1 + self.size % 2);
        let subject = FIRST_SUBJECT + u64::from(unit);
        if count < members.len() {
            members.select_nth_unstable_by_key(count, |member| rank(subject, *member));
            members.truncate(count);
        }
        members
    }
}
