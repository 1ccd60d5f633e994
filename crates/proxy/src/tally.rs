//! Counters, logged at the exit and explained in docs/on-call.md.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Tally {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    broken: Cell<u64>,
}

impl Tally {
    pub fn count(&self, what: &'static str) {
        *self.counts.borrow_mut().entry(what).or_default() += 1;
    }

    /// Counts what a peer did wrong. Guards against bad peers filling the log: only each doubling is told.
    pub fn complain(&self, what: &'static str) {
        self.count(what);
        let so_far = self.counts.borrow()[what];
        if so_far.is_power_of_two() {
            log::warn!("{what}: {so_far} so far");
        }
    }

    /// What must hold: asserted in debug builds, counted in release builds.
    pub fn must(&self, holds: bool, what: &'static str) {
        debug_assert!(holds, "{what}");
        if !holds {
            log::error!("does not hold: {what}");
            self.broken.set(self.broken.get() + 1);
        }
    }

    pub fn log(&self) {
        let counts: Vec<_> = self.counts.borrow().iter().map(|(what, n)| format!("{what} {n}")).collect();
        log::info!("counted: {}; broken assertions {}", counts.join(", "), self.broken.get());
    }
}
