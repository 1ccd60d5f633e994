//! Fake clients, servers and discovery on loopback, and the program under test.

use crate::start_file::start_file_text;
pub use crate::start_file::{Settings, DEFAULT, PUSHED};
use rustix::process::{Pid, Signal};
use rustix::thread::{sched_getcpu, sched_setaffinity, CpuSet};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const BINARY: &str = env!("CARGO_BIN_EXE_shelfgrade");

/// Much longer than any step of a test takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(8);

/// One end of a connection that speaks the line protocol.
pub struct Connection {
    pub stream: TcpStream,
    held: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nonblocking(false).unwrap();
        Connection { stream, held: Vec::new() }
    }

    pub fn to(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).unwrap())
    }

    pub fn send(&mut self, text: &str) -> &mut Self {
        self.stream.write_all(text.as_bytes()).unwrap();
        self
    }

    /// The next line, without its line end; empty if the peer has ended, "reset" if it has reset.
    pub fn read_line(&mut self) -> String {
        loop {
            if let Some(end) = self.held.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.held.drain(..=end).collect();
                return String::from_utf8(line).unwrap().trim_end_matches(['\r', '\n']).to_owned();
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return String::new(),
                Ok(read) => self.held.extend_from_slice(&bytes[..read]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return "reset".to_owned(),
                Err(error) => panic!("no line in time: {error}"),
            }
        }
    }

    /// Sends for as long as the peer accepts it; whether the peer then refused it, ended or reset. The peer may close the
    /// connection before all is sent.
    pub fn is_refused(&mut self, bytes: &[u8]) -> bool {
        let _ = self.stream.write_all(bytes);
        let line = self.read_line();
        line == "ERR" || line.starts_with("BUSY") || line.is_empty() || line == "reset"
    }

    /// Whether nothing is received for a moment.
    pub fn is_silent(&mut self) -> bool {
        self.stream.set_read_timeout(Some(Duration::from_millis(60))).unwrap();
        let quiet = self.stream.peek(&mut [0]).is_err_and(|f| f.kind() == ErrorKind::WouldBlock);
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        quiet
    }

    /// Waits until the peer ends the connection.
    pub fn wait_for_end(&mut self) {
        self.stream.set_read_timeout(None).unwrap();
        while !matches!(self.read_line().as_str(), "" | "reset") {}
    }

    pub fn reset(self) {
        rustix::net::connect_unspec(&self.stream).unwrap();
    }

    pub fn end_sending(&self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
    }
}

impl Drop for Connection {
    /// Shuts the connection down first: a program that another test is starting holds copies of all descriptors for a
    /// moment, and only the last close ends a connection.
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// A server, or discovery: accepts connections when the test says so.
pub struct FakeServer {
    pub name: String,
    listener: TcpListener,
    pub address: SocketAddr,
}

impl FakeServer {
    pub fn new(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        FakeServer { name: name.to_owned(), listener, address }
    }

