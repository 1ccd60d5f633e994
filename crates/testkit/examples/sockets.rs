//! Measures a fleet on real sockets: hundreds of hollow nodes in this process, each with its own UDP socket on
//! loopback, and some real processes of the program. Prints a line of JSON for each measurement.
//!
//! `cargo run --release --locked -p shelfgrade-testkit --example sockets -- [HOLLOW] [REAL]`
//!
//! HOLLOW and REAL are the numbers of nodes of each kind, 297 and 3 by default.

use rustix::time::{clock_gettime, ClockId};
use shelfgrade_testkit::discovery::Discovery;
use shelfgrade_testkit::hollow_node::node_name;
use shelfgrade_testkit::loopback_address;
use shelfgrade_testkit::process::{endpoint_list_json, Process, ProcessConfig, DEFAULT_LIMITS};
use shelfgrade_testkit::recorder::Recorder;
use shelfgrade_testkit::server::{Server, DEFAULT_SERVER_SPEC};
use shelfgrade_testkit::sockets::{SocketFleet, TrafficCounts};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

#[tokio::main]
async fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse().ok());
    let (hollow, real) = (args.next().unwrap_or(297), args.next().unwrap_or(3));
    let recorder = Recorder::default();
    let mut servers = Vec::new();
    for index in 0..8 {
        servers.push(Server::start(index, DEFAULT_SERVER_SPEC, recorder.clone()).await);
    }
    let discovery = Discovery::start(recorder).await;
    discovery.publish(&servers.iter().map(|server| &**server).collect::<Vec<_>>(), "in_service");
    let directory = tempfile::TempDir::new().expect("temporary directory is created");
    let config = ProcessConfig {
        directory: directory.path().to_owned(),
        discovery: discovery.address,
        server_spec: DEFAULT_SERVER_SPEC,
        fleet_enabled: true,
        endpoint_list: endpoint_list_json(&servers),
        limits: DEFAULT_LIMITS,
        health_checks: true,
    };
    // Discovery and the servers run on other threads, so that their CPU time is not counted as the hollow nodes' own.
    let trial = std::thread::spawn(move || run(hollow, real, &config));
    while !trial.is_finished() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    trial.join().expect("measurement thread panicked");
}

