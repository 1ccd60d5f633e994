//! Selects the server of a session: the server of its key's hash, or else one of its group's servers.

use super::failure_domains::DomainScore;
use super::filter::{Filter, FilterStatus, Selection};
use super::fleet_load::ConnectionTotals;
use super::group_affinity::EXTRA_SERVERS;
use super::slow_start::{AdmissionInputs, SlowStart};
use crate::host::Host;
use crate::state::{Attempt, ProxyState, Server, Session};
use crate::time::Timestamp;
use nanorand::{Rng, WyRand};
use std::rc::Rc;
use std::time::Duration;

/// How long the random draw of a client stays the same, so that an immediate retry does not change the decision.
const DRAW_LIFETIME: Duration = Duration::from_millis(2000);

/// Third filter: selects a server, unless an earlier filter has selected one.
pub(super) struct Placement {
    pub(super) state: Rc<ProxyState>,
    pub(super) slow_start: SlowStart,
}

impl Placement {
    /// Selects a server, which is `preselected` if the session may still be sent there: a mid-flow session to the server
    /// that holds its connection, any other to the first server that answered its health check.
    fn select(
        &self,
        session: &Rc<Session>,
        preselected: Option<Rc<Server>>,
        now: Timestamp,
        host: &mut dyn Host,
    ) -> Option<Rc<Server>> {
        let preselected = preselected.filter(|server| server.is_active());
        if session.mid_flow && preselected.is_some() {
            return preselected;
        }
        let all = self.state.servers.all();
        let allowed = session.allowed_among(&all);
        let context = PlacementContext::new(self, session, allowed.as_ref().unwrap_or(&all), now);
        preselected
            .filter(|server| context.is_usable(server, &context.affinity_admission()))
            .or_else(|| context.server_by_hash())
            .or_else(|| context.server_by_affinity(host))
    }
}

impl Filter for Placement {
    fn on_request(
        &self,
        session: &Rc<Session>,
        selection: &mut Selection,
        now: Timestamp,
        host: &mut dyn Host,
    ) -> FilterStatus {
        selection.server = self.select(session, selection.server.take(), now, host);
        if session.awaits_health_check.get() {
            FilterStatus::Wait
        } else if selection.server.is_some() {
            FilterStatus::Continue
        } else {
            FilterStatus::Finish
        }
    }

    /// Not if servers might not recognize the request as a repeat any more, or if the server has been selected as a warm
    /// one and has restarted since.
    fn may_send_request(&self, session: &Session, now: Timestamp) -> bool {
        let is_cold = |attempt: &Attempt| {
            attempt.server_has_restarted() && self.slow_start.warm_fraction(&attempt.server, now) < 1.0
        };
        session.may_send_request(now) && !session.attempts.borrow().last().is_some_and(is_cold)
    }

    fn on_outcome(&self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        attempt.server.record_outcome(session, attempt, now);
    }
}

/// The inputs to the placement of one session.
pub(super) struct PlacementContext<'a> {
    pub(super) state: &'a ProxyState,
    pub(super) slow_start: &'a SlowStart,
    pub(super) session: &'a Rc<Session>,
    /// The servers that the session may be sent to, sorted by id.
    pub(super) servers: &'a [Rc<Server>],
    pub(super) now: Timestamp,
    pub(super) totals: ConnectionTotals,
    /// The random draw of the client, from 0 to 1. Servers with a higher outlier score are passed over.
    draw: f64,
    /// From 0 to 1. Warming servers that admit a smaller fraction of the sessions are passed over.
    admission_draw: f64,
    pub(super) admission: AdmissionInputs,
    /// Whether the session is placed as if this proxy observed no server's load.
    pub(super) load_unobserved: bool,
    /// The group by which the session may be placed.
    pub(super) group: Option<u64>,
    suspicion_timeout: Option<Duration>,
    domains: Vec<DomainScore>,
}

