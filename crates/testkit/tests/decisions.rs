//! Checks at a small scale how the time and memory of the balancer's decisions grow with sessions and servers. The
//! example of the same name measures the times themselves. This program contains a single test, as the allocations of
//! others would be counted with it.

use peak_alloc::PeakAlloc;
use shelfgrade_testkit::decisions::{Decisions, Size};

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

fn measure(sessions: usize, servers: usize) -> Decisions {
    let size = Size { sessions, groups: sessions * 7 / 8, servers };
    let mut decisions = Decisions::new(size, || ALLOCATOR.current_usage());
    decisions.replace_sessions(600);
    decisions.update_endpoints(40);
    println!("{}", decisions.summary());
    decisions
}

#[test]
fn decision_time_is_constant_in_sessions_and_at_most_linear_in_servers() {
    // Medians over up to hundreds of events are compared. The allowed factor is far above that of the expected growth
    // and far below that of the next higher order.
    const SERVERS: [usize; 2] = [32, 512];
    let [few, many] = [500, 16_000].map(|sessions| measure(sessions, SERVERS[0]));
    for kind in [
        "request",
        "request of a reconnecting client",
        "session established",
        "attempt ended",
        "endpoint update",
        "full endpoint list",
        "periodic checks",
    ] {
        let (few, many) = (few.timings.median_ns(kind), many.timings.median_ns(kind));
        assert!(many < 8 * few, "{kind}: {few} ns at 500 sessions and {many} ns at 16,000");
    }
    assert!(
        (many.bytes.1 / few.bytes.1 - 1.0).abs() < 0.25,
        "bytes per server and session: {:?} and {:?}",
        few.bytes,
        many.bytes
    );

    let [few, many] = SERVERS.map(|servers| measure(2000, servers));
    let factor = (SERVERS[1] / SERVERS[0]) as u64;
    for kind in ["session established", "attempt ended"] {
        let (few, many) = (few.timings.median_ns(kind), many.timings.median_ns(kind));
        assert!(many < 8 * few, "{kind}: {few} ns at 32 servers and {many} ns at 512");
    }
    for kind in [
        "request",
        "request of a reconnecting client",
        "endpoint update",
        "full endpoint list",
        "periodic checks",
    ] {
        let (few, many) = (few.timings.median_ns(kind), many.timings.median_ns(kind));
        assert!(many < 4 * factor * few, "{kind}: {few} ns at 32 servers and {many} ns at 512");
    }
    assert!(
        (many.bytes.0 / few.bytes.0 - 1.0).abs() < 0.25,
        "bytes per server and session: {:?} and {:?}",
        few.bytes,
        many.bytes
    );
}