    /// One whose address refuses connections, and is reserved meanwhile.
    pub fn refusing(name: &str) -> Self {
        let kind = socket2::Type::STREAM.cloexec();
        let socket = socket2::Socket::new(socket2::Domain::IPV4, kind, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        let listener = TcpListener::from(socket);
        FakeServer { name: name.to_owned(), address: listener.local_addr().unwrap(), listener }
    }

    /// Listens at the address that refused connections so far.
    pub fn listen_again(self) -> Self {
        socket2::SockRef::from(&self.listener).listen(128).unwrap();
        self.listener.set_nonblocking(true).unwrap();
        self
    }

    /// One whose backlog is full, so that a connection does not come up until another is accepted.
    pub fn with_full_backlog(name: &str) -> (Self, TcpStream) {
        let place = Self::new(name);
        socket2::SockRef::from(&place.listener).listen(0).unwrap();
        let first = TcpStream::connect(place.address).unwrap();
        (place, first)
    }

    pub fn try_accept(&self) -> Option<Connection> {
        self.listener.accept().ok().map(|(stream, _)| Connection::new(stream))
    }

    pub fn accept(&self) -> Connection {
        wait_for(TEST_TIMEOUT, || self.try_accept())
    }

    /// Accepts a session, and gives its first line.
    pub fn accept_session(&self) -> (Connection, String) {
        let mut connection = self.accept();
        let line = connection.read_line();
        connection.send("UP 0123\r\n");
        (connection, line)
    }

    /// As discovery: the path of the next poll, with its connection.
    pub fn next_poll(&self) -> (Connection, String) {
        let mut connection = self.accept();
        let path = read_request(&mut connection);
        (connection, path)
    }

    pub fn endpoint(&self, health: &str) -> String {
        let (name, dial) = (&self.name, self.address);
        format!(r#"{{"host":"{name}","dial":"{dial}","site":"a","block":0,"health":"{health}","born_ms":0}}"#)
    }
}

pub fn read_request(connection: &mut Connection) -> String {
    let path = connection.read_line().split(' ').nth(1).unwrap_or_default().to_owned();
    while !connection.read_line().is_empty() {}
    path
}

pub fn list_response(seq: u64, is_complete: bool, entries: &[String]) -> String {
    let body = format!(r#"{{"seq":{seq},"whole":{is_complete},"hosts":[{}]}}"#, entries.join(","));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Waits for a condition.
pub fn wait_for<T>(limit: Duration, mut condition: impl FnMut() -> Option<T>) -> T {
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
    pub discovery: Arc<FakeServer>,
    config: std::path::PathBuf,
    pub text: String,
    /// What it logged before it listened, the line that says so included.
    pub startup_log: String,
}

impl Program {
    /// Starts it with these servers known.
    pub fn start(settings: Settings, known: &[&FakeServer]) -> Self {
        Self::start_with_discovery(Arc::new(FakeServer::new("discovery")), settings, known)
    }

    /// Starts it with a discovery that others may poll too.
    pub fn start_with_discovery(
        discovery: Arc<FakeServer>,
        settings: Settings,
        known: &[&FakeServer],
    ) -> Self {
        Self::start_with_command(Command::new(BINARY), discovery, settings, known)
    }

    /// Starts it by a command of the test's own.
    pub fn start_with_command(
        command: Command,
        discovery: Arc<FakeServer>,
        settings: Settings,
        known: &[&FakeServer],
    ) -> Self {
        let text = start_file_text(&settings, discovery.address, known);
        Self::start_with_file(command, discovery, text)
    }

    /// Starts it with this start-up file.
    pub fn start_with_file(command: Command, discovery: Arc<FakeServer>, text: String) -> Self {
        let (mut child, config) = Self::launch(command, &text);
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while log.read_line(&mut line).unwrap() > 0 && !line.contains("listens on") {}
        let startup_log = line.clone();
        let address = line.split("listens on ").nth(1).and_then(|rest| rest.split(',').next());
        let address = address.unwrap_or_else(|| panic!("did not start: {line}")).parse().unwrap();
        Program { child, log, address, discovery, config, text, startup_log }
    }

    fn launch(mut command: Command, config: &str) -> (Child, std::path::PathBuf) {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("shelfgrade-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config).unwrap();
        command.env("RELAY_CONFIG", &path).env("RUST_LOG", "info,calloop=error").stderr(Stdio::piped());
        (command.spawn().unwrap(), path)
    }

    pub fn connect(&self) -> Connection {
        Connection::to(self.address)
    }

    /// A client that has sent its first line, with a unique request id.
    pub fn open_session(&self, key: &str, rest: &str) -> Connection {
        static LAST: AtomicU32 = AtomicU32::new(0);
        let mut client = self.connect();
        let id = LAST.fetch_add(1, Ordering::Relaxed);
        client.send(&format!("OPEN 9b1f03aa{id:08x} {key} c=alarm{rest}\r\n"));
        client
    }

    /// A client whose session is established, with the server's end of it.
    pub fn establish(&self, place: &FakeServer) -> (Connection, Connection) {
        let mut client = self.open_session("lift-1", ",d=3000");
        let (server, _) = place.accept_session();
        assert_eq!(client.read_line(), "UP 0123");
        (client, server)
    }

    /// Sends the program an endpoint update, and waits until it is applied.
    pub fn update_endpoints(&self, entries: &[String]) -> Connection {
        let (mut connection, path) = self.discovery.next_poll();
        assert!(path.contains("index=7"), "{path}");
        connection.send(&list_response(8, false, entries));
        assert!(read_request(&mut connection).contains("index=8"));
        connection
    }

    /// Replaces the start-up file, and has it reloaded.
    pub fn reload(&self, text: &str) {
        let new = self.config.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &self.config).unwrap();
        self.signal(Signal::HUP);
    }

    /// The start-up file with another discovery.
    pub fn start_file_with(&self, discovery: &FakeServer) -> String {
        self.text.replace(&self.discovery.address.to_string(), &discovery.address.to_string())
    }

    /// The next line of its log.
    pub fn next_log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).unwrap();
        line
    }

    /// Suspends the program: whatever happens until `resume`, it finds together.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = || std::fs::read_to_string(&stat).unwrap().contains(") T ");
        wait_for(TEST_TIMEOUT, || stopped().then_some(()));
        // Packets sent by one core are delivered in order.
        let mut one = CpuSet::new();
        one.set(sched_getcpu());
        sched_setaffinity(None, &one).unwrap();
    }

    /// Resumes the program once all that was sent before is delivered: a busy system may deliver an end, a reset or a line
    /// later, but not after a round trip that began behind it.
    pub fn resume(&self) {
        let there = FakeServer::new("there");
        let mut here = Connection::to(there.address);
        there.accept().send("and back\r\n");
        assert_eq!(here.read_line(), "and back");
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

    /// Waits for its exit: the exit code, and the rest of its log.
    pub fn wait_for_exit(mut self) -> (Option<i32>, String) {
        let status = wait_for(TEST_TIMEOUT, || self.child.try_wait().unwrap());
        let mut rest = String::new();
        self.log.read_to_string(&mut rest).unwrap();
        (status.code(), rest)
    }

    /// Terminates it and waits for an orderly exit: the rest of its log.
    pub fn shut_down(self) -> String {
        self.terminate();
        let (code, log) = self.wait_for_exit();
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
