//! Log synchronization of a process: it pulls from replicas and members of its cell, and pushes new records to members.

use super::{OutstandingPull, Process};
use crate::delta::{Delta, DeltaError, Merged};
use crate::packet::Message;
use crate::record::{Key, Record, Scope, Version};
use crate::swim::SwimId;
use crate::Environment;
use nanorand::Rng;
use shelfgrade::time::{DurationExt, Timestamp};
use std::net::SocketAddr;
use std::time::Duration;

/// Deltas are pushed only while more than this fraction of the send budget is available.
const MIN_PUSH_BUDGET: f64 = 0.5;
/// Number of members to which a new delta is pushed.
const PUSH_FANOUT: usize = 2;

const BOOTSTRAP_PULL_PERIOD: Duration = Duration::from_millis(150);
const DELEGATE_PULL_PERIOD: Duration = Duration::from_millis(500);
const INCOMPLETE_PULL_PERIOD: Duration = Duration::from_millis(300);
const COMPLETE_PULL_PERIOD: Duration = Duration::from_millis(1000);

const REPLICA_PULL_TIMEOUT: Duration = Duration::from_millis(400);
/// Shorter than for replicas: a member responds immediately, or does not respond because its send budget is used up.
const MEMBER_PULL_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of consecutive pulls that time out before another replica is used. More than one, as a single lost datagram
/// should not make a process switch to a replica in another region.
const MAX_TIMED_OUT_PULLS: u32 = 2;
/// Time after switching to another replica until the nearest one is tried again.
const NEAREST_RETRY_INTERVAL: Duration = Duration::from_millis(10_000);
/// A member with an incomplete state sends, on average, one in this many pulls to a replica, which has all records.
const PULLS_PER_REPLICA_PULL: u32 = 24;
/// Of its other pulls, on average one in this many goes to a delegate.
const PULLS_PER_DELEGATE_PULL: u32 = 4;

impl Process {
    pub(super) fn on_pull(
        &mut self,
        from: SocketAddr,
        scope: Scope,
        after: Version,
        snapshot: bool,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        if !self.state().scope().covers(scope) {
            return environment.datagram_rejected("cells pulls of another cell");
        }
        if after > self.state().complete_to() && self.is_known_sender(from) {
            self.follower.state_mut().observe_head(after);
            if self.outstanding_pull.is_none() {
                self.pull_from(from, now, environment);
            }
        }
        let delta = self.state().pull_response(scope, after, snapshot);
        self.send_within_budget(from, &Message::Delta(delta), now, environment);
    }

    pub(super) fn on_delta(
        &mut self,
        from: SocketAddr,
        delta: &Delta,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        let is_expected = self.outstanding_pull.as_ref().is_some_and(|pull| pull.from == from);
        if is_expected {
            self.outstanding_pull = None;
            self.timed_out_pulls = 0;
        }
        let Some(merged) = self.merge(delta, now, environment) else { return };
        if merged.is_advanced && is_expected && delta.to < delta.head {
            self.pull_from(from, now, environment);
        }
        self.after_merge(&merged, delta, now, environment);
    }

    pub(super) fn on_push(
        &mut self,
        from: SocketAddr,
        delta: &Delta,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        // A delta that starts at version 0 belongs to a snapshot; snapshots are only accepted as responses to pulls.
        if delta.after > Version(0) {
            if let Some(merged) = self.merge(delta, now, environment) {
                self.after_merge(&merged, delta, now, environment);
            }
        }
        if !self.state().is_complete() && self.outstanding_pull.is_none() && self.is_active {
            self.pull_from(from, now, environment);
        }
    }

    /// Applies a delta; returns `None` if it is rejected.
    fn merge(&mut self, delta: &Delta, now: Timestamp, environment: &mut dyn Environment) -> Option<Merged> {
        let merged = match self.follower.on_delta(delta) {
            Ok(merged) => merged,
            Err(DeltaError::Gap) => Merged::default(),
            Err(DeltaError::OutOfOrder) => {
                environment.datagram_rejected("cells answers out of order");
                return None;
            }
            Err(DeltaError::Fork) => {
                environment.datagram_rejected("cells answers with a fork");
                return None;
            }
        };
        merged.new_records.iter().for_each(|record| environment.record_changed(record));
        let is_own_member =
            |record: &Record| matches!(&record.key, Key::Member(cell, _) if *cell == self.cell);
        if merged.new_records.iter().any(is_own_member) {
            self.members.refresh(self.follower.state());
        }
        if !self.is_active && self.state().is_complete() {
            self.activate(now);
        }
        Some(merged)
    }

