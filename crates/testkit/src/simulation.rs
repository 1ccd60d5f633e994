//! Simulates thousands of cores in virtual time, over a random network of regions and zones, on several threads. The
//! same seed gives the same run, whatever the number of threads.
//!
//! A parallel discrete-event simulation with conservative synchronization: each region has its own event queue, and
//! the regions run in parallel in steps no longer than the shortest delay between two regions (the lookahead), so that
//! no datagram sent within a step is due in another region within the same step. Datagrams between regions are
//! delivered between two steps, in the order of the regions.
//!
//! It is generic over what runs in a process: any [`Core`], which does no I/O of its own. A core stays on the thread
//! that created it, so it may use `Rc`.
//!
//! ```ignore
//! let topology = Topology::new(&SIX_REGIONS, 3800, seed);
//! let conditions = NetworkConditions { lost_percent: 2, duplicated_percent: 1 };
//! let mut simulation = Simulation::new(topology, conditions, 4, seed);
//! simulation.start(0..3800, |process, now| HollowNode::new(process, now));
//! simulation.run_for(Duration::from_millis(20_000));
//! simulation.with_core(7, |core, now, out| core.put("a key", now, out));
//! simulation.isolate_region(2);
//! let digests: Vec<(usize, u64)> = simulation.map_running(|_, core| core.state_digest());
//! ```

use crate::region::{Datagram, Region, RegionSpec};
use crate::topology::{NetworkConditions, Topology};
use shelfgrade::time::Timestamp;
use std::collections::BTreeSet;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// What runs in one process. Processes are identified by their index.
pub trait Core: 'static {
    fn on_datagram(&mut self, from: usize, datagram: &[u8], now: Timestamp, out: &mut Outbox);
    /// Called at the time that `next_wakeup` returned.
    fn on_timer(&mut self, now: Timestamp, out: &mut Outbox);
    fn next_wakeup(&self) -> Timestamp;
}

/// The datagrams that a core sends in one call, each with the process it goes to.
pub type Outbox = Vec<(usize, Vec<u8>)>;

/// What a process has sent and received, and the CPU time that its core has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub datagrams_sent: u64,
    /// Payload only; UDP and IP headers add 28 bytes to each datagram.
    pub bytes_sent: u64,
    pub datagrams_received: u64,
    pub bytes_received: u64,
    /// From the thread's CPU clock. `None` for all but one process in 16, as reading that clock takes time too.
    pub cpu_ms: Option<f64>,
}

/// Time starts at one hour, so that clocks can be an hour behind.
pub const START_MS: f64 = 3_600_000.0;

type Job<C> = Box<dyn FnOnce(&mut Vec<Region<C>>) + Send>;

struct Worker<C> {
    /// `None` tells the thread to exit.
    jobs: Option<Sender<Job<C>>>,
    thread: Option<JoinHandle<()>>,
}

impl<C: Core> Worker<C> {
    fn spawn(mut regions: Vec<RegionSpec>) -> Self {
        let (jobs, queue) = channel::<Job<C>>();
        let thread = std::thread::spawn(move || {
            let mut regions: Vec<Region<C>> = regions.drain(..).map(RegionSpec::build).collect();
            while let Ok(job) = queue.recv() {
                job(&mut regions);
            }
        });
        Worker { jobs: Some(jobs), thread: Some(thread) }
    }

    fn submit<T: Send + 'static>(
        &self,
        operation: impl FnOnce(&mut Vec<Region<C>>) -> T + Send + 'static,
    ) -> Receiver<T> {
        let (sender, result) = channel();
        let job = Box::new(move |regions: &mut Vec<Region<C>>| drop(sender.send(operation(regions))));
        self.jobs.as_ref().and_then(|jobs| jobs.send(job).ok()).expect("worker thread has exited");
        result
    }
}

/// A simulated fleet. None of its processes runs at first.
pub struct Simulation<C: Core> {
    pub topology: Arc<Topology>,
    now: Timestamp,
    /// Pairs of zones; datagrams from the first to the second are dropped.
    blocked: BTreeSet<(usize, usize)>,
    workers: Vec<Worker<C>>,
    /// The thread that runs each region.
    worker_of_region: Vec<usize>,
}

