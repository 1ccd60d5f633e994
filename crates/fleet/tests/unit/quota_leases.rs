//! Stories of `rights.rs` from within.

use super::*;

const SEATS: usize = 3;
const HALF: f64 = 1.0 / (2 * SEATS) as f64;

fn incarnation(member: u16, started_at: u64) -> Incarnation {
    Incarnation { member: MemberId(member), started_at }
}

/// Three members, each a witness of every unit, an hour after they began.
fn three() -> (Vec<QuotaLeases>, Timestamp) {
    let began = Timestamp::from_ms(1000.0);
    (
        (0..3).map(|member| QuotaLeases::new(incarnation(member, 1), SEATS, began)).collect(),
        began + Duration::from_millis(3_600_000),
    )
}

fn parts(asked: &[(MemberId, Message)], witness: u16) -> Option<(u32, Vec<u16>, Vec<u16>)> {
    asked.iter().find(|(member, _)| member.0 == witness).map(|(_, message)| match message {
        Message::Ask { number, units, releases } => (*number, units.clone(), releases.clone()),
        other => panic!("{other:?}"),
    })
}

/// Has one ask, and those witnesses answer at once.
fn asks(all: &mut [QuotaLeases], holder: usize, alive: &[u16], witnesses: &[usize], now: Timestamp) {
    let alive: Vec<_> = alive.iter().copied().map(MemberId).collect();
    let asked = all[holder].ask(&alive, now);
    let me = all[holder].me;
    for witness in witnesses {
        let (number, units, releases) = parts(&asked, *witness as u16).expect("a witness of all");
        let granted = all[*witness].asked_by(me, number, (&units, &releases), now);
        all[holder].granted(MemberId(*witness as u16), number, &granted);
    }
}

/// Two of three witnesses that came back from a loss of power granted a unit that the third had granted.
#[test]
fn a_witness_that_has_just_begun_grants_nothing_that_it_may_have_granted_before() {
    let (mut all, now) = three();
    asks(&mut all, 0, &[0, 1, 2], &[0, 1], now);
    assert_eq!(all[0].quota_fraction(now), 2.0 * HALF);
    // The second one is back under another life, and takes the first for dead; so does the third.
    let soon = now + Duration::from_millis(200);
    all[1] = QuotaLeases::new(incarnation(1, 2), SEATS, soon);
    let (heir, other) = if rank(0, MemberId(1)) < rank(0, MemberId(2)) { (1, 2) } else { (2, 1) };
    asks(&mut all, heir, &[1, 2], &[heir, other], soon);
    let units = all[heir].claims.keys().filter(|unit| all[heir].holds(**unit, &all[heir].claims[unit], soon));
    assert!(!units.collect::<Vec<_>>().contains(&&0), "the first one may still use it");
    let later = now + LEASE_DURATION.scaled(3.0);
    asks(&mut all, heir, &[1, 2], &[heir, other], later);
    assert!(all[heir].holds(0, &all[heir].claims[&0], later) && all[0].quota_fraction(later) == HALF);
}

/// A release that came late, after its holder had asked for the unit again, let another one have it too; so did a
/// grant from before a release.
#[test]
fn what_comes_late_neither_takes_a_unit_from_its_holder_nor_gives_it_to_who_let_it_go() {
    let (mut all, now) = three();
    let heir = if rank(0, MemberId(1)) < rank(0, MemberId(2)) { 1 } else { 2 };
    let ask = |all: &mut Vec<QuotaLeases>, alive: &[u16], at: Timestamp| {
        let alive: Vec<_> = alive.iter().copied().map(MemberId).collect();
        all[heir].ask(&alive, at)
    };
    // It asks as the first member's heir, lets the unit go when that is back, and asks once more when it is gone.
    let first = ask(&mut all, &[1, 2], now);
    let release = ask(&mut all, &[0, 1, 2], now);
    let again = ask(&mut all, &[1, 2], now);
    let me = all[heir].me;
    let hand = |all: &mut Vec<QuotaLeases>, asked: &[(MemberId, Message)], witness: usize| {
        let (number, units, releases) = parts(asked, witness as u16).expect("a witness");
        (number, all[witness].asked_by(me, number, (&units, &releases), now))
    };
    let late: Vec<_> = [0, 1].map(|witness| (witness, hand(&mut all, &first, witness))).to_vec();
    for (witness, (number, granted)) in late {
        all[heir].granted(MemberId(witness as u16), number, &granted);
    }
    assert!(!all[heir].holds(0, &all[heir].claims[&0], now), "granted before it let go");
    for witness in [0, 1] {
        let (number, granted) = hand(&mut all, &again, witness);
        all[heir].granted(MemberId(witness as u16), number, &granted);
    }
    assert!(all[heir].holds(0, &all[heir].claims[&0], now));
    (0..3).for_each(|witness| drop(hand(&mut all, &release, witness)));
    asks(&mut all, 0, &[0, 1, 2], &[0, 1, 2], now);
    assert_eq!(all[0].quota_fraction(now), HALF, "the release was of a time before");
}
