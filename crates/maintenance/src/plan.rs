//! What a schedule means at a moment, for all sites together: which empty, which are without traffic, which come back,
//! and which are held back and why.
//!
//! Times are taken in the order in which they begin, and by name where they begin together. A site empties only where no
//! more sites than the schedule allows are without traffic, enough servers are left by those that are there, and another
//! site is open. One that was empty when its window began stays so until it ends, whatever fails meanwhile: it is not
//! there to be used. Windows of the version before count too, so that who has heard of a new version and who has not
//! never empty two sites that either schedule does not allow together: a time that would meet one of those is held back
//! whole.

use crate::schedule::{Schedule, ScheduleFault, Time, MARGIN_MS};
use std::collections::{BTreeMap, BTreeSet};

/// A site as it is now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Site {
    /// Servers that may be sent to, whatever the schedule says.
    pub servers: usize,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    Open,
    /// Its servers go one after the other, so that none is left at `begins`.
    Emptying {
        since: i64,
        begins: i64,
    },
    /// Without traffic.
    Closed {
        until: i64,
    },
    /// Its window is to come or has begun, and it is open all the same.
    HeldBack {
        why: String,
    },
}

pub struct Plan {
    schedule: Schedule,
    /// Times whose site was empty as they began, by site and beginning.
    kept: BTreeSet<(String, i64)>,
    /// Times that were emptying when last looked at.
    emptying: BTreeSet<(String, i64)>,
    /// When each site's last window ended, for as long as that matters.
    ended: BTreeMap<String, i64>,
}

impl Plan {
    pub fn new(schedule: Schedule) -> Self {
        Plan { schedule, kept: BTreeSet::new(), emptying: BTreeSet::new(), ended: BTreeMap::new() }
    }

    pub fn version(&self) -> u64 {
        self.schedule.version
    }

    /// Goes by a newer schedule from now on; one that is not newer changes nothing. What is under way by the last one
    /// goes on as that has it: a window that is moved or called off in its midst lets its site come back.
    pub fn follow(&mut self, next: Schedule) {
        if next.version > self.schedule.version {
            self.schedule = self.schedule.followed_by(next);
        }
    }

    /// What every site is in. `sites` are those that the list has, with what is there of each; a window for a site that
    /// nobody has heard of does nothing.
    pub fn at(
        &mut self,
        now: i64,
        sites: &BTreeMap<String, Site>,
    ) -> Result<BTreeMap<String, Phase>, ScheduleFault> {
        let under_way = |time: &Time| time.empties <= now && now < time.ends;
        let mine = self.schedule.times(&self.schedule.windows, now - MARGIN_MS, now + MARGIN_MS)?;
        let all: usize = sites.values().map(|site| site.servers).sum();
        let mut phases: BTreeMap<String, Phase> =
            sites.keys().map(|site| (site.clone(), Phase::Open)).collect();
        let mut without: BTreeSet<&str> = BTreeSet::new();
        let (mut kept, mut emptying) = (BTreeSet::new(), BTreeSet::new());
        for time in mine.iter().filter(|time| under_way(time) && sites.contains_key(&time.site)) {
            let this = (time.site.clone(), time.begins);
            let stays = now >= time.begins && (self.kept.contains(&this) || self.emptying.contains(&this));
            let why = if stays { None } else { self.objection(time, sites, all, &without)? };
            let phase = match why {
                Some(why) => Phase::HeldBack { why },
                None => {
                    without.insert(&time.site);
                    if now >= time.begins {
                        kept.insert(this);
                        Phase::Closed { until: time.ends }
                    } else {
                        emptying.insert(this);
                        Phase::Emptying { since: time.empties, begins: time.begins }
                    }
                }
            };
            let held = phases.get(&time.site).cloned().unwrap_or(Phase::Open);
            // Of several windows of one site the strongest word counts.
            if !matches!(held, Phase::Closed { .. }) {
                phases.insert(time.site.clone(), phase);
            }
        }
        for (site, phase) in &phases {
            if matches!(phase, Phase::Closed { .. }) {
                self.ended.insert(site.clone(), now);
            }
        }
        (self.kept, self.emptying) = (kept, emptying);
        Ok(phases)
    }