impl<'a> PlacementContext<'a> {
    fn new(
        placement: &'a Placement,
        session: &'a Rc<Session>,
        servers: &'a [Rc<Server>],
        now: Timestamp,
    ) -> Self {
        let Placement { state, slow_start } = placement;
        let totals = ConnectionTotals::of(servers);
        let draw = client_draw(state, session, now);
        let load_unobserved =
            session.group.is_some() && slow_start.is_load_unobserved(session.key, servers.len());
        PlacementContext {
            admission: admission_inputs(placement, session, servers.len(), load_unobserved, totals, now),
            // The complement of the draw. With the same draw, the sessions that pass over outliers would all be sent
            // to the warming servers.
            admission_draw: session.admission_turn.map_or(1.0 - draw, |turn| turn.fraction_ahead),
            group: session.group.filter(|_| !session.mid_flow || load_unobserved),
            suspicion_timeout: state.establish_latencies.suspicion_timeout(),
            domains: state.failure_domain_scores(now),
            state,
            slow_start,
            session,
            servers,
            now,
            totals,
            draw,
            load_unobserved,
        }
    }

    /// Selects a server by hash, the normal case: the server of the key's hash, or the next one in the list that is
    /// usable and not overfull. Returns `None` if the session is to be placed by its group instead.
    fn server_by_hash(&self) -> Option<Rc<Server>> {
        if self.session.reconnected && self.group.is_some() {
            return None;
        }
        let start = self.session.key as usize % self.servers.len().max(1);
        let is_eligible = |server: &&Rc<Server>| {
            self.is_usable(server, &self.admission) && !self.totals.is_overfull(server)
        };
        let server = self.servers[start..].iter().chain(&self.servers[..start]).find(is_eligible)?;
        let is_mid_flow = self.group.is_none() && self.session.mid_flow;
        (is_mid_flow || self.is_trusted(server) && self.is_overall_load_low()).then(|| server.clone())
    }

    /// Whether the session may be sent to this server now.
    pub(super) fn is_usable(&self, server: &Rc<Server>, admission: &AdmissionInputs) -> bool {
        server.is_active()
            && self.session.may_be_sent_to(server, self.now)
            && !self.session.has_tried(server)
            && self.admission_draw <= self.slow_start.admitted_fraction(server, admission, self.now)
    }

    /// Whether the server is not passed over because of its outlier score, its silence or its failure domains.
    pub(super) fn is_trusted(&self, server: &Rc<Server>) -> bool {
        self.session.mid_flow
            || self.draw >= server.outlier_score(self.now)
                && !server.is_suspected(self.suspicion_timeout, self.now)
                && !self.is_in_failing_domain(server)
    }

    /// Whether the server is passed over because of its zone or kind. Applies only to servers to which this proxy has
    /// no connection that would show their state.
    fn is_in_failing_domain(&self, server: &Server) -> bool {
        let fails = |d: &DomainScore| server.failure_domains().contains(&d.domain) && self.draw < d.excess;
        server.open_connections() == 0.0 && self.domains.iter().any(fails)
    }

    /// Whether the load of the servers as a whole is observed and low enough to place sessions by hash.
    fn is_overall_load_low(&self) -> bool {
        !self.load_unobserved && self.draw >= self.state.mean_overload(|_| true, self.now)
    }
}

/// Returns the random draw of a client, which is the same for all its requests within the lifetime of a draw.
fn client_draw(state: &ProxyState, session: &Session, now: Timestamp) -> f64 {
    let seed = state.seed ^ session.key ^ now.elapsed_periods(DRAW_LIFETIME);
    f64::from(WyRand::new_seed(seed).generate::<f32>())
}

fn admission_inputs(
    placement: &Placement,
    session: &Session,
    server_count: usize,
    load_unobserved: bool,
    totals: ConnectionTotals,
    now: Timestamp,
) -> AdmissionInputs {
    let Placement { state, slow_start } = placement;
    // A group reconnects at once and to one server, whereas new clients are spread over its extra servers too.
    let is_reconnecting_group = session.reconnected && load_unobserved;
    AdmissionInputs {
        // Includes the connection of the session itself.
        quota: (slow_start.proxy_capacity(server_count) * state.quota_fraction.get()).max(totals.open + 1.0),
        recent_arrivals: state.arrivals.recent_count(now),
        max_fraction: if is_reconnecting_group { 1.0 / (1.0 + EXTRA_SERVERS as f64) } else { 1.0 },
        server_count: server_count as f64,
    }
}
