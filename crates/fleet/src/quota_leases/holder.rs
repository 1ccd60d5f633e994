//! The holder's side of leases: decides which units to request, and tracks which leases are valid.

use super::voters::UnitVoters;
use super::{AddressedRequest, LeaseGrant, LeaseRequest, Unit, LEASE_DURATION};
use crate::roster::{missing, rank, MemberId};
use shelfgrade::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of units that one member requests. Bounds its traffic if many members have failed.
const MAX_REQUESTED_UNITS: usize = 8;
/// Number of request rounds that are kept: enough to match a reply that arrives four lease durations later.
const MAX_ROUNDS: usize = 16;

/// The units that this member requests or holds.
#[derive(Default)]
pub(super) struct Holder {
    pub(super) units: BTreeMap<Unit, RequestedUnit>,
    /// The most recent request rounds, oldest first.
    rounds: VecDeque<RequestRound>,
    last_number: u32,
}

/// A unit that this member requests or holds.
pub(super) struct RequestedUnit {
    /// The number of the first request since the unit was last released. Grants for earlier requests are ignored,
    /// because the voters may have ended those leases when they received the release.
    first_number: u32,
    /// For each voter, when the last request that it granted was sent. The lease starts then.
    granted: BTreeMap<MemberId, Timestamp>,
}

struct RequestRound {
    number: u32,
    sent_at: Timestamp,
}

/// The requested and released units to send to one voter.
#[derive(Default)]
struct UnitsForVoter {
    units: Vec<Unit>,
    releases: Vec<Unit>,
}

impl Holder {
    /// Drops all units without releasing them, because their leases belong to the previous incarnation.
    pub(super) fn drop_all(&mut self) {
        self.units.clear();
    }

    /// The units that have valid leases from a majority of their voters.
    pub(super) fn held_units<'a>(
        &'a self,
        voters: &'a UnitVoters,
        now: Timestamp,
    ) -> impl Iterator<Item = Unit> + 'a {
        let is_held = move |(unit, requested): &(&Unit, &RequestedUnit)| {
            let majority = voters.of(**unit).len() / 2 + 1;
            let is_valid = |sent_at: &&Timestamp| now < **sent_at + LEASE_DURATION;
            requested.granted.values().filter(is_valid).count() >= majority
        };
        self.units.iter().filter(is_held).map(|(unit, _)| *unit)
    }

    /// Requests or renews leases on `units`, and releases all others.
    pub(super) fn request(
        &mut self,
        units: Vec<Unit>,
        voters: &UnitVoters,
        now: Timestamp,
    ) -> Vec<AddressedRequest> {
        let released: Vec<Unit> = self.units.keys().filter(|unit| !units.contains(unit)).copied().collect();
        for unit in &released {
            self.units.remove(unit);
        }
        let number = self.begin_round(now);
        for unit in &units {
            let new = || RequestedUnit { first_number: number, granted: BTreeMap::new() };
            self.units.entry(*unit).or_insert_with(new);
        }
        address_to_voters(number, &units, &released, voters)
    }

    fn begin_round(&mut self, now: Timestamp) -> u32 {
        self.last_number += 1;
        self.rounds.push_back(RequestRound { number: self.last_number, sent_at: now });
        self.rounds.drain(..self.rounds.len().saturating_sub(MAX_ROUNDS));
        self.last_number
    }

    /// Records the leases that a voter has granted.
    pub(super) fn on_grant(&mut self, voter: MemberId, grant: &LeaseGrant, voters: &UnitVoters) {
        let Some(round) = self.rounds.iter().find(|round| round.number == grant.number) else { return };
        for unit in &grant.units {
            if !voters.of(*unit).contains(&voter) {
                continue;
            }
            let requested = self.units.get_mut(unit);
            if let Some(requested) = requested.filter(|requested| grant.number >= requested.first_number) {
                let sent_at = requested.granted.entry(voter).or_insert(round.sent_at);
                *sent_at = (*sent_at).max(round.sent_at);
            }
        }
    }
}

/// The units that member `me` should hold: its own, and up to a limit the units of members that are not alive and for
/// which `me` ranks first among the alive members.
pub(super) fn units_to_hold(me: MemberId, alive: &[MemberId], size: usize) -> Vec<Unit> {
    let order = |unit: Unit, member: MemberId| (rank(u64::from(unit), member), member);
    let is_successor = |unit: &Unit| !alive.iter().any(|member| order(*unit, *member) < order(*unit, me));
    let units_of_missing_members = missing(alive, size).map(|member| member.0);
    let taken_over = units_of_missing_members.filter(is_successor).take(MAX_REQUESTED_UNITS - 1);
    std::iter::once(me.0).chain(taken_over).collect()
}

/// Groups the requested and released units by voter.
fn address_to_voters(
    number: u32,
    units: &[Unit],
    releases: &[Unit],
    voters: &UnitVoters,
) -> Vec<AddressedRequest> {
    let mut by_voter: BTreeMap<MemberId, UnitsForVoter> = BTreeMap::new();
    for unit in units {
        for voter in voters.of(*unit).iter() {
            by_voter.entry(*voter).or_default().units.push(*unit);
        }
    }
    for unit in releases {
        for voter in voters.of(*unit).iter() {
            by_voter.entry(*voter).or_default().releases.push(*unit);
        }
    }
    let addressed = |(voter, UnitsForVoter { units, releases })| AddressedRequest {
        voter,
        request: LeaseRequest { number, units, releases },
    };
    by_voter.into_iter().map(addressed).collect()
}
