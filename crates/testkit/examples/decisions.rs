//! What the decisions take at one proxy of the plan: a JSON line for every point, first over numbers of sessions, then
//! over numbers of servers.
//!
//! `cargo run --release --locked -p shelfgrade-trials --example decisions`

use peak_alloc::PeakAlloc;
use shelfgrade_testkit::decisions::{Decisions, Size, CIRCUITS, GROUPS};

#[global_allocator]
static BYTES: PeakAlloc = PeakAlloc;

fn main() {
    const SERVERS: usize = 300;
    let over_sessions = [1000, 10_000, CIRCUITS].map(|sessions| (sessions, SERVERS));
    let over_servers = [100, 1000, 3000, 10_000].map(|servers| (CIRCUITS, servers));
    for (sessions, servers) in over_sessions.into_iter().chain(over_servers) {
        let groups = GROUPS * sessions / CIRCUITS;
        let size = Size { sessions, groups, servers };
        let mut decisions = Decisions::begin(size, || BYTES.current_usage());
        decisions.turns_over(4000);
        decisions.lists(20);
        decisions.messages(40);
        println!("{}", decisions.point());
    }
}
