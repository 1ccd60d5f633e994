//! Descriptor exhaustion: idle clients, sessions or both hold all descriptors available to them, as limited by the
//! settings or by a lower limit of the system. Connections that the proxy must still open succeed.

use crate::harness::{
    list_response, read_request, wait_for, Connection, FakeServer, ProxyProcess, Settings, BINARY, DEFAULT,
    TEST_TIMEOUT,
};
use crate::readiness::unique_address;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time until an endpoint update is applied.
const STALENESS_LIMIT: Duration = Duration::from_secs(6);
/// The lower of the two descriptor limits.
const DESCRIPTOR_LIMIT: u64 = 64;
/// The flags `MSG_PEEK` and `MSG_DONTWAIT`.
const PEEK_NONBLOCKING: i32 = 0x42;

/// How long servers take to respond to a health check: much longer than the scheduling delays on a busy machine, so
/// that the measured differences between servers stay small.
const HEALTH_CHECK_DELAY: Duration = Duration::from_millis(60);

/// Which of the two descriptor limits is the lower one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Limit {
    Settings,
    System,
}

/// Which connections hold the descriptors.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HeldBy {
    PendingConnections,
    Sessions,
    Both,
}

/// Servers that accept all connections and respond to all requests until the test ends.
struct Servers {
    listeners: Vec<FakeServer>,
    open_requests: AtomicUsize,
    /// The number of connections whose first line was a health check.
    health_check_connections: AtomicUsize,
    is_stopped: AtomicBool,
}

