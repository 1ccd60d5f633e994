//! What standing sessions cost one real process, and how late their lines are: a JSON line for every point.
//!
//! `cargo run --release --locked -p shelfgrade-trials --example standing -- [SECONDS [MEMORY_MB [CIRCUITS...]]]`
//!
//! SECONDS, 20 if not given, is what each point is measured over; MEMORY_MB, 64 if not given, what the process is told it
//! may take, from which the size of its buffers follows; CIRCUITS, 1000, 5000 and as many as descriptors allow if not
//! given. Each size is measured at rest, and with a line from every client each 2 s and 1 s.

use shelfgrade_testkit::process::Limits;
use shelfgrade_testkit::standing::{descriptors, most_sessions, Size, Standing};
use std::time::Duration;

const SERVERS: usize = 16;
const EVERY: [Option<Duration>; 3] = [None, Some(Duration::from_secs(2)), Some(Duration::from_secs(1))];

#[tokio::main(worker_threads = 2)]
async fn main() {
    let given: Vec<u64> = std::env::args().skip(1).map(|n| n.parse().expect("a number")).collect();
    let seconds = given.first().copied().unwrap_or(20);
    let memory_mb = given.get(1).copied().unwrap_or(64);
    let sockets = descriptors();
    let most = most_sessions(sockets, SERVERS);
    let sizes = given.get(2..).filter(|sizes| !sizes.is_empty());
    let sizes = sizes.map_or(vec![1000, 5000, most], |sizes| sizes.iter().map(|n| *n as usize).collect());
    for sessions in sizes {
        let limits = Limits { memory_mb, sockets };
        let standing = Standing::begin(Size { sessions: sessions.min(most), servers: SERVERS, limits }).await;
        for every in EVERY {
            println!("{}", standing.point(Duration::from_secs(seconds), every).await);
        }
        let log = standing.ends().await;
        eprintln!("{}", log.lines().last().unwrap_or_default());
    }
}
