//! Which server gets a session: the design's choice with the load skip, and what passes a server over.

use super::{Pick, Stage, Step};
use crate::host::{AttemptOutcome, EndpointState, Host};
use crate::record::{Attempt, Server, Session, Shelf, SlowStart};
use crate::time::Timestamp;
use nanorand::{Rng, WyRand};
use std::rc::Rc;
use std::time::Duration;

/// Third stage: the design's choice of a server, with the load skip.
pub(super) struct Placement {
    pub(super) shelf: Rc<Shelf>,
    pub(super) slow_start: SlowStart,
}

impl Placement {
    fn choose(&self, session: &Rc<Session>, now: Timestamp, host: &mut dyn Host) -> Pick {
        // The design page's figures; of those under way too, against attempts that pile up at a slow server.
        const SKIP_FACTOR: f64 = 2.0;
        const SKIP_MARGIN: f64 = 3.0;
        let all = self.shelf.servers.borrow();
        let left = session.left_of(&all);
        let servers = left.as_ref().unwrap_or(&all);
        let active = || servers.iter().filter(|s| s.state.get() == EndpointState::Active);
        let add =
            |n: [f64; 3], s: &Rc<Server>| [n[0] + 1.0, n[1] + s.open(), n[2] + f64::from(s.waiting.get())];
        let [number, open, out] = active().fold([0.0; 3], add);
        let over = |n: f64, sum: f64| n * number > SKIP_FACTOR * sum && n >= sum / number + SKIP_MARGIN;
        let overfull = |s: &Server| over(s.open(), open) || over(f64::from(s.waiting.get()), out);
        // Guards against retries asking until let in: one draw for all that a client tries in a draw's life.
        const DRAW_LIFE: Duration = Duration::from_millis(2000);
        let seed = self.shelf.seed ^ session.key ^ now.periods(DRAW_LIFE);
        let draw = f64::from(WyRand::new_seed(seed).generate::<f32>());
        // The session itself will be open, too.
        let part = (self.slow_start.part(servers.len()) * self.shelf.parts.get()).max(open + 1.0);
        // Guards against a group's wave back to one cold server, where new ones spread over three.
        const MORE: usize = 2;
        let crowd = self.shelf.crowd(now);
        let blind = session.group.is_some() && self.slow_start.out_of_sight(session.key, servers.len());
        let most = if session.reconnected && blind { 1.0 / (1.0 + MORE as f64) } else { 1.0 };
        let first = session.admission_turn.map_or(1.0 - draw, |turn| turn.fraction_ahead);
        let usable = |s: &&Rc<Server>, part: f64| {
            s.state.get() == EndpointState::Active
                && session.may_go_to(s, now)
                && !session.attempts.borrow().iter().any(|c| Rc::ptr_eq(&c.server, s))
                && first <= self.slow_start.share(s, [part, crowd, most, servers.len() as f64], now)
        };
        // While it is unusually silent a server has no trust at all.
        let unusual = self.shelf.unusual_after();
        let silent = |s: &Server| s.silent_since.get().zip(unusual).is_some_and(|(at, u)| now.since(at) > u);
        // Guards against each proxy meeting a lost zone or kind server by server, where it holds nothing.
        let kin = self.shelf.kin(now);
        let by_kin = |s: &Server| s.open() == 0.0 && kin.iter().any(|k| s.kin.contains(&k.0) && draw < k.1);
        let trusted =
            |s: &&Rc<Server>| session.mid_flow || draw >= s.distrust(now) && !silent(s) && !by_kin(s);

        // The ordinary path: the key's hash, and the next in order past what drains, is gone or is overfull.
        let by_group = session.group.filter(|_| !session.mid_flow || blind);
        if !session.reconnected || by_group.is_none() {
            let at = session.key as usize % servers.len().max(1);
            let own = servers[at..].iter().chain(&servers[..at]).find(|s| usable(s, part) && !overfull(s));
            // Guards against placing by hash in a fleet that is strained where this proxy cannot see it.
            let calm = || !blind && draw >= self.shelf.strain(|_| true, now);
            if own.is_some_and(|s| by_group.is_none() && session.mid_flow || trusted(&s) && calm()) {
                return own.cloned();
            }
        }
        // Guards against members of a group straining every server at once: what came back, or found its pick
        // or the fleet strained, meets its group at the servers that rank first for it at every proxy.
        let by = by_group.unwrap_or(session.key);
        // Guards against a cold one that is first for many groups, unseen by each proxy; 0.75 was too much.
        let part = if by_group.is_some() { part * 0.65 } else { part };
        // Who broke off or refused and holds nothing is gone: it takes nobody's place.
        let there = |s: &&Rc<Server>| usable(s, part) && (!s.broke.get() || s.open() > 0.0 || trusted(s));
        let mut ranked: Vec<_> = servers.iter().filter(there).map(|s| (s.rank(by), s)).collect();
        // Guards against a strained fleet scattering its groups: so many past their servers, else pushback.
        // Guards against a group's weight on one server that is cold, or that nobody has seen strain yet.
        let cold = || {
            ranked.iter().min_by_key(|r| r.0).is_some_and(|r| self.slow_start.warm_fraction(r.1, now) < 1.0)
        };
        let more = if blind && (!session.reconnected || cold()) { MORE } else { 0 };
        let width = by_group.map_or(0, |g| self.shelf.width(g, ranked.len()) + more).min(ranked.len());
        if width + MORE < ranked.len() {
            ranked.select_nth_unstable_by_key(width + MORE, |r| r.0);
            ranked.truncate(width + MORE);
        }
        ranked.sort_unstable_by_key(|r| r.0);
        ranked[..width].sort_unstable_by_key(|r| r.1.rank(session.key));
        let order = || ranked.iter().map(|r| r.1).filter(trusted);
        // Guards against proxies that see no strain filling some servers: who answers first has least to do.
        if blind && !session.mid_flow && order().nth(1).is_some() && !session.hailed.replace(true) {
            order().take(1 + MORE).for_each(|s| s.hail(session, host));
        }
        order().find(|s| !overfull(s)).or_else(|| order().next()).cloned()
    }
}

impl Stage for Placement {
    fn forth(&mut self, session: &Rc<Session>, pick: &mut Pick, now: Timestamp, host: &mut dyn Host) -> Step {
        let there = |s: &Rc<Server>| s.state.get() == EndpointState::Active;
        *pick = pick.take().filter(there).or_else(|| self.choose(session, now, host));
        match pick {
            _ if session.hails.get() => Step::Keep,
            Some(_) => Step::Pass,
            None => Step::End,
        }
    }

    fn back(&mut self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        attempt.server.broke.set(matches!(
            attempt.outcome,
            Some(AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost)
        ));
        // One bad ending takes half of the trust that is left, one that the server itself gave rather less.
        let keeps = match attempt.outcome {
            // Guards against distrusting whoever rightly resets a mid-flow connection that another holds.
            Some(AttemptOutcome::ConnectionLost) if session.mid_flow && !session.stands.get() => return,
            Some(AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost) => {
                0.5
            }
            Some(AttemptOutcome::Failed | AttemptOutcome::Rejected) => 0.7,
            _ => return,
        };
        attempt.server.distrust.set((1.0 - (1.0 - attempt.server.distrust(now)) * keeps, now));
    }
}
