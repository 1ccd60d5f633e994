//! Stand-ins for the review's cases: clients, servers and the platform, with the standard library alone.
//! Usage: review-standin CASE WORK_FOLDER RECORD_FILE. The environment variable `RUN` holds the deploy file's command,
//! `TROUBLE=0` leaves the disruption out. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod common {
    use super::*;

    /// The record: one line for each thing that was sent, answered or run, in milliseconds since the start.
    pub struct Record {
        start: Instant,
        lines: Mutex<Vec<(f64, String)>>,
    }

    impl Record {
        pub fn new() -> Arc<Self> {
            Arc::new(Record { start: Instant::now(), lines: Mutex::new(Vec::new()) })
        }

        pub fn now(&self) -> f64 {
            self.start.elapsed().as_secs_f64() * 1000.0
        }

        pub fn log(&self, line: String) -> f64 {
            let at = self.now();
            self.lines.lock().unwrap().push((at, line));
            at
        }

        pub fn save(&self, path: &Path) {
            let mut lines = self.lines.lock().unwrap().clone();
            lines.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut text = String::new();
            for (at, line) in lines {
                writeln!(text, "{at:10.1} {line}").unwrap();
            }
            std::fs::write(path, text).expect("the record is written");
        }
    }

    pub fn unix_ms() -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
    }

    pub fn sleep_ms(ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    /// A small generator of random numbers, so that a run does not depend on anything outside.
    pub struct Random(pub u64);

    impl Random {
        pub fn next(&mut self) -> u64 {
            self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mut z = self.0;
            z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            z ^ (z >> 31)
        }

        pub fn below(&mut self, n: u64) -> u64 {
            self.next() % n
        }
    }

    pub fn free_tcp() -> SocketAddr {
        TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
    }

    pub fn free_udp() -> SocketAddr {
        UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
    }

    /// One entry of the list of servers.
    #[derive(Clone)]
    pub struct Entry {
        pub dial: SocketAddr,
        pub site: String,
        pub block: usize,
        pub health: &'static str,
        pub born_ms: f64,
        pub changed: u64,
    }

    pub struct Listed {
        pub seq: u64,
        pub entries: BTreeMap<String, Entry>,
        pub up: bool,
    }

    /// The list, as discovery (or its agents, where it is pushed) has it.
    pub struct Catalog {
        pub listed: Mutex<Listed>,
        changed: Condvar,
    }

    impl Catalog {
        pub fn new(entries: BTreeMap<String, Entry>) -> Arc<Self> {
            let listed = Listed { seq: 1, entries, up: true };
            Arc::new(Catalog { listed: Mutex::new(listed), changed: Condvar::new() })
        }

        /// Makes changes under one new version and tells them. `up`: whether discovery answers from now on.
        pub fn change(&self, up: bool, changes: &[(String, Entry)]) {
            let mut listed = self.listed.lock().unwrap();
            listed.up = up;
            if !changes.is_empty() {
                listed.seq += 1;
                let seq = listed.seq;
                for (host, entry) in changes {
                    listed.entries.insert(host.clone(), Entry { changed: seq, ..entry.clone() });
                }
            }
            self.changed.notify_all();
        }

        /// The present entries of these servers, with another health.
        pub fn with_health(&self, hosts: &[String], health: &'static str) -> Vec<(String, Entry)> {
            let listed = self.listed.lock().unwrap();
            hosts
                .iter()
                .map(|host| (host.clone(), Entry { health, ..listed.entries[host].clone() }))
                .collect()
        }

        /// The present entries of these servers as they are after a restart: in service, started now.
        pub fn restarted(&self, hosts: &[String]) -> Vec<(String, Entry)> {
            let mut entries = self.with_health(hosts, "in_service");
            entries.iter_mut().for_each(|(_, entry)| entry.born_ms = unix_ms().floor());
            entries
        }

        pub fn json(&self) -> String {
            json(&self.listed.lock().unwrap(), None)
        }

        /// Answers the calls that come to one address, until the process ends.
        pub fn serve(self: &Arc<Self>, listener: TcpListener, proxy: usize, record: Arc<Record>) {
            let catalog = self.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (catalog, record) = (catalog.clone(), record.clone());
                    thread::spawn(move || catalog.answer_calls(stream, proxy, &record));
                }
            });
        }

        fn answer_calls(&self, stream: TcpStream, proxy: usize, record: &Record) {
            let _ = stream.set_nodelay(true);
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            loop {
                let mut request = String::new();
                if reader.read_line(&mut request).unwrap_or(0) == 0 {
                    return;
                }
                loop {
                    let mut header = String::new();
                    if reader.read_line(&mut header).unwrap_or(0) == 0 {
                        return;
                    }
                    if header.trim_end().is_empty() {
                        break;
                    }
                }
                let number = |key: &str| -> Option<u64> {
                    request.split(key).nth(1)?.split(['&', ' ']).next()?.parse::<f64>().ok().map(|n| n as u64)
                };
                let (index, wait) = (number("index="), number("wait=").unwrap_or(0));
                let mut listed = self.listed.lock().unwrap();
                if let Some(index) = index {
                    let pending = |l: &mut Listed| l.up && l.seq <= index;
                    let wait = Duration::from_millis(wait.min(60_000));
                    listed = self.changed.wait_timeout_while(listed, wait, pending).unwrap().0;
                }
                if !listed.up {
                    drop(listed);
                    record.log(format!("discovery, to n{proxy}: 503 to {}", request.trim_end()));
                    let _ =
                        writer.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                let (body, seq) = (json(&listed, index), listed.seq);
                drop(listed);
                if index.is_none_or(|index| seq > index) {
                    record.log(format!("discovery, to n{proxy}: version {seq} to {}", request.trim_end()));
                }
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        }
    }

    fn json(listed: &Listed, since: Option<u64>) -> String {
        let newer = listed
            .entries
            .iter()
            .filter(|(_, e)| since.map_or(e.health != "terminated", |since| e.changed > since));
        let hosts: Vec<String> = newer
            .map(|(host, e)| {
                format!(
                    r#"{{"host":"{host}","dial":"{}","site":"{}","class":"gen2","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
                    e.dial, e.site, e.block, e.health, e.born_ms
                )
            })
            .collect();
        format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, listed.seq, since.is_none(), hosts.join(","))
    }

    /// A first line that a server received.
    #[derive(Clone)]
    pub struct Arrival {
        pub at: f64,
        pub server: String,
        pub id: String,
    }

    pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

    /// Starts a sound server: it answers `PING`, serves every `OPEN` and echoes lines until one side ends.
    pub fn start_server(name: String, arrivals: Arrivals, record: Arc<Record>) -> SocketAddr {
        start_spoilt_server(name, arrivals, record, Arc::default())
    }

    /// Starts a server whose answers to `PING` do not end while `is_spoilt` is set; else it is sound.
    pub fn start_spoilt_server(
        name: String,
        arrivals: Arrivals,
        record: Arc<Record>,
        is_spoilt: Arc<AtomicBool>,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = ServerConnection {
                    name: name.clone(),
                    arrivals: arrivals.clone(),
                    record: record.clone(),
                    is_spoilt: is_spoilt.clone(),
                };
                thread::spawn(move || server.serve(stream));
            }
        });
        address
    }

    struct ServerConnection {
        name: String,
        arrivals: Arrivals,
        record: Arc<Record>,
        is_spoilt: Arc<AtomicBool>,
    }

    impl ServerConnection {
        fn serve(&self, stream: TcpStream) {
            let _ = stream.set_nodelay(true);
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).unwrap_or(0) == 0 || !line.ends_with("\r\n") {
                    return;
                }
                if line == "PING\r\n" {
                    if self.is_spoilt.load(Ordering::Relaxed) {
                        return self.answer_without_end(&mut writer);
                    }
                    // Long, so that delays of a busy machine are small beside it.
                    sleep_ms(10);
                    if writer.write_all(b"PONG\r\n").is_err() {
                        return;
                    }
                    continue;
                }
                let Some(id) = line.strip_prefix("OPEN ").and_then(|rest| rest.split(' ').next()) else {
                    let _ = writer.write_all(b"SYNTAX\r\n");
                    return;
                };
                let at = self.record.log(format!("server {}: ran {}", self.name, line.trim_end()));
                let arrival = Arrival { at, server: self.name.clone(), id: id.to_owned() };
                self.arrivals.lock().unwrap().push(arrival);
                if writer.write_all(format!("UP {id}-{}\r\n", self.name).as_bytes()).is_err() {
                    return;
                }
                break;
            }
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).unwrap_or(0) == 0 || writer.write_all(line.as_bytes()).is_err()
                {
                    return;
                }
            }
        }

        /// Answers a probe without end, until the proxy ends the connection or the trouble is over.
        fn answer_without_end(&self, writer: &mut TcpStream) {
            self.record.log(format!("server {}: begins an answer to PING that does not end", self.name));
            let part = b"PONG\r\n".repeat(10_000);
            let mut bytes = 0;
            while self.is_spoilt.load(Ordering::Relaxed) && writer.write_all(&part).is_ok() {
                bytes += part.len();
            }
            self.record.log(format!("server {}: that answer is over after {bytes} bytes", self.name));
        }
    }

    /// What a client saw of its request.
    pub struct Outcome {
        pub id: String,
        pub proxy: usize,
        pub sent_at: f64,
        pub answer: String,
        /// Whether a line came back in time.
        pub has_answer: bool,
    }

    /// Sends one request and waits for its answer; an established connection is kept for `hold_ms`.
    pub fn request(
        proxy: usize,
        address: SocketAddr,
        id: String,
        fields: &str,
        wait_ms: u64,
        hold_ms: u64,
        record: &Record,
    ) -> Outcome {
        let failed = |sent_at: f64, answer: &str| Outcome {
            id: id.clone(),
            proxy,
            sent_at,
            answer: answer.to_owned(),
            has_answer: false,
        };
        let Ok(mut stream) = TcpStream::connect(address) else { return failed(record.now(), "(refused)") };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(wait_ms)));
        let line = format!("OPEN {id} {fields}\r\n");
        let sent_at = record.log(format!("client of n{proxy}: sends {}", line.trim_end()));
        if stream.write_all(line.as_bytes()).is_err() {
            return failed(sent_at, "(reset)");
        }
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut answer = String::new();
        let read = reader.read_line(&mut answer);
        let (answer, has_answer) = match read {
            Ok(0) => ("(end)".to_owned(), false),
            Ok(_) => (answer.trim_end().to_owned(), true),
            Err(error) => (format!("({error})"), false),
        };
        record.log(format!("client of n{proxy}: {id} answered {answer}"));
        if answer.starts_with("UP ") {
            sleep_ms(hold_ms);
        }
        Outcome { id, proxy, sent_at, answer, has_answer }
    }

    /// One process of the program, started by the deploy file's command.
    pub struct Proxy {
        pub name: String,
        pub listen: SocketAddr,
        child: Child,
    }

    impl Proxy {
        pub fn start(name: &str, listen: SocketAddr, folder: &Path, files: &[(&str, PathBuf)]) -> Self {
            let run = std::env::var("RUN").expect("RUN is set");
            let log = std::fs::File::options()
                .create(true)
                .append(true)
                .open(folder.join(format!("{name}.log")))
                .unwrap();
            let mut command = Command::new("/bin/sh");
            command.arg("-c").arg(run).env("RUST_LOG", "info").env("TMPDIR", folder);
            for (variable, path) in files {
                command.env(variable, path);
            }
            command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
            let child = command.spawn().expect("the program starts");
            // For the script, which ends what is left if this process is ended.
            let pids = std::fs::File::options().create(true).append(true).open(folder.join("pids"));
            let _ = writeln!(pids.unwrap(), "{}", child.id());
            Proxy { name: name.to_owned(), listen, child }
        }

        pub fn has_exited(&mut self) -> bool {
            matches!(self.child.try_wait(), Ok(Some(_)))
        }

        pub fn kill(&mut self) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }

    impl Drop for Proxy {
        fn drop(&mut self) {
            self.kill();
        }
    }

    /// Waits until the process answers `PING` with `PONG`.
    pub fn wait_ready(address: SocketAddr, limit_ms: u64) -> bool {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < end {
            if let Ok(mut stream) = TcpStream::connect(address) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(1500)));
                let mut answer = [0; 6];
                if stream.write_all(b"PING\r\n").is_ok()
                    && stream.read_exact(&mut answer).is_ok()
                    && &answer == b"PONG\r\n"
                {
                    return true;
                }
            }
            sleep_ms(50);
        }
        false
    }
}

