//! Measures one real process of the program that holds many sessions: its CPU time and memory, idle and with messages,
//! and the latency of messages. All clients and servers are part of the measuring program.

use crate::clients::{CUSTOMERS, REQUEST_CLASSES};
use crate::discovery::Discovery;
use crate::process::{endpoint_list_json, Limits, Process, ProcessConfig};
use crate::recorder::Recorder;
use crate::server::{Server, ServerSpec, DEFAULT_SERVER_SPEC};
use hdrhistogram::Histogram;
use rustix::process::{getrlimit, Resource, Signal};
use serde_json::{json, Value};
use std::fs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The read buffer of a client; messages and their answers are shorter.
const LINE_BUFFER_BYTES: usize = 128;
/// Index into [`REQUEST_CLASSES`].
const STATUS: usize = 2;

/// The limit of open descriptors of the measuring program, which needs no more of them than the measured process.
pub fn descriptor_limit() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(1 << 20)
}

/// The most sessions that a process accepts with a limit of `sockets` descriptors: it needs two for each session, one
/// for the health checks of each server, some for itself, and reserves one sixteenth for pending connections, which
/// have not sent their first line yet.
pub fn max_sessions(sockets: u64, servers: usize) -> usize {
    const OWN_SOCKETS: usize = 26;
    let sockets = sockets as usize;
    (sockets - sockets / 16).saturating_sub(OWN_SOCKETS + servers) / 2
}

/// The scale of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub sessions: usize,
    pub servers: usize,
    pub limits: Limits,
}

/// When messages are due: each client sends one per interval, and the clients are spread evenly over the interval.
/// Those due from `measure_from` on are measured.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    start: Instant,
    interval: Duration,
    measure_from: Instant,
    end: Instant,
}

/// What the clients observed.
struct ClientStats {
    /// The present number of sessions.
    sessions: AtomicU64,
    /// Sessions that broke, ended or were migrated.
    lost: AtomicU64,
    /// The number of messages that were due.
    due: AtomicU64,
    /// Microseconds from when a message was due until its answer arrived.
    latencies: Mutex<Histogram<u64>>,
}

impl ClientStats {
    fn latencies(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.latencies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The CPU time of a process: in nanoseconds, and in ticks of 10 ms in user and system mode.
#[derive(Clone, Copy, Debug, Default)]
pub struct CpuUsage {
    pub ns: u64,
    pub user_ticks: u64,
    pub system_ticks: u64,
}

impl CpuUsage {
    pub fn of(pid: u32) -> Self {
        let threads = fs::read_dir(format!("/proc/{pid}/task")).expect("process is running").flatten();
        let ns = threads.filter_map(|thread| {
            let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        });
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("process is running");
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let ticks = |field: usize| {
            after_name.split_whitespace().nth(field).and_then(|n| n.parse().ok()).unwrap_or_default()
        };
        // The fields are counted from the one after the name.
        CpuUsage { ns: ns.sum(), user_ticks: ticks(11), system_ticks: ticks(12) }
    }
}

/// Resident memory of a process, in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("process is running");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or_default() << 10
}

/// A process with all its sessions established.
pub struct SessionLoad {
    pub size: Size,
    process: Process,
    /// Its resident memory before the first session, in bytes.
    pub memory_before: u64,
    stats: Arc<ClientStats>,
    schedule: watch::Sender<Option<Schedule>>,
    _directory: TempDir,
}

impl SessionLoad {
    pub async fn start(size: Size) -> Self {
        let recorder = Recorder::default();
        let server_spec =
            ServerSpec { capacity: size.sessions, setup_time: Duration::ZERO, ..DEFAULT_SERVER_SPEC };
        let mut servers = Vec::new();
        for index in 0..size.servers {
            servers.push(Server::start(index, server_spec, recorder.clone()).await);
        }
        let discovery = Discovery::start(recorder.clone()).await;
        discovery.publish(&servers.iter().map(|server| &**server).collect::<Vec<_>>(), "in_service");
        let directory = TempDir::new().expect("temporary directory is created");
        let config = ProcessConfig {
            directory: directory.path().to_owned(),
            discovery: discovery.address,
            server_spec,
            fleet_enabled: false,
            endpoint_list: endpoint_list_json(&servers),
            limits: size.limits,
            // A health check that is late on a busy machine would make the process migrate sessions.
            health_checks: false,
        };
        let mut process = Process::new(0, &config);
        process.write_config(&config, 1);
        process.start(&config);
        while TcpStream::connect(process.listen).await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
        // Long enough for the one-time work at the start.
        sleep(Duration::from_millis(500)).await;
        let memory_before = resident_bytes(process.pid().expect("process is running"));
        let stats = ClientStats {
            sessions: AtomicU64::default(),
            lost: AtomicU64::default(),
            due: AtomicU64::default(),
            latencies: Mutex::new(
                Histogram::new_with_bounds(1, 60_000_000, 3).expect("histogram bounds are valid"),
            ),
        };
        let load = SessionLoad {
            size,
            process,
            memory_before,
            stats: Arc::new(stats),
            schedule: watch::Sender::new(None),
            _directory: directory,
        };
        load.open_sessions().await;
        load
    }

