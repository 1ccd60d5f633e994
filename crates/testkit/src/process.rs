//! The program itself: real processes, each with files of its own, that are killed, stopped, woken and started again.

use crate::clients::{CLASSES, CUSTOMERS};
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
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The program, built as these tests are; built now where it is not. Guards against building it and all that it needs a
/// second time, with the features that it has alone: the whole workspace's tests have it built already.
/// `SHELFGRADE_PROGRAM` names another one, to measure it at the same points.
pub fn program() -> PathBuf {
    if let Some(other) = std::env::var_os("SHELFGRADE_PROGRAM") {
        return other.into();
    }
    static BUILT: Once = Once::new();
    let tests = std::env::current_exe().expect("this program's path");
    let folder = tests.ancestors().find(|path| path.ends_with("debug") || path.ends_with("release"));
    let folder = folder.expect("cargo's folder").to_owned();
    BUILT.call_once(|| {
        let mut build = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".into()));
        build.args(["test", "--no-run", "--quiet", "--locked", "--workspace", "--test", "sockets"]);
        build.args(folder.ends_with("release").then_some("--release"));
        let built = build.current_dir(env!("CARGO_MANIFEST_DIR")).status();
        assert!(built.is_ok_and(|status| status.success()), "the program is built");
    });
    folder.join("shelfgrade")
}

/// What the processes of a trial are given.
pub struct ProcessConfig {
    pub folder: PathBuf,
    pub discovery: SocketAddr,
    pub server_spec: ServerSpec,
    /// Whether they are told of each other.
    pub fleet: bool,
    /// The list that they are started with.
    pub known: String,
    pub limits: Limits,
    /// Whether they may ask servers for signs of life.
    pub probes: bool,
}

/// What a process may take of its machine.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

pub const LIMITS: Limits = Limits { memory_mb: 64, sockets: 1024 };

pub struct Process {
    pub name: String,
    pub index: usize,
    pub listen: SocketAddr,
    /// How far its clock is off.
    pub ahead_ms: i64,
    child: Option<Child>,
    folder: PathBuf,
}

impl Process {
    pub fn new(index: usize, config: &ProcessConfig) -> Self {
        let name = format!("n{index:03}");
        let folder = config.folder.join(&name);
        fs::create_dir_all(folder.join("state")).expect("a folder of its own");
        let listener = std::net::TcpListener::bind(crate::own_address()).expect("an address on loopback");
        let listen = listener.local_addr().expect("the address");
        Process { name, index, listen, ahead_ms: 0, child: None, folder }
    }

    pub fn state_dir(&self) -> PathBuf {
        self.folder.join("state")
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn fleet_file(&self) -> PathBuf {
        self.folder.join("fleet.toml")
    }

    pub fn start_file(&self) -> PathBuf {
        self.folder.join("start.json")
    }

    /// `all`: every process of the fleet, with the address where this one sends to it.
    pub fn write_files(&self, config: &ProcessConfig, all: &[(String, SocketAddr)]) {
        let mut fellows = String::new();
        for (name, address) in all {
            writeln!(fellows, "{name} = \"{address}\"").expect("text");
        }
        let state = self.state_dir();
        let fleet = format!(
            "fleet = \"trial\"\nstate_dir = \"{}\"\nsave_every_ms = 200\n\n[fellows]\n{fellows}",
            state.display()
        );
        fs::write(self.fleet_file(), fleet).expect("its fleet file");
        self.write_start_file(config, all.len());
    }

    /// For one of so many processes.
    pub fn write_start_file(&self, config: &ProcessConfig, size: usize) {
        fs::write(self.start_file(), start_file(self, config, size)).expect("its start-up file");
    }

    /// The system's number of it, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn starts(&mut self, config: &ProcessConfig) {
        let log = File::options().create(true).append(true).open(self.folder.join("log")).expect("its log");
        let mut command = Command::new(program());
        command.env("RELAY_CONFIG", self.start_file()).env("RUST_LOG", "info,calloop=error");
        command.env("SHELFGRADE_CLOCK_AHEAD_MS", self.ahead_ms.to_string());
        if config.fleet {
            command.env("SHELFGRADE_FLEET", self.fleet_file());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.child = Some(command.spawn().expect("the program starts"));
    }

    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// What the system counts as its processor time, and as its memory in bytes.
    pub fn processor_and_memory(&self) -> Option<(Duration, u64)> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.as_ref()?.id()));
        let stat = fs::read_to_string(folder.join("stat")).ok()?;
        // Its name may have spaces; what follows it has none.
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

    pub fn is_killed(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Its exit code, once it has ended by itself.
    pub fn has_ended(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.is_killed();
    }
}