use common::*;

/// One class of requests of a site.
struct Class {
    name: &'static str,
    soft_limit_ms: u64,
    patience_ms: u64,
    benefit: u32,
}

/// What the cases take from a site's file. At all of them the list is pushed, and all requests may be repeated.
struct Site {
    name: &'static str,
    classes: &'static [Class],
    zones: &'static [&'static str],
    probes: bool,
    peers: bool,
    /// Whether the processes have a fleet file; only where messages between proxies are allowed.
    in_fleet: bool,
    most_connects: u32,
    drain_grace_ms: f64,
    cold_from: f64,
    cold_ms: u32,
    overload_factor: f64,
    server_connections: u32,
}

const MOKA_SIGNQ_LATER: Site = Site {
    name: "moka-signq-later",
    classes: &[
        Class { name: "status-watch", soft_limit_ms: 800, patience_ms: 3200, benefit: 1 },
        Class { name: "job-submit", soft_limit_ms: 500, patience_ms: 2000, benefit: 3 },
        Class { name: "sig-fetch", soft_limit_ms: 300, patience_ms: 1800, benefit: 2 },
    ],
    zones: &["ebene", "port-louis"],
    probes: true,
    peers: true,
    in_fleet: true,
    most_connects: 4,
    drain_grace_ms: 250.0,
    cold_from: 0.31,
    cold_ms: 8900,
    overload_factor: 2.5,
    server_connections: 35,
};

