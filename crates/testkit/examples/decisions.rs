//! Measures the balancer's decisions at one proxy of the planned deployment, first over numbers of sessions, then over
//! numbers of servers. Prints a line of JSON for each measurement.
//!
//! `cargo run --release --locked -p shelfgrade-testkit --example decisions`

use peak_alloc::PeakAlloc;
use shelfgrade_testkit::decisions::{Decisions, Size, GROUPS_PER_PROXY, SESSIONS_PER_PROXY};

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

fn main() {
    const SERVERS: usize = 300;
    let over_sessions = [1000, 10_000, SESSIONS_PER_PROXY].map(|sessions| (sessions, SERVERS));
    let over_servers = [100, 1000, 3000, 10_000].map(|servers| (SESSIONS_PER_PROXY, servers));
    for (sessions, servers) in over_sessions.into_iter().chain(over_servers) {
        let groups = GROUPS_PER_PROXY * sessions / SESSIONS_PER_PROXY;
        let size = Size { sessions, groups, servers };
        let mut decisions = Decisions::new(size, || ALLOCATOR.current_usage());
        decisions.replace_sessions(4000);
        decisions.update_endpoints(20);
        decisions.report_message_latencies(40);
        println!("{}", decisions.summary());
    }
}
