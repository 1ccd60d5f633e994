//! Stand-ins on loopback for clients, servers and discovery, and the program itself.

use crate::settings::start_file;
pub use crate::settings::{Settings, PUSHED, USUAL};
use rustix::process::{Pid, Signal};
use rustix::thread::{sched_getcpu, sched_setaffinity, CpuSet};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_shelfgrade");

/// Far longer than anything here takes.
pub const LONG: Duration = Duration::from_secs(8);

/// One end of a connection that speaks lines.
pub struct Wire {
    pub stream: TcpStream,
    held: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.set_nonblocking(false).unwrap();
        Wire { stream, held: Vec::new() }
    }

    pub fn to(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).unwrap())
    }

    pub fn say(&mut self, text: &str) -> &mut Self {
        self.stream.write_all(text.as_bytes()).unwrap();
        self
    }

    /// The next line, without its end; "" where the peer has ended, "reset" where it has reset.
    pub fn line(&mut self) -> String {
        loop {
            if let Some(end) = self.held.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.held.drain(..=end).collect();
                return String::from_utf8(line).unwrap().trim_end_matches(['\r', '\n']).to_owned();
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return String::new(),
                Ok(read) => self.held.extend_from_slice(&bytes[..read]),
                Err(fault) if fault.kind() == ErrorKind::ConnectionReset => return "reset".to_owned(),
                Err(fault) => panic!("no line in time: {fault}"),
            }
        }
    }

    /// Sends for as long as the peer takes it, and reads what it is told; true once that is an error or an
    /// end. The peer may be gone before all is sent.
    pub fn is_refused(&mut self, bytes: &[u8]) -> bool {
        let _ = self.stream.write_all(bytes);
        let line = self.line();
        line == "ERR" || line.starts_with("BUSY") || line.is_empty() || line == "reset"
    }

    /// Whether nothing comes for a moment.
    pub fn is_quiet(&mut self) -> bool {
        self.stream.set_read_timeout(Some(Duration::from_millis(60))).unwrap();
        let quiet = self.stream.peek(&mut [0]).is_err_and(|f| f.kind() == ErrorKind::WouldBlock);
        self.stream.set_read_timeout(Some(LONG)).unwrap();
        quiet
    }

    /// Waits until the peer ends it.
    pub fn lasts(&mut self) {
        self.stream.set_read_timeout(None).unwrap();
        while !matches!(self.line().as_str(), "" | "reset") {}
    }

    pub fn reset(self) {
        rustix::net::connect_unspec(&self.stream).unwrap();
    }

    pub fn finish(&self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
    }
}

impl Drop for Wire {
    /// Guards against an end that comes late: a program that another test is starting holds all descriptors for a
    /// moment, and a close is none before the last.
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// A server, or discovery: takes connections when the story says so.
pub struct Place {
    pub name: String,
    listener: TcpListener,
    pub address: SocketAddr,
}

impl Place {
    pub fn new(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        Place { name: name.to_owned(), listener, address }
    }

