//! Unit tests of the poller election.

use super::*;

fn at(ms: f64) -> Timestamp {
    Timestamp::from_ms(1000.0 + ms)
}

fn elections(size: u16) -> Vec<PollerElection> {
    let election = |me| PollerElection::new(MemberId(me), (0..size).map(MemberId), 99, at(0.0));
    (0..size).map(election).collect()
}

fn pollers(elections: &[PollerElection], alive: &[MemberId], now: Timestamp) -> Vec<MemberId> {
    let is_poller =
        |election: &&PollerElection| alive.contains(&election.me) && election.is_poller(alive, now);
    elections.iter().filter(is_poller).map(|election| election.me).collect()
}

#[test]
fn the_number_of_pollers_is_independent_of_the_fleet_size_and_failed_pollers_are_replaced() {
    for size in [3, 40, 300] {
        let elections = elections(size);
        let polls_alone = |election: &&PollerElection| election.is_poller(&[election.me], at(0.0));
        let at_start = elections.iter().filter(polls_alone).count();
        assert_eq!(at_start, POLLER_COUNT, "before any member knows of a peer");
        let alive: Vec<_> = (0..size).map(MemberId).collect();
        let first = pollers(&elections, &alive, at(3000.0));
        assert_eq!(first.len(), POLLER_COUNT);
        let remaining: Vec<_> = alive.into_iter().filter(|member| !first.contains(member)).collect();
        let next = pollers(&elections, &remaining, at(3000.0));
        assert_eq!(next.len(), POLLER_COUNT.min(remaining.len()));
    }
}

#[test]
fn up_to_a_limit_more_members_poll_while_discovery_does_not_answer_any_poller() {
    let mut elections = elections(300);
    let alive: Vec<_> = (0..300).map(MemberId).collect();
    let first = pollers(&elections, &alive, at(3000.0));
    let share_heartbeats = |elections: &mut Vec<PollerElection>, is_answered, number, now| {
        for election in elections.iter_mut() {
            for from in &first {
                let heartbeat = Heartbeat { epoch: 1, seq: 4, digest: 7, is_answered };
                election.on_heartbeat(*from, number, heartbeat, false, now);
            }
        }
    };
    share_heartbeats(&mut elections, false, 1, at(4000.0));
    assert_eq!(pollers(&elections, &alive, at(5000.0)).len(), POLLER_COUNT);
    share_heartbeats(&mut elections, false, 2, at(10_000.0));
    assert_eq!(pollers(&elections, &alive, at(10_000.0)).len(), MAX_POLLER_COUNT);
    assert!(elections[0].newest_live_heartbeat(at(10_000.0)).is_none(), "no poller has been answered");
    share_heartbeats(&mut elections, true, 3, at(11_000.0));
    assert_eq!(pollers(&elections, &alive, at(11_000.0)).len(), POLLER_COUNT);
    let newest_at = |ms| elections[0].newest_live_heartbeat(at(ms));
    assert!(newest_at(11_000.0).is_some() && newest_at(17_000.0).is_none());
}

#[test]
fn a_heartbeat_from_before_a_restart_does_not_prove_that_its_poller_is_alive() {
    let mut election = elections(3).remove(0);
    let heartbeat = || Heartbeat { epoch: 1, seq: 4, digest: 7, is_answered: true };
    election.on_heartbeat(MemberId(1), 900, heartbeat(), false, at(0.0));
    election.on_heartbeat(MemberId(1), 900, heartbeat(), true, at(1000.0));
    election.on_heartbeat(MemberId(1), 899, heartbeat(), true, at(1000.0));
    assert!(election.newest_live_heartbeat(at(1000.0)).is_none());
    election.on_heartbeat(MemberId(1), 901, heartbeat(), false, at(2000.0));
    assert!(election.newest_live_heartbeat(at(2000.0)).is_some());
    election.on_heartbeat(MemberId(2), 7, heartbeat(), true, at(9000.0));
    assert!(election.newest_live_heartbeat(at(9000.0)).is_some(), "written by the current incarnation");
}
