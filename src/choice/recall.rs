//! What the table answers: where a mid-flow circuit's connection stands.

use super::{Pick, Stage, Step};
use crate::host::{Host, Standing};
use crate::record::{Circuit, Connect, Shelf};
use crate::time::{Point, Span};
use std::rc::Rc;

/// How long the table knows a connection after its end: the design page's starting value.
const TABLE_TIME_OUT: Span = Span::millis(30_000);

/// First stage: the bounded, aged table that answers mid-flow circuits.
pub(super) struct Recall {
    pub(super) shelf: Rc<Shelf>,
    pub(super) swept: Point,
}

impl Stage for Recall {
    fn forth(&mut self, circuit: &Rc<Circuit>, pick: &mut Pick, now: Point, _: &mut dyn Host) -> Step {
        if circuit.mid_flow && circuit.connects.borrow().is_empty() {
            let table = self.shelf.table.borrow();
            let server = table.get(&circuit.key).filter(|k| now < k.1).and_then(|k| k.0.upgrade());
            *pick = server.filter(|s| s.standing.get() == Standing::Active);
        }
        Step::Pass
    }

    fn back(&mut self, circuit: &Rc<Circuit>, connect: &Connect, now: Point) {
        // Bounds the memory to some megabytes.
        const MOST_KEYS: usize = 100_000;
        let mut table = self.shelf.table.borrow_mut();
        if now.since(self.swept) > TABLE_TIME_OUT {
            self.swept = now;
            table.retain(|_, (_, until)| now < *until);
        }
        if (connect.ending.is_none() || circuit.stands.get()) && table.len() < MOST_KEYS {
            let until = connect.ending.map_or(Point::NEVER, |_| now + TABLE_TIME_OUT);
            table.insert(circuit.key, (Rc::downgrade(&connect.server), until));
        }
    }
}
