//! Migrates connections away from overloaded servers, so that they rejoin their groups at other servers.

use super::LoadBalancer;
use crate::host::{Host, SessionId};
use crate::state::{FailedMigrationSearch, Server, Session};
use crate::time::{DurationExt, Timestamp};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// A message that has not been answered for this long counts as lost: no working server takes so long.
const MESSAGE_LOST_AFTER: Duration = Duration::from_millis(3000);
/// A message is late if it takes more than this fraction of its latency objective.
const LATE_FRACTION: f64 = 0.25;
/// A server has a backlog if a message takes three times its objective. Group affinity alone no longer helps then.
const BACKLOG_LATENESS: f64 = (3.0 - LATE_FRACTION) / (1.0 - LATE_FRACTION);
/// The probability of migrating one connection away from a server, per connection that the server holds.
const MIGRATION_PROBABILITY: f64 = 0.35;
/// How long it is taken to hold that a server has no session to migrate: as long as the shortest time between two checks
/// of a server. All sessions of a server that has stopped responding are reported at the same moment.
const FAILED_SEARCH_LIFETIME: Duration = Duration::from_millis(250);

/// A session that may be migrated.
struct MigrationCandidate {
    session: Rc<Session>,
    /// Whether the session's server is not one of its group's servers.
    is_misplaced: bool,
}

impl LoadBalancer {
    /// Handles a report that a message of an established session takes, or has taken, this long at its server.
    pub fn on_message_latency(
        &mut self,
        session: SessionId,
        latency: Duration,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        let Some(session) = self.sessions.get(&session) else { return };
        // The session's server failed silently or makes no progress.
        if latency > MESSAGE_LOST_AFTER && session.established.get() && !session.closing.replace(true) {
            host.migrate(session.id);
        }
        let attempts = session.attempts.borrow();
        let Some(attempt) = attempts.last() else { return };
        let latency_ratio = latency.ratio_to(self.message_latency_objective);
        let lateness = (latency_ratio - LATE_FRACTION) / (1.0 - LATE_FRACTION);
        self.record_lateness(&attempt.server, lateness, now, host);
    }

    /// Handles slow work at a server. `lateness` is 0 at the latency from which work is late, and 1 at the latency of
    /// an overloaded server.
    pub(super) fn record_lateness(
        &self,
        server: &Rc<Server>,
        lateness: f64,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        if lateness > 0.0 {
            server.set_outlier_score(lateness.min(1.0).max(server.outlier_score(now)), now);
            // A session is migrated only if it is likely to be admitted when it reconnects.
            if self.state.may_start_attempt(now) {
                let others_overload = self.state.mean_overload(|other| !Rc::ptr_eq(other, server), now);
                self.rebalance(server, lateness > BACKLOG_LATENESS, 1.0 + others_overload, now, host);
            }
        }
    }

    /// Migrates the server's heaviest session that is outside its group's servers, or, if `any_session` and there is
    /// none, its heaviest session. Does so only with some probability, multiplied by `probability_factor`, because
    /// all proxies observe an overload at the same time and would together empty the server.
    pub(super) fn rebalance(
        &self,
        server: &Rc<Server>,
        any_session: bool,
        probability_factor: f64,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        let sessions = server.sessions.borrow().len() as f64;
        if self.state.random_unit() >= MIGRATION_PROBABILITY * probability_factor * sessions
            || server.has_no_session_to_migrate(any_session, now)
        {
            return;
        }
        let candidate = self.migration_candidate(server).filter(|c| c.is_misplaced || any_session);
        let Some(MigrationCandidate { session, .. }) = candidate else {
            let expires_at = now + FAILED_SEARCH_LIFETIME;
            let failed_search = FailedMigrationSearch { any_session, expires_at };
            return server.failed_migration_search.set(Some(failed_search));
        };
        session.closing.set(true);
        host.migrate(session.id);
    }

    /// Returns the session to migrate first: sessions outside their group's servers before others, then the heaviest.
    fn migration_candidate(&self, server: &Rc<Server>) -> Option<MigrationCandidate> {
        let sessions = server.sessions.borrow();
        let movable = sessions.values().filter_map(Weak::upgrade).filter(|session| !session.closing.get());
        let candidates = movable.map(|session| MigrationCandidate {
            is_misplaced: session.group.is_some_and(|group| self.is_outside_group(server, group)),
            session,
        });
        candidates.max_by(|a, b| {
            let by_load = a.session.load.get().total_cmp(&b.session.load.get());
            a.is_misplaced.cmp(&b.is_misplaced).then(by_load)
        })
    }

    /// Whether the server is not one of the group's servers.
    fn is_outside_group(&self, server: &Server, group: u64) -> bool {
        let servers = self.state.servers.all();
        let active = || servers.iter().filter(|other| other.is_active());
        let rank = server.rendezvous_rank(group);
        let ranked_before = active().filter(|other| other.rendezvous_rank(group) < rank).count();
        ranked_before >= self.state.arrivals.servers_for_group(group, active().count())
    }
}

impl Server {
    /// Whether a recent search has shown that there is no session to migrate away from this server.
    fn has_no_session_to_migrate(&self, any_session: bool, now: Timestamp) -> bool {
        let covers = |search: FailedMigrationSearch| search.any_session || !any_session;
        self.failed_migration_search.get().is_some_and(|search| covers(search) && now < search.expires_at)
    }
}
