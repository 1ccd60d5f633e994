//! Group affinity: sessions of one group meet on few servers, chosen by rendezvous (highest random weight) hashing.

use super::placement::Decision;
use super::slow_start::AdmissionLoad;
use crate::host::Host;
use crate::state::{ArrivalHistory, Server};
use std::rc::Rc;

/// How many servers beyond its group's own a session may go to.
pub(super) const EXTRA_SERVERS: usize = 2;
/// The part of the quota that is admitted by group: a warming server may rank first for many groups.
const GROUP_QUOTA_FRACTION: f64 = 0.65;

/// A server and its rendezvous rank.
struct RankedServer<'a> {
    rank: u64,
    server: &'a Rc<Server>,
}

impl ArrivalHistory {
    /// How many of `servers` a group needs, by its share of the recent clients.
    pub(super) fn servers_for_group(&self, group: u64, servers: usize) -> usize {
        // Fewer samples say little about a share.
        const MIN_SAMPLES: usize = 16;
        let others = self.clients_of(group).saturating_sub(1);
        (1 + others * servers / self.grouped_clients().max(MIN_SAMPLES)).min(servers)
    }
}

impl Server {
    /// Its rendezvous rank for a group or a key, lowest first: the same at every proxy, whatever else is listed.
    pub(super) fn rendezvous_rank(&self, hash: u64) -> u64 {
        /// 2^64 divided by the golden ratio.
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        let mix = |bits: u64| bits.wrapping_mul(MULTIPLIER);
        mix(mix(self.hash ^ hash).rotate_left(32))
    }
}

impl<'a> Decision<'a> {
    /// A server of the session's group, or of its key where there is none: the first that is not overfull, or the first.
    pub(super) fn server_by_affinity(&self, host: &mut dyn Host) -> Option<Rc<Server>> {
        let ranked = self.affinity_order();
        let trusted: Vec<_> =
            ranked.iter().map(|r| r.server).filter(|server| self.is_trusted(server)).collect();
        self.request_health_checks(&trusted, host);
        let has_room = trusted.iter().find(|server| !self.fleet.is_overfull(server));
        has_room.or(trusted.first()).map(|server| Rc::clone(server))
    }

    /// The servers that the session may be placed at by affinity: its group's, in the order of the key, and a few more.
    fn affinity_order(&self) -> Vec<RankedServer<'a>> {
        let mut ranked = self.ranked_servers();
        let width = self.group_width(&ranked);
        if width + EXTRA_SERVERS < ranked.len() {
            ranked.select_nth_unstable_by_key(width + EXTRA_SERVERS, |r| r.rank);
            ranked.truncate(width + EXTRA_SERVERS);
        }
        ranked.sort_unstable_by_key(|r| r.rank);
        ranked[..width].sort_unstable_by_key(|r| r.server.rendezvous_rank(self.session.key));
        ranked
    }

    /// The servers that take part in the ranking. One that refused or broke the last attempt and holds nothing is gone,
    /// though still listed.
    fn ranked_servers(&self) -> Vec<RankedServer<'a>> {
        let hash = self.group.unwrap_or(self.session.key);
        let factor = if self.group.is_some() { GROUP_QUOTA_FRACTION } else { 1.0 };
        let admission = AdmissionLoad { quota: self.admission.quota * factor, ..self.admission };
        let is_present = |server: &&Rc<Server>| {
            self.is_usable(server, &admission)
                && (!server.last_attempt_broke.get()
                    || server.open_connections() > 0.0
                    || self.is_trusted(server))
        };
        let ranked = |server: &'a Rc<Server>| RankedServer { rank: server.rendezvous_rank(hash), server };
        self.servers.iter().filter(is_present).map(ranked).collect()
    }

    /// How many of the ranked servers are the group's own. More where no load is observed, to spread what a single
    /// server would get; reconnecting clients spread only past a warming server, as each server that holds any member
    /// of a group does the group's work.
    fn group_width(&self, ranked: &[RankedServer]) -> usize {
        let is_first_warming = || {
            let first = ranked.iter().min_by_key(|r| r.rank);
            first.is_some_and(|r| self.slow_start.warm_fraction(r.server, self.now) < 1.0)
        };
        let is_spread = self.load_unobserved && (!self.session.reconnected || is_first_warming());
        let extra = if is_spread { EXTRA_SERVERS } else { 0 };
        let width = |group| self.state.arrivals.servers_for_group(group, ranked.len()) + extra;
        self.group.map_or(0, width).min(ranked.len())
    }

    /// Has the first servers answer a health check where no load is observed: the first to answer has the least to do.
    fn request_health_checks(&self, servers: &[&Rc<Server>], host: &mut dyn Host) {
        let is_useful = self.load_unobserved && !self.session.mid_flow && servers.len() > 1;
        if is_useful && !self.session.health_checked.replace(true) {
            for server in servers.iter().take(1 + EXTRA_SERVERS) {
                server.request_health_check(self.session, host);
            }
        }
    }
}
