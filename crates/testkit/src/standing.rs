//! One real process of the program that holds many sessions: what they cost it, at rest and with lines, and how late a
//! line is. The other ends of all of them are in this program.

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

/// A message's line and its answer are shorter.
const ROOM_FOR_LINES: usize = 128;
const STATUS: usize = 2;

/// What this process of ours may open; the program's other ends need no more than the program itself.
pub fn descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(1 << 20)
}

/// The most sessions that a process takes which may open so many: two for each, one for each server's sign of life, some
/// of its own, and a sixteenth that it keeps for who has yet to send a first line.
pub fn most_sessions(sockets: u64, servers: usize) -> usize {
    const SPARE: usize = 26;
    let sockets = sockets as usize;
    (sockets - sockets / 16).saturating_sub(SPARE + servers) / 2
}

#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub sessions: usize,
    pub servers: usize,
    pub limits: Limits,
}

/// When lines are due: from each client one every so often, evenly spread, and counted from a moment on.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    begins: Instant,
    every: Duration,
    counts: Instant,
    ends: Instant,
}

/// What the clients saw.
struct Seen {
    /// How many stand.
    standing: AtomicU64,
    /// Connections that broke, ended or were told to move.
    lost: AtomicU64,
    due: AtomicU64,
    /// Microseconds from when a line was due until it was back.
    late: Mutex<Histogram<u64>>,
}

impl Seen {
    fn late(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.late.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the system counts of a process: nanoseconds on a processor, and ticks of 10 ms for itself and in the system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    pub ns: u64,
    pub user_ticks: u64,
    pub system_ticks: u64,
}

impl Spent {
    pub fn by(pid: u32) -> Self {
        let threads = fs::read_dir(format!("/proc/{pid}/task")).expect("the process runs").flatten();
        let ns = threads.filter_map(|thread| {
            let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        });
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let ticks = |field: usize| {
            after_name.split_whitespace().nth(field).and_then(|n| n.parse().ok()).unwrap_or_default()
        };
        Spent { ns: ns.sum(), user_ticks: ticks(11), system_ticks: ticks(12) }
    }
}

/// Resident memory of a process, in bytes.
pub fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or_default() << 10
}

/// A process with all its sessions standing.
pub struct Standing {
    pub size: Size,
    process: Process,
    /// Its memory before the first of them.
    pub empty: u64,
    seen: Arc<Seen>,
    schedule: watch::Sender<Option<Schedule>>,
    _directory: TempDir,
}

impl Standing {
    pub async fn begin(size: Size) -> Self {
        let recorder = Recorder::default();
        let server_spec =
            ServerSpec { capacity: size.sessions, setup_time: Duration::ZERO, ..DEFAULT_SERVER_SPEC };
        let mut servers = Vec::new();
        for index in 0..size.servers {
            servers.push(Server::start(index, server_spec, recorder.clone()).await);
        }
        let discovery = Discovery::start(recorder.clone()).await;
        discovery.publish(&servers.iter().map(|server| &**server).collect::<Vec<_>>(), "in_service");
        let directory = TempDir::new().expect("a folder");
        let config = ProcessConfig {
            directory: directory.path().to_owned(),
            discovery: discovery.address,
            server_spec,
            fleet_enabled: false,
            endpoint_list: endpoint_list_json(&servers),
            limits: size.limits,
            // A sign of life that is late on a busy machine would have sessions sent away.
            health_checks: false,
        };
        let mut process = Process::new(0, &config);
        process.write_config(&config, 1);
        process.start(&config);
        while TcpStream::connect(process.listen).await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
        // What it does once, at its start, is done by then.
        sleep(Duration::from_millis(500)).await;
        let empty = resident(process.pid().expect("it runs"));
        let seen = Seen {
            standing: AtomicU64::default(),
            lost: AtomicU64::default(),
            due: AtomicU64::default(),
            late: Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds in order")),
        };
        let standing = Standing {
            size,
            process,
            empty,
            seen: Arc::new(seen),
            schedule: watch::Sender::new(None),
            _directory: directory,
        };
        standing.all_come().await;
        standing
    }