impl<C: Core> Simulation<C> {
    pub fn new(topology: Topology, conditions: NetworkConditions, threads: usize, seed: u64) -> Self {
        let topology = Arc::new(topology);
        let worker_of_region = topology.assign_to_threads(threads.max(1));
        let threads = worker_of_region.iter().max().map_or(1, |highest| highest + 1);
        let workers = (0..threads).map(|worker| {
            let regions_of_worker =
                (0..topology.region_count()).filter(|region| worker_of_region[*region] == worker);
            Worker::spawn(
                regions_of_worker
                    .map(|index| RegionSpec { index, topology: topology.clone(), conditions, seed })
                    .collect(),
            )
        });
        Simulation {
            workers: workers.collect(),
            now: Timestamp::from_ms(START_MS),
            blocked: BTreeSet::new(),
            worker_of_region,
            topology,
        }
    }

    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Runs `operation` on every region, on all threads, and returns the results in the order of the regions.
    fn on_all_regions<T: Send + 'static>(
        &self,
        operation: impl Fn(&mut Region<C>) -> T + Send + Sync + 'static,
    ) -> Vec<T> {
        let operation = Arc::new(operation);
        let results: Vec<_> = self
            .workers
            .iter()
            .map(|worker| {
                let operation = operation.clone();
                worker.submit(move |regions| {
                    regions.iter_mut().map(|region| (region.index, operation(region))).collect()
                })
            })
            .collect();
        let mut indexed: Vec<(usize, T)> = Vec::new();
        for result in results {
            let values: Vec<(usize, T)> = result.recv().expect("worker thread panicked");
            indexed.extend(values);
        }
        indexed.sort_by_key(|(index, _)| *index);
        indexed.into_iter().map(|(_, value)| value).collect()
    }

    /// Starts processes; one that is running is replaced by a new core. `make` is called on the thread that will own
    /// the core.
    pub fn start(
        &mut self,
        processes: impl IntoIterator<Item = usize>,
        make: impl Fn(usize, Timestamp) -> C + Send + Sync + 'static,
    ) {
        let processes: BTreeSet<usize> = processes.into_iter().collect();
        self.on_all_regions(move |region| {
            let range = region.topology.processes_of(region.index);
            for process in processes.range(range) {
                region.set_core(process - region.first_process, Some(make(*process, region.now)));
            }
        });
    }

    /// Ends processes abruptly: they send nothing.
    pub fn kill(&mut self, processes: impl IntoIterator<Item = usize>) {
        let processes: BTreeSet<usize> = processes.into_iter().collect();
        self.on_all_regions(move |region| {
            let range = region.topology.processes_of(region.index);
            for process in processes.range(range) {
                region.set_core(process - region.first_process, None);
            }
        });
    }

    /// Runs `operation` on one core. `None` if the process is not running.
    pub fn with_core<T: Send + 'static>(
        &mut self,
        process: usize,
        operation: impl FnOnce(&mut C, Timestamp, &mut Outbox) -> T + Send + 'static,
    ) -> Option<T> {
        let index = self.topology.region_of(process);
        let result = self.workers[self.worker_of_region[index]].submit(move |regions| {
            let region = regions.iter_mut().find(|region| region.index == index)?;
            region.call(process - region.first_process, operation)
        });
        result.recv().expect("worker thread panicked")
    }

    /// Applies `read` to every running core and returns the results in the order of the processes.
    pub fn map_running<T: Send + 'static>(
        &self,
        read: impl Fn(usize, &C) -> T + Send + Sync + 'static,
    ) -> Vec<(usize, T)> {
        let values = self.on_all_regions(move |region| {
            let running =
                region.cores.iter().enumerate().filter_map(|(local, core)| Some((local, core.as_ref()?)));
            running
                .map(|(local, core)| (region.first_process + local, read(region.first_process + local, core)))
                .collect::<Vec<_>>()
        });
        values.into_iter().flatten().collect()
    }

    /// What each process, running or not, has used since the simulation started.
    pub fn usage(&self) -> Vec<Usage> {
        self.on_all_regions(|region| region.usage.clone()).into_iter().flatten().collect()
    }

    /// Drops all datagrams from one zone to another, in this direction only.
    pub fn block(&mut self, from_zone: usize, to_zone: usize) {
        self.blocked.insert((from_zone, to_zone));
    }

    /// Drops all datagrams between the zones for which `isolated` holds and the others, in both directions.
    pub fn isolate_zones(&mut self, isolated: impl Fn(usize) -> bool) {
        let zones = self.topology.zone_count();
        let pairs = (0..zones).flat_map(|from| (0..zones).map(move |to| (from, to)));
        self.blocked.extend(pairs.filter(|(from, to)| isolated(*from) != isolated(*to)));
    }

    pub fn isolate_region(&mut self, region: usize) {
        let zones = self.topology.zones_of(region);
        self.isolate_zones(|zone| zones.contains(&zone));
    }

    /// Removes all partitions.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    /// Advances virtual time.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        let blocked = Arc::new(self.blocked.clone());
        while self.now < end {
            let step_end = end.min(self.now + self.topology.lookahead());
            let crossing = self.on_all_regions(|region| std::mem::take(&mut region.outbound));
            let mut by_region: Vec<Vec<Datagram>> =
                (0..self.topology.region_count()).map(|_| Vec::new()).collect();
            for datagram in crossing.into_iter().flatten() {
                by_region[self.topology.region_of(datagram.to)].push(datagram);
            }
            let results: Vec<_> = (0..self.workers.len())
                .map(|worker| {
                    let regions_of_worker =
                        (0..by_region.len()).filter(|region| self.worker_of_region[*region] == worker);
                    let mut incoming: Vec<_> = regions_of_worker
                        .map(|region| (region, std::mem::take(&mut by_region[region])))
                        .collect();
                    let blocked = blocked.clone();
                    self.workers[worker].submit(move |regions| {
                        for (region, (index, datagrams)) in regions.iter_mut().zip(incoming.drain(..)) {
                            debug_assert_eq!(region.index, index);
                            region.blocked = blocked.clone();
                            datagrams.into_iter().for_each(|datagram| region.enqueue(datagram));
                            region.run_until(step_end);
                        }
                    })
                })
                .collect();
            results.iter().for_each(|result| result.recv().expect("worker thread panicked"));
            self.now = step_end;
        }
    }
}

impl<C: Core> Drop for Simulation<C> {
    fn drop(&mut self) {
        for worker in &mut self.workers {
            worker.jobs = None;
            if let Some(thread) = worker.thread.take() {
                let _ = thread.join();
            }
        }
    }
}
