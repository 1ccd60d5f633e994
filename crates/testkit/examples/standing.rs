//! Measures what established sessions cost one real process, and the latency of their messages. Prints a line of JSON
//! for each measurement.
//!
//! `cargo run --release --locked -p shelfgrade-testkit --example standing -- [SECONDS [MEMORY_MB [SESSIONS...]]]`
//!
//! SECONDS is the duration of each measurement, 20 by default. MEMORY_MB is the memory limit of the process, from which
//! the size of its buffers follows, 64 by default. SESSIONS are the numbers of sessions, by default 1000, 5000 and as
//! many as descriptors allow. Each is measured idle, and with a message from every client every 2 s and every 1 s.

use shelfgrade_testkit::process::Limits;
use shelfgrade_testkit::session_load::{descriptor_limit, max_sessions, SessionLoad, Size};
use std::time::Duration;

const SERVERS: usize = 16;
const INTERVALS: [Option<Duration>; 3] = [None, Some(Duration::from_secs(2)), Some(Duration::from_secs(1))];

#[tokio::main(worker_threads = 2)]
async fn main() {
    let args: Vec<u64> =
        std::env::args().skip(1).map(|n| n.parse().expect("arguments are numbers")).collect();
    let seconds = args.first().copied().unwrap_or(20);
    let memory_mb = args.get(1).copied().unwrap_or(64);
    let sockets = descriptor_limit();
    let max = max_sessions(sockets, SERVERS);
    let sizes = args.get(2..).filter(|sizes| !sizes.is_empty());
    let sizes = sizes.map_or(vec![1000, 5000, max], |sizes| sizes.iter().map(|n| *n as usize).collect());
    for sessions in sizes {
        let limits = Limits { memory_mb, sockets };
        let load = SessionLoad::start(Size { sessions: sessions.min(max), servers: SERVERS, limits }).await;
        for interval in INTERVALS {
            println!("{}", load.measure(Duration::from_secs(seconds), interval).await);
        }
        let log = load.finish().await;
        eprintln!("{}", log.lines().last().unwrap_or_default());
    }
}