/// The first size of the same site: fewer proxies, no fleet file.
const MOKA_SIGNQ: Site = Site { name: "moka-signq", in_fleet: false, ..MOKA_SIGNQ_LATER };

/// On sockets each time limit is 50 ms longer.
const SOCKET_SLACK_MS: f64 = 50.0;
/// How long after its time an answer may come at the latest: half a second, and the 50 ms on sockets.
const GRACE_TO_ANSWER_MS: u64 = 550;

impl Site {
    fn settings(&self, balancers: usize) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    r#"{{"name":"{}","benefit":{},"late_benefit":0,"idempotency":"repeatable","group":"all","window_ms":5000,"soft_limit_ms":{},"patience_ms":{},"streamed":true}}"#,
                    class.name, class.benefit, class.soft_limit_ms, class.patience_ms
                )
            })
            .collect();
        let aims = vec!["60"; self.classes.len()].join(",");
        format!(
            r#"{{"balancers":{balancers},"discovery":"automatic","offerings":[{}],
"bounds":{{"cancel":true,"dial_timeout_ms":250,"max_retry_after_ms":1500,"most_connects":{},"parallel_tries":false,"peers":{},"probes":{},"retry_after":true}},
"invariants":{{"cold_from":{},"cold_ms":{},"grace_to_answer_ms":16,"must_ask_in_ms":10000,"overload_factor":{},"overload_for_ms":3000,"stop_sending_within_ms":{}}},
"customers":[],"extra":{{"groups":true,"message_aim_ms":[{aims}],"mode":"pass","server_connections":{}}}}}"#,
            classes.join(","),
            self.most_connects,
            self.peers,
            self.probes,
            self.cold_from,
            self.cold_ms,
            self.overload_factor,
            self.drain_grace_ms,
            self.server_connections
        )
    }

    fn entry(&self, index: usize, dial: SocketAddr, born_ms: f64) -> Entry {
        let site = self.zones[index % self.zones.len()].to_owned();
        Entry { dial, site, block: index / 4, health: "in_service", born_ms, changed: 1 }
    }
}

