//! Which servers are passed over, and for how long: distrust, silence, what their kin and the fleet share.

use crate::record::{Server, Shelf};
use crate::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

impl Shelf {
    /// Sets how long distrust takes to fade, by the numbers of proxies and servers.
    pub(super) fn set_half_lives(&self) {
        let servers = self.servers.borrow();
        // Enough to work off what has piled up, short against a connection's life, of three proxies before
        // nine servers. Guards against a strained one never left alone by the many that each try it again.
        const HALF_LIFE: Duration = Duration::from_millis(6000);
        const SERVERS: f64 = 3.0;
        let half_life = HALF_LIFE.scaled((SERVERS * self.proxies / servers.len() as f64).max(1.0));
        servers.iter().for_each(|s| s.half_life.set(half_life));
    }

    /// The wait after which an attempt's silence is unusual, given the earlier gaps.
    pub(super) fn unusual_after(&self) -> Option<Duration> {
        // Fewer say too little of what is usual.
        const FEWEST: usize = 5;
        // With an exponential tail, one silence in 10^4 lasts as long by chance.
        const PHI: f64 = 4.0;
        let gaps = self.gaps.borrow();
        let mean = gaps.iter().map(|g| g.as_ms()).sum::<f64>() / gaps.len().max(1) as f64;
        (gaps.len() >= FEWEST).then(|| Duration::from_ms(mean * PHI * std::f64::consts::LN_10))
    }

    /// How far the servers of each zone and kind that there is bad news of are distrusted beyond the others.
    pub(super) fn kin(&self, now: Timestamp) -> Vec<(u64, f64)> {
        let servers = self.servers.borrow();
        let scored = servers.iter().map(|s| (s, s.distrust(now)));
        let (mut kin, mut all) = (BTreeMap::new(), (0.0, 0.0));
        for (server, score) in scored.filter(|(s, score)| s.open() > 0.0 || *score > Server::FADED) {
            all = (all.0 + score, all.1 + 1.0);
            for of in server.kin {
                let sum = kin.entry(of).or_insert((0.0, 0.0));
                *sum = (sum.0 + score, sum.1 + 1.0);
            }
        }
        // What all servers share tells none from the others.
        kin.retain(|of, sum| sum.0 > 0.0 && !servers.iter().all(|s| s.kin.contains(of)));
        // One server alone says as much of itself as of its kin.
        let beyond = |(sum, n): (f64, f64)| sum / (n + 1.0) - (all.0 - sum) / (all.1 - n).max(1.0);
        kin.into_iter().map(|k| (k.0, beyond(k.1))).collect()
    }

    /// How strained the fleet is: the mean distrust of those that hold sessions, twice, as it stands for all.
    pub(super) fn strain(&self, of: impl Fn(&Rc<Server>) -> bool, now: Timestamp) -> f64 {
        const COUNTS: f64 = 2.0;
        let servers = self.servers.borrow();
        let holding = || servers.iter().filter(|s| s.open() > 0.0 && of(s));
        COUNTS * holding().map(|s| s.distrust(now)).sum::<f64>() / holding().count().max(1) as f64
    }
}

impl Server {
    // Twenty-five seconds after the worst.
    pub(super) const FADED: f64 = 0.05;

    /// The score of distrust now, from 0 to 1.
    pub(super) fn distrust(&self, now: Timestamp) -> f64 {
        // Notes of late messages come once a second: no fading between two, or retries leak in meanwhile.
        const HOLD: Duration = Duration::from_millis(1500);
        match self.distrust.get() {
            (0.0, _) => 0.0,
            (score, at) => score * 0.5_f64.powf(now.since(at + HOLD).ratio_to(self.half_life.get())),
        }
    }
}
