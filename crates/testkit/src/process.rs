//! Runs the program: real processes, each with its own files, that can be killed, suspended, resumed and restarted.

use crate::clients::{CUSTOMERS, REQUEST_CLASSES};
use crate::server::{Server, ServerSpec};
use nanorand::{Rng, WyRand};
use rustix::param::{clock_ticks_per_second, page_size};
use rustix::process::{kill_process, Pid, Signal};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, Once, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// The path of the program, in the same profile as this test; builds it if necessary. It is built as part of the whole
/// workspace's tests: built alone, it and its dependencies would be compiled a second time with other features.
/// `SHELFGRADE_PROGRAM` names another binary, to measure that one instead.
pub fn program_path() -> PathBuf {
    if let Some(path) = std::env::var_os("SHELFGRADE_PROGRAM") {
        return path.into();
    }
    static BUILT: Once = Once::new();
    let executable = std::env::current_exe().expect("path of the current executable");
    let directory = executable.ancestors().find(|path| path.ends_with("debug") || path.ends_with("release"));
    let directory = directory.expect("cargo's target directory").to_owned();
    BUILT.call_once(|| {
        let mut build = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".into()));
        build.args(["test", "--no-run", "--quiet", "--locked", "--workspace", "--test", "sockets"]);
        build.args(directory.ends_with("release").then_some("--release"));
        let status = build.current_dir(env!("CARGO_MANIFEST_DIR")).status();
        assert!(status.is_ok_and(|status| status.success()), "building the program failed");
    });
    directory.join("shelfgrade")
}

/// The configuration that all processes of a trial share.
pub struct ProcessConfig {
    pub directory: PathBuf,
    pub discovery: SocketAddr,
    pub server_spec: ServerSpec,
    /// Whether processes get a fleet file, which names their peers.
    pub fleet_enabled: bool,
    /// The endpoint list that they start with, as JSON.
    pub endpoint_list: String,
    pub limits: Limits,
    /// Whether they may send health checks to servers.
    pub health_checks: bool,
}

/// The resources of the machine that a process may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

pub const DEFAULT_LIMITS: Limits = Limits { memory_mb: 64, sockets: 1024 };

/// One process of the program. Its child process exists only while it runs.
pub struct Process {
    pub name: String,
    pub index: usize,
    pub listen: SocketAddr,
    /// How far its clock is ahead.
    pub clock_ahead_ms: i64,
    child: Option<Child>,
    directory: PathBuf,
    /// Bound to `listen` and never listening, so that nobody else gets the port while the process does not run. The
    /// process can bind it all the same, as both allow reuse of the address.
    _reserved: TcpSocket,
}

impl Process {
    pub fn new(index: usize, config: &ProcessConfig) -> Self {
        let name = format!("n{index:03}");
        let directory = config.directory.join(&name);
        fs::create_dir_all(directory.join("state")).expect("process directory is created");
        let reserved = reserve_address().expect("loopback address is bound");
        let listen = reserved.local_addr().expect("local address is available");
        Process { name, index, listen, clock_ahead_ms: 0, child: None, directory, _reserved: reserved }
    }

    pub fn state_dir(&self) -> PathBuf {
        self.directory.join("state")
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }

    pub fn fleet_file_path(&self) -> PathBuf {
        self.directory.join("fleet.toml")
    }

    pub fn config_path(&self) -> PathBuf {
        self.directory.join("start.json")
    }

    /// `members`: every process of the fleet, with the address at which this one reaches it.
    pub fn write_files(&self, config: &ProcessConfig, members: &[(String, SocketAddr)]) {
        let mut peers = String::new();
        for (name, address) in members {
            writeln!(peers, "{name} = \"{address}\"").expect("writing to a string succeeds");
        }
        let state_dir = self.state_dir();
        let fleet_file = format!(
            "fleet = \"trial\"\nstate_dir = \"{}\"\nsave_every_ms = 200\n\n[fellows]\n{peers}",
            state_dir.display()
        );
        fs::write(self.fleet_file_path(), fleet_file).expect("fleet file is written");
        self.write_config(config, members.len());
    }

    /// `fleet_size`: the number of processes in the fleet.
    pub fn write_config(&self, config: &ProcessConfig, fleet_size: usize) {
        fs::write(self.config_path(), config_json(self, config, fleet_size))
            .expect("configuration file is written");
    }

