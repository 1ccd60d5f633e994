//! What the decisions take at one proxy of the plan: a JSON line for every point, first over numbers of circuits, then
//! over numbers of servers.
//!
//! `cargo run --release --locked -p shelfgrade-trials --example decisions`

use peak_alloc::PeakAlloc;
use shelfgrade_trials::decisions::{Decisions, Size, CIRCUITS, GROUPS};

#[global_allocator]
static BYTES: PeakAlloc = PeakAlloc;

fn main() {
    const SERVERS: usize = 300;
    let over_circuits = [1000, 10_000, CIRCUITS].map(|circuits| (circuits, SERVERS));
    let over_servers = [100, 1000, 3000, 10_000].map(|servers| (CIRCUITS, servers));
    for (circuits, servers) in over_circuits.into_iter().chain(over_servers) {
        let groups = GROUPS * circuits / CIRCUITS;
        let size = Size { circuits, groups, servers };
        let mut decisions = Decisions::begin(size, || BYTES.current_usage());
        decisions.turns_over(4000);
        decisions.lists(20);
        decisions.messages(40);
        println!("{}", decisions.point());
    }
}
