//! Divides the fleet's quota so that the members' fractions never add up to more than 1, however the network is
//! partitioned.
//!
//! Half of the quota is guaranteed: each member has an equal share of it, whether it sees any peers or not. The other
//! half is a pool with one unit for each member. A unit is held by one member at a time, on leases from a majority of
//! its voters, which are up to five members that everybody derives by the same hash. The unit's own member holds it
//! while it is alive; otherwise the first of the alive members, in a rank order that everybody derives, requests it.
//!
//! Why the sum holds: two majorities of a unit's voters share a voter, which grants the unit to nobody else until the
//! lease that it granted has expired by its own clock, with a margin for clock drift. The holder counts a lease from
//! when it sent the request, so it expires at the holder first. A voter that has just started does not know what it
//! granted before, and grants nothing for the time of a lease.

mod grantor;
mod holder;
mod voters;

use crate::roster::{Incarnation, MemberId};
use grantor::Grantor;
use holder::Holder;
use serde::{Deserialize, Serialize};
use shelfgrade::time::Timestamp;
use std::time::Duration;
use voters::UnitVoters;

/// How long a lease lasts: four renewal intervals, so that three lost renewals in a row do no harm. It is also how
/// long a fleet that has just started runs on its guaranteed shares.
pub const LEASE_DURATION: Duration = Duration::from_millis(2000);
/// How often leases are renewed.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// A unit of the pool, by the number of its member.
pub(crate) type Unit = u16;

/// Requests leases from a voter. Encoded by the position of the fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseRequest {
    /// Goes up with each round of requests of a holder.
    pub(crate) number: u32,
    /// The units that the sender wants to hold.
    pub(crate) units: Vec<Unit>,
    /// The units that it has given up.
    pub(crate) releases: Vec<Unit>,
}

/// A voter's reply to a request. Encoded by the position of the fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseGrant {
    /// The number of the request.
    pub(crate) number: u32,
    /// The units that are granted, of those requested.
    pub(crate) units: Vec<Unit>,
}

/// A request with the voter that it goes to.
#[derive(Debug)]
pub(crate) struct AddressedRequest {
    pub(crate) voter: MemberId,
    pub(crate) request: LeaseRequest,
}

/// The leases of one member, as a holder and as a voter.
pub(crate) struct QuotaLeases {
    me: Incarnation,
    size: usize,
    voters: UnitVoters,
    holder: Holder,
    grantor: Grantor,
}

impl QuotaLeases {
    /// `size`: how many members the roster has.
    pub(crate) fn new(me: Incarnation, size: usize, now: Timestamp) -> Self {
        QuotaLeases {
            me,
            size,
            voters: UnitVoters::new(size),
            holder: Holder::default(),
            grantor: Grantor::new(now),
        }
    }

    /// This member goes on under a new incarnation, which holds no leases yet.
    pub(crate) fn incarnation_renewed(&mut self, me: Incarnation) {
        self.me = me;
        self.holder.drop_all();
    }

    /// The fraction of the fleet's quota that this member may use now, from 0 to 1. To be read before each use: the
    /// process may have been suspended until its leases expired.
    pub(crate) fn quota_fraction(&self, now: Timestamp) -> f64 {
        let guaranteed_share = 1;
        let units = self.holder.held_units(&self.voters, now).count();
        (guaranteed_share + units) as f64 / (2 * self.size) as f64
    }

    /// Requests leases on the units that this member should hold, given the members that are `alive`, this one
    /// included.
    pub(crate) fn request_leases(&mut self, alive: &[MemberId], now: Timestamp) -> Vec<AddressedRequest> {
        let units = holder::units_to_hold(self.me.member, alive, self.size);
        self.holder.request(units, &self.voters, now)
    }

    /// Grants leases to another member, or to this one.
    pub(crate) fn on_request(
        &mut self,
        holder: Incarnation,
        request: &LeaseRequest,
        now: Timestamp,
    ) -> LeaseGrant {
        let is_voter = |unit: Unit| self.voters.of(unit).contains(&self.me.member);
        self.grantor.on_request(holder, request, is_voter, now)
    }

    /// A voter has granted leases.
    pub(crate) fn on_grant(&mut self, voter: MemberId, grant: &LeaseGrant) {
        self.holder.on_grant(voter, grant, &self.voters);
    }
}

#[cfg(test)]
#[path = "../tests/unit/quota_leases.rs"]
mod tests;
