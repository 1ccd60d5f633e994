//! Which server gets a session: the server of its key's hash, or else one of its group's servers.

use super::failure_domains::DomainScore;
use super::filter::{Filter, Flow, Selection};
use super::fleet_load::FleetLoad;
use super::group_affinity::EXTRA_SERVERS;
use super::slow_start::{AdmissionLoad, SlowStart};
use crate::host::Host;
use crate::state::{Attempt, ProxyState, Server, Session};
use crate::time::Timestamp;
use nanorand::{Rng, WyRand};
use std::rc::Rc;
use std::time::Duration;

/// How long a client's draw stays the same, so that asking again at once does not change the answer.
const DRAW_LIFETIME: Duration = Duration::from_millis(2000);
/// Third filter: selects a server, unless an earlier filter has.
pub(super) struct Placement {
    pub(super) state: Rc<ProxyState>,
    pub(super) slow_start: SlowStart,
}

impl Placement {
    fn select(&self, session: &Rc<Session>, now: Timestamp, host: &mut dyn Host) -> Option<Rc<Server>> {
        let all = self.state.servers.all();
        let allowed = session.restrict(&all);
        let decision = Decision::new(self, session, allowed.as_ref().unwrap_or(&all), now);
        decision.server_by_hash().or_else(|| decision.server_by_affinity(host))
    }
}

impl Filter for Placement {
    fn on_request(
        &self,
        session: &Rc<Session>,
        selection: &mut Selection,
        now: Timestamp,
        host: &mut dyn Host,
    ) -> Flow {
        let selected = selection.server.take().filter(|server| server.is_active());
        selection.server = selected.or_else(|| self.select(session, now, host));
        if session.awaits_health_check.get() {
            Flow::Hold
        } else if selection.server.is_some() {
            Flow::Continue
        } else {
            Flow::Finish
        }
    }

    fn on_outcome(&self, session: &Rc<Session>, attempt: &Attempt, now: Timestamp) {
        attempt.server.record_outcome(session, attempt, now);
    }
}

/// One placement of a session, and what it goes by.
pub(super) struct Decision<'a> {
    pub(super) state: &'a ProxyState,
    pub(super) slow_start: &'a SlowStart,
    pub(super) session: &'a Rc<Session>,
    /// The servers that the session may go to, in the order of the list.
    pub(super) servers: &'a [Rc<Server>],
    pub(super) now: Timestamp,
    pub(super) fleet: FleetLoad,
    /// The client's draw, from 0 to 1: servers with a higher outlier score are passed over.
    draw: f64,
    /// From 0 to 1: warming servers that admit a smaller fraction are passed over.
    admission_draw: f64,
    pub(super) admission: AdmissionLoad,
    /// Whether the session is placed as if no server's load were observed.
    pub(super) load_unobserved: bool,
    /// The group by which it may be placed.
    pub(super) group: Option<u64>,
    suspicion_timeout: Option<Duration>,
    domains: Vec<DomainScore>,
}

impl<'a> Decision<'a> {
    fn new(
        placement: &'a Placement,
        session: &'a Rc<Session>,
        servers: &'a [Rc<Server>],
        now: Timestamp,
    ) -> Self {
        let Placement { state, slow_start } = placement;
        let fleet = FleetLoad::of(servers);
        let draw = client_draw(state, session, now);
        let load_unobserved =
            session.group.is_some() && slow_start.is_load_unobserved(session.key, servers.len());
        Decision {
            admission: admission_load(placement, session, servers.len(), load_unobserved, fleet, now),
            // The opposite of the draw: else who passes outliers over would meet at the warming servers.
            admission_draw: session.admission_turn.map_or(1.0 - draw, |turn| turn.fraction_ahead),
            group: session.group.filter(|_| !session.mid_flow || load_unobserved),
            suspicion_timeout: state.establish_latencies.suspicion_timeout(),
            domains: state.failure_domain_scores(now),
            state,
            slow_start,
            session,
            servers,
            now,
            fleet,
            draw,
            load_unobserved,
        }
    }

    /// The ordinary path: the server of the key's hash, or the next one in order that is usable and not overfull. None
    /// where the session is to be placed by its group.
    fn server_by_hash(&self) -> Option<Rc<Server>> {
        if self.session.reconnected && self.group.is_some() {
            return None;
        }
        let start = self.session.key as usize % self.servers.len().max(1);
        let is_eligible =
            |server: &&Rc<Server>| self.is_usable(server, &self.admission) && !self.fleet.is_overfull(server);
        let server = self.servers[start..].iter().chain(&self.servers[..start]).find(is_eligible)?;
        let is_mid_flow = self.group.is_none() && self.session.mid_flow;
        (is_mid_flow || self.is_trusted(server) && self.is_fleet_calm()).then(|| server.clone())
    }

    /// Whether the session may be sent to this server now.
    pub(super) fn is_usable(&self, server: &Rc<Server>, admission: &AdmissionLoad) -> bool {
        server.is_active()
            && self.session.may_go_to(server, self.now)
            && !self.session.has_tried(server)
            && self.admission_draw <= self.slow_start.admitted_fraction(server, admission, self.now)
    }

    /// Whether neither the server's outlier score nor its silence nor its failure domains pass it over.
    pub(super) fn is_trusted(&self, server: &Rc<Server>) -> bool {
        self.session.mid_flow
            || self.draw >= server.outlier_score(self.now)
                && !server.is_suspected(self.suspicion_timeout, self.now)
                && !self.is_in_failing_domain(server)
    }

    /// Whether its zone or kind passes over a server where this proxy has no connection to tell by.
    fn is_in_failing_domain(&self, server: &Server) -> bool {
        let fails = |d: &DomainScore| server.failure_domains().contains(&d.domain) && self.draw < d.excess;
        server.open_connections() == 0.0 && self.domains.iter().any(fails)
    }

    /// Whether the fleet's load is observed and low enough to place sessions by hash.
    fn is_fleet_calm(&self) -> bool {
        !self.load_unobserved && self.draw >= self.state.fleet_overload(|_| true, self.now)
    }
}

/// The draw of a client, the same for all that it asks within a draw's lifetime.
fn client_draw(state: &ProxyState, session: &Session, now: Timestamp) -> f64 {
    let seed = state.seed ^ session.key ^ now.periods(DRAW_LIFETIME);
    f64::from(WyRand::new_seed(seed).generate::<f32>())
}

fn admission_load(
    placement: &Placement,
    session: &Session,
    servers: usize,
    load_unobserved: bool,
    fleet: FleetLoad,
    now: Timestamp,
) -> AdmissionLoad {
    let Placement { state, slow_start } = placement;
    // A group reconnects at once to one server, where new clients spread over its extra servers too.
    let is_wave = session.reconnected && load_unobserved;
    AdmissionLoad {
        // The session itself will be open, too.
        quota: (slow_start.proxy_capacity(servers) * state.quota_fraction.get()).max(fleet.open + 1.0),
        recent_arrivals: state.arrivals.recent_count(now),
        max_fraction: if is_wave { 1.0 / (1.0 + EXTRA_SERVERS as f64) } else { 1.0 },
        servers: servers as f64,
    }
}
