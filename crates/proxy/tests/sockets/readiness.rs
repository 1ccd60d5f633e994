//! Restarts: whatever discovery and idle clients do, nine in ten processes are ready in time.

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

/// Nine in ten processes have to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
const PROCESSES: usize = 10;
/// More than twice as many as find a descriptor at `max_descriptors: 64`.
const IDLE_CLIENTS: usize = 40;
/// Ten processes at a time: the tests of this file take turns at the machine's cores.
static CORES: Mutex<()> = Mutex::new(());

/// An address of the test's own, with a port that the system assigns to nobody, so that it stays free between two
/// incarnations. A free port assigned by the system could be held for a moment by a proxy that another test starts.
pub fn own_address() -> SocketAddr {
    const PORT: u16 = 7400;
    static LAST: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 1 + high % 128, low, LAST.fetch_add(1, SeqCst)), PORT).into()
}

/// Whether the proxy answers a health check.
fn is_ready(at: SocketAddr) -> Option<()> {
    let mut connection = Connection::connect(at);
    // The connection may be closed before this is sent.
    let _ = connection.stream.write_all(b"PING\r\n");
    (connection.read_line() == "PONG").then_some(())
}

/// Starts a process, kills it, and starts it again: how long the second start takes until it is ready.
fn restart_time(discovery: Arc<FakeServer>, settings: Settings, with_idle_clients: bool) -> Duration {
    let server = FakeServer::new("s1");
    let mut first = ProxyProcess::start_with_discovery(discovery.clone(), settings, &[&server]);
    let at = own_address();
    let text = first.startup_file.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{at}\""));
    first.child.kill().unwrap();
    first.child.wait().unwrap();
    // They connect before anything listens.
    let _crowd = with_idle_clients.then(|| IdleClients::start(at, IDLE_CLIENTS));
    let began = Instant::now();
    let _second = ProxyProcess::start_with_startup_file(Command::new(BINARY), discovery, text);
    wait_for(READY_WITHIN * 2, || is_ready(at));
    began.elapsed()
}

/// Ten processes before one discovery, with a polled and with a pushed list, without and with idle clients.
fn expect_restarts_ready(discovery: &Arc<FakeServer>) {
    let _cores = CORES.lock().unwrap_or_else(PoisonError::into_inner);
    for with_idle_clients in [false, true] {
        for settings in [
            || Settings { max_descriptors: 64, ..DEFAULT },
            || Settings { max_descriptors: 64, ..PUSHED_LIST },
        ] {
            let starts = (0..PROCESSES).map(|_| {
                let discovery = discovery.clone();
                thread::spawn(move || restart_time(discovery, settings(), with_idle_clients))
            });
            let starts: Vec<_> = starts.collect();
            let took: Vec<_> = starts.into_iter().map(|start| start.join().unwrap()).collect();
            let ready = took.iter().filter(|took| **took < READY_WITHIN).count();
            println!(
                "{}, idle clients {with_idle_clients}: slowest {:?}",
                settings().list_delivery,
                took.iter().max().unwrap()
            );
            assert!(
                ready * 10 >= PROCESSES * 9,
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
fn restarts_are_ready_in_time_if_discovery_never_answers() {
    expect_restarts_ready(&Arc::new(FakeServer::new("discovery")));
}

#[test]
fn restarts_are_ready_in_time_if_connections_to_discovery_never_come_up() {
    let (full, _first) = FakeServer::with_full_backlog("discovery");
    expect_restarts_ready(&Arc::new(full));
}

/// Discovery answers in turn, two seconds for each poll.
#[test]
fn restarts_are_ready_in_time_if_discovery_is_slow() {
    let discovery = Arc::new(FakeServer::new("discovery"));
    let (asked, over) = (discovery.clone(), Arc::new(AtomicBool::new(false)));
    let (ends, turn) = (over.clone(), Arc::new(Mutex::new(())));
    let takes = thread::spawn(move || {
        while !ends.load(SeqCst) {
            let Some(mut connection) = asked.try_accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (turn, ends) = (turn.clone(), ends.clone());
            thread::spawn(move || {
                connection.stream.set_read_timeout(None).unwrap();
                while !read_request(&mut connection).is_empty() && !ends.load(SeqCst) {
                    let _turn = turn.lock().unwrap();
                    thread::sleep(Duration::from_millis(2000));
                    let _ = connection.stream.write_all(list_response(7, false, &[]).as_bytes());
                }
            });
        }
    });
    expect_restarts_ready(&discovery);
    over.store(true, SeqCst);
    takes.join().unwrap();
}

/// A client of 20 ms is answered by a timer of its own, not by a tick up to 100 ms later.
#[test]
fn a_short_request_timeout_does_not_wait_for_a_tick_before_the_first_list() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(PUSHED_LIST, &[&server]);
    let _never_answered = proxy.discovery.next_poll();
    let answered_after = |i| {
        let came = Instant::now();
        let mut client = proxy.open_session(&format!("lift-{i}"), ",d=20");
        let response = client.read_line();
        assert!(response == "ERR" || response.starts_with("BUSY"), "{response}");
        came.elapsed()
    };
    let mut took: Vec<_> = (0..11).map(answered_after).collect();
    took.sort();
    assert!(took[5] < Duration::from_millis(50), "half of them: {took:?}");
}

/// Servers that only the start-up file names can be dialled.
#[test]
fn with_peers_and_no_list_in_time_the_start_files_servers_are_used() {
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = own_address();
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
