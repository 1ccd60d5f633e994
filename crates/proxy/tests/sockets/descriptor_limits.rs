//! Descriptor exhaustion: idle clients, sessions or both hold all descriptors that the settings' limit, or a lower one of
//! the system, leaves them. Whatever has to be dialled even then, is.

use crate::harness::{
    list_response, read_request, wait_for, Connection, FakeServer, ProxyProcess, Settings, BINARY, DEFAULT,
    TEST_TIMEOUT,
};
use crate::readiness::own_address;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long an endpoint update may take to be applied.
const STALENESS_LIMIT: Duration = Duration::from_secs(6);
const ROOM: u64 = 64;
/// The flags `MSG_PEEK` and `MSG_DONTWAIT`.
const PEEK_NOW: i32 = 0x42;

/// How long servers take to answer a health check: much longer than scheduling delays one on a busy machine, so that the
/// differences between servers stay small.
const HEALTH_CHECK_DELAY: Duration = Duration::from_millis(60);

/// Which limit is the lower one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Limit {
    Settings,
    System,
}

/// What holds the descriptors.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Holder {
    PendingConnections,
    Sessions,
    Both,
}

/// Servers that accept and answer everything until the test is over.
struct Servers {
    servers: Vec<FakeServer>,
    opens: AtomicUsize,
    /// Connections that began with a health check.
    probes: AtomicUsize,
    over: AtomicBool,
}

