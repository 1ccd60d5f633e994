//! The voter's side of leases: which units are granted to whom.

use super::{LeaseGrant, LeaseRequest, Unit, LEASE_DURATION};
use crate::roster::Incarnation;
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// By how much longer than a lease the voter waits: the clocks of two machines may drift apart by less.
const CLOCK_DRIFT_FACTOR: f64 = 1.05;

/// The leases that this member has granted.
pub(super) struct Grantor {
    started: Timestamp,
    leases: BTreeMap<Unit, Lease>,
}

struct Lease {
    holder: Incarnation,
    granted_at: Timestamp,
    /// The highest number of a request that it was granted to. An older release does not end it: that one was delayed
    /// or duplicated.
    number: u32,
}

impl Grantor {
    pub(super) fn new(now: Timestamp) -> Self {
        Grantor { started: now, leases: BTreeMap::new() }
    }

    /// Ends the leases that are released, and grants those requested units that this member votes on and nobody else
    /// holds.
    pub(super) fn on_request(
        &mut self,
        holder: Incarnation,
        request: &LeaseRequest,
        is_voter: impl Fn(Unit) -> bool,
        now: Timestamp,
    ) -> LeaseGrant {
        self.release(holder, request);
        let mut units = Vec::new();
        if now >= self.started + lease_duration_at_voter() {
            units.extend(
                request.units.iter().filter(|unit| is_voter(**unit) && self.is_free(**unit, holder, now)),
            );
        }
        for unit in &units {
            self.grant(*unit, holder, request.number, now);
        }
        LeaseGrant { number: request.number, units }
    }

    fn release(&mut self, holder: Incarnation, request: &LeaseRequest) {
        for unit in &request.releases {
            let lease = self.leases.get(unit);
            if lease.is_some_and(|lease| lease.holder == holder && lease.number < request.number) {
                self.leases.remove(unit);
            }
        }
    }

    fn is_free(&self, unit: Unit, holder: Incarnation, now: Timestamp) -> bool {
        let lease = self.leases.get(&unit);
        lease
            .is_none_or(|lease| lease.holder == holder || now >= lease.granted_at + lease_duration_at_voter())
    }

    fn grant(&mut self, unit: Unit, holder: Incarnation, number: u32, now: Timestamp) {
        let number = self.leases.get(&unit).map_or(number, |lease| lease.number.max(number));
        self.leases.insert(unit, Lease { holder, granted_at: now, number });
    }
}

fn lease_duration_at_voter() -> Duration {
    LEASE_DURATION.scaled(CLOCK_DRIFT_FACTOR)
}
