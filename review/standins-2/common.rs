//! Stand-ins for clients, servers, discovery and the simulator, with the standard library alone.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// What was sent, answered and run, with milliseconds since the start of the script.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("the record is created");
        Arc::new(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>6} {}\n", self.ms(), text.as_ref());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// A line of the record that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }

    pub fn sleep_until(&self, ms: u64) {
        let now = self.ms();
        if ms > now {
            thread::sleep(Duration::from_millis(ms - now));
        }
    }
}

/// What `run.sh` passes on: the folder of the repository, the command of the deploy file, a temporary folder, and
/// whether the disruption takes place.
pub struct Setting {
    pub root: PathBuf,
    pub command: String,
    pub directory: PathBuf,
    pub trouble: bool,
}

impl Setting {
    pub fn from_environment() -> Self {
        let variable = |name: &str| std::env::var(name).unwrap_or_else(|_| panic!("{name} is not set"));
        Setting {
            root: variable("CASE_ROOT").into(),
            command: variable("CASE_COMMAND"),
            directory: variable("CASE_DIR").into(),
            trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        }
    }

    pub fn record_path() -> PathBuf {
        std::env::var("CASE_RECORD").expect("CASE_RECORD is not set").into()
    }
}

/// The ids of all processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process that was started, also in a file by which `run.sh` ends what is left.
fn note_started(child: &Child) {
    lock(&STARTED).push(child.id());
    if let Ok(directory) = std::env::var("CASE_DIR") {
        let file =
            std::fs::OpenOptions::new().create(true).append(true).open(Path::new(&directory).join("pids"));
        let _ = file.and_then(|mut file| file.write_all(format!("{}\n", child.id()).as_bytes()));
    }
}

/// SIGKILL to all processes that were started and still run.
pub fn kill_all() {
    let ids: Vec<_> = lock(&STARTED).iter().map(u32::to_string).collect();
    let _ = Command::new("kill").arg("-9").args(ids).stderr(Stdio::null()).status();
}

/// Child processes, which are ended when this is dropped.
#[derive(Default)]
pub struct Children(pub BTreeMap<String, Child>);

impl Children {
    pub fn add(&mut self, name: &str, child: Child) {
        note_started(&child);
        self.0.insert(name.to_owned(), child);
    }

    /// SIGKILL to one process.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.0.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The names of processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.0.iter_mut().filter_map(|(name, child)| {
            child.try_wait().ok().flatten().map(|status| format!("{name}: {status}"))
        });
        ended.collect()
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        for child in self.0.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts one process of the program with the command of the deploy file.
pub fn start_proxy(setting: &Setting, name: &str, start_file: &str, fleet_file: Option<&str>) -> Child {
    let directory = setting.directory.join(name);
    std::fs::create_dir_all(&directory).expect("a folder is created");
    let start_path = directory.join("start.json");
    std::fs::write(&start_path, start_file).expect("a file is written");
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &setting.command]).current_dir(&setting.root).env("RELAY_CONFIG", &start_path);
    command.env_remove("SHELFGRADE_FLEET").env("TMPDIR", &directory);
    if let Some(text) = fleet_file {
        let fleet_path = directory.join("fleet.toml");
        std::fs::write(&fleet_path, text).expect("a file is written");
        command.env("SHELFGRADE_FLEET", &fleet_path);
    }
    let log = File::create(directory.join("log")).expect("a log is created");
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    command.spawn().expect("the program starts")
}

/// The next port to try for a process that binds it itself: below the range from which the system takes the ports of
/// outgoing connections, from a place that differs between runs.
fn next_port() -> u16 {
    const FIRST: u64 = 12_000;
    const COUNT: u64 = 19_000;
    static TAKEN: AtomicU64 = AtomicU64::new(0);
    static START: std::sync::OnceLock<u64> = std::sync::OnceLock::new();
    let start = START.get_or_init(|| {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        u64::from(now.subsec_nanos()) / 1000 + u64::from(std::process::id()) * 97
    });
    (FIRST + (start + TAKEN.fetch_add(1, Ordering::Relaxed)) % COUNT) as u16
}

