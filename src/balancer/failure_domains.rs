//! Outlier scores of failure domains, for servers where this proxy holds nothing: a zone or a kind that fails is met
//! once, not server by server.

use crate::state::{ProxyState, Server};
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// A sum of scores and how many there are.
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

    /// How far the mean of these is above that of the others among `all`. One server more counts as trusted, as a
    /// single one says as much of itself as of its domain.
    fn excess_over_others(self, all: ScoreSum) -> f64 {
        self.total / (self.count + 1.0) - (all.total - self.total) / (all.count - self.count).max(1.0)
    }
}

/// A failure domain, and how far its outlier score is above that of the other servers.
pub(super) struct DomainScore {
    pub(super) domain: u64,
    pub(super) excess: f64,
}

impl ProxyState {
    /// The failure domains in which some server has an outlier score.
    pub(super) fn failure_domain_scores(&self, now: Timestamp) -> Vec<DomainScore> {
        let servers = self.servers.all();
        let mut domains: BTreeMap<u64, ScoreSum> = BTreeMap::new();
        let mut all = ScoreSum::default();
        for server in servers.iter() {
            let score = server.outlier_score(now);
            if server.open_connections() > 0.0 || score > Server::DECAYED_OUTLIER_SCORE {
                all.add(score);
                server.failure_domains().iter().for_each(|id| domains.entry(*id).or_default().add(score));
            }
        }
        // A domain that all servers share tells none of them from the others.
        let is_shared_by_all = |id: &u64| servers.iter().all(|server| server.failure_domains().contains(id));
        domains.retain(|id, sum| sum.total > 0.0 && !is_shared_by_all(id));
        let score =
            |(domain, sum): (u64, ScoreSum)| DomainScore { domain, excess: sum.excess_over_others(all) };
        domains.into_iter().map(score).collect()
    }
}
