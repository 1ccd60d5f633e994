//! How many attempts may be out at once.

use super::{Pick, Stage, Step};
use crate::host::{AttemptOutcome, Host};
use crate::record::{Attempt, Session, Shelf};
use crate::time::{DurationExt, Timestamp};
use std::rc::Rc;

impl Shelf {
    /// How many attempts may be out now. Guards against a jam being long over before a proxy of few clients
    /// hears of it: a part of one doubles by itself.
    pub(super) fn window(&self, now: Timestamp) -> f64 {
        let (window, at) = self.window.get();
        (window * 2_f64.powf(now.since(at).ratio_to(Shelf::JUST_BEFORE))).min(window.max(1.0))
    }

    /// Whether one more connect may go out; a part of one is a chance of that size.
    pub(super) fn has_turn(&self, now: Timestamp) -> bool {
        let out: u32 = self.servers.borrow().iter().map(|s| s.waiting.get()).sum();
        f64::from(out) + self.luck() < self.window(now) * self.parts.get()
    }
}

/// Second stage: keeps to as many attempts at once as something that all servers share can bear.
pub(super) struct Pacing {
    shelf: Rc<Shelf>,
    widest: f64,
    narrowest: f64,
}

impl Pacing {
    /// Guards against a window that never closes where many proxies have one attempt out each: its bounds are
    /// this proxy's part of what the fleet may have out.
    pub(super) fn new(shelf: Rc<Shelf>) -> Self {
        // Of all three proxies of a small fleet: more than are out in a calm minute, and four halvings less.
        const BOUNDS: [f64; 2] = [48.0, 3.0];
        // Two clients that come together are no jam.
        const LEAST: f64 = 2.0;
        let [widest, narrowest] =
            [(BOUNDS[0] / shelf.proxies).max(LEAST), (BOUNDS[1] / shelf.proxies).min(1.0)];
        shelf.window.set((widest, Timestamp::default()));
        Pacing { shelf, widest, narrowest }
    }
}

impl Stage for Pacing {
    fn forth(&mut self, session: &Rc<Session>, _: &mut Pick, now: Timestamp, _: &mut dyn Host) -> Step {
        let may = session.attempts.borrow().len() < self.shelf.max_attempts && now < session.deadline;
        // Guards against a storm of tries that keeps a jam alive.
        let turn = may && (session.mid_flow || session.hailed.get() || self.shelf.has_turn(now));
        Some(Step::Pass).filter(|_| turn).unwrap_or(Step::End)
    }

    /// Halves the window where a jam may have failed an attempt or had it stand late; widens it by one where
    /// a whole one stood in time, or by as much again where it is a part of one.
    fn back(&mut self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        let (window, took) = (self.shelf.window(now), now.since(attempt.sent));
        let window = match attempt.outcome {
            _ if session.stands.get() || session.mid_flow => return,
            None if session.connect_latency_objective.is_none_or(|l| took <= l) => {
                (window + window.min(1.0 / window)).min(self.widest)
            }
            None | Some(AttemptOutcome::TimedOut | AttemptOutcome::Failed) => {
                (window * 0.5).max(self.narrowest)
            }
            _ => return,
        };
        self.shelf.window.set((window, now));
    }
}
