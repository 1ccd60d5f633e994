//! Whole fleets: founding one, replacing processes, and what is measured of it.

use super::{address, CellsSimulation, NetworkConditions};
use shelfgrade::time::{DurationExt, Timestamp};
use shelfgrade_cells::{Action, CellId, Change, TOTAL_QUOTA};
use std::time::Duration;

/// The machines set aside, by region.
pub const TEN_REPLICA_REGIONS: [u8; 10] = [0, 1, 2, 3, 4, 5, 0, 1, 2, 3];
pub const REGIONS: u16 = 6;

/// A place of a cell for each of its members, and some for those whose end nobody has said.
fn places(processes: usize, cells: u16) -> u16 {
    let members = processes.div_ceil(usize::from(cells));
    (members + members / 8 + 8) as u16
}

pub fn put(id: u64, key: &str, value: &str) -> Change {
    Change { id, action: Action::Put { key: key.to_owned(), value: value.as_bytes().to_vec() } }
}

impl CellsSimulation {
    /// Ten replicas, and processes dealt out to cells in six regions, all in the log and started.
    pub fn start_fleet(
        processes: usize,
        cells: u16,
        entries: usize,
        network: NetworkConditions,
        seed: u64,
    ) -> Self {
        let mut simulation = CellsSimulation::founded(&TEN_REPLICA_REGIONS, network, seed);
        let mut id = 1_000_000;
        let mut next = || {
            id += 1;
            id
        };
        for cell in 0..cells {
            let region = (cell % REGIONS) as u8;
            let places = places(processes, cells);
            let quota = TOTAL_QUOTA / u32::from(cells);
            let action = Action::AddCell { cell: CellId(cell), region, places, quota };
            simulation.submit(0, Change { id: next(), action });
        }
        for entry in 0..entries {
            simulation.submit(0, put(next(), &format!("server/{entry:05}"), "10.0.0.1:8080 warm weight 1"));
        }
        for process in 0..processes {
            let cell = CellId(process as u16 % cells);
            let node = simulation.add_machine(format!("n{process:05}"), cell, (cell.0 % REGIONS) as u8);
            let change = simulation.add_member_change(next(), node);
            simulation.submit(0, change);
        }
        let last = next() - 1;
        let chosen =
            simulation.run_until(900_000, 1000, |simulation| simulation.outcomes.contains_key(&last));
        assert!(chosen, "the log takes {processes} processes");
        for node in TEN_REPLICA_REGIONS.len()..simulation.nodes.len() {
            simulation.start(node);
        }
        simulation
    }

    fn cell_of(&self, node: usize) -> CellId {
        self.nodes[node].location.cell.unwrap_or_default()
    }

    /// The change that adds what belongs on a machine, at its next start.
    pub fn add_member_change(&self, id: u64, node: usize) -> Change {
        let of = &self.nodes[node];
        let (cell, name, incarnation) = (self.cell_of(node), of.name.clone(), of.incarnation + 1);
        Change { id, action: Action::Add { cell, name, address: address(node), incarnation } }
    }

    /// A process is killed, and starts anew after as long; whoever starts it says so in the log.
    pub fn replace_process(&mut self, id: u64, node: usize, after_ms: u64) {
        self.kill(node);
        self.run_for_ms(after_ms);
        self.start(node);
        let of = &self.nodes[node];
        let (cell, name, incarnation) = (self.cell_of(node), of.name.clone(), of.incarnation);
        let action = Action::Replace { cell, name, address: address(node), incarnation };
        self.submit(node, Change { id, action });
    }

    /// Whoever runs holds all there is, the same in each cell.
    pub fn has_converged(&self) -> bool {
        let to = (0..self.replicas)
            .filter_map(|node| self.replica(node))
            .map(|held| held.state().complete_to())
            .max();
        self.processes().all(|(_, process)| {
            process.is_active() && process.state().is_complete() && Some(process.state().complete_to()) == to
        })
    }

    pub fn reset_measurements(&mut self) {
        for node in &mut self.nodes {
            (node.bytes, node.datagrams, node.most) = (0, 0, 0);
            node.busy = std::time::Duration::ZERO;
        }
    }

    /// Writes an entry at a replica, and gives after how many milliseconds each process had it, with its region.
    pub fn measure_propagation(&mut self, id: u64, at: usize, most_ms: u64) -> Vec<(u8, f64)> {
        let key = format!("watched/{}", id % 100);
        self.watched = Some(key.clone());
        self.arrivals.clear();
        let began: Timestamp = self.now;
        self.submit(at, put(id, &key, &format!("{id}")));
        let waits = |simulation: &CellsSimulation| {
            let here = simulation.arrivals.keys().filter(|node| **node >= simulation.replicas).count();
            here >= simulation.processes().filter(|(node, _)| simulation.hears(at, *node)).count()
        };
        self.run_until(most_ms, 20, waits);
        self.watched = None;
        let processes = self.processes().filter(|(node, _)| self.hears(at, *node)).map(|(node, _)| node);
        let took = |node: usize| self.arrivals.get(&node).map_or(f64::INFINITY, |at| at.since(began).as_ms());
        processes.map(|node| (self.nodes[node].location.region, took(node))).collect()
    }

    fn hears(&self, a: usize, b: usize) -> bool {
        self.nodes[a].partition == self.nodes[b].partition
    }

    /// Bytes a second of each process: the mean, the mean of the busiest, and the most of any in one second.
    pub fn send_rates(&self, over: Duration) -> (f64, f64, u64) {
        let seconds = over.as_ms() / 1000.0;
        let each: Vec<_> =
            self.nodes[self.replicas..].iter().map(|node| node.bytes as f64 / seconds).collect();
        let mean = each.iter().sum::<f64>() / each.len().max(1) as f64;
        let most = self.nodes[self.replicas..].iter().map(|node| node.most).max().unwrap_or(0);
        (mean, each.iter().copied().fold(0.0, f64::max), most)
    }

    /// The same of the replicas' mean and busiest.
    pub fn replica_send_rates(&self, over: Duration) -> (f64, f64) {
        let seconds = over.as_ms() / 1000.0;
        let each: Vec<_> =
            self.nodes[..self.replicas].iter().map(|node| node.bytes as f64 / seconds).collect();
        (each.iter().sum::<f64>() / each.len().max(1) as f64, each.iter().copied().fold(0.0, f64::max))
    }
}

/// The value that so many in a hundred are at or under.
pub fn percentile(values: &mut [f64], of_hundred: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * of_hundred / 100.0).ceil() as usize;
    values.get(at.clamp(1, values.len().max(1)) - 1).copied().unwrap_or(f64::NAN)
}