    fn objection(
        &self,
        time: &Time,
        sites: &BTreeMap<String, Site>,
        all: usize,
        without: &BTreeSet<&str>,
    ) -> Result<Option<String>, ScheduleFault> {
        if without.contains(time.site.as_str()) {
            return Ok(None);
        }
        let most = self.schedule.most_at_once;
        // Guards against who has only the version before: from its own start to its end this time may meet none of those
        // that such a process goes by, or both would have a site empty.
        let theirs =
            self.schedule.times(&self.schedule.before, time.empties - MARGIN_MS, time.ends + MARGIN_MS)?;
        let meets = theirs.iter().filter(|their| their.meets(time)).map(|their| their.site.as_str());
        let mut together: BTreeSet<&str> = without.iter().copied().chain(meets).collect();
        together.remove(time.site.as_str());
        if together.len() >= most {
            let first = together.first().copied().unwrap_or_default();
            let why = format!("{first} is without traffic, or may be by the schedule before; {most} may be");
            return Ok(Some(why));
        }
        let open = sites.iter().filter(|(site, now)| {
            **site != time.site && !together.contains(site.as_str()) && now.servers > 0
        });
        let left: usize = open.map(|(_, now)| now.servers).sum();
        if left == 0 {
            return Ok(Some("it is the last site with servers".to_owned()));
        }
        let part = left as f64 / all.max(1) as f64;
        let least = self.schedule.least_left;
        Ok((part < least).then(|| format!("{part:.2} of the servers would be left, and {least} have to be")))
    }

    /// Since when a site comes back from its last window: its servers count as started then, so that they are let in on
    /// step by step.
    pub fn back_since(&self, site: &str) -> Option<i64> {
        self.ended.get(site).copied()
    }
}

/// Whether the server at this place of an emptying site, in the order of ids, takes nothing new any more and sends away
/// what it has: they go one after the other over the first part of the lead, what is left of it is for the last one's
/// clients. The same at every process, from the schedule alone.
pub fn goes(place: usize, servers: usize, (since, begins): (i64, i64), now: i64) -> bool {
    // A draining server of twenty is empty in five seconds; the rest is for clients that come back slowly.
    const PART: f64 = 0.7;
    let due = (begins - since) as f64 * PART * place as f64 / servers.max(1) as f64;
    now - since >= due as i64
}