    /// One whose address refuses connections, and is nobody else's meanwhile.
    pub fn closed(name: &str) -> Self {
        let kind = socket2::Type::STREAM.cloexec();
        let socket = socket2::Socket::new(socket2::Domain::IPV4, kind, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        let listener = TcpListener::from(socket);
        Place { name: name.to_owned(), address: listener.local_addr().unwrap(), listener }
    }

    /// One that refused so far, at the same address.
    pub fn opens_again(self) -> Self {
        socket2::SockRef::from(&self.listener).listen(128).unwrap();
        self.listener.set_nonblocking(true).unwrap();
        self
    }

    /// One whose queue is full, so that an attempt does not come up until something is accepted.
    pub fn clogged(name: &str) -> (Self, TcpStream) {
        let place = Self::new(name);
        socket2::SockRef::from(&place.listener).listen(0).unwrap();
        let first = TcpStream::connect(place.address).unwrap();
        (place, first)
    }

    pub fn try_accept(&self) -> Option<Wire> {
        self.listener.accept().ok().map(|(stream, _)| Wire::new(stream))
    }

    pub fn accept(&self) -> Wire {
        within(LONG, || self.try_accept())
    }

    /// Takes a connection and its first line, and answers that it is up.
    pub fn serve(&self) -> (Wire, String) {
        let mut wire = self.accept();
        let line = wire.line();
        wire.say("UP 0123\r\n");
        (wire, line)
    }

    /// As discovery: the path of the next call, with its connection.
    pub fn called(&self) -> (Wire, String) {
        let mut wire = self.accept();
        let path = next_call(&mut wire);
        (wire, path)
    }

    pub fn entry(&self, health: &str) -> String {
        let (name, dial) = (&self.name, self.address);
        format!(r#"{{"host":"{name}","dial":"{dial}","site":"a","block":0,"health":"{health}","born_ms":0}}"#)
    }
}

pub fn next_call(wire: &mut Wire) -> String {
    let path = wire.line().split(' ').nth(1).unwrap_or_default().to_owned();
    while !wire.line().is_empty() {}
    path
}

pub fn list(seq: u64, whole: bool, entries: &[String]) -> String {
    let body = format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Waits for a condition.
pub fn within<T>(limit: Duration, mut condition: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(met) = condition() {
            return met;
        }
        assert!(began.elapsed() < limit, "not in time");
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub struct Program {
    pub child: Child,
    log: BufReader<ChildStderr>,
    pub address: SocketAddr,
    pub discovery: Arc<Place>,
    config: std::path::PathBuf,
    pub text: String,
    /// What it logged before it listened.
    pub said_before: String,
}

impl Program {
    /// Starts it with these servers known.
    pub fn start(settings: Settings, known: &[&Place]) -> Self {
        Self::start_before(Arc::new(Place::new("discovery")), settings, known)
    }

    /// Starts it before a discovery that others may ask too.
    pub fn start_before(discovery: Arc<Place>, settings: Settings, known: &[&Place]) -> Self {
        Self::start_by(Command::new(PROGRAM), discovery, settings, known)
    }

    /// Starts it by a command of the story's own.
    pub fn start_by(command: Command, discovery: Arc<Place>, settings: Settings, known: &[&Place]) -> Self {
        let text = start_file(&settings, discovery.address, known);
        Self::begin(command, discovery, text)
    }

    /// Starts it with this start-up file.
    pub fn begin(command: Command, discovery: Arc<Place>, text: String) -> Self {
        let (mut child, config) = Self::launch(command, &text);
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while log.read_line(&mut line).unwrap() > 0 && !line.contains("listens on") {}
        let said_before = line.clone();
        let address = line.split("listens on ").nth(1).and_then(|rest| rest.split(',').next());
        let address = address.unwrap_or_else(|| panic!("did not start: {line}")).parse().unwrap();
        Program { child, log, address, discovery, config, text, said_before }
    }

    fn launch(mut command: Command, config: &str) -> (Child, std::path::PathBuf) {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("shelfgrade-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config).unwrap();
        command.env("RELAY_CONFIG", &path).env("RUST_LOG", "info,calloop=error").stderr(Stdio::piped());
        (command.spawn().unwrap(), path)
    }

    pub fn client(&self) -> Wire {
        Wire::to(self.address)
    }

    /// A client that has sent its first line, with an id that no other had.
    pub fn opens(&self, key: &str, rest: &str) -> Wire {
        static LAST: AtomicU32 = AtomicU32::new(0);
        let mut client = self.client();
        let id = LAST.fetch_add(1, Ordering::Relaxed);
        client.say(&format!("OPEN 9b1f03aa{id:08x} {key} c=alarm{rest}\r\n"));
        client
    }

    /// A client whose connection is up, with the server's end of it.
    pub fn settles(&self, place: &Place) -> (Wire, Wire) {
        let mut client = self.opens("lift-1", ",d=3000");
        let (server, _) = place.serve();
        assert_eq!(client.line(), "UP 0123");
        (client, server)
    }

    /// Tells the program what the list holds now, and waits until it has heard.
    pub fn hears(&self, entries: &[String]) -> Wire {
        let (mut wire, path) = self.discovery.called();
        assert!(path.contains("index=7"), "{path}");
        wire.say(&list(8, false, entries));
        assert!(next_call(&mut wire).contains("index=8"));
        wire
    }

    /// Puts this in place of the start-up file, and has it read again.
    pub fn reads_again(&self, text: &str) {
        let new = self.config.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &self.config).unwrap();
        self.signal(Signal::HUP);
    }

    /// The start-up file with another discovery.
    pub fn text_with(&self, discovery: &Place) -> String {
        self.text.replace(&self.discovery.address.to_string(), &discovery.address.to_string())
    }

    /// The next line that it logs.
    pub fn logs(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).unwrap();
        line
    }

    /// Has it stand still; what happens until `goes_on`, it finds all at once.
    pub fn stands_still(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = || std::fs::read_to_string(&stat).unwrap().contains(") T ");
        within(LONG, || stopped().then_some(()));
        // What this thread sends from here on is delivered in one order: that of one core.
        let mut one = CpuSet::new();
        one.set(sched_getcpu());
        sched_setaffinity(None, &one).unwrap();
    }

    /// Guards against a busy system that delivers an end, a reset or a line only after the program goes on: what goes
    /// to and fro once, has all that was sent before it delivered.
    pub fn goes_on(&self) {
        let there = Place::new("there");
        let mut here = Wire::to(there.address);
        there.accept().say("and back\r\n");
        assert_eq!(here.line(), "and back");
        let mut all = CpuSet::new();
        (0..CpuSet::MAX_CPU).for_each(|core| all.set(core));
        sched_setaffinity(None, &all).unwrap();
        self.signal(Signal::CONT);
    }

    pub fn signal(&self, signal: Signal) {
        rustix::process::kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// The exit code, and what was logged at the last.
    pub fn exit(mut self) -> (Option<i32>, String) {
        let status = within(LONG, || self.child.try_wait().unwrap());
        let mut rest = String::new();
        self.log.read_to_string(&mut rest).unwrap();
        (status.code(), rest)
    }

    /// Tells it to end and waits for that: what it logged, where all went as it should.
    pub fn ends(self) -> String {
        self.terminate();
        let (code, log) = self.exit();
        assert!(code == Some(0) && log.contains("invariant violations 0"), "{code:?} {log}");
        log
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
