//! Starts fleets, replaces processes, and measures propagation and traffic.

use super::{address, CellsSimulation, NetworkConditions};
use shelfgrade::time::{DurationExt, Timestamp};
use shelfgrade_cells::{Action, CellId, Change, TOTAL_QUOTA};
use std::time::Duration;

/// The regions of ten replicas.
pub const TEN_REPLICA_REGIONS: [u8; 10] = [0, 1, 2, 3, 4, 5, 0, 1, 2, 3];
pub const REGIONS: u16 = 6;

/// The capacity of a cell: one index for each member, and spare ones for members that have ended without a record of it.
fn cell_capacity(processes: usize, cells: u16) -> u16 {
    let members = processes.div_ceil(usize::from(cells));
    (members + members / 8 + 8) as u16
}

pub fn put(id: u64, key: &str, value: &str) -> Change {
    Change { id, action: Action::PutEntry { key: key.to_owned(), value: value.as_bytes().to_vec() } }
}

impl CellsSimulation {
    /// A fleet of ten replicas and of processes in cells in six regions, all recorded in the log and started.
    pub fn start_fleet(
        processes: usize,
        cells: u16,
        entries: usize,
        network: NetworkConditions,
        seed: u64,
    ) -> Self {
        let mut simulation = CellsSimulation::start_replicas(&TEN_REPLICA_REGIONS, network, seed);
        let mut id = 1_000_000;
        let mut next_id = || {
            id += 1;
            id
        };
        for cell in 0..cells {
            let region = (cell % REGIONS) as u8;
            let capacity = cell_capacity(processes, cells);
            let quota = TOTAL_QUOTA / u32::from(cells);
            let action = Action::AddCell { cell: CellId(cell), region, capacity, quota };
            simulation.submit(0, Change { id: next_id(), action });
        }
        for entry in 0..entries {
            simulation
                .submit(0, put(next_id(), &format!("server/{entry:05}"), "10.0.0.1:8080 warm weight 1"));
        }
        for process in 0..processes {
            let cell = CellId(process as u16 % cells);
            let node = simulation.add_machine(format!("n{process:05}"), cell, (cell.0 % REGIONS) as u8);
            let change = simulation.add_member_change(next_id(), node);
            simulation.submit(0, change);
        }
        let last = next_id() - 1;
        let accepted =
            simulation.run_until(900_000, 1000, |simulation| simulation.outcomes.contains_key(&last));
        assert!(accepted, "the log did not accept {processes} processes in time");
        for node in TEN_REPLICA_REGIONS.len()..simulation.nodes.len() {
            simulation.start(node);
        }
        simulation
    }

    fn cell_of(&self, node: usize) -> CellId {
        self.nodes[node].location.cell.unwrap_or_default()
    }

    /// The change that adds the process of a machine as a member, with the incarnation of its next start.
    pub fn add_member_change(&self, id: u64, node: usize) -> Change {
        let machine = &self.nodes[node];
        let (cell, name, incarnation) = (self.cell_of(node), machine.name.clone(), machine.incarnation + 1);
        Change { id, action: Action::AddMember { cell, name, address: address(node), incarnation } }
    }

    /// Kills a process, starts it again after `after_ms`, and submits the replacement to the log.
    pub fn replace_process(&mut self, id: u64, node: usize, after_ms: u64) {
        self.kill(node);
        self.run_for_ms(after_ms);
        self.start(node);
        let machine = &self.nodes[node];
        let (cell, name, incarnation) = (self.cell_of(node), machine.name.clone(), machine.incarnation);
        let action = Action::ReplaceMember { cell, name, address: address(node), incarnation };
        self.submit(node, Change { id, action });
    }

    /// Whether all running processes are up to date with the most recent replica.
    pub fn has_converged(&self) -> bool {
        let head = (0..self.replicas)
            .filter_map(|node| self.replica(node))
            .map(|replica| replica.state().complete_to())
            .max();
        self.processes().all(|(_, process)| {
            process.is_active()
                && process.state().is_complete()
                && Some(process.state().complete_to()) == head
        })
    }

    pub fn reset_measurements(&mut self) {
        for node in &mut self.nodes {
            (node.bytes, node.datagrams, node.max_bytes_per_second) = (0, 0, 0);
            node.busy_time = std::time::Duration::ZERO;
        }
    }

    /// Writes an entry at a node, and returns the region of each process and after how many milliseconds it had the
    /// entry (infinite if not within `limit_ms`). Processes in other partitions are left out.
    pub fn measure_propagation(&mut self, id: u64, at: usize, limit_ms: u64) -> Vec<(u8, f64)> {
        let key = format!("watched/{}", id % 100);
        self.watched = Some(key.clone());
        self.arrivals.clear();
        let began: Timestamp = self.now;
        self.submit(at, put(id, &key, &format!("{id}")));
        let all_have_it = |simulation: &CellsSimulation| {
            let arrived = simulation.arrivals.keys().filter(|node| **node >= simulation.replicas).count();
            arrived >= simulation.processes().filter(|(node, _)| simulation.can_reach(at, *node)).count()
        };
        self.run_until(limit_ms, 20, all_have_it);
        self.watched = None;
        let processes = self.processes().filter(|(node, _)| self.can_reach(at, *node)).map(|(node, _)| node);
        let took = |node: usize| self.arrivals.get(&node).map_or(f64::INFINITY, |at| at.since(began).as_ms());
        processes.map(|node| (self.nodes[node].location.region, took(node))).collect()
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        self.nodes[a].partition == self.nodes[b].partition
    }

    /// Bytes per second sent by the processes: the mean, the mean of the busiest process, and the maximum of any
    /// process in one second.
    pub fn send_rates(&self, duration: Duration) -> (f64, f64, u64) {
        let seconds = duration.as_ms() / 1000.0;
        let rates: Vec<_> =
            self.nodes[self.replicas..].iter().map(|node| node.bytes as f64 / seconds).collect();
        let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let most =
            self.nodes[self.replicas..].iter().map(|node| node.max_bytes_per_second).max().unwrap_or(0);
        (mean, rates.iter().copied().fold(0.0, f64::max), most)
    }

    /// Bytes per second sent by the replicas: the mean, and the mean of the busiest replica.
    pub fn replica_send_rates(&self, duration: Duration) -> (f64, f64) {
        let seconds = duration.as_ms() / 1000.0;
        let rates: Vec<_> =
            self.nodes[..self.replicas].iter().map(|node| node.bytes as f64 / seconds).collect();
        (rates.iter().sum::<f64>() / rates.len().max(1) as f64, rates.iter().copied().fold(0.0, f64::max))
    }
}

/// The least value that at least `percent` of the values do not exceed.
pub fn percentile(values: &mut [f64], percent: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * percent / 100.0).ceil() as usize;
    values.get(rank.clamp(1, values.len().max(1)) - 1).copied().unwrap_or(f64::NAN)
}
