//! Outlier scores: the probability with which sessions pass over a server because of failed attempts and high
//! latencies. Scores decay with a half-life.

use crate::host::AttemptOutcome;
use crate::state::{Attempt, OutlierScore, ProxyState, Server, Session};
use crate::time::{DurationExt, Timestamp};
use std::rc::Rc;
use std::time::Duration;

/// The factor by which the trust in a server (1 - score) shrinks after an attempt that the server did not answer.
const TRUST_FACTOR_UNANSWERED: f64 = 0.5;
/// The factor by which the trust shrinks after an attempt that the server answered with an error or a rejection.
const TRUST_FACTOR_ANSWERED: f64 = 0.7;

impl ProxyState {
    /// Sets the half-life of scores from the numbers of proxies and servers: many proxies together must not retry a
    /// slow server so often that it never recovers.
    pub(super) fn update_outlier_half_lives(&self) {
        const BASE_HALF_LIFE: Duration = Duration::from_millis(6000);
        /// The base half-life applies to up to one proxy for this many servers.
        const SERVERS_PER_PROXY: f64 = 3.0;
        let servers = self.servers.all();
        let scale = (SERVERS_PER_PROXY * self.proxy_count / servers.len() as f64).max(1.0);
        let half_life = BASE_HALF_LIFE.scaled(scale);
        servers.iter().for_each(|server| server.outlier_half_life.set(half_life));
    }

    /// Returns how overloaded the servers are as a whole: twice the mean score of the servers that have connections
    /// of this proxy and for which `included` holds.
    pub(super) fn mean_overload(&self, included: impl Fn(&Rc<Server>) -> bool, now: Timestamp) -> f64 {
        const WEIGHT: f64 = 2.0;
        let servers = self.servers.all();
        let in_use = || servers.iter().filter(|server| server.open_connections() > 0.0 && included(server));
        let total = in_use().map(|server| server.outlier_score(now)).sum::<f64>();
        WEIGHT * total / in_use().count().max(1) as f64
    }
}

impl Server {
    /// A score up to this value is negligible.
    pub(super) const NEGLIGIBLE_OUTLIER_SCORE: f64 = 0.05;

    /// Returns the current outlier score, from 0 to 1.
    pub(super) fn outlier_score(&self, now: Timestamp) -> f64 {
        /// The score does not decay between two latency reports, which arrive once a second.
        const DECAY_DELAY: Duration = Duration::from_millis(1500);
        let OutlierScore { value, updated_at } = self.outlier_score.get();
        if value == 0.0 {
            return 0.0;
        }
        value * 0.5_f64.powf(now.since(updated_at + DECAY_DELAY).ratio_to(self.outlier_half_life.get()))
    }

    /// Sets the outlier score as of now.
    pub(super) fn set_outlier_score(&self, value: f64, now: Timestamp) {
        self.outlier_score.set(OutlierScore { value, updated_at: now });
    }

    /// Raises the outlier score of the attempt's server according to the outcome.
    pub(super) fn record_outcome(&self, session: &Session, attempt: &Attempt, now: Timestamp) {
        self.last_connection_failed.set(matches!(
            attempt.outcome,
            Some(AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost)
        ));
        let trust_factor = match attempt.outcome {
            // A server correctly resets a mid-flow connection that another server holds.
            Some(AttemptOutcome::ConnectionLost) if session.mid_flow && !session.established.get() => return,
            Some(AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost) => {
                TRUST_FACTOR_UNANSWERED
            }
            Some(AttemptOutcome::Failed | AttemptOutcome::Rejected) => TRUST_FACTOR_ANSWERED,
            _ => return,
        };
        self.set_outlier_score(1.0 - (1.0 - self.outlier_score(now)) * trust_factor, now);
    }
}
