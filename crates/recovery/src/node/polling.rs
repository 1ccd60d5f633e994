//! Starts and stops polling of discovery on behalf of the fleet, and shares the pollers' heartbeats.

use super::Node;
use crate::environment::RecoveryEnvironment;
use crate::poller_election::{Heartbeat, HEARTBEAT_PREFIX};
use shelfgrade::time::Timestamp;
use std::time::Duration;

/// How long after an answer discovery counts as reachable: longer than the duration of a watch, which is four seconds.
const ANSWER_VALIDITY: Duration = Duration::from_millis(6000);

impl Node {
    /// Starts or stops polling according to the election, and shares a heartbeat while polling.
    pub(super) fn update_polling(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        let is_poller = self.election.is_poller(self.fleet.alive(), now);
        if is_poller != self.is_poller {
            self.is_poller = is_poller;
            self.last_discovery_answer = None;
            environment.set_polling(is_poller);
        }
        if is_poller {
            self.share_heartbeat(now, environment);
        }
    }

    fn share_heartbeat(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        let me = self.fleet.local_incarnation().member;
        let heartbeat = self.heartbeat(now);
        let put = self.fleet.put(&format!("{HEARTBEAT_PREFIX}{}", me.0), &heartbeat, environment);
        debug_assert!(put.is_ok(), "{put:?}");
        let number = put.map_or(0, |version| version.count);
        self.election.on_heartbeat(me, number, heartbeat, true, now);
    }

    fn heartbeat(&self, now: Timestamp) -> Heartbeat {
        Heartbeat {
            epoch: self.list_history.epoch,
            seq: self.list_history.seq,
            digest: self.list_digest(),
            is_answered: self.last_discovery_answer.is_some_and(|at| now.since(at) < ANSWER_VALIDITY),
        }
    }
}
