//! HollowNode processes on real sockets: some hundreds of cores in this process, each with a UDP socket of its own on
//! loopback, and some real processes of the program in one fleet with them. A JSON line for each point.
//!
//! `cargo run --release --locked -p shelfgrade-trials --example sockets -- [HOLLOW] [REAL]`, 297 and 3 unless others are
//! named.

use rustix::time::{clock_gettime, ClockId};
use shelfgrade_testkit::discovery::Discovery;
use shelfgrade_testkit::hollow_node::name;
use shelfgrade_testkit::own_address;
use shelfgrade_testkit::process::{known, Process, ProcessConfig, LIMITS};
use shelfgrade_testkit::recorder::Recorder;
use shelfgrade_testkit::server::{Server, DEFAULT_SERVER};
use shelfgrade_testkit::sockets::{Counts, Sockets};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

#[tokio::main]
async fn main() {
    let mut given = std::env::args().skip(1).filter_map(|number| number.parse().ok());
    let (hollow, real) = (given.next().unwrap_or(297), given.next().unwrap_or(3));
    let recorder = Recorder::default();
    let mut servers = Vec::new();
    for index in 0..8 {
        servers.push(Server::begin(index, DEFAULT_SERVER, recorder.clone()).await);
    }
    let discovery = Discovery::begin(recorder).await;
    discovery.says(&servers.iter().map(|server| &**server).collect::<Vec<_>>(), "in_service");
    let folder = tempfile::TempDir::new().expect("a folder");
    let given = ProcessConfig {
        folder: folder.path().to_owned(),
        discovery: discovery.address,
        server_spec: DEFAULT_SERVER,
        fleet: true,
        known: known(&servers),
        limits: LIMITS,
        probes: true,
    };
    // Discovery and the servers answer from other threads, whose time is not the hollow ones'.
    let trial = std::thread::spawn(move || runs(hollow, real, &given));
    while !trial.is_finished() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    trial.join().expect("a trial that ends");
}

fn runs(hollow: usize, real: usize, given: &ProcessConfig) {
    let processes: Vec<_> = (0..real).map(|index| Process::new(index, given)).collect();
    let sockets: Vec<_> = (0..hollow).map(|_| UdpSocket::bind(own_address()).expect("a socket")).collect();
    let mut all: Vec<(String, SocketAddr)> =
        processes.iter().map(|process| (process.name.clone(), free())).collect();
    let own = sockets
        .iter()
        .enumerate()
        .map(|(i, socket)| (format!("hollow-{}", name(i)), socket.local_addr().expect("an address")));
    all.extend(own);
    processes.iter().for_each(|process| process.write_files(given, &all));
    let mut trial = Trial { all: Sockets::begin(sockets, &all), processes };
    trial.processes.iter_mut().for_each(|process| process.starts(given));

    let began = trial.mark();
    let met =
        json(trial.all.until(Duration::from_secs(30), |trial| trial.mean_alive() >= 0.99 * all.len() as f64));
    trial.tells("all start at once", &began, &format!(r#""99_in_100_known_to_each_ms":{met}"#));
    let told = trial.mark();
    trial.all.passes(Duration::from_secs(30));
    trial.tells("the 30 s after that", &told, "");
    for _ in 0..2 {
        let rest = trial.mark();
        trial.all.passes(Duration::from_secs(30));
        trial.tells("at rest", &rest, "");
    }
    let change = trial.mark();
    trial.all.put(1, "change");
    let enough = (hollow * 99).div_ceil(100);
    let most = json(trial.all.until(Duration::from_secs(30), |trial| trial.know("change/0") >= enough));
    let last = json(trial.all.until(Duration::from_secs(30), |trial| trial.know("change/0") == hollow));
    trial.tells(
        "one change",
        &change,
        &format!(r#""known_to_99_in_100_ms":{most},"known_to_all_after_further_ms":{last}"#),
    );
    let many = trial.mark();
    trial.all.put(1000, "trial");
    trial.all.passes(Duration::from_secs(10));
    trial.tells("1000 entries at once, the first 10 s", &many, "");
    let agree = json(trial.all.until(Duration::from_secs(120), |trial| trial.states() == 1));
    trial.tells("1000 entries at once", &many, &format!(r#""agree_after_further_ms":{agree}"#));
    for process in &trial.processes {
        process.signal(rustix::process::Signal::TERM);
    }
    trial.all.passes(Duration::from_secs(2));
}

/// Milliseconds as JSON: null where it did not come to that.
fn json(took: Option<Duration>) -> String {
    took.map_or("null".to_owned(), |took| took.as_millis().to_string())
}

/// An address that nobody has, for a process that will.
fn free() -> SocketAddr {
    UdpSocket::bind(own_address()).and_then(|socket| socket.local_addr()).expect("an address")
}

/// What was counted up to some moment.
struct Mark {
    at: Instant,
    sent: Counts,
    from_real: Counts,
    processor_ms: f64,
    real: Vec<(Duration, u64)>,
}

struct Trial {
    all: Sockets,
    processes: Vec<Process>,
}

impl Trial {
    fn mark(&self) -> Mark {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        Mark {
            at: Instant::now(),
            sent: self.all.sent,
            from_real: self.all.heard_from_real(),
            processor_ms: time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6,
            real: self.processes.iter().filter_map(Process::processor_and_memory).collect(),
        }
    }

    fn tells(&self, point: &str, since: &Mark, more: &str) {
        let (mark, real) = (self.mark(), &self.processes);
        let seconds = mark.at.duration_since(since.at).as_secs_f64();
        let each = self.all.cores.len() as f64 * seconds;
        let of_real = real.len().max(1) as f64 * seconds;
        // They send to each other what is not heard here.
        let unheard = self.all.addresses.len() as f64 / self.all.cores.len() as f64;
        let spent =
            mark.real.iter().zip(&since.real).map(|(now, then)| (now.0.saturating_sub(then.0)).as_secs_f64());
        let memory = mark.real.iter().map(|real| real.1).sum::<u64>() / 1024 / real.len().max(1) as u64;
        println!(
            r#"{{"trial":"sockets","hollow":{},"real":{},"point":"{point}","seconds":{seconds:.1},"bytes_a_second":{:.0},"datagrams_a_second":{:.1},"processor_percent":{:.4},"real_bytes_a_second":{:.0},"real_datagrams_a_second":{:.1},"real_processor_percent":{:.3},"real_memory_kb":{memory},"alive_mean":{:.1},"went":{}{}{more}}}"#,
            self.all.cores.len(),
            real.len(),
            (mark.sent.bytes - since.sent.bytes) as f64 / each,
            (mark.sent.datagrams - since.sent.datagrams) as f64 / each,
            (mark.processor_ms - since.processor_ms) / 10.0 / each,
            (mark.from_real.bytes - since.from_real.bytes) as f64 * unheard / of_real,
            (mark.from_real.datagrams - since.from_real.datagrams) as f64 * unheard / of_real,
            spent.sum::<f64>() * 100.0 / of_real,
            self.all.mean_alive(),
            self.all.cores.iter().map(|core| core.events.went).sum::<u64>(),
            if more.is_empty() { "" } else { "," },
        );
    }
}
