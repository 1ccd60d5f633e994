//! Unit tests of quota leases: delayed messages and voters that have restarted.

use super::*;
use crate::roster::rank;
use shelfgrade::time::DurationExt;

const MEMBERS: usize = 3;
/// The guaranteed share of one member, which is also the fraction that one unit adds.
const SHARE: f64 = 1.0 / (2 * MEMBERS) as f64;

fn incarnation(member: u16, started_at: u64) -> Incarnation {
    Incarnation { member: MemberId(member), started_at }
}

/// Three members, each a voter for every unit, one hour after they started.
fn three_members() -> (Vec<QuotaLeases>, Timestamp) {
    let started = Timestamp::from_ms(1000.0);
    let member = |member| QuotaLeases::new(incarnation(member, 1), MEMBERS, started);
    ((0..3).map(member).collect(), started + Duration::from_millis(3_600_000))
}

/// The member that takes over unit 0 if the first member is not alive.
fn successor_of_first() -> usize {
    if rank(0, MemberId(1)) < rank(0, MemberId(2)) {
        1
    } else {
        2
    }
}

fn send_requests(
    members: &mut [QuotaLeases],
    holder: usize,
    alive: &[u16],
    now: Timestamp,
) -> Vec<AddressedRequest> {
    let alive: Vec<_> = alive.iter().copied().map(MemberId).collect();
    members[holder].request_leases(&alive, now)
}

/// Delivers a holder's request to a voter and returns the voter's grant.
fn deliver(
    members: &mut [QuotaLeases],
    holder: usize,
    requests: &[AddressedRequest],
    voter: usize,
    now: Timestamp,
) -> LeaseGrant {
    let addressed = requests.iter().find(|addressed| usize::from(addressed.voter.0) == voter);
    let me = members[holder].me;
    members[voter].on_request(me, &addressed.expect("a request to this voter").request, now)
}

/// Has a member request leases, and the given voters reply immediately.
fn renew(members: &mut [QuotaLeases], holder: usize, alive: &[u16], voters: &[usize], now: Timestamp) {
    let requests = send_requests(members, holder, alive, now);
    for voter in voters {
        let grant = deliver(members, holder, &requests, *voter, now);
        members[holder].on_grant(MemberId(*voter as u16), &grant);
    }
}

fn holds(member: &QuotaLeases, unit: Unit, now: Timestamp) -> bool {
    assert!(member.holder.units.contains_key(&unit), "unit {unit} was not requested");
    member.holder.held_units(&member.voters, now).any(|held| held == unit)
}

#[test]
fn a_restarted_voter_grants_no_unit_that_it_may_have_granted_before() {
    let (mut members, now) = three_members();
    renew(&mut members, 0, &[0, 1, 2], &[0, 1], now);
    assert_eq!(members[0].quota_fraction(now), 2.0 * SHARE);
    // The second member is restarted, and both other members consider the first one failed.
    let soon = now + Duration::from_millis(200);
    members[1] = QuotaLeases::new(incarnation(1, 2), MEMBERS, soon);
    let successor = successor_of_first();
    let other = 3 - successor;
    renew(&mut members, successor, &[1, 2], &[successor, other], soon);
    assert!(!holds(&members[successor], 0, soon), "the first member may still use it");
    let later = now + LEASE_DURATION.scaled(3.0);
    renew(&mut members, successor, &[1, 2], &[successor, other], later);
    assert!(holds(&members[successor], 0, later) && members[0].quota_fraction(later) == SHARE);
}

#[test]
fn delayed_messages_neither_end_a_lease_nor_return_a_released_unit() {
    let (mut members, now) = three_members();
    let successor = successor_of_first();
    // The successor requests the first member's unit, releases it when that member is back, and requests it again when
    // that member has left again.
    let first = send_requests(&mut members, successor, &[1, 2], now);
    let release = send_requests(&mut members, successor, &[0, 1, 2], now);
    let again = send_requests(&mut members, successor, &[1, 2], now);
    let delayed: Vec<_> =
        [0, 1].map(|voter| (voter, deliver(&mut members, successor, &first, voter, now))).to_vec();
    for (voter, grant) in delayed {
        members[successor].on_grant(MemberId(voter as u16), &grant);
    }
    assert!(!holds(&members[successor], 0, now), "granted before the release");
    for voter in [0, 1] {
        let grant = deliver(&mut members, successor, &again, voter, now);
        members[successor].on_grant(MemberId(voter as u16), &grant);
    }
    assert!(holds(&members[successor], 0, now));
    for voter in 0..3 {
        deliver(&mut members, successor, &release, voter, now);
    }
    renew(&mut members, 0, &[0, 1, 2], &[0, 1, 2], now);
    assert_eq!(members[0].quota_fraction(now), SHARE, "the delayed release is older than the lease");
}