/// A free TCP address on loopback, for a process that binds it itself.
pub fn free_tcp() -> SocketAddr {
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], next_port()));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Free UDP addresses on loopback, all different.
pub fn free_udp(count: usize) -> Vec<SocketAddr> {
    let mut found = Vec::new();
    while found.len() < count {
        let address = SocketAddr::from(([127, 0, 0, 1], next_port()));
        if UdpSocket::bind(address).is_ok() {
            found.push(address);
        }
    }
    found
}

/// Whether a proxy answers `PING` with `PONG`.
pub fn is_ready(proxy: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&proxy, Duration::from_millis(200)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1000)));
    let mut line = String::new();
    stream.write_all(b"PING\r\n").is_ok()
        && BufReader::new(stream).read_line(&mut line).is_ok()
        && line.trim_end() == "PONG"
}

pub fn wait_until_ready(record: &Record, proxies: &[SocketAddr], limit_ms: u64) -> bool {
    while record.ms() < limit_ms {
        if proxies.iter().all(|proxy| is_ready(*proxy)) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A class of the settings: its name, soft limit, patience and benefit.
type Class = (&'static str, u32, u32, u32);

fn classes(classes: &[Class]) -> String {
    let class = |(name, limit, patience, benefit): &Class| {
        format!(
            r#"{{"name":"{name}","idempotency":"repeatable","group":"all","window_ms":5000,"soft_limit_ms":{limit},"patience_ms":{patience},"benefit":{benefit},"streamed":true}}"#
        )
    };
    classes.iter().map(class).collect::<Vec<_>>().join(",")
}

/// The settings of `muenchen-nord`.
pub fn muenchen_settings(proxies: usize) -> String {
    format!(
        r#"{{"balancers":{proxies},"discovery":"subscribe","offerings":[{}],
"bounds":{{"most_connects":4,"max_retry_after_ms":2000,"dial_timeout_ms":250,"probes":false,"peers":true,"parallel_tries":false}},
"invariants":{{"cold_from":0.2,"cold_ms":18000,"grace_to_answer_ms":16,"must_ask_in_ms":10000,"overload_factor":3,"overload_for_ms":1500,"stop_sending_within_ms":1000}},
"extra":{{"groups":true,"message_aim_ms":[50,250],"tells_delay":false,"tells_load":true,"server_connections":60}}}}"#,
        classes(&[("enrolled", 500, 2000, 5), ("open", 500, 3000, 1)])
    )
}

/// The settings of `dar-telemetry`, as in the page on the wire.
pub fn dar_settings(proxies: usize) -> String {
    format!(
        r#"{{"balancers":{proxies},"discovery":"subscribe","offerings":[{}],
"bounds":{{"most_connects":5,"max_retry_after_ms":2000,"dial_timeout_ms":250,"probes":true,"peers":false,"parallel_tries":false}},
"invariants":{{"cold_from":0.3,"cold_ms":8600,"grace_to_answer_ms":16,"must_ask_in_ms":10000,"overload_factor":4,"overload_for_ms":1000,"stop_sending_within_ms":400}},
"customers":[{{"name":"msasani-towers","share":0.31}},{{"name":"posta-house","share":0.32}},{{"name":"bandari-plaza","share":0.27}},{{"name":"upanga-flats","share":0.1}}],
"extra":{{"groups":true,"message_aim_ms":[50,250,250,60],"mode":"pass","tells_delay":true,"tells_load":true,"tenant_quota_connections":[90,93,79,29]}}}}"#,
        classes(&[
            ("status", 800, 4800, 3),
            ("alarm", 300, 1800, 3),
            ("fault", 500, 3000, 5),
            ("settings", 500, 3000, 3)
        ])
    )
}

/// The file that `RELAY_CONFIG` names.
pub fn start_file(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
    known: &str,
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}

/// A server as discovery lists it.
#[derive(Clone)]
pub struct Listed {
    pub zone: String,
    pub block: u32,
    pub health: &'static str,
    pub changed_at: u64,
}

struct List {
    seq: u64,
    hosts: BTreeMap<String, Listed>,
}

/// The address of a server as one proxy is told it: the number of the proxy's view and the host's name.
type Dial = Box<dyn Fn(usize, &str) -> SocketAddr + Send + Sync>;

