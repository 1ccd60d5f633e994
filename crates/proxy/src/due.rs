//! Circuits that wait for something no event comes for. Guards against a walk over all that are at rest, which are
//! tens of thousands where few of them wait.

use crate::circuit::Circuit;
use shelfgrade::host::CircuitId;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// In the order in which circuits came; who no longer waits is dropped with the next look.
#[derive(Default)]
pub struct Due(BTreeMap<CircuitId, Weak<Circuit>>);

impl Due {
    pub fn add(&mut self, circuit: &Circuit) {
        self.0.insert(circuit.id, circuit.me.clone());
    }

    /// Those that still wait.
    pub fn look(&mut self, waits: impl Fn(&Circuit) -> bool) -> Vec<Rc<Circuit>> {
        let mut due = Vec::with_capacity(self.0.len());
        self.0.retain(|_, circuit| {
            let circuit = circuit.upgrade().filter(|circuit| waits(circuit));
            due.extend(circuit.clone());
            circuit.is_some()
        });
        due
    }
}
