//! Thousands of cores in virtual time over a drawn network of regions and zones, on some threads, the same for the same
//! seed whatever their number.
//!
//! A discrete-event simulation, parallel in the conservative way: each region has its own queue of events, and all run
//! side by side for no longer than the shortest way between two regions, so that nothing sent in one such window is
//! due in it elsewhere. What goes between regions is handed over between two windows, in the order of the regions.
//!
//! It is generic over what runs in a process: whatever has [`Core`], which is a core without I/O. A core never leaves
//! the thread that made it, so it may use `Rc`.
//!
//! ```ignore
//! let topology = Topology::of(&SIX_REGIONS, 3800, seed);
//! let mut all = Simulation::begin(topology, NetworkConditions { lost: 2, doubled: 1 }, 4, seed);
//! all.start(0..3800, |process, now| HollowNode::new(process, now));
//! all.passes(Duration::from_millis(20_000));
//! all.with(7, |core, now, out| core.put("a key", now, out));
//! all.cut_region(2);
//! let known: Vec<(usize, u64)> = all.each(|_, core| core.state_digest());
//! ```

use crate::region::{Datagram, Region, RegionSeed};
use crate::topology::{NetworkConditions, Topology};
use shelfgrade::time::Timestamp;
use std::collections::BTreeSet;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// What runs in one process. Processes are known by their number.
pub trait Core: 'static {
    fn on_datagram(&mut self, from: usize, datagram: &[u8], now: Timestamp, out: &mut Outbox);
    /// The time has come that `next` named.
    fn on_timer(&mut self, now: Timestamp, out: &mut Outbox);
    fn next_wakeup(&self) -> Timestamp;
}

/// What a core sends in one call: to which process, and what.
pub type Outbox = Vec<(usize, Vec<u8>)>;

/// What a process has sent and heard, and what its core took of the processor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub datagrams: u64,
    /// The datagrams' own; a header of UDP and IP is 28 more for each.
    pub bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    /// By the thread's clock; None for all but each sixteenth, since asking that clock takes time too.
    pub processor_ms: Option<f64>,
}

/// Time begins at an hour, so that clocks can be an hour back.
pub const BEGINS_MS: f64 = 3_600_000.0;

type Job<C> = Box<dyn FnOnce(&mut Vec<Region<C>>) + Send>;

struct Worker<C> {
    /// None once it is to end.
    jobs: Option<Sender<Job<C>>>,
    thread: Option<JoinHandle<()>>,
}

impl<C: Core> Worker<C> {
    fn begin(mut regions: Vec<RegionSeed>) -> Self {
        let (jobs, todo) = channel::<Job<C>>();
        let thread = std::thread::spawn(move || {
            let mut regions: Vec<Region<C>> = regions.drain(..).map(RegionSeed::region).collect();
            while let Ok(job) = todo.recv() {
                job(&mut regions);
            }
        });
        Worker { jobs: Some(jobs), thread: Some(thread) }
    }

    fn asks<T: Send + 'static>(
        &self,
        act: impl FnOnce(&mut Vec<Region<C>>) -> T + Send + 'static,
    ) -> Receiver<T> {
        let (done, answer) = channel();
        let job = Box::new(move |regions: &mut Vec<Region<C>>| drop(done.send(act(regions))));
        self.jobs.as_ref().and_then(|jobs| jobs.send(job).ok()).expect("a thread that runs");
        answer
    }
}

/// A whole fleet. None of its processes runs at first.
pub struct Simulation<C: Core> {
    pub topology: Arc<Topology>,
    now: Timestamp,
    cut: BTreeSet<(usize, usize)>,
    workers: Vec<Worker<C>>,
    /// Which thread has a region.
    worker_of: Vec<usize>,
}

