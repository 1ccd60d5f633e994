//! Who is looked at, and who is sent away: rounds, strain, relief, and the end.

use super::LoadBalancer;
use crate::host::{EndpointState, Host, SessionId};
use crate::record::Server;
use crate::time::{DurationExt, Timestamp};
use std::rc::{Rc, Weak};
use std::time::Duration;

impl LoadBalancer {
    /// For a host on sockets, called once; it comes round by itself. Has clients leave a draining server and,
    /// where messages tell nothing, probes those that hold something.
    pub fn start_periodic_checks(&mut self, probing: bool, now: Timestamp, host: &mut dyn Host) {
        // A draining server of twenty is empty in five seconds.
        const ROUND: Duration = Duration::from_millis(250);
        // A probe costs work, and relief takes one guest at a time: of 250 ms to 3 s these did best.
        const EVERY: [Duration; 2] = [Duration::from_millis(1000), Duration::from_millis(500)];
        // Who holds less than this looks less often, as it could relieve less.
        const ENOUGH: f64 = 4.0;
        self.looks_at = Some((now + ROUND, probing));
        host.schedule_wakeup(now + ROUND);
        for server in self.shelf.servers.borrow().iter() {
            let every = EVERY[usize::from(server.distrust(now) > Server::FADED)];
            let every = every.scaled((ENOUGH / server.open().max(1.0)).max(1.0));
            if server.state.get() == EndpointState::Draining {
                self.relieve(server, true, 1.0, host);
            } else if probing && server.open() > 0.0 && now.since(server.probed.get()) >= every {
                server.probed.set(now);
                host.check_health(&server.id);
            }
        }
    }

    /// A probe has been answered, or given up, after this long.
    pub fn on_health_check(&mut self, server: &str, took: Duration, now: Timestamp, host: &mut dyn Host) {
        // Measured beside message notes: 1.6 times the quickest at a quarter of the limit, 2 at all of it.
        const FROM: f64 = 1.6;
        const TO: f64 = 2.1;
        let Some(server) = self.shelf.find(server) else { return };
        // What was given up in place of an answer has taken longer.
        let waiting =
            if took <= self.message_latency_objective { server.hailed_by.take() } else { Vec::new() };
        for session in waiting.iter().filter_map(Weak::upgrade).filter(|c| c.hails.take()) {
            self.offer(&session, Some(server.clone()), now, host);
        }
        let slower = server.slower(took);
        self.strained(&server, (slower - FROM) / (TO - FROM), now, host);
    }

    /// Messages of a standing connection take this long at its server.
    pub fn on_message_latency(
        &mut self,
        session: SessionId,
        delay: Duration,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        // More than any message takes at a server that still works.
        const LOST: Duration = Duration::from_millis(3000);
        let Some(session) = self.sessions.get(&session) else { return };
        // Guards against a client held by a server that has gone without a word.
        if delay > LOST && session.stands.get() && !session.answered.replace(true) {
            host.migrate(session.id);
        }
        let attempts = session.attempts.borrow();
        let Some(attempt) = attempts.last() else { return };
        // Up to a quarter of the limit is no cause for distrust; from the limit on nothing more should come.
        let late = (delay.ratio_to(self.message_latency_objective) - 0.25) / 0.75;
        self.strained(&attempt.server, late, now, host);
    }

    /// Work at a server takes long: from 0, not yet late, to 1, as late as can be borne.
    fn strained(&self, server: &Rc<Server>, late: f64, now: Timestamp, host: &mut dyn Host) {
        // A message takes three times its limit then: work has piled up, and gathering alone no longer helps.
        const PILED_UP: f64 = (3.0 - 0.25) / 0.75;
        if late > 0.0 {
            server.distrust.set((late.min(1.0).max(server.distrust(now)), now));
            // What is sent away should find a turn when it is back.
            if self.shelf.has_turn(now) {
                let strain = self.shelf.strain(|s| !Rc::ptr_eq(s, server), now);
                self.relieve(server, late > PILED_UP, 1.0 + strain, host);
            }
        }
    }

    /// Guards against a strained server keeping its share: sends away its heaviest guest, which is one that
    /// stands outside its group's servers; where work has `piled_up`, anyone if there is no guest.
    fn relieve(&self, server: &Rc<Server>, piled_up: bool, share: f64, host: &mut dyn Host) {
        // Guards against all proxies sending their only one away at once: a third goes, from each proxy one
        // at most; up to all where the others are strained too, as who comes back is let in by trust.
        const SHARE: f64 = 0.35;
        if self.shelf.luck() >= SHARE * share * server.held.borrow().len() as f64 {
            return;
        }
        let servers = self.shelf.servers.borrow();
        let active = || servers.iter().filter(|s| s.state.get() == EndpointState::Active);
        let before = |g| active().filter(|s| s.rank(g) < server.rank(g)).count();
        let guest = |g| before(g) >= self.shelf.width(g, active().count());
        let held = server.held.borrow();
        let held = held.values().filter_map(Weak::upgrade).filter(|c| !c.answered.get());
        let weighed = held.map(|c| (c.group.is_some_and(guest), c.load.get(), c));
        let first = weighed.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        if let Some((_, _, session)) = first.filter(|(guest, ..)| *guest || piled_up) {
            session.answered.set(true);
            host.migrate(session.id);
        }
    }

    /// This proxy ends, and this is called so often till then. Guards against a crowd of all its clients.
    pub fn migrate_sessions(&mut self, calls_left: usize, host: &mut dyn Host) {
        let staying = || self.sessions.values().filter(|c| c.stands.get() && !c.answered.get());
        for session in staying().take(staying().count().div_ceil(calls_left.max(1))) {
            session.answered.set(true);
            host.migrate(session.id);
        }
    }
}
