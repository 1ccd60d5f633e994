//! Group affinity: sessions of one group are sent to few servers, chosen by rendezvous (highest random weight)
//! hashing.

use super::placement::PlacementContext;
use super::slow_start::AdmissionInputs;
use crate::host::Host;
use crate::state::{ArrivalHistory, Server};
use std::rc::Rc;

/// How many servers beyond its group's own a session may be sent to.
pub(super) const EXTRA_SERVERS: usize = 2;
/// The fraction of the quota that is admitted to warming servers by group, because a warming server may rank first
/// for many groups.
const GROUP_QUOTA_FRACTION: f64 = 0.65;

/// A server and its rendezvous rank.
struct RankedServer<'a> {
    rank: u64,
    server: &'a Rc<Server>,
}

impl ArrivalHistory {
    /// Returns how many of `server_count` servers a group needs, given its share of the recent clients.
    pub(super) fn servers_for_group(&self, group: u64, server_count: usize) -> usize {
        // A share among fewer samples is not reliable.
        const MIN_SAMPLES: usize = 16;
        let others = self.clients_of(group).saturating_sub(1);
        (1 + others * server_count / self.grouped_clients().max(MIN_SAMPLES)).min(server_count)
    }
}

impl Server {
    /// Returns the server's rendezvous rank for the hash of a group or key, where the lowest rank is first. It is the
    /// same at every proxy and independent of the other listed servers.
    pub(super) fn rendezvous_rank(&self, hash: u64) -> u64 {
        /// 2^64 divided by the golden ratio.
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        let mix = |bits: u64| bits.wrapping_mul(MULTIPLIER);
        mix(mix(self.hash ^ hash).rotate_left(32))
    }
}

impl<'a> PlacementContext<'a> {
    /// Selects a server by the session's group, or by its key if it has no group: the first one that is not overfull,
    /// or else the first one.
    pub(super) fn server_by_affinity(&self, host: &mut dyn Host) -> Option<Rc<Server>> {
        let ranked = self.affinity_order();
        let trusted: Vec<_> =
            ranked.iter().map(|r| r.server).filter(|server| self.is_trusted(server)).collect();
        self.request_health_checks(&trusted, host);
        let with_room = trusted.iter().find(|server| !self.totals.is_overfull(server));
        with_room.or(trusted.first()).map(|server| Rc::clone(server))
    }

    /// Returns the servers at which the session may be placed by affinity: its group's, ordered by the key's rank,
    /// followed by a few extra ones.
    fn affinity_order(&self) -> Vec<RankedServer<'a>> {
        let mut ranked = self.ranked_servers();
        let group_servers = self.group_server_count(&ranked);
        if group_servers + EXTRA_SERVERS < ranked.len() {
            ranked.select_nth_unstable_by_key(group_servers + EXTRA_SERVERS, |r| r.rank);
            ranked.truncate(group_servers + EXTRA_SERVERS);
        }
        ranked.sort_unstable_by_key(|r| r.rank);
        ranked[..group_servers].sort_unstable_by_key(|r| r.server.rendezvous_rank(self.session.key));
        ranked
    }

    /// Returns the servers that take part in the ranking. Excludes servers that refused or lost the last connection,
    /// hold none and are not trusted: they are probably down though still listed.
    fn ranked_servers(&self) -> Vec<RankedServer<'a>> {
        let hash = self.group.unwrap_or(self.session.key);
        let admission = self.affinity_admission();
        let is_present = |server: &&Rc<Server>| {
            self.is_usable(server, &admission)
                && (!server.last_connection_failed.get()
                    || server.open_connections() > 0.0
                    || self.is_trusted(server))
        };
        let ranked = |server: &'a Rc<Server>| RankedServer { rank: server.rendezvous_rank(hash), server };
        self.servers.iter().filter(is_present).map(ranked).collect()
    }

    /// Returns the inputs to the admission to warming servers where the session is placed by affinity.
    pub(super) fn affinity_admission(&self) -> AdmissionInputs {
        let factor = if self.group.is_some() { GROUP_QUOTA_FRACTION } else { 1.0 };
        AdmissionInputs { quota: self.admission.quota * factor, ..self.admission }
    }

    /// Returns how many of the ranked servers are the group's own. Where no load is observed there are extra ones, to
    /// spread the load that a single server would get. Reconnecting clients are spread only if the first server is
    /// warming up, because each server that holds any member of a group does the group's work.
    fn group_server_count(&self, ranked: &[RankedServer]) -> usize {
        let is_first_warming = || {
            let first = ranked.iter().min_by_key(|r| r.rank);
            first.is_some_and(|r| self.slow_start.warm_fraction(r.server, self.now) < 1.0)
        };
        let needs_extra_servers = self.load_unobserved && (!self.session.reconnected || is_first_warming());
        let extra = if needs_extra_servers { EXTRA_SERVERS } else { 0 };
        let group_servers = |group| self.state.arrivals.servers_for_group(group, ranked.len()) + extra;
        self.group.map_or(0, group_servers).min(ranked.len())
    }

    /// Health-checks the first servers where no load is observed: the first one to answer is the least loaded.
    fn request_health_checks(&self, servers: &[&Rc<Server>], host: &mut dyn Host) {
        let is_useful = self.load_unobserved && !self.session.mid_flow && servers.len() > 1;
        if is_useful && !self.session.health_checked.replace(true) {
            for server in servers.iter().take(1 + EXTRA_SERVERS) {
                server.request_health_check(self.session, host);
            }
        }
    }
}
