//! What decisions take, in the small: its shape over sessions and servers, and not a time. The example of the same name
//! measures. One story alone is in this program, as others would be counted with it.

use peak_alloc::PeakAlloc;
use shelfgrade_testkit::decisions::{Decisions, Size};

#[global_allocator]
static BYTES: PeakAlloc = PeakAlloc;

fn measured(sessions: usize, servers: usize) -> Decisions {
    let size = Size { sessions, groups: sessions * 7 / 8, servers };
    let mut decisions = Decisions::new(size, || BYTES.current_usage());
    decisions.replace_sessions(600);
    decisions.update_endpoints(40);
    println!("{}", decisions.summary());
    decisions
}

#[test]
fn decisions_are_flat_in_sessions_and_no_more_than_linear_in_servers() {
    // A middle of hundreds, and a factor that is far from both the shape's own and the next one's.
    const SERVERS: [usize; 2] = [32, 512];
    let [few, many] = [500, 16_000].map(|sessions| measured(sessions, SERVERS[0]));
    for what in [
        "request",
        "request of a reconnecting client",
        "session established",
        "attempt ended",
        "endpoint update",
        "full endpoint list",
        "periodic checks",
    ] {
        let (few, many) = (few.timings.median_ns(what), many.timings.median_ns(what));
        assert!(many < 8 * few, "{what}: {few} ns at 500 sessions and {many} ns at 16,000");
    }
    assert!((many.bytes.1 / few.bytes.1 - 1.0).abs() < 0.25, "{:?} and {:?}", few.bytes, many.bytes);

    let [few, many] = SERVERS.map(|servers| measured(2000, servers));
    let factor = (SERVERS[1] / SERVERS[0]) as u64;
    for what in ["session established", "attempt ended"] {
        let (few, many) = (few.timings.median_ns(what), many.timings.median_ns(what));
        assert!(many < 8 * few, "{what}: {few} ns at 32 servers and {many} ns at 512");
    }
    for what in [
        "request",
        "request of a reconnecting client",
        "endpoint update",
        "full endpoint list",
        "periodic checks",
    ] {
        let (few, many) = (few.timings.median_ns(what), many.timings.median_ns(what));
        assert!(many < 4 * factor * few, "{what}: {few} ns at 32 servers and {many} ns at 512");
    }
    assert!((many.bytes.0 / few.bytes.0 - 1.0).abs() < 0.25, "{:?} and {:?}", few.bytes, many.bytes);
}