/// Discovery, with one address for each view, so that `dial` may differ from one proxy to the next.
pub struct Discovery {
    list: Mutex<List>,
    changed: Condvar,
    dial: Dial,
    pub record: Arc<Record>,
    /// How many calls came to each view.
    pub calls: Vec<AtomicU64>,
}

impl Discovery {
    pub fn start(
        record: Arc<Record>,
        views: usize,
        hosts: BTreeMap<String, Listed>,
        dial: Dial,
    ) -> (Arc<Self>, Vec<SocketAddr>) {
        let calls = (0..views).map(|_| AtomicU64::new(0)).collect();
        let list = Mutex::new(List { seq: 41, hosts });
        let discovery = Arc::new(Discovery { list, changed: Condvar::new(), dial, record, calls });
        let mut addresses = Vec::new();
        for view in 0..views {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            addresses.push(listener.local_addr().expect("it has an address"));
            let discovery = discovery.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let discovery = discovery.clone();
                    thread::spawn(move || discovery.serve(view, stream));
                }
            });
        }
        (discovery, addresses)
    }

    /// The whole list as this view is told it, or the changes since a version.
    pub fn text(&self, view: usize, since: Option<u64>) -> String {
        let list = lock(&self.list);
        let told = list.hosts.iter().filter(|(_, listed)| match since {
            Some(version) => listed.changed_at > version,
            None => listed.health != "terminated",
        });
        let hosts: Vec<_> = told
            .map(|(host, listed)| {
                format!(
                    r#"{{"host":"{host}","dial":"{}","site":"{}","class":"m2","block":{},"health":"{}","share":1.0,"born_ms":0}}"#,
                    (self.dial)(view, host), listed.zone, listed.block, listed.health
                )
            })
            .collect();
        format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, list.seq, since.is_none(), hosts.join(","))
    }

    fn serve(&self, view: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) <= 2 {
                    break;
                }
            }
            self.calls[view].fetch_add(1, Ordering::Relaxed);
            let parameter = |name: &str| -> Option<u64> {
                let rest = request.split(name).nth(1)?;
                rest.split(['&', ' ']).next()?.parse().ok()
            };
            let (since, wait) = (parameter("index="), parameter("wait="));
            if let Some(version) = since {
                let wait = Duration::from_millis(wait.unwrap_or(0).min(60_000));
                let list = lock(&self.list);
                drop(self.changed.wait_timeout_while(list, wait, |list| list.seq <= version));
            }
            let body = self.text(view, since);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if since.is_none() || !body.contains(r#""hosts":[]"#) {
                self.record.note(format!("discovery tells view {view}: {body}"));
            }
        }
    }
}

/// A server: accepts each request and answers each line at once.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    /// The ids of the requests that it has answered with `UP`.
    pub held: Mutex<Vec<String>>,
    /// When each line of a client was there, which is answered at once.
    pub lines: Mutex<BTreeMap<String, u64>>,
    /// While this is set, what it sends on its connections does not end.
    pub is_endless: Arc<AtomicBool>,
    is_dead: AtomicBool,
    streams: Mutex<Vec<std::sync::Weak<TcpStream>>>,
    record: Arc<Record>,
}

