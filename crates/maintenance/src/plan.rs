//! What a schedule means at a moment, for all sites together: which empty, which are without traffic, which come back,
//! and which are held back and why.
//!
//! Times are taken in the order in which they begin, and by name where they begin together. A site empties only where no
//! more sites than the schedule allows are without traffic, enough servers are left by those that are there, and another
//! site is open. One that was empty when its window began stays so until it ends, whatever fails meanwhile: it is not
//! there to be used. Windows of the version before count too, so that who has heard of a new version and who has not
//! never empty two sites that either schedule does not allow together: a time that would meet one of those is held back
//! whole.

use crate::schedule::{Schedule, ScheduleError, Time, MARGIN_MS};
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
    ) -> Result<BTreeMap<String, Phase>, ScheduleError> {
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
    ) -> Result<Option<String>, ScheduleError> {
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

/// By how much the lead is too short, in milliseconds, for so many sessions at so many a second that the other sites bear.
pub fn short_by(sessions: usize, a_second: f64, lead_ms: i64) -> Option<i64> {
    let needed = (sessions as f64 / a_second.max(1e-9) * 1000.0).min(i64::MAX as f64) as i64;
    (needed > lead_ms).then_some(needed - lead_ms)
}

#[cfg(test)]
#[path = "../tests/unit/plan.rs"]
mod tests;
