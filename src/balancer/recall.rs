//! What the table answers: where a mid-flow session's connection stands.

use super::{Pick, Stage, Step};
use crate::host::{EndpointState, Host};
use crate::record::{Attempt, Known, Session, Shelf};
use crate::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// How long the table knows a connection after its end: the design page's starting value.
const TABLE_TIME_OUT: Duration = Duration::from_millis(30_000);

/// First stage: the bounded, aged table that answers mid-flow sessions.
pub(super) struct Recall {
    pub(super) shelf: Rc<Shelf>,
    pub(super) swept: Timestamp,
}

impl Stage for Recall {
    fn forth(&mut self, session: &Rc<Session>, pick: &mut Pick, now: Timestamp, _: &mut dyn Host) -> Step {
        if session.mid_flow && session.attempts.borrow().is_empty() {
            let table = self.shelf.table.borrow();
            // Guards against all that a server held coming back to it when it has just restarted.
            let server = table.get(&session.key).filter(|known| now < known.until).and_then(Known::server);
            *pick = server.filter(|s| s.state.get() == EndpointState::Active);
        }
        Step::Pass
    }

    fn back(&mut self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        // Bounds the memory to some megabytes.
        const MOST_KEYS: usize = 100_000;
        let mut table = self.shelf.table.borrow_mut();
        if now.since(self.swept) > TABLE_TIME_OUT {
            self.swept = now;
            table.retain(|_, known| now < known.until);
        }
        let until = attempt.outcome.map_or(Timestamp::NEVER, |_| now + TABLE_TIME_OUT);
        let has_room = table.len() < MOST_KEYS;
        match table.get_mut(&session.key) {
            // It stood there before its server may have started anew, of which the list can tell first.
            Some(known) if session.stands.get() && known.is_at(&attempt.server) => known.until = until,
            _ if (attempt.outcome.is_none() || session.stands.get()) && has_room => {
                table.insert(session.key, Known::at(&attempt.server, until));
            }
            _ => {}
        }
    }
}