struct Run {
    folder: PathBuf,
    record: Arc<Record>,
    trouble: bool,
}

impl Run {
    /// Starts `count` processes, each with an agent of its own that pushes the list, and waits until all are ready.
    fn start_proxies(&self, site: &Site, count: usize, catalog: &Arc<Catalog>) -> Result<Vec<Proxy>, String> {
        // For comparison: the same processes without a fleet file.
        let in_fleet = site.in_fleet && std::env::var("FLEET").as_deref() != Ok("0");
        let write = |name: String, text: String| -> Result<PathBuf, String> {
            let path = self.folder.join(name);
            std::fs::write(&path, text).map_err(|error| error.to_string())?;
            Ok(path)
        };
        let fellows: String = (0..count).map(|index| format!("n{index} = \"{}\"\n", free_udp())).collect();
        let mut proxies = Vec::new();
        for index in 0..count {
            let name = format!("n{index}");
            let agent = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
            let discovery = agent.local_addr().map_err(|error| error.to_string())?;
            catalog.serve(agent, index, self.record.clone());
            let listen = free_tcp();
            let seed = 0x8c1f_30d2_7a5b_e964 ^ (index as u64 * 0x9e37_79b9) ^ u64::from(std::process::id());
            let start = format!(
                r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}}"#,
                catalog.json(),
                site.settings(count)
            );
            let mut files = vec![("RELAY_CONFIG", write(format!("{name}.json"), start)?)];
            if in_fleet {
                let state = self.folder.join(format!("{name}.state"));
                std::fs::create_dir_all(&state).map_err(|error| error.to_string())?;
                let text = format!(
                    "fleet = \"{}\"\nstate_dir = \"{}\"\n\n[fellows]\n{fellows}",
                    site.name,
                    state.display()
                );
                files.push(("SHELFGRADE_FLEET", write(format!("{name}.toml"), text)?));
            }
            proxies.push(Proxy::start(&name, listen, &self.folder, &files));
        }
        for proxy in &proxies {
            if !wait_ready(proxy.listen, 30_000) {
                return Err(format!("{} was not ready in 30 s", proxy.name));
            }
        }
        self.record.log(format!("{count} processes are ready, fleet file: {in_fleet}"));
        Ok(proxies)
    }

    /// Ends the clients and judges the rule on drains. `drains`: server, from when on it counted as told that it
    /// drains, and until when. `limit_ms`: how long after that it may still be sent to.
    fn judge(
        &self,
        clients: Clients,
        mut proxies: Vec<Proxy>,
        arrivals: &Arrivals,
        drains: &[(String, f64, f64)],
        limit_ms: f64,
    ) -> Result<bool, String> {
        let outcomes = clients.finish()?;
        if let Some(proxy) = proxies.iter_mut().find_map(|proxy| proxy.has_exited().then_some(&proxy.name)) {
            return Err(format!("{proxy} has exited"));
        }
        let sent: BTreeMap<&str, &Outcome> =
            outcomes.iter().map(|outcome| (outcome.id.as_str(), outcome)).collect();
        let mut late_by = BTreeMap::<usize, usize>::new();
        for arrival in arrivals.lock().unwrap().iter() {
            let Some(outcome) = sent.get(arrival.id.as_str()) else { continue };
            let is_drain = |(server, from, to): &&(String, f64, f64)| {
                *server == arrival.server && (*from..*to).contains(&arrival.at)
            };
            let Some((_, told_at, _)) = drains.iter().find(is_drain) else { continue };
            // Counted only if the client itself sent its line after the limit, so that no delay on the way counts.
            if outcome.sent_at > told_at + limit_ms {
                *late_by.entry(outcome.proxy).or_default() += 1;
                self.record.log(format!(
                    "BROKEN drain: {} was sent {} by n{}; its client sent it {:.0} ms after the drain was told, {limit_ms} ms are allowed",
                    arrival.server,
                    arrival.id,
                    outcome.proxy,
                    outcome.sent_at - told_at
                ));
            }
        }
        let served = outcomes.iter().filter(|outcome| outcome.answer.starts_with("UP ")).count();
        let late: usize = late_by.values().sum();
        self.record.log(format!(
            "{} requests, {served} served, {late} sent to draining servers too late, by proxy: {late_by:?}",
            outcomes.len()
        ));
        if served * 4 < outcomes.len() || outcomes.is_empty() {
            return Err("fewer than a quarter of the requests were served".into());
        }
        Ok(late == 0)
    }
}

