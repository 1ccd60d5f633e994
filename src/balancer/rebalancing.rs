//! Moves connections away from overloaded servers, to meet their groups elsewhere.

use super::LoadBalancer;
use crate::host::{Host, SessionId};
use crate::state::{Server, Session};
use crate::time::{DurationExt, Timestamp};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// A message without an answer for this long is lost: longer than any takes at a server that still works.
const MESSAGE_LOST_AFTER: Duration = Duration::from_millis(3000);
/// A message is late from this fraction of its latency objective on.
const LATE_FRACTION: f64 = 0.25;
/// Work has piled up where a message takes three times its objective: group affinity alone no longer helps.
const BACKLOG_LATENESS: f64 = (3.0 - LATE_FRACTION) / (1.0 - LATE_FRACTION);
/// The probability to move one connection away, for each that the server holds.
const MIGRATION_PROBABILITY: f64 = 0.35;

/// A session that may be moved away.
struct Candidate {
    session: Rc<Session>,
    /// Whether it is outside its group's servers.
    is_misplaced: bool,
}

impl LoadBalancer {
    /// A message of an established session takes, or has taken, this long at its server.
    pub fn on_message_latency(
        &mut self,
        session: SessionId,
        latency: Duration,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        let Some(session) = self.sessions.get(&session) else { return };
        // Its server is gone without a word, or does no useful work.
        if latency > MESSAGE_LOST_AFTER && session.established.get() && !session.closing.replace(true) {
            host.migrate(session.id);
        }
        let attempts = session.attempts.borrow();
        let Some(attempt) = attempts.last() else { return };
        let objectives = latency.ratio_to(self.message_latency_objective);
        let lateness = (objectives - LATE_FRACTION) / (1.0 - LATE_FRACTION);
        self.record_lateness(&attempt.server, lateness, now, host);
    }

    /// Work at a server takes long: `lateness` is 0 where it is not yet late, 1 where it is as late as can be borne.
    pub(super) fn record_lateness(
        &self,
        server: &Rc<Server>,
        lateness: f64,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        if lateness > 0.0 {
            server.set_outlier_score(lateness.min(1.0).max(server.outlier_score(now)), now);
            // What is moved away should be admitted when it reconnects.
            if self.state.may_start_attempt(now) {
                let overload = self.state.fleet_overload(|other| !Rc::ptr_eq(other, server), now);
                self.rebalance(server, lateness > BACKLOG_LATENESS, 1.0 + overload, host);
            }
        }
    }

    /// Moves away the server's heaviest session outside its group's servers, or where `any_session` the heaviest of all
    /// if there is none. At random, as all proxies hear of an overload at once and would empty the server together;
    /// `urgency` raises the probability.
    pub(super) fn rebalance(
        &self,
        server: &Rc<Server>,
        any_session: bool,
        urgency: f64,
        host: &mut dyn Host,
    ) {
        let sessions = server.sessions.borrow().len() as f64;
        if self.state.random_unit() >= MIGRATION_PROBABILITY * urgency * sessions {
            return;
        }
        let candidate = self.migration_candidate(server);
        if let Some(Candidate { session, .. }) = candidate.filter(|c| c.is_misplaced || any_session) {
            session.closing.set(true);
            host.migrate(session.id);
        }
    }

    /// The session to move away first: one outside its group's servers before others, then the heaviest.
    fn migration_candidate(&self, server: &Rc<Server>) -> Option<Candidate> {
        let sessions = server.sessions.borrow();
        let movable = sessions.values().filter_map(Weak::upgrade).filter(|session| !session.closing.get());
        let candidates = movable.map(|session| Candidate {
            is_misplaced: session.group.is_some_and(|group| self.is_outside_group(server, group)),
            session,
        });
        candidates.max_by(|a, b| {
            let by_load = a.session.load.get().total_cmp(&b.session.load.get());
            a.is_misplaced.cmp(&b.is_misplaced).then(by_load)
        })
    }

    /// Whether a server is not one of the group's.
    fn is_outside_group(&self, server: &Server, group: u64) -> bool {
        let servers = self.state.servers.all();
        let active = || servers.iter().filter(|other| other.is_active());
        let rank = server.rendezvous_rank(group);
        let ranked_before = active().filter(|other| other.rendezvous_rank(group) < rank).count();
        ranked_before >= self.state.arrivals.servers_for_group(group, active().count())
    }
}
