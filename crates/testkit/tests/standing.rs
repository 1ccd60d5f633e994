//! Checks at a small scale how the cost of established sessions in one real process grows with their number. The
//! example of the same name measures the cost itself.

use shelfgrade_testkit::process::Limits;
use shelfgrade_testkit::session_load::{SessionLoad, Size};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_per_session_and_cpu_time_per_message_do_not_grow_with_sessions() {
    let mut points = Vec::new();
    for sessions in [60, 420] {
        let size = Size { sessions, servers: 4, limits: Limits { memory_mb: 64, sockets: 1024 } };
        let load = SessionLoad::start(size).await;
        let point = load.measure(Duration::from_secs(2), Some(Duration::from_millis(500))).await;
        println!("{point}");
        let figure = |name: &str| point[name].as_f64().expect("figure is a number");
        points.push((figure("bytes_each"), figure("core_us_a_line")));
        let log = load.finish().await;
        assert!(log.contains("invariant violations 0"), "{log}");
    }
    let [few, many] = points[..] else { panic!("two measurements expected") };
    assert!(many.0 < 1.5 * few.0 && few.0 < 2.0 * many.0, "memory per session: {points:?}");
    // With more messages, each bears a smaller part of the idle CPU time, so the time per message can only decrease.
    assert!(many.1 < 1.5 * few.1, "CPU time per message: {points:?}");
}