impl Server {
    /// The server's process dies: its connections end, and new ones are not served.
    pub fn die(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        for stream in lock(&self.streams).drain(..).filter_map(|stream| stream.upgrade()) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn start(name: &str, record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let server = Arc::new(Server {
            name: name.to_owned(),
            address,
            held: Mutex::default(),
            lines: Mutex::default(),
            is_endless: Arc::default(),
            is_dead: AtomicBool::new(false),
            streams: Mutex::default(),
            record,
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_dead.load(Ordering::SeqCst) {
                    continue;
                }
                let server = accepting.clone();
                let Ok(clone) = stream.try_clone() else { continue };
                let clone = Arc::new(clone);
                lock(&server.streams).push(Arc::downgrade(&clone));
                thread::spawn(move || {
                    server.serve(stream);
                    let _ = clone.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut first = [0; 1];
        if stream.read(&mut first).unwrap_or(0) == 0 {
            return;
        }
        let connection = Arc::new(());
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(first.as_slice().chain(stream));
        let mut line = String::new();
        while reader.read_line(&mut line).unwrap_or(0) > 0 {
            let text = line.trim_end().to_owned();
            line.clear();
            if text == "PING" {
                // The way there and back and the work that a probe costs.
                thread::sleep(Duration::from_millis(4));
                let _ = writer.write_all(b"PONG\r\n");
                continue;
            }
            if let Some(id) = text.strip_prefix("OPEN ").and_then(|rest| rest.split(' ').next()) {
                self.record.note(format!("{}: {text} -> UP", self.name));
                let _ = writer.write_all(format!("UP {id}\r\n").as_bytes());
                lock(&self.held).push(id.to_owned());
                if let Ok(endless) = writer.try_clone() {
                    let is_endless = self.is_endless.clone();
                    let connection = Arc::downgrade(&connection);
                    thread::spawn(move || send_without_end(endless, &is_endless, &connection));
                }
                continue;
            }
            if self.is_endless.load(Ordering::SeqCst) {
                continue;
            }
            lock(&self.lines).insert(text.clone(), self.record.ms());
            let _ = writer.write_all(format!("ok {text}\r\n").as_bytes());
        }
    }
}

/// Sends the note that messages take 99 ms here, again and again, as fast as it is read.
fn send_without_end(mut writer: TcpStream, is_endless: &AtomicBool, connection: &std::sync::Weak<()>) {
    let notes = "LOAD 99\r\n".repeat(1000).into_bytes();
    while connection.strong_count() > 0 {
        if !is_endless.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        if writer.write_all(&notes).is_err() {
            return;
        }
    }
}

/// How a client's connection went.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Answered, but not with `UP`.
    TurnedAway(String),
    /// No answer within the client's time, half a second and the protocol's 50 ms.
    Unanswered,
    /// The client itself ended it.
    ByClient,
    /// Told to move.
    Moved,
    /// Cut off without `MOVE`, at this time.
    CutOff(u64),
}

pub struct Outcome {
    pub proxy: usize,
    pub id: String,
    pub up_at: Option<u64>,
    pub end: End,
}

/// One client: opens a connection, sends a line every two seconds once it is up, and ends it after `life_ms`.
pub fn run_client(
    record: &Record,
    proxy: (usize, SocketAddr),
    open: (&str, &str),
    patience_ms: u64,
    until_ms: u64,
) -> Outcome {
    let (id, fields) = open;
    let opened_at = record.ms();
    let outcome = |up_at, end| Outcome { proxy: proxy.0, id: id.to_owned(), up_at, end };
    let Ok(mut stream) = TcpStream::connect(proxy.1) else {
        return outcome(None, End::TurnedAway("refused".into()));
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    if stream.write_all(format!("OPEN {id} {fields},d={patience_ms}\r\n").as_bytes()).is_err() {
        return outcome(None, End::Unanswered);
    }
    let mut received: Vec<u8> = Vec::new();
    let (mut up_at, mut next_line_at, mut was_told_to_move) = (None, 0, false);
    let mut chunk = [0; 1024];
    loop {
        let ended = match stream.read(&mut chunk) {
            Ok(0) => true,
            Ok(count) => {
                received.extend_from_slice(&chunk[..count]);
                false
            }
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        };
        while let Some(end) = received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = received.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line).trim_end().to_owned();
            if up_at.is_none() {
                if !line.starts_with("UP ") {
                    record.note(format!("client {id} at proxy {}: {line}", proxy.0));
                    return outcome(None, End::TurnedAway(line));
                }
                up_at = Some(record.ms());
                next_line_at = record.ms() + 2000;
            } else if line == "MOVE" || line == "BYE" {
                was_told_to_move = true;
            }
        }
        let now = record.ms();
        if ended {
            let end = match (up_at, was_told_to_move) {
                (None, _) => End::Unanswered,
                (Some(_), true) => End::Moved,
                (Some(_), false) => End::CutOff(now),
            };
            record.note(format!("client {id} at proxy {}: ended, {end:?}", proxy.0));
            return outcome(up_at, end);
        }
        if up_at.is_none() && now > opened_at + patience_ms + 550 {
            return outcome(None, End::Unanswered);
        }
        if up_at.is_some() && now >= until_ms {
            return outcome(up_at, End::ByClient);
        }
        if up_at.is_some() && now >= next_line_at && !was_told_to_move {
            next_line_at = now + 2000;
            let _ = stream.write_all(b"report 1\r\n");
        }
    }
}
