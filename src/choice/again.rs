//! Whether a circuit may be sent again, and where: no effect happens twice.

use crate::host::{Circle, Effect, Ending};
use crate::record::{Circuit, Server};
use crate::time::Point;
use std::rc::Rc;

impl Circuit {
    /// The first connect that may have run, which binds all that follows.
    fn may_have_run(&self) -> Option<(Rc<Server>, Point)> {
        let connects = self.connects.borrow();
        let first = connects.iter().find(|c| !c.ending.is_some_and(Ending::proves_unrun))?;
        Some((first.server.clone(), first.sent))
    }

    /// Guards against an effect happening twice: where the circuit may be sent now.
    pub(super) fn may_go_to(&self, server: &Server, now: Point) -> bool {
        let Some((first, sent)) = self.may_have_run() else { return true };
        match self.effect {
            Effect::Replayable => true,
            Effect::SingleUse => false,
            Effect::Referenced { window, .. } if now.since(sent) >= window => false,
            Effect::Referenced { among: Circle::All, .. } => true,
            Effect::Referenced { among: Circle::Zone, .. } => first.kin[0] == server.kin[0],
            Effect::Referenced { among: Circle::Cell, .. } => first.cell == server.cell,
        }
    }

    /// Whether a pushback's promise, that another try is harmless, would be true.
    pub(super) fn may_push_back(&self) -> bool {
        matches!(self.effect, Effect::Replayable | Effect::Referenced { among: Circle::All, .. })
            || self.may_have_run().is_none()
    }
}
