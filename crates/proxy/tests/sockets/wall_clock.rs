//! A machine whose wall clock is off by an hour, or is stepped: start times of servers are given in Unix time.

use crate::failure_injection::Plan;
use crate::harness::{list_response, read_request, FakeServer, ProxyProcess, Settings, DEFAULT};
use crate::startup_file::startup_file_text;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;

/// A slow start of four seconds from a tenth of the capacity.
const COLD: Settings = Settings {
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

/// The endpoint of a server that has just started.
fn started_now(server: &FakeServer) -> String {
    server.endpoint("in_service").replace(r#""born_ms":0"#, &format!(r#""born_ms":{}"#, unix_ms()))
}

/// Accepts all sessions, and counts them.
fn serve_all(server: FakeServer) -> Arc<AtomicUsize> {
    let served = Arc::new(AtomicUsize::new(0));
    let count = served.clone();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        loop {
            let Some(mut connection) = server.try_accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            if connection.read_line().starts_with("OPEN") {
                count.fetch_add(1, Ordering::Relaxed);
                connection.send("UP 0123\r\n");
                open.push(connection);
            }
        }
    });
    served
}

/// How the endpoint of the server that has just started is announced.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Announced {
    /// It comes while the list is watched.
    WhileWatched,
    /// It is on the first list, which comes with discovery's date.
    InFirstResponse,
    /// The start-up file names it; the first list comes with discovery's date, and without endpoints.
    InStartFile,
}

/// Of a hundred sessions, how many a server receives in the 1.2 s after its start, beside two that are warm, and how many
/// once it is warm too; by a process that starts while its machine's wall clock is off by `ahead_ms`.
fn sessions_received(ahead_ms: i64, announced: Announced) -> [usize; 2] {
    let plan = Plan::new();
    let (first, second, cold) = (FakeServer::new("s1"), FakeServer::new("s2"), FakeServer::new("s3"));
    plan.step_wall_clock(ahead_ms);
    let discovery = Arc::new(FakeServer::new("discovery"));
    let mut text = startup_file_text(&COLD, discovery.address, &[&first, &second]);
    if announced == Announced::InStartFile {
        text = text.replace(r#""hosts":["#, &format!(r#""hosts":[{},"#, started_now(&cold)));
    }
    let proxy = ProxyProcess::start_with_startup_file(plan.command(), discovery, text);
    let (mut watch, _) = proxy.discovery.next_poll();
    let mut entries = vec![first.endpoint("in_service"), second.endpoint("in_service")];
    if announced == Announced::WhileWatched {
        watch.send(&list_response(8, true, &entries));
        read_request(&mut watch);
    }
    match announced {
        Announced::InStartFile => entries.clear(),
        Announced::WhileWatched | Announced::InFirstResponse => entries.push(started_now(&cold)),
    }
    let date = httpdate::fmt_http_date(SystemTime::now());
    let dated = format!("HTTP/1.1 200 OK\r\nDate: {date}\r\n");
    watch.send(
        &list_response(9, announced != Announced::InStartFile, &entries)
            .replace("HTTP/1.1 200 OK\r\n", &dated),
    );
    read_request(&mut watch);
    let _warm = [serve_all(first), serve_all(second)];
    let served = serve_all(cold);
    let started = Instant::now();
    let idle_clients = || {
        let (began, mut clients) = (Instant::now(), Vec::new());
        while began.elapsed() < Duration::from_millis(1200) {
            clients.push(proxy.open_session(&format!("lift-{}", clients.len()), ",d=3000"));
            std::thread::sleep(Duration::from_millis(5));
        }
        clients.iter_mut().for_each(|client| drop(client.read_line()));
        served.swap(0, Ordering::Relaxed) * 100 / clients.len()
    };
    let while_cold = idle_clients();
    std::thread::sleep(Duration::from_millis(4400).saturating_sub(started.elapsed()));
    [while_cold, idle_clients()]
}

/// Expects a slow start with each of these clocks, which are tried in parallel.
fn expect_slow_start<const N: usize>(ahead_ms: [i64; N], announced: Announced) {
    let counted = ahead_ms.map(|ahead_ms| std::thread::spawn(move || sessions_received(ahead_ms, announced)));
    for (counted, ahead_ms) in counted.into_iter().zip(ahead_ms) {
        let [cold, warm] = counted.join().unwrap();
        let context = format!("{ahead_ms} ms ahead: {cold} in a hundred while it is cold, {warm} then");
        assert!(warm >= 25, "{context}");
        assert!(cold * 10 <= warm * 6, "{context}");
    }
}

/// A start that the process has observed is timed by the list's delay, not by the wall clock.
#[test]
fn slow_start_of_an_observed_server_start_ignores_wall_clock_offsets() {
    expect_slow_start([0, HOUR_MS, -HOUR_MS, 7000, -7000], Announced::WhileWatched);
}

/// The start of a server before that of the process is known in Unix time only.
#[test]
fn slow_start_of_an_earlier_server_start_follows_discoverys_date() {
    expect_slow_start([0, HOUR_MS, -HOUR_MS], Announced::InFirstResponse);
    expect_slow_start([0, HOUR_MS, -HOUR_MS], Announced::InStartFile);
}