/// The clients of all proxies, dealt out evenly among them.
struct Clients {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Vec<Outcome>>,
}

impl Clients {
    /// `per_s`: requests a second in all. `hold_ms`: how long an established connection is kept.
    fn start(
        site: &'static Site,
        proxies: &[Proxy],
        per_s: f64,
        hold_ms: (u64, u64),
        record: &Arc<Record>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.listen).collect();
        let (stopped, record) = (stop.clone(), record.clone());
        let thread = thread::spawn(move || {
            let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
            let mut random = Random(unix_ms() as u64);
            let mut threads = Vec::new();
            let mut next = Instant::now();
            let mut turn = 0;
            while !stopped.load(Ordering::Relaxed) {
                let proxy = turn % addresses.len();
                turn += 1;
                let id = format!("{:016x}", random.next());
                let class = &site.classes[random.below(site.classes.len() as u64) as usize];
                let group = 0x5c0f_6e1a_2b3d_0000 + random.below(200);
                let fields =
                    format!("{:016x} c={},d={},g={group:016x}", random.next(), class.name, class.patience_ms);
                let hold = hold_ms.0 + random.below(hold_ms.1 - hold_ms.0 + 1);
                let (address, record, outcomes) = (addresses[proxy], record.clone(), outcomes.clone());
                threads.push(thread::spawn(move || {
                    let outcome = request(
                        proxy,
                        address,
                        id,
                        &fields,
                        class.patience_ms + GRACE_TO_ANSWER_MS,
                        hold,
                        &record,
                    );
                    outcomes.lock().unwrap().push(outcome);
                }));
                next += Duration::from_secs_f64(1.0 / per_s);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            threads.into_iter().for_each(|thread| drop(thread.join()));
            let outcomes = std::mem::take(&mut *outcomes.lock().unwrap());
            outcomes
        });
        Clients { stop, thread }
    }