    async fn open_sessions(&self) {
        // The program has at most this many attempts in progress.
        const MAX_ATTEMPTS: usize = 24;
        let permits = Arc::new(Semaphore::new(MAX_ATTEMPTS));
        for index in 0..self.size.sessions {
            let (permits, stats, mut schedule) =
                (permits.clone(), self.stats.clone(), self.schedule.subscribe());
            let (address, sessions) = (self.process.listen, self.size.sessions);
            tokio::spawn(async move {
                let mut due = None;
                loop {
                    let opened = {
                        let _permit = permits.acquire().await.expect("semaphore is open");
                        open_session(address, index).await
                    };
                    let mut session = match opened {
                        Ok(session) => session,
                        Err(retry_after) => {
                            sleep(retry_after).await;
                            continue;
                        }
                    };
                    stats.sessions.fetch_add(1, Ordering::Relaxed);
                    let phase = index as f64 / sessions as f64;
                    run_session(&mut session, (phase, &mut due), &mut schedule, &stats).await;
                    // Reconnects, as a client does.
                    stats.sessions.fetch_sub(1, Ordering::Relaxed);
                    stats.lost.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        while self.session_count() < self.size.sessions {
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn session_count(&self) -> usize {
        self.stats.sessions.load(Ordering::Relaxed) as usize
    }

    pub fn pid(&self) -> u32 {
        self.process.pid().expect("process is running")
    }

    /// Resident memory that each session has added, in bytes.
    pub fn bytes_per_session(&self) -> f64 {
        resident_bytes(self.pid()).saturating_sub(self.memory_before) as f64 / self.size.sessions as f64
    }

    /// Measures for `duration`, with a message from each client per `interval`, or idle if that is `None`.
    pub async fn measure(&self, duration: Duration, interval: Option<Duration>) -> Value {
        self.stats.latencies().reset();
        let (lost, due) = (self.stats.lost.load(Ordering::Relaxed), self.stats.due.load(Ordering::Relaxed));
        let measure_from = Instant::now() + interval.map_or(Duration::from_secs(1), |interval| interval * 2);
        if let Some(interval) = interval {
            let schedule =
                Schedule { start: Instant::now(), interval, measure_from, end: measure_from + duration };
            self.schedule.send_replace(Some(schedule));
        }
        sleep_until(measure_from).await;
        let (before, began) = (CpuUsage::of(self.pid()), Instant::now());
        sleep_until(measure_from + duration).await;
        let (after, took) = (CpuUsage::of(self.pid()), began.elapsed().as_secs_f64());
        let bytes_per_session = self.bytes_per_session();
        if interval.is_some() {
            self.wait_for_answers(due).await;
            self.schedule.send_replace(None);
        }
        let core_us = (after.ns - before.ns) as f64 / 1000.0 / took;
        let mut point = json!({
            "trial": "standing",
            "sessions": self.size.sessions,
            "servers": self.size.servers,
            "memory_mb": self.size.limits.memory_mb,
            "every_ms": interval.map(|interval| interval.as_millis() as u64),
            "seconds": round_to_thousandths(took),
            "core_percent": round_to_thousandths(core_us / 1e4),
            "core_us_a_second_each": round_to_thousandths(core_us / self.size.sessions as f64),
            "user_ticks": after.user_ticks - before.user_ticks,
            "system_ticks": after.system_ticks - before.system_ticks,
            "resident_mb": round_to_thousandths(resident_bytes(self.pid()) as f64 / f64::from(1 << 20)),
            "bytes_each": bytes_per_session.round(),
            "lost": self.stats.lost.load(Ordering::Relaxed) - lost,
        });
        if interval.is_some() {
            let due = self.stats.due.load(Ordering::Relaxed) - due;
            let latencies = self.stats.latencies();
            let ms =
                |quantile: f64| round_to_thousandths(latencies.value_at_quantile(quantile) as f64 / 1000.0);
            let extra = json!({
                "lines_a_second": round_to_thousandths(due as f64 / took),
                "core_us_a_line": round_to_thousandths(core_us * took / due.max(1) as f64),
                "never_back": due.saturating_sub(latencies.len()),
                "late_ms": { "p50": ms(0.5), "p99": ms(0.99), "p999": ms(0.999), "most": ms(1.0) },
            });
            let (Value::Object(point), Value::Object(extra)) = (&mut point, extra) else { return point };
            point.extend(extra);
        }
        point
    }

    /// Waits for outstanding answers; those that take longer than the limit count as never received.
    async fn wait_for_answers(&self, due_before: u64) {
        const LIMIT: Duration = Duration::from_secs(3);
        let is_outstanding =
            || self.stats.due.load(Ordering::Relaxed) - due_before > self.stats.latencies().len();
        let until = Instant::now() + LIMIT;
        while is_outstanding() && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Terminates the process and returns its log.
    pub async fn finish(mut self) -> String {
        self.process.signal(Signal::TERM);
        while self.process.try_exit_code().is_none() {
            sleep(Duration::from_millis(20)).await;
        }
        self.process.log()
    }
}

fn round_to_thousandths(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

type Session = (Lines<BufReader<OwnedReadHalf>>, OwnedWriteHalf);

/// Opens a session; the error is how long to wait before the next try.
async fn open_session(address: std::net::SocketAddr, index: usize) -> Result<Session, Duration> {
    // Every connection has a new request ID.
    static NEXT_ID: AtomicU64 = AtomicU64::new(1 << 32);
    const RETRY_PAUSE: Duration = Duration::from_millis(50);
    const TIMEOUT: Duration = Duration::from_secs(6);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let class = &REQUEST_CLASSES[STATUS];
    let line = format!(
        "OPEN {id:016x} lift-{index} c={},t={},d={},g=g{}\r\n",
        class.name,
        CUSTOMERS[0].0,
        class.request_timeout_ms,
        index / 8
    );
    let stream = TcpStream::connect(address).await.map_err(|_| RETRY_PAUSE)?;
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::with_capacity(LINE_BUFFER_BYTES, read).lines();
    write.write_all(line.as_bytes()).await.map_err(|_| RETRY_PAUSE)?;
    let Ok(Ok(Some(answer))) = timeout(TIMEOUT, lines.next_line()).await else { return Err(RETRY_PAUSE) };
    if answer.starts_with("UP ") {
        return Ok((lines, write));
    }
    let retry_after = answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok());
    Err(retry_after.map_or(RETRY_PAUSE, Duration::from_millis))
}

/// Sends messages when they are due, even if earlier ones are not answered yet, and records the latency of each answer,
/// until the connection ends or the client is told to reconnect. A message contains the time at which it was due.
async fn run_session(
    (lines, write): &mut Session,
    (phase, due): (f64, &mut Option<Instant>),
    schedule: &mut watch::Receiver<Option<Schedule>>,
    stats: &ClientStats,
) {
    loop {
        if schedule.has_changed().unwrap_or(false) {
            *due = None;
        }
        let current = *schedule.borrow_and_update();
        let first_due = |s: Schedule| s.start + s.interval.mul_f64(phase);
        let next = current.and_then(|s| {
            Some(due.map_or(first_due(s), |due| due + s.interval)).filter(|next| *next < s.end)
        });
        tokio::select! {
            read = lines.next_line() => {
                let Some(line) = read.ok().flatten().filter(|line| line != "MOVE") else { return };
                let due_us = line.strip_prefix("M ").and_then(|us| us.parse().ok());
                if let Some((s, us)) =
                    current.zip(due_us).filter(|(s, us)| s.start + Duration::from_micros(*us) >= s.measure_from)
                {
                    let latency = (s.start + Duration::from_micros(us)).elapsed();
                    stats.latencies().saturating_record((latency.as_micros() as u64).max(1));
                }
            }
            _ = schedule.changed() => *due = None,
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                *due = next;
                let Some((s, due)) = current.zip(next) else { continue };
                if due >= s.measure_from {
                    stats.due.fetch_add(1, Ordering::Relaxed);
                }
                let line = format!("M {}\r\n", (due - s.start).as_micros());
                if write.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}