    async fn all_come(&self) {
        // The program has no more attempts out at once than this.
        const AT_ONCE: usize = 24;
        let turns = Arc::new(Semaphore::new(AT_ONCE));
        for index in 0..self.size.sessions {
            let (turns, seen, mut schedule) = (turns.clone(), self.seen.clone(), self.schedule.subscribe());
            let (address, sessions) = (self.process.listen, self.size.sessions);
            tokio::spawn(async move {
                let mut due = None;
                loop {
                    let opened = {
                        let _turn = turns.acquire().await.expect("turns are given");
                        opens(address, index).await
                    };
                    let mut up = match opened {
                        Ok(up) => up,
                        Err(pause) => {
                            sleep(pause).await;
                            continue;
                        }
                    };
                    seen.standing.fetch_add(1, Ordering::Relaxed);
                    let part = index as f64 / sessions as f64;
                    stays(&mut up, (part, &mut due), &mut schedule, &seen).await;
                    // As a client does, it comes again.
                    seen.standing.fetch_sub(1, Ordering::Relaxed);
                    seen.lost.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        while self.standing() < self.size.sessions {
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn standing(&self) -> usize {
        self.seen.standing.load(Ordering::Relaxed) as usize
    }

    pub fn pid(&self) -> u32 {
        self.process.pid().expect("it runs")
    }

    /// Resident memory that each session has added, in bytes.
    pub fn memory_each(&self) -> f64 {
        resident(self.pid()).saturating_sub(self.empty) as f64 / self.size.sessions as f64
    }

    /// One point: what it spends over a time, with a line from each client every so often, or at rest.
    pub async fn point(&self, over: Duration, every: Option<Duration>) -> Value {
        self.seen.late().reset();
        let (lost, due) = (self.seen.lost.load(Ordering::Relaxed), self.seen.due.load(Ordering::Relaxed));
        let counts = Instant::now() + every.map_or(Duration::from_secs(1), |every| every * 2);
        if let Some(every) = every {
            let schedule = Schedule { begins: Instant::now(), every, counts, ends: counts + over };
            self.schedule.send_replace(Some(schedule));
        }
        sleep_until(counts).await;
        let (before, began) = (Spent::by(self.pid()), Instant::now());
        sleep_until(counts + over).await;
        let (after, took) = (Spent::by(self.pid()), began.elapsed().as_secs_f64());
        let memory_each = self.memory_each();
        if every.is_some() {
            self.all_are_back(due).await;
            self.schedule.send_replace(None);
        }
        let core_us = (after.ns - before.ns) as f64 / 1000.0 / took;
        let mut point = json!({
            "trial": "standing",
            "sessions": self.size.sessions,
            "servers": self.size.servers,
            "memory_mb": self.size.limits.memory_mb,
            "every_ms": every.map(|every| every.as_millis() as u64),
            "seconds": round(took),
            "core_percent": round(core_us / 1e4),
            "core_us_a_second_each": round(core_us / self.size.sessions as f64),
            "user_ticks": after.user_ticks - before.user_ticks,
            "system_ticks": after.system_ticks - before.system_ticks,
            "resident_mb": round(resident(self.pid()) as f64 / f64::from(1 << 20)),
            "bytes_each": memory_each.round(),
            "lost": self.seen.lost.load(Ordering::Relaxed) - lost,
        });
        if every.is_some() {
            let due = self.seen.due.load(Ordering::Relaxed) - due;
            let late = self.seen.late();
            let ms = |part: f64| round(late.value_at_quantile(part) as f64 / 1000.0);
            let more = json!({
                "lines_a_second": round(due as f64 / took),
                "core_us_a_line": round(core_us * took / due.max(1) as f64),
                "never_back": due.saturating_sub(late.len()),
                "late_ms": { "p50": ms(0.5), "p99": ms(0.99), "p999": ms(0.999), "most": ms(1.0) },
            });
            let (Value::Object(point), Value::Object(more)) = (&mut point, more) else { return point };
            point.extend(more);
        }
        point
    }

    /// Waits for the lines that are still out; who is out for so long counts as never back.
    async fn all_are_back(&self, due_before: u64) {
        const AT_MOST: Duration = Duration::from_secs(3);
        let out = || self.seen.due.load(Ordering::Relaxed) - due_before > self.seen.late().len();
        let until = Instant::now() + AT_MOST;
        while out() && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Told to end, it does so by itself; what it logged.
    pub async fn ends(mut self) -> String {
        self.process.signal(Signal::TERM);
        while self.process.try_exit_code().is_none() {
            sleep(Duration::from_millis(20)).await;
        }
        self.process.log()
    }
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

type Up = (Lines<BufReader<OwnedReadHalf>>, OwnedWriteHalf);

/// A client's session, up; else how long to stay away.
async fn opens(address: std::net::SocketAddr, index: usize) -> Result<Up, Duration> {
    // An id is new with every connection.
    static LAST_ID: AtomicU64 = AtomicU64::new(1 << 32);
    const PAUSE: Duration = Duration::from_millis(50);
    const WITHIN: Duration = Duration::from_secs(6);
    let id = LAST_ID.fetch_add(1, Ordering::Relaxed);
    let class = &REQUEST_CLASSES[STATUS];
    let line = format!(
        "OPEN {id:016x} lift-{index} c={},t={},d={},g=g{}\r\n",
        class.name,
        CUSTOMERS[0].0,
        class.request_timeout_ms,
        index / 8
    );
    let stream = TcpStream::connect(address).await.map_err(|_| PAUSE)?;
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::with_capacity(ROOM_FOR_LINES, read).lines();
    write.write_all(line.as_bytes()).await.map_err(|_| PAUSE)?;
    let Ok(Ok(Some(answer))) = timeout(WITHIN, lines.next_line()).await else { return Err(PAUSE) };
    if answer.starts_with("UP ") {
        return Ok((lines, write));
    }
    let told = answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok());
    Err(told.map_or(PAUSE, Duration::from_millis))
}

/// Sends its lines when they are due, whatever became of those before, and takes the time of what comes back, until the
/// connection ends or it is told to move. A line tells when it was due.
async fn stays(
    (lines, write): &mut Up,
    (part, due): (f64, &mut Option<Instant>),
    schedule: &mut watch::Receiver<Option<Schedule>>,
    seen: &Seen,
) {
    loop {
        if schedule.has_changed().unwrap_or(false) {
            *due = None;
        }
        let at = *schedule.borrow_and_update();
        let first = |s: Schedule| s.begins + s.every.mul_f64(part);
        let next =
            at.and_then(|s| Some(due.map_or(first(s), |due| due + s.every)).filter(|next| *next < s.ends));
        tokio::select! {
            read = lines.next_line() => {
                let Some(line) = read.ok().flatten().filter(|line| line != "MOVE") else { return };
                let sent = line.strip_prefix("M ").and_then(|us| us.parse().ok());
                if let Some((s, us)) = at.zip(sent).filter(|(s, us)| s.begins + Duration::from_micros(*us) >= s.counts) {
                    let late = (s.begins + Duration::from_micros(us)).elapsed();
                    seen.late().saturating_record((late.as_micros() as u64).max(1));
                }
            }
            _ = schedule.changed() => *due = None,
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                *due = next;
                let Some((s, due)) = at.zip(next) else { continue };
                if due >= s.counts {
                    seen.due.fetch_add(1, Ordering::Relaxed);
                }
                let line = format!("M {}\r\n", (due - s.begins).as_micros());
                if write.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}