impl Servers {
    fn start(number: usize) -> Arc<Self> {
        let servers = Arc::new(Servers {
            servers: (0..number).map(|i| FakeServer::new(&format!("s{i}"))).collect(),
            opens: AtomicUsize::new(0),
            probes: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        });
        let serving = servers.clone();
        thread::spawn(move || {
            while !serving.over.load(SeqCst) {
                for connection in serving.servers.iter().filter_map(FakeServer::try_accept) {
                    let servers = serving.clone();
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
                    self.probes.fetch_add(usize::from(lines == 0), SeqCst);
                    thread::sleep(HEALTH_CHECK_DELAY);
                    let _ = connection.stream.write_all(b"PONG\r\n");
                }
                "OPEN" => {
                    self.opens.fetch_add(1, SeqCst);
                    let _ = connection.stream.write_all(b"UP 0123\r\n");
                }
                "" | "reset" => return,
                _ => {}
            }
            lines += 1;
        }
    }
}

/// Clients that send nothing, and connect again some time after they were disconnected.
pub struct IdleClients {
    over: Arc<AtomicBool>,
    put_out: Arc<AtomicUsize>,
    comes: Option<thread::JoinHandle<()>>,
}

impl IdleClients {
    pub fn start(at: SocketAddr, size: usize) -> Self {
        const AGAIN_IN: Duration = Duration::from_millis(300);
        let over = Arc::new(AtomicBool::new(false));
        let (ends, put_out) = (over.clone(), Arc::new(AtomicUsize::new(0)));
        let out = put_out.clone();
        let comes = thread::spawn(move || {
            let mut clients: Vec<Result<TcpStream, Instant>> =
                (0..size).map(|_| Err(Instant::now())).collect();
            while !ends.load(SeqCst) {
                for client in &mut clients {
                    match client {
                        Err(due) if *due <= Instant::now() => {
                            let stream = TcpStream::connect(at);
                            *client = stream.map_err(|_| Instant::now() + AGAIN_IN);
                            let _ = client.as_ref().map(|stream| stream.set_nonblocking(true));
                        }
                        Ok(stream) if !is_open(stream) => {
                            out.fetch_add(1, SeqCst);
                            *client = Err(Instant::now() + AGAIN_IN);
                        }
                        _ => {}
                    }
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
        IdleClients { over, put_out, comes: Some(comes) }
    }

    /// Returns once the first of them has been evicted for a later one.
    fn fill(at: SocketAddr) -> Self {
        const SIZE: usize = 150;
        let idle_clients = Self::start(at, SIZE);
        wait_for(TEST_TIMEOUT, || (idle_clients.put_out.load(SeqCst) > 0).then_some(()));
        idle_clients
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.over.store(true, SeqCst);
        let _ = self.comes.take().unwrap().join();
    }
}

/// Whether the connection has received neither data nor an end.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).recv_with_flags(&mut byte, PEEK_NOW);
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Opens sessions until one is established, as clients do that are rejected.
fn open_until_established(proxy: &ProxyProcess) -> Connection {
    wait_for(TEST_TIMEOUT, || try_open(proxy).ok())
}

/// Opens sessions until one is rejected for lack of descriptors, which is answered without a retry delay.
fn open_until_full(proxy: &ProxyProcess) -> Vec<Connection> {
    let (mut up, mut last, began) = (Vec::new(), String::new(), Instant::now());
    loop {
        match try_open(proxy) {
            Ok(client) => up.push(client),
            Err(response) if response == "BUSY" => return up,
            Err(response) => last = response,
        }
        // Some may have been migrated meanwhile.
        up.retain(|client: &Connection| is_open(&client.stream));
        assert!(began.elapsed() < TEST_TIMEOUT, "{} are up, one was answered {last}", up.len());
    }
}

fn try_open(proxy: &ProxyProcess) -> Result<Connection, String> {
    static LAST: AtomicUsize = AtomicUsize::new(0);
    let id = LAST.fetch_add(1, SeqCst);
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

/// A proxy whose descriptors are all held, and what holds them.
struct Full {
    proxy: ProxyProcess,
    servers: Arc<Servers>,
    established: Vec<Connection>,
    idle_clients: Option<IdleClients>,
}

impl Full {
    fn start(limit: Limit, held: Holder, settings: Settings, fleet: Option<&std::path::Path>) -> Self {
        let servers = Servers::start(8);
        let known: Vec<_> = servers.servers.iter().collect();
        let max_descriptors = if limit == Limit::Settings { ROOM } else { 16 * ROOM };
        let discovery = Arc::new(FakeServer::new("discovery"));
        let mut command = Command::new(BINARY);
        if limit == Limit::System {
            // The soft and the hard limit, for the proxy alone.
            command = Command::new("sh");
            command.args(["-c", &format!("ulimit -n {ROOM} && exec \"$0\""), BINARY]);
        }
        command.envs(fleet.map(|path| ("SHELFGRADE_FLEET", path)));
        let proxy = ProxyProcess::start_with_command(
            command,
            discovery,
            Settings { max_descriptors, ..settings },
            &known,
        );
        let mut full =
            Full { established: vec![open_until_established(&proxy)], proxy, servers, idle_clients: None };
        if held != Holder::PendingConnections {
            full.established.extend(open_until_full(&full.proxy));
        }
        if held != Holder::Sessions {
            full.idle_clients = Some(IdleClients::fill(full.proxy.address));
        }
        full
    }

    /// Shuts the proxy down; no system call may have failed for lack of descriptors.
    fn shut_down(self) {
        self.servers.over.store(true, SeqCst);
        drop(self.idle_clients);
        drop(self.established);
        let log = self.proxy.shut_down();
        let refused = ["accept paused", "os error 24", "client socket"];
        assert!(!refused.iter().any(|word| log.contains(word)), "{log}");
    }
}

/// Plays a scenario for each limit and each kind of holder, in parallel.
fn for_all_limits(settings: fn() -> Settings, scenario: fn(&mut Full)) {
    thread::scope(|scope| {
        for limit in [Limit::Settings, Limit::System] {
            for held in [Holder::PendingConnections, Holder::Sessions, Holder::Both] {
                scope.spawn(move || {
                    println!("{limit:?}, {held:?}");
                    let mut full = Full::start(limit, held, settings(), None);
                    scenario(&mut full);
                    full.shut_down();
                });
            }
        }
    });
}

/// Also if the system's limit is lower than the settings', a poll still finds a descriptor.
#[test]
fn discovery_is_polled_again_after_a_reset_under_descriptor_pressure() {
    for_all_limits(
        || DEFAULT,
        |full| {
            let (call, path) = full.proxy.discovery.next_poll();
            assert!(path.contains("index=7"), "{path}");
            call.reset();
            let reset = Instant::now();
            let (mut call, _) = full.proxy.discovery.next_poll();
            call.send(&list_response(8, false, &[full.servers.servers[1].endpoint("terminating")]));
            assert!(read_request(&mut call).contains("index=8"));
            assert!(reset.elapsed() < STALENESS_LIMIT, "{:?}", reset.elapsed());
        },
    );
}

#[test]
fn a_new_session_is_connected_under_descriptor_pressure() {
    for_all_limits(
        || DEFAULT,
        |full| {
            // If sessions hold all descriptors, one has to close first.
            if full.established.len() > 1 {
                full.established.pop();
            }
            let before = full.servers.opens.load(SeqCst);
            full.established.push(open_until_established(&full.proxy));
            assert_eq!(full.servers.opens.load(SeqCst), before + 1);
        },
    );
}

/// If servers report message latencies, each health check has a connection of its own.
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
        |full| {
            let before = full.servers.probes.load(SeqCst);
            // Not every session starts a health check.
            wait_for(TEST_TIMEOUT, || {
                if full.established.len() > 1 {
                    full.established.pop();
                }
                full.established.push(open_until_established(&full.proxy));
                (full.servers.probes.load(SeqCst) > before).then_some(())
            });
        },
    );
}

#[test]
fn peers_receive_datagrams_under_descriptor_pressure() {
    for limit in [Limit::Settings, Limit::System] {
        for held in [Holder::PendingConnections, Holder::Sessions, Holder::Both] {
            let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
            peer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let own = own_address();
            let file = tempfile::NamedTempFile::new().unwrap();
            let other = peer.local_addr().unwrap();
            let text =
                format!("fleet = \"f\"\nlist_wait_ms = 100\n[fellows]\nn0 = \"{own}\"\nn1 = \"{other}\"\n");
            std::fs::write(file.path(), text).unwrap();
            let full = Full::start(limit, held, DEFAULT, Some(file.path()));
            // Datagrams that were sent before the descriptors were exhausted do not count.
            peer.set_nonblocking(true).unwrap();
            while peer.recv(&mut [0; 2048]).is_ok() {}
            peer.set_nonblocking(false).unwrap();
            assert!(peer.recv(&mut [0; 2048]).unwrap() > 0);
            full.shut_down();
        }
    }
}

/// Health check connections outlive the sessions that they were opened for, and count as in use.
#[test]
fn health_checks_of_closed_sessions_free_their_descriptors() {
    let servers = Servers::start(60);
    let known: Vec<_> = servers.servers.iter().collect();
    let settings = Settings {
        health_checks_allowed: true,
        proxy_count: "300",
        message_latency_objective_ms: 5000,
        max_descriptors: ROOM,
        ..DEFAULT
    };
    let proxy = ProxyProcess::start(settings, &known);
    let probed = || servers.probes.load(SeqCst);
    let before = proxy.open_descriptors();
    let mut gone = 0;
    while probed() < 55 && gone < 200 {
        drop(open_until_established(&proxy));
        gone += 1;
    }
    println!(
        "{gone} sessions, {} servers probed, {} descriptors over",
        probed(),
        proxy.open_descriptors() - before
    );
    let idle_clients = IdleClients::fill(proxy.address);
    let (call, _) = proxy.discovery.next_poll();
    call.reset();
    let (_call, _) = proxy.discovery.next_poll();
    let mut full = Full {
        established: vec![open_until_established(&proxy)],
        proxy,
        servers,
        idle_clients: Some(idle_clients),
    };
    drop(full.idle_clients.take());
    for i in 0..12 {
        match try_open(&full.proxy) {
            Ok(client) => full.established.push(client),
            Err(response) => assert!(i > 3 || response != "BUSY", "there is room for a few"),
        }
    }
    full.shut_down();
}
