//! The voter's side of leases: decides which units are granted to which member.

use super::{LeaseGrant, LeaseRequest, Unit, LEASE_DURATION};
use crate::roster::Incarnation;
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// A voter counts a lease for the lease duration times this factor, to allow for clock drift between two machines.
const CLOCK_DRIFT_FACTOR: f64 = 1.05;

/// The leases that this member has granted.
pub(super) struct Grantor {
    started: Timestamp,
    leases: BTreeMap<Unit, Lease>,
}

struct Lease {
    holder: Incarnation,
    granted_at: Timestamp,
    /// The highest number of the requests that this lease was granted for. A release with a lower number was delayed or
    /// duplicated, and does not end the lease.
    number: u32,
}

impl Grantor {
    pub(super) fn new(now: Timestamp) -> Self {
        Grantor { started: now, leases: BTreeMap::new() }
    }

    /// Ends the released leases, and grants the requested units for which this member is a voter and which no other
    /// member holds.
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