impl Servers {
    fn start(count: usize) -> Arc<Self> {
        let servers = Arc::new(Servers {
            listeners: (0..count).map(|i| FakeServer::new(&format!("s{i}"))).collect(),
            open_requests: AtomicUsize::new(0),
            health_check_connections: AtomicUsize::new(0),
            is_stopped: AtomicBool::new(false),
        });
        let accepting = servers.clone();
        thread::spawn(move || {
            while !accepting.is_stopped.load(SeqCst) {
                for connection in accepting.listeners.iter().filter_map(FakeServer::try_accept) {
                    let servers = accepting.clone();
                    thread::spawn(move || servers.serve(connection));
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
        servers
    }

    fn serve(&self, mut connection: Connection) {
        connection.stream.set_read_timeout(None).unwrap();
        let mut lines = 0;
        loop {
            match connection.read_line().split(' ').next().unwrap_or_default() {
                "PING" => {
                    self.health_check_connections.fetch_add(usize::from(lines == 0), SeqCst);
                    thread::sleep(HEALTH_CHECK_DELAY);
                    let _ = connection.stream.write_all(b"PONG\r\n");
                }
                "OPEN" => {
                    self.open_requests.fetch_add(1, SeqCst);
                    let _ = connection.stream.write_all(b"UP 0123\r\n");
                }
                "" | "reset" => return,
                _ => {}
            }
            lines += 1;
        }
    }
}

/// Clients that send nothing, and reconnect a while after they were disconnected.
pub struct IdleClients {
    is_stopped: Arc<AtomicBool>,
    /// How often the proxy has closed a connection of theirs.
    evictions: Arc<AtomicUsize>,
    thread: Option<thread::JoinHandle<()>>,
}

impl IdleClients {
    pub fn start(address: SocketAddr, count: usize) -> Self {
        const RECONNECT_DELAY: Duration = Duration::from_millis(300);
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (stop_flag, evictions) = (is_stopped.clone(), Arc::new(AtomicUsize::new(0)));
        let counted_evictions = evictions.clone();
        let thread = thread::spawn(move || {
            let mut clients: Vec<Result<TcpStream, Instant>> =
                (0..count).map(|_| Err(Instant::now())).collect();
            while !stop_flag.load(SeqCst) {
                for client in &mut clients {
                    match client {
                        Err(reconnect_at) if *reconnect_at <= Instant::now() => {
                            let stream = TcpStream::connect(address);
                            *client = stream.map_err(|_| Instant::now() + RECONNECT_DELAY);
                            let _ = client.as_ref().map(|stream| stream.set_nonblocking(true));
                        }
                        Ok(stream) if !is_open(stream) => {
                            counted_evictions.fetch_add(1, SeqCst);
                            *client = Err(Instant::now() + RECONNECT_DELAY);
                        }
                        _ => {}
                    }
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
        IdleClients { is_stopped, evictions, thread: Some(thread) }
    }

    /// Starts enough idle clients to exhaust the descriptors, and waits until the first of them has been evicted.
    fn exhaust_descriptors(address: SocketAddr) -> Self {
        const COUNT: usize = 150;
        let idle_clients = Self::start(address, COUNT);
        wait_for(TEST_TIMEOUT, || (idle_clients.evictions.load(SeqCst) > 0).then_some(()));
        idle_clients
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.is_stopped.store(true, SeqCst);
        let _ = self.thread.take().unwrap().join();
    }
}

/// Whether the connection has received neither data nor a FIN or reset.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).recv_with_flags(&mut byte, PEEK_NONBLOCKING);
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Opens sessions until one is established, as rejected clients do.
fn open_until_established(proxy: &ProxyProcess) -> Connection {
    wait_for(TEST_TIMEOUT, || try_open(proxy).ok())
}

/// Opens sessions until one is rejected for lack of descriptors; only that response has no retry delay. Returns the
/// established sessions.
fn open_until_rejected(proxy: &ProxyProcess) -> Vec<Connection> {
    let (mut established, mut last_response, started_at) = (Vec::new(), String::new(), Instant::now());
    loop {
        match try_open(proxy) {
            Ok(client) => established.push(client),
            Err(response) if response == "BUSY" => return established,
            Err(response) => last_response = response,
        }
        // Some may have been migrated meanwhile.
        established.retain(|client: &Connection| is_open(&client.stream));
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "{} sessions established, last response {last_response}",
            established.len()
        );
    }
}

/// Opens a session. Returns the client, or the response if the session is not established.
fn try_open(proxy: &ProxyProcess) -> Result<Connection, String> {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT_ID.fetch_add(1, SeqCst);
    let mut client = proxy.connect();
    // The connection may be closed before this is sent.
    let line = format!("OPEN 7c1f03ab{id:08x} lift-{id} c=alarm,d=3000,g=g{id}\r\n");
    let _ = client.stream.write_all(line.as_bytes());
    let response = client.read_line();
    assert!(["UP 0123", "", "reset"].contains(&&*response) || response.starts_with("BUSY"), "{response}");
    if response == "UP 0123" {
        Ok(client)
    } else {
        Err(response)
    }
}

/// A proxy whose descriptors are exhausted, with the connections that hold them.
struct ExhaustedProxy {
    proxy: ProxyProcess,
    servers: Arc<Servers>,
    established: Vec<Connection>,
    idle_clients: Option<IdleClients>,
}

impl ExhaustedProxy {
    fn start(limit: Limit, held_by: HeldBy, settings: Settings, fleet: Option<&std::path::Path>) -> Self {
        let servers = Servers::start(8);
        let known: Vec<_> = servers.listeners.iter().collect();
        let max_descriptors = if limit == Limit::Settings { DESCRIPTOR_LIMIT } else { 16 * DESCRIPTOR_LIMIT };
        let discovery = Arc::new(FakeServer::new("discovery"));
        let mut command = Command::new(BINARY);
        if limit == Limit::System {
            // Sets the soft and the hard limit of this proxy only.
            command = Command::new("sh");
            command.args(["-c", &format!("ulimit -n {DESCRIPTOR_LIMIT} && exec \"$0\""), BINARY]);
        }
        command.envs(fleet.map(|path| ("SHELFGRADE_FLEET", path)));
        let proxy = ProxyProcess::start_with_command(
            command,
            discovery,
            Settings { max_descriptors, ..settings },
            &known,
        );
        let mut exhausted = ExhaustedProxy {
            established: vec![open_until_established(&proxy)],
            proxy,
            servers,
            idle_clients: None,
        };
        if held_by != HeldBy::PendingConnections {
            exhausted.established.extend(open_until_rejected(&exhausted.proxy));
        }
        if held_by != HeldBy::Sessions {
            exhausted.idle_clients = Some(IdleClients::exhaust_descriptors(exhausted.proxy.address));
        }
        exhausted
    }

    /// Shuts the proxy down; no system call may have failed for lack of descriptors.
    fn shut_down(self) {
        self.servers.is_stopped.store(true, SeqCst);
        drop(self.idle_clients);
        drop(self.established);
        let log = self.proxy.shut_down();
        let failures = ["accept paused", "os error 24", "client socket"];
        assert!(!failures.iter().any(|text| log.contains(text)), "{log}");
    }
}

/// Runs a scenario for each limit and each kind of connection that holds the descriptors, in parallel.
fn for_all_limits(settings: fn() -> Settings, scenario: fn(&mut ExhaustedProxy)) {
    thread::scope(|scope| {
        for limit in [Limit::Settings, Limit::System] {
            for held_by in [HeldBy::PendingConnections, HeldBy::Sessions, HeldBy::Both] {
                scope.spawn(move || {
                    println!("{limit:?}, {held_by:?}");
                    let mut exhausted = ExhaustedProxy::start(limit, held_by, settings(), None);
                    scenario(&mut exhausted);
                    exhausted.shut_down();
                });
            }
        }
    });
}

/// A descriptor must be available for a poll even if the system's limit is lower than that of the settings.
#[test]
fn discovery_is_polled_again_after_a_reset_under_descriptor_pressure() {
    for_all_limits(
        || DEFAULT,
        |exhausted| {
            let (call, path) = exhausted.proxy.discovery.next_poll();
            assert!(path.contains("index=7"), "{path}");
            call.reset();
            let reset_at = Instant::now();
            let (mut call, _) = exhausted.proxy.discovery.next_poll();
            call.send(&list_response(8, false, &[exhausted.servers.listeners[1].endpoint("terminating")]));
            assert!(read_request(&mut call).contains("index=8"));
            assert!(reset_at.elapsed() < STALENESS_LIMIT, "{:?}", reset_at.elapsed());
        },
    );
}

#[test]
fn a_new_session_is_connected_under_descriptor_pressure() {
    for_all_limits(
        || DEFAULT,
        |exhausted| {
            // If sessions hold all descriptors, one has to close first.
            if exhausted.established.len() > 1 {
                exhausted.established.pop();
            }
            let before = exhausted.servers.open_requests.load(SeqCst);
            exhausted.established.push(open_until_established(&exhausted.proxy));
            assert_eq!(exhausted.servers.open_requests.load(SeqCst), before + 1);
        },
    );
}

/// If servers report message latencies, each health check uses a connection of its own.
#[test]
fn health_checks_are_connected_under_descriptor_pressure() {
    for_all_limits(
        || Settings {
            health_checks_allowed: true,
            servers_report_latency: true,
            proxy_count: "300",
            message_latency_objective_ms: 5000,
            ..DEFAULT
        },
        |exhausted| {
            let before = exhausted.servers.health_check_connections.load(SeqCst);
            // Not every session starts a health check.
            wait_for(TEST_TIMEOUT, || {
                if exhausted.established.len() > 1 {
                    exhausted.established.pop();
                }
                exhausted.established.push(open_until_established(&exhausted.proxy));
                (exhausted.servers.health_check_connections.load(SeqCst) > before).then_some(())
            });
        },
    );
}

#[test]
fn peers_receive_datagrams_under_descriptor_pressure() {
    for limit in [Limit::Settings, Limit::System] {
        for held_by in [HeldBy::PendingConnections, HeldBy::Sessions, HeldBy::Both] {
            let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
            peer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let own = unique_address();
            let file = tempfile::NamedTempFile::new().unwrap();
            let other = peer.local_addr().unwrap();
            let text =
                format!("fleet = \"f\"\nlist_wait_ms = 100\n[fellows]\nn0 = \"{own}\"\nn1 = \"{other}\"\n");
            std::fs::write(file.path(), text).unwrap();
            let exhausted = ExhaustedProxy::start(limit, held_by, DEFAULT, Some(file.path()));
            // Datagrams that were sent before the descriptors were exhausted do not count.
            peer.set_nonblocking(true).unwrap();
            while peer.recv(&mut [0; 2048]).is_ok() {}
            peer.set_nonblocking(false).unwrap();
            assert!(peer.recv(&mut [0; 2048]).unwrap() > 0);
            exhausted.shut_down();
        }
    }
}

/// Health check connections outlive the sessions that they were opened for, and count against the descriptor limit
/// until they are closed.
#[test]
fn health_checks_of_closed_sessions_free_their_descriptors() {
    let servers = Servers::start(60);
    let known: Vec<_> = servers.listeners.iter().collect();
    let settings = Settings {
        health_checks_allowed: true,
        proxy_count: "300",
        message_latency_objective_ms: 5000,
        max_descriptors: DESCRIPTOR_LIMIT,
        ..DEFAULT
    };
    let proxy = ProxyProcess::start(settings, &known);
    let checked = || servers.health_check_connections.load(SeqCst);
    let before = proxy.open_descriptors();
    let mut closed_sessions = 0;
    while checked() < 55 && closed_sessions < 200 {
        drop(open_until_established(&proxy));
        closed_sessions += 1;
    }
    println!(
        "{closed_sessions} sessions closed, {} servers checked, {} descriptors still open",
        checked(),
        proxy.open_descriptors() - before
    );
    let idle_clients = IdleClients::exhaust_descriptors(proxy.address);
    let (call, _) = proxy.discovery.next_poll();
    call.reset();
    let (_call, _) = proxy.discovery.next_poll();
    let mut exhausted = ExhaustedProxy {
        established: vec![open_until_established(&proxy)],
        proxy,
        servers,
        idle_clients: Some(idle_clients),
    };
    drop(exhausted.idle_clients.take());
    for i in 0..12 {
        match try_open(&exhausted.proxy) {
            Ok(client) => exhausted.established.push(client),
            Err(response) => {
                assert!(i > 3 || response != "BUSY", "descriptors are available for a few sessions")
            }
        }
    }
    exhausted.shut_down();
}