    fn finish(self) -> Result<Vec<Outcome>, String> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| "the clients failed".to_owned())
    }
}

/// Starts `count` sound servers and lists them.
fn start_servers(site: &Site, count: usize, run: &Run, arrivals: &Arrivals) -> Arc<Catalog> {
    let entries = (0..count).map(|index| {
        let name = format!("s-{index:02}");
        let dial = start_server(name.clone(), arrivals.clone(), run.record.clone());
        (name, site.entry(index, dial, 0.0))
    });
    Catalog::new(entries.collect())
}

/// One of twelve servers answers probes without end for some seconds.
fn endless_answer(run: &Run) -> Result<bool, String> {
    const SITE: Site = MOKA_SIGNQ;
    const SERVERS: usize = 12;
    const SPOILT: usize = 5;
    let arrivals: Arrivals = Arc::default();
    let is_spoilt = Arc::new(AtomicBool::new(false));
    let entries = (0..SERVERS).map(|index| {
        let name = format!("s-{index:02}");
        let is_spoilt = if index == SPOILT { is_spoilt.clone() } else { Arc::default() };
        let dial = start_spoilt_server(name.clone(), arrivals.clone(), run.record.clone(), is_spoilt);
        (name, SITE.entry(index, dial, 0.0))
    });
    let catalog = Catalog::new(entries.collect());
    let mut proxies = run.start_proxies(&SITE, 2, &catalog)?;
    let clients = Clients::start(&SITE, &proxies, 6.0, (5000, 10_000), &run.record);
    sleep_ms(10_000);
    is_spoilt.store(run.trouble, Ordering::Relaxed);
    sleep_ms(20_000);
    let outcomes = clients.finish()?;
    for proxy in &mut proxies {
        let answers = wait_ready(proxy.listen, 3000);
        run.record.log(format!("{} answers PING at the end: {answers}", proxy.name));
        if proxy.has_exited() {
            return Err(format!("{} has exited", proxy.name));
        }
    }
    is_spoilt.store(false, Ordering::Relaxed);
    let mut lost_by = BTreeMap::<usize, usize>::new();
    for outcome in outcomes.iter().filter(|outcome| !outcome.has_answer) {
        *lost_by.entry(outcome.proxy).or_default() += 1;
        run.record.log(format!(
            "BROKEN lost: {} of n{}, sent at {:.1}, had no answer {GRACE_TO_ANSWER_MS} ms after its time: {}",
            outcome.id, outcome.proxy, outcome.sent_at, outcome.answer
        ));
    }
    let lost: usize = lost_by.values().sum();
    run.record
        .log(format!("{} requests, {lost} without an answer in time, by proxy: {lost_by:?}", outcomes.len()));
    if outcomes.len() < 60 {
        return Err("too few requests were sent".into());
    }
    Ok(lost == 0)
}

