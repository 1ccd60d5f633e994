//! Readiness after a restart: with any fault of discovery and with idle clients, nine in ten proxies are ready in time.

use crate::descriptor_limits::IdleClients;
use crate::harness::{
    list_response, read_request, wait_for, Connection, FakeServer, ProxyProcess, Settings, BINARY, DEFAULT,
    PUSHED_LIST, TEST_TIMEOUT,
};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Nine in ten proxies must be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
const PROXIES: usize = 10;
/// More than twice as many as get a descriptor with a limit of 64.
const IDLE_CLIENTS: usize = 40;
/// Held by the test that is running its proxies, so that no more than ten share the machine's cores.
static CORES: Mutex<()> = Mutex::new(());

/// A unique loopback address, with a port outside the range that the system assigns, so that it stays free between two
/// incarnations of a proxy. A port assigned by the system could be taken by a proxy that another test starts.
pub fn unique_address() -> SocketAddr {
    const PORT: u16 = 7400;
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 1 + high % 128, low, NEXT.fetch_add(1, SeqCst)), PORT).into()
}

/// Whether the proxy at this address reports that it is ready.
fn is_ready(address: SocketAddr) -> Option<()> {
    let mut connection = Connection::connect(address);
    // The connection may be closed before this is sent.
    let _ = connection.stream.write_all(b"PING\r\n");
    (connection.read_line() == "PONG").then_some(())
}

/// Starts a proxy, kills it, and starts it again. Returns how long the second start took until the proxy was ready.
fn restart_time(discovery: Arc<FakeServer>, settings: Settings, with_idle_clients: bool) -> Duration {
    let server = FakeServer::new("s1");
    let mut first = ProxyProcess::start_with_discovery(discovery.clone(), settings, &[&server]);
    let address = unique_address();
    let text = first.startup_file.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""));
    first.child.kill().unwrap();
    first.child.wait().unwrap();
    // The clients try to connect before the proxy listens.
    let _idle_clients = with_idle_clients.then(|| IdleClients::start(address, IDLE_CLIENTS));
    let started_at = Instant::now();
    let _second = ProxyProcess::start_with_startup_file(Command::new(BINARY), discovery, text);
    wait_for(READY_WITHIN * 2, || is_ready(address));
    started_at.elapsed()
}

/// Restarts ten proxies with one discovery service, with a polled and a pushed list, without and with idle clients, and
/// expects that nine of them are ready in time.
fn expect_restarts_ready(discovery: &Arc<FakeServer>) {
    let _cores_in_use = CORES.lock().unwrap_or_else(PoisonError::into_inner);
    for with_idle_clients in [false, true] {
        for settings in [
            || Settings { max_descriptors: 64, ..DEFAULT },
            || Settings { max_descriptors: 64, ..PUSHED_LIST },
        ] {
            let restarts = (0..PROXIES).map(|_| {
                let discovery = discovery.clone();
                thread::spawn(move || restart_time(discovery, settings(), with_idle_clients))
            });
            let restarts: Vec<_> = restarts.collect();
            let took: Vec<_> = restarts.into_iter().map(|restart| restart.join().unwrap()).collect();
            let ready = took.iter().filter(|took| **took < READY_WITHIN).count();
            println!(
                "{}, idle clients {with_idle_clients}: slowest {:?}",
                settings().list_delivery,
                took.iter().max().unwrap()
            );
            assert!(
                ready * 10 >= PROXIES * 9,
                "{}, idle clients {with_idle_clients}: {took:?}",
                settings().list_delivery
            );
        }
    }
}

#[test]
fn restarts_are_ready_in_time_if_discovery_refuses_connections() {
    expect_restarts_ready(&Arc::new(FakeServer::refusing_connections("discovery")));
}

#[test]
fn restarts_are_ready_in_time_if_discovery_never_responds() {
    expect_restarts_ready(&Arc::new(FakeServer::new("discovery")));
}

#[test]
fn restarts_are_ready_in_time_if_connections_to_discovery_are_never_established() {
    let (full_server, _filler_client) = FakeServer::with_full_backlog("discovery");
    expect_restarts_ready(&Arc::new(full_server));
}

/// Discovery responds to one poll at a time and takes two seconds for each.
#[test]
fn restarts_are_ready_in_time_if_discovery_is_slow() {
    let discovery = Arc::new(FakeServer::new("discovery"));
    let (accepting, is_stopped) = (discovery.clone(), Arc::new(AtomicBool::new(false)));
    let (stop_flag, response_lock) = (is_stopped.clone(), Arc::new(Mutex::new(())));
    let accept_thread = thread::spawn(move || {
        while !stop_flag.load(SeqCst) {
            let Some(mut connection) = accepting.try_accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (response_lock, stop_flag) = (response_lock.clone(), stop_flag.clone());
            thread::spawn(move || {
                connection.stream.set_read_timeout(None).unwrap();
                while !read_request(&mut connection).is_empty() && !stop_flag.load(SeqCst) {
                    let _responding = response_lock.lock().unwrap();
                    thread::sleep(Duration::from_millis(2000));
                    let _ = connection.stream.write_all(list_response(7, false, &[]).as_bytes());
                }
            });
        }
    });
    expect_restarts_ready(&discovery);
    is_stopped.store(true, SeqCst);
    accept_thread.join().unwrap();
}

/// A client with a request timeout of 20 ms gets its response by a timer of its own, not by a tick up to 100 ms later.
#[test]
fn a_short_request_timeout_does_not_wait_for_a_tick_before_the_first_list() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(PUSHED_LIST, &[&server]);
    let _unanswered = proxy.discovery.next_poll();
    let response_time = |i| {
        let started_at = Instant::now();
        let mut client = proxy.open_session(&format!("lift-{i}"), ",d=20");
        let response = client.read_line();
        assert!(response == "ERR" || response.starts_with("BUSY"), "{response}");
        started_at.elapsed()
    };
    let mut took: Vec<_> = (0..11).map(response_time).collect();
    took.sort();
    assert!(took[5] < Duration::from_millis(50), "the median: {took:?}");
}

/// In a fleet, servers that only the start-up file lists are used if no endpoint list is received in time.
#[test]
fn in_a_fleet_without_a_list_in_time_the_startup_files_servers_are_used() {
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = unique_address();
    let file = tempfile::NamedTempFile::new().unwrap();
    let other = peer.local_addr().unwrap();
    let text = format!("fleet = \"f\"\nlist_wait_ms = 100\n[fellows]\nn0 = \"{own}\"\nn1 = \"{other}\"\n");
    std::fs::write(file.path(), text).unwrap();
    let mut command = Command::new(BINARY);
    command.env("SHELFGRADE_FLEET", file.path());
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start_with_command(
        command,
        Arc::new(FakeServer::refusing_connections("discovery")),
        DEFAULT,
        &[&server],
    );
    wait_for(TEST_TIMEOUT, || is_ready(proxy.address));
    let mut client = proxy.open_session("lift-1", ",d=3000");
    let _server = server.accept_session();
    assert_eq!(client.read_line(), "UP 0123");
    drop(client);
    proxy.shut_down();
}
