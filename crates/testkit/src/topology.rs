//! The zones and regions of a simulated fleet, and the delay of datagrams between its processes.

use nanorand::{Rng, WyRand};
use shelfgrade::time::DurationExt;
use std::ops::Range;
use std::time::Duration;

/// The number of zones in each of six regions, 16 in all.
pub const SIX_REGIONS: [usize; 6] = [3, 3, 3, 3, 2, 2];

/// The percentages of datagrams that the network loses and duplicates.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    pub lost_percent: u32,
    pub duplicated_percent: u32,
}

/// Delay within a zone.
const ZONE_DELAY_MS: f64 = 1.0;
/// Delay between two zones of a region.
const REGION_DELAY_MS: f64 = 2.0;
/// Delay between two regions, drawn at random for each pair.
const INTER_REGION_DELAY_MS: Range<u64> = 40..150;
/// The most that random jitter adds to a delay, as a fraction of it. More jitter reorders more datagrams.
const JITTER_FRACTION: f64 = 0.2;

pub struct Topology {
    size: usize,
    /// The region of each zone.
    region_of_zone: Vec<usize>,
    /// The first zone of each region, and the number of zones as the last element.
    first_zone: Vec<usize>,
    /// One-way delays between regions; zero within a region.
    region_delays_ms: Vec<Vec<f64>>,
}

impl Topology {
    /// `size` processes, spread evenly over the zones in order.
    pub fn new(zones_per_region: &[usize], size: usize, seed: u64) -> Self {
        let regions = zones_per_region.len();
        let region_of_zone = (0..regions).flat_map(|region| vec![region; zones_per_region[region]]).collect();
        let mut first_zone = vec![0];
        for zones in zones_per_region {
            first_zone.push(first_zone.last().copied().unwrap_or(0) + zones);
        }
        let mut rng = WyRand::new_seed(seed ^ 0x70b0);
        let mut region_delays_ms = vec![vec![0.0; regions]; regions];
        for (from, to) in (0..regions).flat_map(|from| (0..from).map(move |to| (from, to))) {
            let delay = rng.generate_range(INTER_REGION_DELAY_MS) as f64;
            (region_delays_ms[from][to], region_delays_ms[to][from]) = (delay, delay);
        }
        Topology { size, region_of_zone, first_zone, region_delays_ms }
    }

    pub fn size(&self) -> usize {
        self.size
    }

    pub fn zone_count(&self) -> usize {
        self.region_of_zone.len()
    }

    pub fn region_count(&self) -> usize {
        self.region_delays_ms.len()
    }

    pub fn zone_of(&self, process: usize) -> usize {
        process * self.zone_count() / self.size
    }

    pub fn region_of(&self, process: usize) -> usize {
        self.region_of_zone[self.zone_of(process)]
    }

    pub fn zones_of(&self, region: usize) -> Range<usize> {
        self.first_zone[region]..self.first_zone[region + 1]
    }

    pub fn processes_of(&self, region: usize) -> Range<usize> {
        let first = |zone: usize| (zone * self.size).div_ceil(self.zone_count());
        let zones = self.zones_of(region);
        first(zones.start)..first(zones.end)
    }

    pub fn delay(&self, from: usize, to: usize, rng: &mut WyRand) -> Duration {
        let (from_region, to_region) = (self.region_of(from), self.region_of(to));
        let delay = match (from_region == to_region, self.zone_of(from) == self.zone_of(to)) {
            (true, true) => ZONE_DELAY_MS,
            (true, false) => REGION_DELAY_MS,
            _ => self.region_delays_ms[from_region][to_region],
        };
        Duration::from_ms(delay * (1.0 + JITTER_FRACTION * rng.generate::<f64>()))
    }

    /// The shortest delay between two regions: no region can receive earlier than this what another one sends now.
    pub(crate) fn lookahead(&self) -> Duration {
        let delays = self.region_delays_ms.iter().flatten().copied().filter(|delay| *delay > 0.0);
        Duration::from_ms(delays.fold(1000.0, f64::min))
    }

    /// Assigns the regions to threads, the largest first, each to the thread with the fewest zones. Returns the thread
    /// of each region.
    pub(crate) fn assign_to_threads(&self, threads: usize) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.region_count()).collect();
        order.sort_by_key(|region| std::cmp::Reverse(self.zones_of(*region).len()));
        let mut load = vec![0; threads.min(self.region_count())];
        let mut thread_of_region = vec![0; self.region_count()];
        for region in order {
            let least_loaded = (0..load.len()).min_by_key(|thread| load[*thread]).unwrap_or(0);
            load[least_loaded] += self.zones_of(region).len();
            thread_of_region[region] = least_loaded;
        }
        thread_of_region
    }
}