impl<C: Core> Simulation<C> {
    pub fn begin(topology: Topology, conditions: NetworkConditions, threads: usize, seed: u64) -> Self {
        let topology = Arc::new(topology);
        let worker_of = topology.dealt_out(threads.max(1));
        let threads = worker_of.iter().max().map_or(1, |last| last + 1);
        let workers = (0..threads).map(|worker| {
            let its = (0..topology.regions()).filter(|region| worker_of[*region] == worker);
            Worker::begin(
                its.map(|index| RegionSeed { index, topology: topology.clone(), conditions, seed }).collect(),
            )
        });
        Simulation {
            workers: workers.collect(),
            now: Timestamp::from_ms(BEGINS_MS),
            cut: BTreeSet::new(),
            worker_of,
            topology,
        }
    }

    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Has all threads do something with each of their regions; what came of it, in the order of the regions.
    fn all<T: Send + 'static>(&self, act: impl Fn(&mut Region<C>) -> T + Send + Sync + 'static) -> Vec<T> {
        let act = Arc::new(act);
        let answers: Vec<_> = self
            .workers
            .iter()
            .map(|worker| {
                let act = act.clone();
                worker.asks(move |regions| {
                    regions.iter_mut().map(|region| (region.index, act(region))).collect()
                })
            })
            .collect();
        let mut all: Vec<(usize, T)> = Vec::new();
        for answer in answers {
            let done: Vec<(usize, T)> = answer.recv().expect("a thread that has not failed");
            all.extend(done);
        }
        all.sort_by_key(|(index, _)| *index);
        all.into_iter().map(|(_, done)| done).collect()
    }

    /// Starts processes, each anew where it runs. `make` is called on the thread that will have the core.
    pub fn start(
        &mut self,
        processes: impl IntoIterator<Item = usize>,
        make: impl Fn(usize, Timestamp) -> C + Send + Sync + 'static,
    ) {
        let wanted: BTreeSet<usize> = processes.into_iter().collect();
        self.all(move |region| {
            let its = region.topology.processes_of(region.index);
            for process in wanted.range(its) {
                region.set(process - region.first, Some(make(*process, region.now)));
            }
        });
    }

    /// Ends processes without a word.
    pub fn kill(&mut self, processes: impl IntoIterator<Item = usize>) {
        let wanted: BTreeSet<usize> = processes.into_iter().collect();
        self.all(move |region| {
            let its = region.topology.processes_of(region.index);
            for process in wanted.range(its) {
                region.set(process - region.first, None);
            }
        });
    }

    /// Has a core do something; None where that process does not run.
    pub fn with<T: Send + 'static>(
        &mut self,
        process: usize,
        act: impl FnOnce(&mut C, Timestamp, &mut Outbox) -> T + Send + 'static,
    ) -> Option<T> {
        let index = self.topology.region(process);
        let answer = self.workers[self.worker_of[index]].asks(move |regions| {
            let region = regions.iter_mut().find(|region| region.index == index)?;
            region.call(process - region.first, act)
        });
        answer.recv().expect("a thread that has not failed")
    }

    /// What each that runs says of itself, in order.
    pub fn each<T: Send + 'static>(
        &self,
        say: impl Fn(usize, &C) -> T + Send + Sync + 'static,
    ) -> Vec<(usize, T)> {
        let said = self.all(move |region| {
            let running = region.cores.iter().enumerate().filter_map(|(at, core)| Some((at, core.as_ref()?)));
            running.map(|(at, core)| (region.first + at, say(region.first + at, core))).collect::<Vec<_>>()
        });
        said.into_iter().flatten().collect()
    }

    /// What each process, running or not, has used since the beginning.
    pub fn usage(&self) -> Vec<Usage> {
        self.all(|region| region.usage.clone()).into_iter().flatten().collect()
    }

    /// Nothing gets from one zone to the other, one way.
    pub fn cut(&mut self, from_zone: usize, to_zone: usize) {
        self.cut.insert((from_zone, to_zone));
    }

    /// Cuts some zones off from all others, both ways.
    pub fn cut_zones(&mut self, zones: impl Fn(usize) -> bool) {
        let all = self.topology.zones();
        let pairs = (0..all).flat_map(|from| (0..all).map(move |to| (from, to)));
        self.cut.extend(pairs.filter(|(from, to)| zones(*from) != zones(*to)));
    }

    pub fn cut_region(&mut self, region: usize) {
        let zones = self.topology.zones_of(region);
        self.cut_zones(|zone| zones.contains(&zone));
    }

    /// All ways are open again.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Lets time pass.
    pub fn passes(&mut self, time: Duration) {
        let end = self.now + time;
        let cut = Arc::new(self.cut.clone());
        while self.now < end {
            let until = end.min(self.now + self.topology.window());
            let arrive = self.all(|region| std::mem::take(&mut region.leaves));
            let mut to: Vec<Vec<Datagram>> = (0..self.topology.regions()).map(|_| Vec::new()).collect();
            for datagram in arrive.into_iter().flatten() {
                to[self.topology.region(datagram.to)].push(datagram);
            }
            let answers: Vec<_> = (0..self.workers.len())
                .map(|worker| {
                    let its = (0..to.len()).filter(|region| self.worker_of[*region] == worker);
                    let mut arrive: Vec<_> =
                        its.map(|region| (region, std::mem::take(&mut to[region]))).collect();
                    let cut = cut.clone();
                    self.workers[worker].asks(move |regions| {
                        for (region, (index, datagrams)) in regions.iter_mut().zip(arrive.drain(..)) {
                            debug_assert_eq!(region.index, index);
                            region.cut = cut.clone();
                            datagrams.into_iter().for_each(|datagram| region.arrives(datagram));
                            region.passes(until);
                        }
                    })
                })
                .collect();
            answers.iter().for_each(|answer| answer.recv().expect("a thread that has not failed"));
            self.now = until;
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