fn start_file(process: &Process, config: &ProcessConfig, size: usize) -> String {
    let classes = CLASSES.iter().map(|class| {
        let (name, idempotency, limit, priority_weight) =
            (class.name, class.idempotency, class.connect_latency_objective_ms, class.priority_weight);
        format!(
            r#"{{"name":"{name}","idempotency":"{idempotency}","soft_limit_ms":{limit},"benefit":{priority_weight}}}"#
        )
    });
    let customers = CUSTOMERS.iter().map(|(name, share)| format!(r#"{{"name":"{name}","share":{share}}}"#));
    let (classes, customers) =
        (classes.collect::<Vec<_>>().join(","), customers.collect::<Vec<_>>().join(","));
    let ServerSpec { room, cold_from, cold, factor, window, .. } = config.server_spec;
    let (Limits { memory_mb, sockets }, probes) = (config.limits, config.probes);
    let (name, listen, discovery) = (&process.name, process.listen, config.discovery);
    let seed = 0x8c1f_30d2_7a5b_e964_u64.wrapping_add(process.index as u64 * 0x9e37_79b9);
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{},
"settings":{{"balancers":{size},"discovery":"subscribe","offerings":[{classes}],"customers":[{customers}],
"bounds":{{"most_connects":4,"max_retry_after_ms":2000,"dial_timeout_ms":250,"probes":{probes}}},
"invariants":{{"overload_factor":{factor},"overload_for_ms":{},"cold_from":{cold_from},"cold_ms":{},
"must_ask_in_ms":10000,"stop_sending_within_ms":400}},
"extra":{{"message_aim_ms":[250,250,250,250],"server_connections":{room}}}}}}}"#,
        config.known,
        window.as_millis(),
        cold.as_millis(),
    )
}

pub fn known(servers: &[Arc<Server>]) -> String {
    let entry = |server: &Arc<Server>| {
        let (name, dial, born, site) = (&server.name, server.address, server.born_ms(), server.site());
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"{site}","class":"m2","block":0,"health":"in_service","born_ms":{born}}}"#
        )
    };
    let entries: Vec<_> = servers.iter().map(entry).collect();
    format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// Deals clients out among the processes that are ready: those that have answered `PING` with `PONG` since their start.
pub struct FrontEnd {
    addresses: Vec<SocketAddr>,
    ready: Mutex<Vec<bool>>,
}

impl FrontEnd {
    pub fn begin(addresses: Vec<SocketAddr>) -> Arc<Self> {
        let ready = Mutex::new(vec![false; addresses.len()]);
        let front_end = Arc::new(FrontEnd { addresses, ready });
        for index in 0..front_end.addresses.len() {
            tokio::spawn(front_end.clone().looks_after(index));
        }
        front_end
    }

    fn ready(&self) -> std::sync::MutexGuard<'_, Vec<bool>> {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn number_ready(&self) -> usize {
        self.ready().iter().filter(|ready| **ready).count()
    }

    pub fn deals(&self, rng: &mut WyRand) -> Option<(usize, SocketAddr)> {
        let ready: Vec<usize> =
            self.ready().iter().enumerate().filter(|(_, ready)| **ready).map(|(i, _)| i).collect();
        let index = *ready.get(rng.generate_range(0..ready.len().max(1)))?;
        Some((index, self.addresses[index]))
    }

    async fn looks_after(self: Arc<Self>, index: usize) {
        loop {
            let pong = timeout(Duration::from_millis(1500), signs(self.addresses[index])).await;
            self.ready()[index] = matches!(pong, Ok(true));
            sleep(Duration::from_millis(if matches!(pong, Ok(true)) { 300 } else { 50 })).await;
        }
    }
}

async fn signs(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else { return false };
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    stream.write_all(b"PING\r\n").await.is_ok()
        && stream.read_line(&mut line).await.is_ok()
        && line.trim_end() == "PONG"
}
