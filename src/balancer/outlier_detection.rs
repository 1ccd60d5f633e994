//! Outlier scores: how far a server is passed over for failed attempts and late messages, decaying with a half-life.

use crate::host::AttemptOutcome;
use crate::state::{Attempt, OutlierScore, ProxyState, Server, Session};
use crate::time::{DurationExt, Timestamp};
use std::rc::Rc;
use std::time::Duration;

/// What remains of the trust, one less the score, after an attempt that the server did not answer.
const TRUST_KEPT_UNANSWERED: f64 = 0.5;
/// What remains of the trust after an attempt that the server answered with an error or a rejection.
const TRUST_KEPT_ANSWERED: f64 = 0.7;

impl ProxyState {
    /// Sets the half-life of scores by the numbers of proxies and servers: many proxies together must not try a slow
    /// server again so often that it never recovers.
    pub(super) fn update_outlier_half_lives(&self) {
        const BASE_HALF_LIFE: Duration = Duration::from_millis(6000);
        /// The base half-life holds up to one proxy for this many servers.
        const SERVERS_PER_PROXY: f64 = 3.0;
        let servers = self.servers.all();
        let scale = (SERVERS_PER_PROXY * self.proxies / servers.len() as f64).max(1.0);
        let half_life = BASE_HALF_LIFE.scaled(scale);
        servers.iter().for_each(|server| server.outlier_half_life.set(half_life));
    }

    /// How overloaded the fleet is: twice the mean score of the servers that hold sessions and are `included`.
    pub(super) fn fleet_overload(&self, included: impl Fn(&Rc<Server>) -> bool, now: Timestamp) -> f64 {
        const WEIGHT: f64 = 2.0;
        let servers = self.servers.all();
        let in_use = || servers.iter().filter(|server| server.open_connections() > 0.0 && included(server));
        let total = in_use().map(|server| server.outlier_score(now)).sum::<f64>();
        WEIGHT * total / in_use().count().max(1) as f64
    }
}

impl Server {
    /// A score up to this counts as decayed.
    pub(super) const DECAYED_OUTLIER_SCORE: f64 = 0.05;

    /// The outlier score now, from 0 to 1.
    pub(super) fn outlier_score(&self, now: Timestamp) -> f64 {
        /// The score does not decay between two latency reports, which come once a second.
        const HOLD: Duration = Duration::from_millis(1500);
        let OutlierScore { value, updated_at } = self.outlier_score.get();
        if value == 0.0 {
            return 0.0;
        }
        value * 0.5_f64.powf(now.since(updated_at + HOLD).ratio_to(self.outlier_half_life.get()))
    }

    /// Sets the outlier score as of now.
    pub(super) fn set_outlier_score(&self, value: f64, now: Timestamp) {
        self.outlier_score.set(OutlierScore { value, updated_at: now });
    }

    /// Raises the score of the attempt's server by how the attempt ended.
    pub(super) fn record_outcome(&self, session: &Session, attempt: &Attempt, now: Timestamp) {
        self.last_attempt_broke.set(matches!(
            attempt.outcome,
            Some(AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost)
        ));
        let trust_kept = match attempt.outcome {
            // A server rightly resets a mid-flow connection that another server holds.
            Some(AttemptOutcome::ConnectionLost) if session.mid_flow && !session.established.get() => return,
            Some(AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost) => {
                TRUST_KEPT_UNANSWERED
            }
            Some(AttemptOutcome::Failed | AttemptOutcome::Rejected) => TRUST_KEPT_ANSWERED,
            _ => return,
        };
        self.set_outlier_score(1.0 - (1.0 - self.outlier_score(now)) * trust_kept, now);
    }
}