fn run(hollow: usize, real: usize, config: &ProcessConfig) {
    let processes: Vec<_> = (0..real).map(|index| Process::new(index, config)).collect();
    let sockets: Vec<_> =
        (0..hollow).map(|_| UdpSocket::bind(loopback_address()).expect("socket is bound")).collect();
    let mut members: Vec<(String, SocketAddr)> =
        processes.iter().map(|process| (process.name.clone(), free_address())).collect();
    let hollow_members = sockets.iter().enumerate().map(|(i, socket)| {
        (format!("hollow-{}", node_name(i)), socket.local_addr().expect("address is available"))
    });
    members.extend(hollow_members);
    processes.iter().for_each(|process| process.write_files(config, &members));
    let mut trial = Trial { fleet: SocketFleet::new(sockets, &members), processes };
    trial.processes.iter_mut().for_each(|process| process.start(config));

    let began = trial.counters();
    let discovered_ms = json_ms(trial.fleet.run_until(Duration::from_secs(30), |fleet| {
        fleet.mean_alive_members() >= 0.99 * members.len() as f64
    }));
    trial.print_point(
        "all start at once",
        &began,
        &format!(r#""99_in_100_known_to_each_ms":{discovered_ms}"#),
    );
    let settling = trial.counters();
    trial.fleet.run_for(Duration::from_secs(30));
    trial.print_point("the 30 s after that", &settling, "");
    for _ in 0..2 {
        let idle = trial.counters();
        trial.fleet.run_for(Duration::from_secs(30));
        trial.print_point("at rest", &idle, "");
    }
    let change = trial.counters();
    trial.fleet.put_entries(1, "change");
    let ninety_nine_percent = (hollow * 99).div_ceil(100);
    let most_ms = json_ms(trial.fleet.run_until(Duration::from_secs(30), |fleet| {
        fleet.count_with_entry("change/0") >= ninety_nine_percent
    }));
    let all_ms = json_ms(
        trial.fleet.run_until(Duration::from_secs(30), |fleet| fleet.count_with_entry("change/0") == hollow),
    );
    trial.print_point(
        "one change",
        &change,
        &format!(r#""known_to_99_in_100_ms":{most_ms},"known_to_all_after_further_ms":{all_ms}"#),
    );
    let bulk = trial.counters();
    trial.fleet.put_entries(1000, "trial");
    trial.fleet.run_for(Duration::from_secs(10));
    trial.print_point("1000 entries at once, the first 10 s", &bulk, "");
    let agree_ms =
        json_ms(trial.fleet.run_until(Duration::from_secs(120), |fleet| fleet.distinct_states() == 1));
    trial.print_point("1000 entries at once", &bulk, &format!(r#""agree_after_further_ms":{agree_ms}"#));
    for process in &trial.processes {
        process.signal(rustix::process::Signal::TERM);
    }
    trial.fleet.run_for(Duration::from_secs(2));
}

/// Milliseconds as JSON: null if the condition was not met in time.
fn json_ms(took: Option<Duration>) -> String {
    took.map_or("null".to_owned(), |took| took.as_millis().to_string())
}

/// A free address for a process to bind.
fn free_address() -> SocketAddr {
    UdpSocket::bind(loopback_address()).and_then(|socket| socket.local_addr()).expect("address is available")
}

/// Counters up to a point in time.
struct Counters {
    at: Instant,
    sent: TrafficCounts,
    from_real: TrafficCounts,
    thread_cpu_ms: f64,
    /// CPU time and memory of each real process.
    real: Vec<(Duration, u64)>,
}

struct Trial {
    fleet: SocketFleet,
    processes: Vec<Process>,
}

impl Trial {
    fn counters(&self) -> Counters {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        Counters {
            at: Instant::now(),
            sent: self.fleet.sent,
            from_real: self.fleet.received_from_real(),
            thread_cpu_ms: time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6,
            real: self.processes.iter().filter_map(Process::cpu_time_and_memory).collect(),
        }
    }

    /// Prints the traffic, CPU time and memory per node since `since`, with `extra_fields`, which are JSON.
    fn print_point(&self, point: &str, since: &Counters, extra_fields: &str) {
        let (now, real) = (self.counters(), &self.processes);
        let seconds = now.at.duration_since(since.at).as_secs_f64();
        let hollow_seconds = self.fleet.nodes.len() as f64 * seconds;
        let real_seconds = real.len().max(1) as f64 * seconds;
        // Only what the real processes send to hollow nodes is counted here; their total follows from the fleet's size.
        let scale = self.fleet.addresses.len() as f64 / self.fleet.nodes.len() as f64;
        let cpu_seconds = now
            .real
            .iter()
            .zip(&since.real)
            .map(|(after, before)| (after.0.saturating_sub(before.0)).as_secs_f64());
        let memory = now.real.iter().map(|real| real.1).sum::<u64>() / 1024 / real.len().max(1) as u64;
        println!(
            r#"{{"trial":"sockets","hollow":{},"real":{},"point":"{point}","seconds":{seconds:.1},"bytes_a_second":{:.0},"datagrams_a_second":{:.1},"processor_percent":{:.4},"real_bytes_a_second":{:.0},"real_datagrams_a_second":{:.1},"real_processor_percent":{:.3},"real_memory_kb":{memory},"alive_mean":{:.1},"went":{}{}{extra_fields}}}"#,
            self.fleet.nodes.len(),
            real.len(),
            (now.sent.bytes - since.sent.bytes) as f64 / hollow_seconds,
            (now.sent.datagrams - since.sent.datagrams) as f64 / hollow_seconds,
            (now.thread_cpu_ms - since.thread_cpu_ms) / 10.0 / hollow_seconds,
            (now.from_real.bytes - since.from_real.bytes) as f64 * scale / real_seconds,
            (now.from_real.datagrams - since.from_real.datagrams) as f64 * scale / real_seconds,
            cpu_seconds.sum::<f64>() * 100.0 / real_seconds,
            self.fleet.mean_alive_members(),
            self.fleet.nodes.iter().map(|node| node.events.members_left).sum::<u64>(),
            if extra_fields.is_empty() { "" } else { "," },
        );
    }
}