/// By how much the lead is too short, in milliseconds, for so many circuits at so many a second that the other sites bear.
pub fn short_by(circuits: usize, a_second: f64, lead_ms: i64) -> Option<i64> {
    let needed = (circuits as f64 / a_second.max(1e-9) * 1000.0).min(i64::MAX as f64) as i64;
    (needed > lead_ms).then_some(needed - lead_ms)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schedule::{Repeats, Window};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const T0: i64 = 1_790_000_000_000 / 60_000 * 60_000;
    const MINUTE: i64 = 60_000;

    fn window(name: &str, site: &str, begins_min: i64, lasts_min: u32, lead_min: u32) -> Window {
        let (lasts_s, lead_s) = (lasts_min * 60, lead_min * 60);
        let begins = jiff::Timestamp::from_millisecond(T0 + begins_min * MINUTE).expect("a time");
        let begins = begins.to_zoned_datetime(jiff::tz::TimeZone::UTC).datetime().to_string();
        Window { name: name.into(), site: site.into(), begins, lasts_s, lead_s, repeats: Repeats::Once }
    }

    fn schedule(version: u64, windows: Vec<Window>) -> Schedule {
        let (time_zone, most_at_once, least_left) = ("UTC".into(), 1, 0.5);
        Schedule { version, time_zone, most_at_once, least_left, windows, before: Vec::new() }
    }

    fn sites(servers: [usize; 3]) -> BTreeMap<String, Site> {
        ["a", "b", "c"]
            .iter()
            .zip(servers)
            .map(|(name, servers)| ((*name).to_owned(), Site { servers }))
            .collect()
    }

    fn phase(plan: &mut Plan, minute: i64, servers: [usize; 3], site: &str) -> Phase {
        plan.at(T0 + minute * MINUTE, &sites(servers)).expect("a plan")[site].clone()
    }

    #[test]
    fn a_site_empties_closes_and_comes_back_and_a_site_that_nobody_has_heard_of_does_nothing() {
        let mut plan =
            Plan::new(schedule(1, vec![window("w", "a", 30, 60, 20), window("x", "nowhere", 300, 60, 20)]));
        let even = [6, 6, 6];
        assert_eq!(phase(&mut plan, 9, even, "a"), Phase::Open);
        let since = T0 + 10 * MINUTE;
        assert_eq!(phase(&mut plan, 12, even, "a"), Phase::Emptying { since, begins: T0 + 30 * MINUTE });
        assert_eq!(phase(&mut plan, 30, even, "a"), Phase::Closed { until: T0 + 90 * MINUTE });
        assert_eq!(phase(&mut plan, 89, even, "a"), Phase::Closed { until: T0 + 90 * MINUTE });
        assert_eq!(phase(&mut plan, 90, even, "a"), Phase::Open);
        assert_eq!(plan.back_since("a"), Some(T0 + 89 * MINUTE));
        assert_eq!(plan.at(T0 + 310 * MINUTE, &sites(even)).expect("a plan").len(), 3);
        // A process that starts in its midst goes by it at once.
        let mut late = Plan::new(schedule(1, vec![window("w", "a", 30, 60, 20)]));
        assert_eq!(phase(&mut late, 50, even, "a"), Phase::Closed { until: T0 + 90 * MINUTE });
    }

    #[test]
    fn a_site_lost_for_real_holds_the_next_back_but_not_one_whose_window_has_begun() {
        let mut plan = Plan::new(schedule(1, vec![window("w", "a", 30, 60, 20)]));
        let why = |phase| match phase {
            Phase::HeldBack { why } => why,
            other => panic!("{other:?}"),
        };
        assert!(matches!(phase(&mut plan, 12, [6, 6, 6], "a"), Phase::Emptying { .. }));
        assert!(why(phase(&mut plan, 14, [9, 0, 6], "a")).contains("0.40 of the servers would be left"));
        assert!(why(phase(&mut plan, 15, [9, 0, 0], "a")).contains("the last site"));
        assert!(matches!(phase(&mut plan, 16, [6, 6, 6], "a"), Phase::Emptying { .. }));
        assert!(matches!(phase(&mut plan, 31, [6, 6, 6], "a"), Phase::Closed { .. }));
        assert!(
            matches!(phase(&mut plan, 32, [6, 0, 1], "a"), Phase::Closed { .. }),
            "it is not there to be used"
        );
    }

    #[test]
    fn a_window_moved_or_called_off_in_its_midst_lets_its_site_come_back_and_an_older_schedule_changes_nothing(
    ) {
        let mut plan = Plan::new(schedule(2, vec![window("w", "a", 30, 60, 20)]));
        let even = [6, 6, 6];
        assert!(matches!(phase(&mut plan, 40, even, "a"), Phase::Closed { .. }));
        plan.follow(schedule(1, Vec::new()));
        assert!(matches!(phase(&mut plan, 41, even, "a"), Phase::Closed { .. }));
        plan.follow(schedule(3, vec![window("w", "a", 30, 15, 20), window("v", "b", 50, 60, 5)]));
        assert_eq!(phase(&mut plan, 46, even, "a"), Phase::Open, "shortened");
        // Who has not heard of it keeps the first one without traffic until minute 90.
        assert!(matches!(phase(&mut plan, 55, even, "b"), Phase::HeldBack { .. }));
        assert!(
            matches!(phase(&mut plan, 92, even, "b"), Phase::HeldBack { .. }),
            "the whole of it: no lead is left"
        );
    }

    #[test]
    fn servers_go_one_after_the_other_over_the_lead_and_it_is_said_where_that_is_too_short() {
        let lead = (0, 20 * MINUTE);
        let gone = |now: i64| (0..10).filter(|place| goes(*place, 10, lead, now)).count();
        assert_eq!([0, 7, 14, 20].map(|minute| gone(minute * MINUTE)), [1, 6, 10, 10]);
        assert_eq!(short_by(600, 1.0, 20 * MINUTE), None);
        assert_eq!(short_by(1500, 1.0, 20 * MINUTE), Some(5 * MINUTE));
    }

    fn windows() -> impl Strategy<Value = Vec<Window>> {
        let one = (0..3usize, 0..300i64, 1..60u32, 1..30u32);
        prop::collection::vec(one, 0..4).prop_map(|all| {
            let name = |(i, (site, begins, lasts, lead)): (usize, (usize, i64, u32, u32))| {
                window(&format!("w{i}"), ["a", "b", "c"][site], begins, lasts, lead)
            };
            all.into_iter().enumerate().map(name).collect()
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 64, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default()
        })]

        /// One process has heard of the new schedule and one has not, and their clocks differ by seconds: together they
        /// never have two sites without traffic where one may be, nor all three.
        #[test]
        fn processes_that_differ_in_version_and_clock_never_empty_two_sites_together(
            old in windows(), new in windows(), heard_min in 0..200i64, apart_ms in -9000..9000i64,
        ) {
            let (old, new) = (schedule(1, old), schedule(2, new));
            prop_assume!(old.check(T0).is_ok() && new.check(T0).is_ok());
            let (mut knows, mut lags) = (Plan::new(old.clone()), Plan::new(old));
            let even = sites([6, 6, 6]);
            for step in 0..800 {
                let now = T0 + step * MINUTE / 2;
                if step == heard_min * 2 {
                    knows.follow(new.clone());
                }
                let without = |plan: &mut Plan, now| -> BTreeSet<String> {
                    let phases = plan.at(now, &even).expect("a plan");
                    let away = phases.into_iter().filter(|p| matches!(p.1, Phase::Emptying { .. } | Phase::Closed { .. }));
                    away.map(|(site, _)| site).collect()
                };
                let together: BTreeSet<_> = &without(&mut knows, now) | &without(&mut lags, now + apart_ms);
                prop_assert!(together.len() <= 1, "{:?} at minute {}", together, step / 2);
            }
        }
    }
}
