//! Divides the fleet's quota so that the members' fractions never add up to more than 1, even during network
//! partitions.
//!
//! Half of the quota is guaranteed: each member always has an equal share of it, even if it reaches no peers. The other
//! half is a pool with one unit per member. A unit is held by at most one member at a time, with leases from a majority
//! of its voters. The voters of a unit are up to five members, chosen by a hash so that all members agree on them. Each
//! member holds its own unit while it is alive. The unit of a member that is not alive is requested by the alive member
//! that ranks first for it, again by a hash.
//!
//! Why the fractions never exceed 1: any two majorities of a unit's voters have a voter in common, and a voter does not
//! grant a unit to another member until the previous lease has expired by the voter's clock, plus a margin for clock
//! drift. The holder counts the lease from when it sent the request, so the lease expires at the holder first. A voter
//! that has restarted does not know its earlier grants, and therefore grants nothing for the duration of a lease.

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

/// The duration of a lease: four renewal intervals, so that three consecutive renewals may be lost. A fleet that has
/// just started has only its guaranteed shares for this long.
pub const LEASE_DURATION: Duration = Duration::from_millis(2000);
/// Interval between lease renewals.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// A unit of the pool, identified by the id of its member.
pub(crate) type Unit = u16;

/// A request for leases to one voter. Encoded by field position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseRequest {
    /// Incremented with each round of requests by a holder.
    pub(crate) number: u32,
    /// The units that the sender wants to hold.
    pub(crate) units: Vec<Unit>,
    /// The units that the sender no longer holds or requests.
    pub(crate) releases: Vec<Unit>,
}

/// A voter's reply to a request. Encoded by field position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseGrant {
    /// The number of the request that this grant answers.
    pub(crate) number: u32,
    /// The requested units that are granted.
    pub(crate) units: Vec<Unit>,
}

/// A request and the voter to send it to.
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
    /// `size` is the number of members in the roster.
    pub(crate) fn new(me: Incarnation, size: usize, now: Timestamp) -> Self {
        QuotaLeases {
            me,
            size,
            voters: UnitVoters::new(size),
            holder: Holder::default(),
            grantor: Grantor::new(now),
        }
    }

    /// Continues with a new incarnation of this member, which does not hold any leases yet.
    pub(crate) fn incarnation_renewed(&mut self, me: Incarnation) {
        self.me = me;
        self.holder.drop_all();
    }

    /// The fraction of the fleet's quota that this member may currently use, from 0 to 1. Read it again before each
    /// use, because leases may have expired while the process was suspended.
    pub(crate) fn quota_fraction(&self, now: Timestamp) -> f64 {
        let guaranteed_share = 1;
        let units = self.holder.held_units(&self.voters, now).count();
        (guaranteed_share + units) as f64 / (2 * self.size) as f64
    }

    /// Requests leases on the units that this member should hold. `alive` includes the local member.
    pub(crate) fn request_leases(&mut self, alive: &[MemberId], now: Timestamp) -> Vec<AddressedRequest> {
        let units = holder::units_to_hold(self.me.member, alive, self.size);
        self.holder.request(units, &self.voters, now)
    }

    /// Processes a lease request from another member or from the local one.
    pub(crate) fn on_request(
        &mut self,
        holder: Incarnation,
        request: &LeaseRequest,
        now: Timestamp,
    ) -> LeaseGrant {
        let is_voter = |unit: Unit| self.voters.of(unit).contains(&self.me.member);
        self.grantor.on_request(holder, request, is_voter, now)
    }

    /// Records the leases that a voter has granted.
    pub(crate) fn on_grant(&mut self, voter: MemberId, grant: &LeaseGrant) {
        self.holder.on_grant(voter, grant, &self.voters);
    }
}

#[cfg(test)]
#[path = "../tests/unit/quota_leases.rs"]
mod tests;
