//! Outlier scores of failure domains, for servers to which this proxy has no connections: the failure of a zone or of
//! a kind of machine is discovered once instead of server by server.

use crate::state::{ProxyState, Server};
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// The sum and the number of some scores.
#[derive(Clone, Copy, Default)]
struct ScoreSum {
    total: f64,
    count: f64,
}

impl ScoreSum {
    fn add(&mut self, score: f64) {
        self.total += score;
        self.count += 1.0;
    }

    /// Returns by how much the mean of this sum exceeds the mean of the other scores in `all`. The first mean includes
    /// one additional, fully trusted server, because the score of a single server says as much about the server itself
    /// as about its domain.
    fn excess_over_others(self, all: ScoreSum) -> f64 {
        self.total / (self.count + 1.0) - (all.total - self.total) / (all.count - self.count).max(1.0)
    }
}

/// A failure domain, and by how much its mean outlier score exceeds that of the other servers.
pub(super) struct DomainScore {
    pub(super) domain: u64,
    pub(super) excess: f64,
}

impl ProxyState {
    /// Returns the failure domains in which some server has an outlier score.
    pub(super) fn failure_domain_scores(&self, now: Timestamp) -> Vec<DomainScore> {
        let servers = self.servers.all();
        let mut domains: BTreeMap<u64, ScoreSum> = BTreeMap::new();
        let mut all = ScoreSum::default();
        for server in servers.iter() {
            let score = server.outlier_score(now);
            if server.open_connections() > 0.0 || score > Server::NEGLIGIBLE_OUTLIER_SCORE {
                all.add(score);
                server.failure_domains().iter().for_each(|id| domains.entry(*id).or_default().add(score));
            }
        }
        // A domain that all servers share does not distinguish any of them.
        let is_shared_by_all = |id: &u64| servers.iter().all(|server| server.failure_domains().contains(id));
        domains.retain(|id, sum| sum.total > 0.0 && !is_shared_by_all(id));
        let score =
            |(domain, sum): (u64, ScoreSum)| DomainScore { domain, excess: sum.excess_over_others(all) };
        domains.into_iter().map(score).collect()
    }
}
