//! Slow start on a machine whose wall clock is wrong by up to an hour: the start times of servers are given in Unix
//! time.

use crate::failure_injection::Plan;
use crate::harness::{list_response, read_request, FakeServer, ProxyProcess, Settings, DEFAULT};
use crate::startup_file::startup_file_text;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;

/// Servers have a slow start of four seconds, from a tenth of their capacity.
const SLOW_START: Settings = Settings {
    slow_start_ms: 4000,
    slow_start_fraction: 0.1,
    customer_quota: "60",
    proxy_count: "1",
    max_descriptors: 1024,
    max_poll_interval_ms: 10_000,
    ..DEFAULT
};

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// The list entry of a server that has just started.
fn started_now(server: &FakeServer) -> String {
    server.endpoint("in_service").replace(r#""born_ms":0"#, &format!(r#""born_ms":{}"#, unix_ms()))
}

/// Accepts and counts all sessions until the test ends.
fn serve_all(server: FakeServer) -> Arc<AtomicUsize> {
    let served = Arc::new(AtomicUsize::new(0));
    let counter = served.clone();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        loop {
            let Some(mut connection) = server.try_accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            if connection.read_line().starts_with("OPEN") {
                counter.fetch_add(1, Ordering::Relaxed);
                connection.send("UP 0123\r\n");
                open.push(connection);
            }
        }
    });
    served
}

/// How the proxy learns of the server that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Announced {
    /// By an update while the list is watched.
    WhileWatched,
    /// By the first list, whose response has discovery's `Date`.
    InFirstResponse,
    /// By the start-up file. The first response has discovery's `Date` and no endpoints.
    InStartFile,
}

/// The percentage of sessions that a server receives, besides two servers after their slow start: first in the 1.2 s
/// after its start, then after its slow start. The proxy's wall clock is ahead by `ahead_ms` when it starts.
fn percentages_received(ahead_ms: i64, announced: Announced) -> [usize; 2] {
    let plan = Plan::new();
    let (first_warm, second_warm, started) =
        (FakeServer::new("s1"), FakeServer::new("s2"), FakeServer::new("s3"));
    plan.step_wall_clock(ahead_ms);
    let discovery = Arc::new(FakeServer::new("discovery"));
    let mut text = startup_file_text(&SLOW_START, discovery.address, &[&first_warm, &second_warm]);
    if announced == Announced::InStartFile {
        text = text.replace(r#""hosts":["#, &format!(r#""hosts":[{},"#, started_now(&started)));
    }
    let proxy = ProxyProcess::start_with_startup_file(plan.command(), discovery, text);
    let (mut watch, _) = proxy.discovery.next_poll();
    let mut entries = vec![first_warm.endpoint("in_service"), second_warm.endpoint("in_service")];
    if announced == Announced::WhileWatched {
        watch.send(&list_response(8, true, &entries));
        read_request(&mut watch);
    }
    match announced {
        Announced::InStartFile => entries.clear(),
        Announced::WhileWatched | Announced::InFirstResponse => entries.push(started_now(&started)),
    }
    let date = httpdate::fmt_http_date(SystemTime::now());
    let dated = format!("HTTP/1.1 200 OK\r\nDate: {date}\r\n");
    watch.send(
        &list_response(9, announced != Announced::InStartFile, &entries)
            .replace("HTTP/1.1 200 OK\r\n", &dated),
    );
    read_request(&mut watch);
    let _warm = [serve_all(first_warm), serve_all(second_warm)];
    let served = serve_all(started);
    let started_at = Instant::now();
    let percentage_received = || {
        let (measured_from, mut clients) = (Instant::now(), Vec::new());
        while measured_from.elapsed() < Duration::from_millis(1200) {
            clients.push(proxy.open_session(&format!("lift-{}", clients.len()), ",d=3000"));
            std::thread::sleep(Duration::from_millis(5));
        }
        clients.iter_mut().for_each(|client| drop(client.read_line()));
        served.swap(0, Ordering::Relaxed) * 100 / clients.len()
    };
    let during_slow_start = percentage_received();
    std::thread::sleep(Duration::from_millis(4400).saturating_sub(started_at.elapsed()));
    [during_slow_start, percentage_received()]
}

/// Expects a slow start with each of these wall clock offsets, in parallel.
fn expect_slow_start<const N: usize>(ahead_ms: [i64; N], announced: Announced) {
    let measured =
        ahead_ms.map(|ahead_ms| std::thread::spawn(move || percentages_received(ahead_ms, announced)));
    for (measured, ahead_ms) in measured.into_iter().zip(ahead_ms) {
        let [during, after] = measured.join().unwrap();
        let context =
            format!("{ahead_ms} ms ahead: {during} % of sessions during the slow start, {after} % after it");
        assert!(after >= 25, "{context}");
        assert!(during * 10 <= after * 6, "{context}");
    }
}

/// A start that the proxy has observed is timed by the list delay, not by the wall clock.
#[test]
fn slow_start_of_an_observed_server_start_ignores_wall_clock_offsets() {
    expect_slow_start([0, HOUR_MS, -HOUR_MS, 7000, -7000], Announced::WhileWatched);
}

/// The start of a server that started before the proxy is known only in Unix time.
#[test]
fn slow_start_of_an_earlier_server_start_follows_discoverys_date() {
    expect_slow_start([0, HOUR_MS, -HOUR_MS], Announced::InFirstResponse);
    expect_slow_start([0, HOUR_MS, -HOUR_MS], Announced::InStartFile);
}
