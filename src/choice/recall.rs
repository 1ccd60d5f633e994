//! What the table answers: where a mid-flow circuit's connection stands.

use super::{Pick, Stage, Step};
use crate::host::{Host, Standing};
use crate::record::{Circuit, Connect, Server};
use crate::time::{Point, Span};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// How long the table knows a connection after its end: the design page's starting value.
const TABLE_TIME_OUT: Span = Span::millis(30_000);

/// First stage: the bounded, aged table that answers mid-flow circuits.
#[derive(Default)]
pub(super) struct Recall {
    /// By client key: the server, and until when that is known.
    table: BTreeMap<u64, (Weak<Server>, Point)>,
    swept: Point,
}

impl Stage for Recall {
    fn forth(&mut self, circuit: &Rc<Circuit>, pick: &mut Pick, now: Point, _: &mut dyn Host) -> Step {
        if circuit.mid_flow && circuit.connects.borrow().is_empty() {
            let server = self.table.get(&circuit.key).filter(|k| now < k.1).and_then(|k| k.0.upgrade());
            *pick = server.filter(|s| s.standing.get() == Standing::Active);
        }
        Step::Pass
    }

    fn back(&mut self, circuit: &Rc<Circuit>, connect: &Connect, now: Point) {
        // Bounds the memory to some megabytes.
        const MOST_KEYS: usize = 100_000;
        if now.since(self.swept) > TABLE_TIME_OUT {
            self.swept = now;
            self.table.retain(|_, (_, until)| now < *until);
        }
        if (connect.ending.is_none() || circuit.stands.get()) && self.table.len() < MOST_KEYS {
            let until = connect.ending.map_or(Point::NEVER, |_| now + TABLE_TIME_OUT);
            self.table.insert(circuit.key, (Rc::downgrade(&connect.server), until));
        }
    }
}
