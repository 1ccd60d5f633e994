//! Where the processes of a simulated fleet are, and how long a datagram takes between them.

use nanorand::{Rng, WyRand};
use shelfgrade::time::DurationExt;
use std::ops::Range;
use std::time::Duration;

/// How many zones each region has: 16 in 6.
pub const SIX_REGIONS: [usize; 6] = [3, 3, 3, 3, 2, 2];

/// What the network does to datagrams, of a hundred: how many are lost, and how many come twice.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    pub lost: u32,
    pub doubled: u32,
}

const WITHIN_A_ZONE_MS: f64 = 1.0;
const WITHIN_A_REGION_MS: f64 = 2.0;
/// Between two regions, drawn for each pair.
const BETWEEN_REGIONS_MS: Range<u64> = 40..150;
/// A datagram takes up to so much longer than the way is long: the wider, the more it reorders.
const JITTER: f64 = 0.2;

pub struct Topology {
    size: usize,
    /// Of each zone, its region.
    region_of: Vec<usize>,
    /// Of each region, its first zone, and where the last one ends.
    first_zone: Vec<usize>,
    ways_ms: Vec<Vec<f64>>,
}

impl Topology {
    /// So many processes, dealt out evenly over the zones in their order.
    pub fn of(zones_of_regions: &[usize], size: usize, seed: u64) -> Self {
        let regions = zones_of_regions.len();
        let region_of = (0..regions).flat_map(|region| vec![region; zones_of_regions[region]]).collect();
        let mut first_zone = vec![0];
        for zones in zones_of_regions {
            first_zone.push(first_zone.last().copied().unwrap_or(0) + zones);
        }
        let mut rng = WyRand::new_seed(seed ^ 0x70b0);
        let mut ways_ms = vec![vec![0.0; regions]; regions];
        for (from, to) in (0..regions).flat_map(|from| (0..from).map(move |to| (from, to))) {
            let way = rng.generate_range(BETWEEN_REGIONS_MS) as f64;
            (ways_ms[from][to], ways_ms[to][from]) = (way, way);
        }
        Topology { size, region_of, first_zone, ways_ms }
    }

    pub fn size(&self) -> usize {
        self.size
    }

    pub fn zones(&self) -> usize {
        self.region_of.len()
    }

    pub fn regions(&self) -> usize {
        self.ways_ms.len()
    }

    /// The zone of a process.
    pub fn zone(&self, process: usize) -> usize {
        process * self.zones() / self.size
    }

    /// The region of a process.
    pub fn region(&self, process: usize) -> usize {
        self.region_of[self.zone(process)]
    }

    pub fn zones_of(&self, region: usize) -> Range<usize> {
        self.first_zone[region]..self.first_zone[region + 1]
    }

    pub fn processes_of(&self, region: usize) -> Range<usize> {
        let first = |zone: usize| (zone * self.size).div_ceil(self.zones());
        let zones = self.zones_of(region);
        first(zones.start)..first(zones.end)
    }

    pub fn delay(&self, from: usize, to: usize, rng: &mut WyRand) -> Duration {
        let (from_region, to_region) = (self.region(from), self.region(to));
        let way = match (from_region == to_region, self.zone(from) == self.zone(to)) {
            (true, true) => WITHIN_A_ZONE_MS,
            (true, false) => WITHIN_A_REGION_MS,
            _ => self.ways_ms[from_region][to_region],
        };
        Duration::from_ms(way * (1.0 + JITTER * rng.generate::<f64>()))
    }

    /// The shortest way between two regions: what one sends now, no other has before.
    pub(crate) fn window(&self) -> Duration {
        let ways = self.ways_ms.iter().flatten().copied().filter(|way| *way > 0.0);
        Duration::from_ms(ways.fold(1000.0, f64::min))
    }

    /// Which of so many threads has a region: the largest first, each to the one that has least.
    pub(crate) fn dealt_out(&self, threads: usize) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.regions()).collect();
        order.sort_by_key(|region| std::cmp::Reverse(self.zones_of(*region).len()));
        let mut load = vec![0; threads.min(self.regions())];
        let mut worker_of = vec![0; self.regions()];
        for region in order {
            let least = (0..load.len()).min_by_key(|worker| load[*worker]).unwrap_or(0);
            load[least] += self.zones_of(region).len();
            worker_of[region] = least;
        }
        worker_of
    }
}
