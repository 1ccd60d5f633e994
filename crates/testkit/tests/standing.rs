//! What standing sessions cost one real process, in the small: its shape, and not its size. The example of the same name
//! measures.

use shelfgrade_testkit::process::Limits;
use shelfgrade_testkit::session_load::{SessionLoad, Size};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_grows_with_sessions_by_as_much_for_each_and_a_line_costs_no_more_among_many() {
    let mut points = Vec::new();
    for sessions in [60, 420] {
        let size = Size { sessions, servers: 4, limits: Limits { memory_mb: 64, sockets: 1024 } };
        let load = SessionLoad::start(size).await;
        let point = load.measure(Duration::from_secs(2), Some(Duration::from_millis(500))).await;
        println!("{point}");
        let figure = |name: &str| point[name].as_f64().expect("a figure");
        points.push((figure("bytes_each"), figure("core_us_a_line")));
        let log = load.finish().await;
        assert!(log.contains("invariant violations 0"), "{log}");
    }
    let [few, many] = points[..] else { panic!("two points") };
    assert!(many.0 < 1.5 * few.0 && few.0 < 2.0 * many.0, "memory each: {points:?}");
    // What it spends at rest is shared by more lines there, and so a line is cheaper, if anything.
    assert!(many.1 < 1.5 * few.1, "processor time a line: {points:?}");
}