    /// The process ID, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn start(&mut self, config: &ProcessConfig) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.directory.join("log"))
            .expect("log file is opened");
        let mut command = Command::new(program_path());
        command.env("RELAY_CONFIG", self.config_path()).env("RUST_LOG", "info,calloop=error");
        command.env("SHELFGRADE_CLOCK_AHEAD_MS", self.clock_ahead_ms.to_string());
        if config.fleet_enabled {
            command.env("SHELFGRADE_FLEET", self.fleet_file_path());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.child = Some(command.spawn().expect("program starts"));
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// CPU time used so far, and resident memory in bytes.
    pub fn cpu_time_and_memory(&self) -> Option<(Duration, u64)> {
        let directory = PathBuf::from(format!("/proc/{}", self.child.as_ref()?.id()));
        let stat = fs::read_to_string(directory.join("stat")).ok()?;
        // The name may contain spaces; the fields after it do not. Of these, 11 and 12 are the ticks in user and system
        // mode, and 21 is the number of resident pages.
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let pages = fields.get(21)?.parse::<u64>().ok()?;
        let ticks = Duration::from_secs(ticks) / clock_ticks_per_second() as u32;
        Some((ticks, pages * page_size() as u64))
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The exit status, once the process has exited by itself; its code is `None` after a signal.
    pub fn try_exit_code(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn reserve_address() -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(crate::loopback_address())?;
    Ok(socket)
}

fn config_json(process: &Process, config: &ProcessConfig, fleet_size: usize) -> String {
    let classes = REQUEST_CLASSES.iter().map(|class| {
        let (name, idempotency, objective_ms, priority_weight) =
            (class.name, class.idempotency, class.connect_latency_objective_ms, class.priority_weight);
        format!(
            r#"{{"name":"{name}","idempotency":"{idempotency}","soft_limit_ms":{objective_ms},"benefit":{priority_weight}}}"#
        )
    });
    let customers = CUSTOMERS.iter().map(|(name, share)| format!(r#"{{"name":"{name}","share":{share}}}"#));
    let (classes, customers) =
        (classes.collect::<Vec<_>>().join(","), customers.collect::<Vec<_>>().join(","));
    let ServerSpec { capacity, initial_fraction, slow_start, overload_factor, overload_window, .. } =
        config.server_spec;
    let (Limits { memory_mb, sockets }, health_checks) = (config.limits, config.health_checks);
    let (name, listen, discovery) = (&process.name, process.listen, config.discovery);
    let seed = 0x8c1f_30d2_7a5b_e964_u64.wrapping_add(process.index as u64 * 0x9e37_79b9);
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{},
"settings":{{"balancers":{fleet_size},"discovery":"subscribe","offerings":[{classes}],"customers":[{customers}],
"bounds":{{"most_connects":4,"max_retry_after_ms":2000,"dial_timeout_ms":250,"probes":{health_checks}}},
"invariants":{{"overload_factor":{overload_factor},"overload_for_ms":{},"cold_from":{initial_fraction},"cold_ms":{},
"must_ask_in_ms":10000,"stop_sending_within_ms":400}},
"extra":{{"message_aim_ms":[250,250,250,250],"server_connections":{capacity}}}}}}}"#,
        config.endpoint_list,
        overload_window.as_millis(),
        slow_start.as_millis(),
    )
}

/// A full endpoint list with these servers in service, in the format of discovery.
pub fn endpoint_list_json(servers: &[Arc<Server>]) -> String {
    let entry = |server: &Arc<Server>| {
        let (name, address, started, zone) =
            (&server.name, server.address, server.started_ms(), server.zone());
        format!(
            r#"{{"host":"{name}","dial":"{address}","site":"{zone}","class":"m2","block":0,"health":"in_service","born_ms":{started}}}"#
        )
    };
    let entries: Vec<_> = servers.iter().map(entry).collect();
    format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// Picks a process for each client, among those that are ready: those that answer `PING` with `PONG`.
pub struct FrontEnd {
    addresses: Vec<SocketAddr>,
    ready: Mutex<Vec<bool>>,
}

impl FrontEnd {
    pub fn start(addresses: Vec<SocketAddr>) -> Arc<Self> {
        let ready = Mutex::new(vec![false; addresses.len()]);
        let front_end = Arc::new(FrontEnd { addresses, ready });
        for index in 0..front_end.addresses.len() {
            tokio::spawn(front_end.clone().monitor(index));
        }
        front_end
    }

    fn ready_flags(&self) -> std::sync::MutexGuard<'_, Vec<bool>> {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn ready_count(&self) -> usize {
        self.ready_flags().iter().filter(|ready| **ready).count()
    }

    pub fn pick_ready(&self, rng: &mut WyRand) -> Option<(usize, SocketAddr)> {
        let ready: Vec<usize> =
            self.ready_flags().iter().enumerate().filter(|(_, ready)| **ready).map(|(i, _)| i).collect();
        let index = *ready.get(rng.generate_range(0..ready.len().max(1)))?;
        Some((index, self.addresses[index]))
    }

    /// Keeps the readiness of one process up to date.
    async fn monitor(self: Arc<Self>, index: usize) {
        loop {
            let pong = timeout(Duration::from_millis(1500), answers_ping(self.addresses[index])).await;
            self.ready_flags()[index] = matches!(pong, Ok(true));
            sleep(Duration::from_millis(if matches!(pong, Ok(true)) { 300 } else { 50 })).await;
        }
    }
}

async fn answers_ping(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else { return false };
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    stream.write_all(b"PING\r\n").await.is_ok()
        && stream.read_line(&mut line).await.is_ok()
        && line.trim_end() == "PONG"
}