/// Six releases replace six in ten servers each, until the fleet has seen more names than its map holds.
fn releases(run: &Run) -> Result<bool, String> {
    const SITE: Site = MOKA_SIGNQ_LATER;
    const SERVERS: usize = 2208;
    const STEP: usize = SERVERS / 5;
    const STEPS: usize = 18;
    const STEPS_IN_A_RELEASE: usize = 3;
    const ADDRESSES_IN_A_STEP: usize = 16;
    // The longest that any sentence of the pages allows: the settings' time for asking, before the grace.
    let limit_ms = 10_000.0 + SITE.drain_grace_ms + SOCKET_SLACK_MS;
    let record = &run.record;
    let arrivals: Arrivals = Arc::default();
    let mut random = Random(unix_ms() as u64);
    // Servers of one step share some addresses, which no other step has: an address tells the step.
    let mut new_servers = |step: usize, count: usize, born_ms: f64| -> Vec<(String, Entry)> {
        let label = format!("step-{step}");
        let addresses: Vec<SocketAddr> = (0..ADDRESSES_IN_A_STEP)
            .map(|_| start_server(label.clone(), arrivals.clone(), record.clone()))
            .collect();
        (0..count)
            .map(|i| {
                let host = format!("s-{:08x}", random.next() as u32);
                (host, SITE.entry(i, addresses[i % ADDRESSES_IN_A_STEP], born_ms))
            })
            .collect()
    };
    // The first generation is replaced in five parts, and then what replaced it.
    let mut generations: Vec<Vec<(String, Entry)>> =
        (0..5).map(|part| new_servers(part, STEP, 0.0)).collect();
    generations.push(new_servers(5, SERVERS - 5 * STEP, 0.0));
    let catalog = Catalog::new(generations.iter().flatten().cloned().collect());
    let proxies = run.start_proxies(&SITE, 3, &catalog)?;
    let clients = Clients::start(&SITE, &proxies, 60.0, (500, 1500), record);
    sleep_ms(3000);
    let mut drains = Vec::new();
    let mut names = SERVERS;
    let mut draining: Vec<String> = Vec::new();
    for step in 0..STEPS {
        if run.trouble {
            let born_ms = unix_ms().floor();
            // Parts 0 to 4, then the replacements in their order; part 5 is the rest, which stays.
            let old = if step < 5 { step } else { step + 1 };
            let added = new_servers(6 + step, STEP, born_ms);
            let mut changes = catalog.with_health(&draining, "terminated");
            draining = generations[old].iter().map(|(host, _)| host.clone()).collect();
            changes.extend(catalog.with_health(&draining, "terminating"));
            changes.extend(added.iter().cloned());
            generations.push(added);
            names += STEP;
            catalog.change(true, &changes);
            let at = record.log(format!(
                "the agents have: {STEP} servers of step-{old} terminating, {STEP} new ones, {names} names so far"
            ));
            drains.push((format!("step-{old}"), at, f64::MAX));
        }
        let ends_release = (step + 1) % STEPS_IN_A_RELEASE == 0;
        sleep_ms(if ends_release { 9000 } else { 2300 });
    }
    sleep_ms(11_000);
    run.judge(clients, proxies, &arrivals, &drains, limit_ms)
}

/// A fleet of seven processes where the list is pushed to each of them; a quarter of the servers begins to drain, and
/// is restarted, in turn.
fn fleet_drain(run: &Run) -> Result<bool, String> {
    const SITE: Site = MOKA_SIGNQ_LATER;
    const SERVERS: usize = 24;
    const STEPS: usize = 10;
    let arrivals: Arrivals = Arc::default();
    let catalog = start_servers(&SITE, SERVERS, run, &arrivals);
    let proxies = run.start_proxies(&SITE, 7, &catalog)?;
    sleep_ms(3000);
    let clients = Clients::start(&SITE, &proxies, 140.0, (1000, 2000), &run.record);
    sleep_ms(4000);
    let mut drains = Vec::new();
    for step in 0..STEPS {
        let hosts: Vec<String> =
            (0..SERVERS).filter(|i| i % 4 == step % 4).map(|i| format!("s-{i:02}")).collect();
        if run.trouble {
            catalog.change(true, &catalog.with_health(&hosts, "terminating"));
            let at = run.record.log(format!("the agents have: {} terminating", hosts.join(", ")));
            sleep_ms(4000);
            let until = run.record.log(format!("the agents have: {} restarted", hosts.join(", ")));
            drains.extend(hosts.iter().map(|host| (host.clone(), at, until)));
            catalog.change(true, &catalog.restarted(&hosts));
        } else {
            sleep_ms(4000);
        }
        sleep_ms(5000);
    }
    run.judge(clients, proxies, &arrivals, &drains, SITE.drain_grace_ms + SOCKET_SLACK_MS)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record_path] = &arguments[..] else {
        eprintln!("usage: review-standin CASE WORK_FOLDER RECORD_FILE");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = Run { folder: folder.into(), record: Record::new(), trouble };
    run.record.log(format!("case {case}, trouble: {trouble}"));
    let result = match case.as_str() {
        "endless-answer" => endless_answer(&run),
        "releases" => releases(&run),
        "fleet-drain" => fleet_drain(&run),
        other => Err(format!("there is no case {other}")),
    };
    let (line, code) = match &result {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    run.record.log(line.clone());
    run.record.save(Path::new(record_path));
    println!("{line}");
    std::process::exit(code);
}
