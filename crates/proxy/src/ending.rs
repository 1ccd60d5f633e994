//! The end: what comes is still taken and answered, and what stands is moved, until nothing is left or time
//! runs out.

use crate::circuit::{Circuit, Stage};
use crate::proxy::{Proxy, BEAT};
use shelfgrade::time::Span;
use std::rc::Rc;

// The longest patience of a circuit is three seconds, and killing comes 0.7 s after that.
const OPEN_FOR: Span = Span::millis(3200);
const GONE_WITHIN: Span = Span::millis(3600);

impl Proxy {
    pub fn told_to_end(&mut self) {
        log::info!("told to end, with {} connections", self.hands.circuits.len());
        let now = self.now();
        self.told_to_end.get_or_insert(now);
    }

    /// Called with each beat: ends when no more circuits come, all that came are answered, and none stands.
    pub fn end_when_done(&mut self, circuits: &[Rc<Circuit>]) {
        // Clients go on coming for a little while after the signal.
        const QUIET_FOR: Span = Span::millis(500);
        // Guards against clients coming back where nobody listens: where proxies are restarted in turn, the
        // last one may take two seconds to be back. What is left then is enough to go one after the other.
        const STAY_FOR: Span = Span::millis(1900);
        let now = self.now();
        let Some(past) = self.told_to_end.map(|told| now.since(told)) else { return };
        if past >= STAY_FOR {
            let beats_left = OPEN_FOR.as_ms() - past.as_ms();
            self.chooser.ends((beats_left / BEAT.as_millis() as f64) as usize, &mut self.hands);
            self.settle();
        }
        let in_stage = |stage| circuits.iter().filter(move |c| c.stage.get() == stage);
        if past >= OPEN_FOR {
            for circuit in in_stage(Stage::Asking) {
                self.hands.tally.count("forfeited at the end");
                circuit.answer("ERR", &mut self.hands);
            }
        }
        let open = in_stage(Stage::Asking).chain(in_stage(Stage::Standing)).next().is_some();
        let leaving = in_stage(Stage::Leaving).any(|c| !c.client.is_over());
        let quiet = past >= QUIET_FOR && now.since(self.last_arrival) >= QUIET_FOR;
        if past >= GONE_WITHIN || quiet && !open && !leaving {
            let fellows = self.fellows.take();
            fellows.inspect(|fellows| fellows.leave(self));
            self.stop.stop();
        }
    }
}