    /// Makes the process active in its cell if the state has a member record with its incarnation. Requires a complete
    /// state.
    fn activate(&mut self, now: Timestamp) {
        let member = self.state().member(self.cell, &self.name);
        let Some(member) = member.filter(|member| member.incarnation == self.incarnation) else { return };
        let local_id = SwimId { index: member.index, incarnation: self.incarnation, refutations: 0 };
        self.is_active = true;
        self.members.activate(local_id, self.seed, now);
    }

    fn after_merge(
        &mut self,
        merged: &Merged,
        delta: &Delta,
        now: Timestamp,
        environment: &mut dyn Environment,
    ) {
        self.push(merged, delta, now, environment);
        if merged.is_advanced {
            self.submit_release(now, environment);
        }
    }

    /// Pushes a delta to random members, once, and only if it makes the local state complete. Members that miss further
    /// records notice that by their pulls.
    fn push(&mut self, merged: &Merged, delta: &Delta, now: Timestamp, environment: &mut dyn Environment) {
        let completes_state =
            !merged.new_records.is_empty() && delta.after > Version(0) && self.state().is_complete();
        if !completes_state || !self.is_active {
            return;
        }
        if self.send_budget.available_fraction(now) <= MIN_PUSH_BUDGET {
            return;
        }
        for member in self.members.sample(PUSH_FANOUT, &mut self.rng) {
            self.send_within_budget(member, &Message::Push(delta.clone()), now, environment);
        }
    }

    fn pull_from(&mut self, from: SocketAddr, now: Timestamp, environment: &mut dyn Environment) {
        let timeout = if self.replicas.contains(&from) { REPLICA_PULL_TIMEOUT } else { MEMBER_PULL_TIMEOUT };
        self.outstanding_pull = Some(OutstandingPull { from, deadline: now + timeout });
        let pull = self.follower.next_pull();
        self.send(from, &pull, now, environment);
    }

    /// Sends a pull if one is due, and acknowledges the cell's record at the same interval.
    pub(super) fn pull_if_due(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        self.expire_pull(now);
        if self.replica_cursor != 0 && now >= self.retry_nearest_at {
            self.replica_cursor = 0;
        }
        if now < self.next_pull_at {
            return;
        }
        // Jitter, because processes may start at the same time.
        let jitter = 0.9 + 0.2 * f64::from(self.rng.generate_range(0..1000u32)) / 1000.0;
        self.next_pull_at = now + self.pull_period().scaled(jitter);
        if self.outstanding_pull.is_none() {
            if let Some(source) = self.next_source() {
                self.pull_from(source, now, environment);
            }
        }
        self.acknowledge(now, environment);
    }

    fn expire_pull(&mut self, now: Timestamp) {
        let Some(pull) = self.outstanding_pull.take_if(|pull| now >= pull.deadline) else { return };
        self.timed_out_pulls += 1;
        let is_replica_needed = self.replicas.contains(&pull.from) || self.is_bootstrapping();
        if self.timed_out_pulls >= MAX_TIMED_OUT_PULLS && is_replica_needed {
            self.replica_cursor += 1;
            self.timed_out_pulls = 0;
            self.retry_nearest_at = now + NEAREST_RETRY_INTERVAL;
        }
        self.next_pull_at = now;
    }

    fn pull_period(&self) -> Duration {
        if self.is_bootstrapping() {
            BOOTSTRAP_PULL_PERIOD
        } else if self.members.is_delegate() {
            DELEGATE_PULL_PERIOD
        } else if !self.state().is_complete() {
            INCOMPLETE_PULL_PERIOD
        } else {
            COMPLETE_PULL_PERIOD
        }
    }

    fn is_bootstrapping(&self) -> bool {
        !self.is_active || self.follower.is_transferring_snapshot()
    }

    /// The node to pull from next: usually a replica while the process bootstraps or is a delegate, otherwise usually a
    /// member of the cell.
    fn next_source(&mut self) -> Option<SocketAddr> {
        let replica = self.replica(self.replica_cursor);
        let is_bootstrapping = self.is_bootstrapping();
        let may_pull_from_member =
            is_bootstrapping && self.replica_cursor % 2 == 1 && !self.members.is_empty();
        if (self.members.is_delegate() || is_bootstrapping) && !may_pull_from_member {
            return replica;
        }
        if !self.state().is_complete() {
            if self.rng.generate_range(0..PULLS_PER_REPLICA_PULL) == 0 {
                return replica;
            }
            let delegates = self.members.delegates();
            if !delegates.is_empty() && self.rng.generate_range(0..PULLS_PER_DELEGATE_PULL) == 0 {
                return Some(delegates[self.rng.generate_range(0..delegates.len())]);
            }
        }
        self.members.sample(1, &mut self.rng).pop().or(replica)
    }
}
