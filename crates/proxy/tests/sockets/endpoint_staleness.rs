//! The staleness limit of the endpoint list: discoveries that refuse, reset, delay, trickle, lose or corrupt calls in a
//! random order, and then recover.

use crate::harness::{
    list_response, read_request, wait_for, Connection, FakeServer, ProxyProcess, Settings, DEFAULT,
    TEST_TIMEOUT,
};
use nanorand::{Rng, WyRand};
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const STALENESS_LIMIT: Duration = Duration::from_secs(6);
const SERVICE_UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// A discovery that cannot be reached, or misbehaves.
struct FaultyDiscovery {
    place: Arc<FakeServer>,
    rng: WyRand,
    /// Calls that are never answered, and whether a byte of a response is sent on them every now and then.
    held: Vec<(Connection, bool)>,
    /// Calls that are kept waiting, and when they are refused.
    kept: Vec<(Connection, Instant)>,
    calls: Vec<&'static str>,
}

impl FaultyDiscovery {
    fn before(place: Arc<FakeServer>, seed: u64) -> Self {
        let rng = WyRand::new_seed(seed);
        FaultyDiscovery { place, rng, held: Vec::new(), kept: Vec::new(), calls: Vec::new() }
    }

    fn take(&mut self, mut connection: Connection) {
        read_request(&mut connection);
        let kinds = ["refused", "reset", "kept", "hung", "trickled", "spoilt"];
        let kind = kinds[self.rng.generate_range(0..kinds.len())];
        self.calls.push(kind);
        match kind {
            "refused" => drop(connection.send(SERVICE_UNAVAILABLE)),
            "reset" => connection.reset(),
            "kept" => {
                let for_ms = self.rng.generate_range(0..2000);
                self.kept.push((connection, Instant::now() + Duration::from_millis(for_ms)));
            }
            "hung" => self.held.push((connection, false)),
            "trickled" => {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n");
                self.held.push((connection, true));
            }
            _ => drop(connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":8,")),
        }
    }

    fn lasts_until(&mut self, end: Instant) {
        while Instant::now() < end {
            if let Some(connection) = self.place.try_accept() {
                self.take(connection);
            }
            let now = Instant::now();
            for (mut connection, _) in self.kept.extract_if(.., |kept| kept.1 <= now) {
                let _ = connection.stream.write_all(SERVICE_UNAVAILABLE.as_bytes());
            }
            for (connection, _) in self.held.iter_mut().filter(|held| held.1) {
                let _ = connection.stream.write_all(b" ");
            }
            thread::sleep(Duration::from_millis(3));
        }
        // Calls that are still waiting at the recovery are neither refused nor answered.
        self.held.extend(self.kept.drain(..).map(|(connection, _)| (connection, false)));
    }

    /// Recovers: how long it takes until the discovery is polled and has written its update.
    fn tells(&mut self, update: &str) -> (Duration, Connection) {
        let well = Instant::now();
        let mut connection = wait_for(TEST_TIMEOUT, || self.place.try_accept());
        read_request(&mut connection);
        connection.send(update);
        (well.elapsed(), connection)
    }
}

/// The limit also holds in a large fleet, and with a long polling interval.
#[test]
fn after_any_discovery_fault_updates_arrive_within_the_staleness_limit() {
    let settings = [("300", 10_000), ("3800", 60_000), ("3", 10_000), ("300", 2_000)];
    let cases: Vec<_> = (0..24u64)
        .map(|case| {
            let (proxy_count, max_poll_interval_ms) = settings[case as usize % settings.len()];
            thread::spawn(move || {
                let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
                let seed = &*format!("{case:x}").leak();
                let proxy = ProxyProcess::start(
                    Settings { proxy_count, max_poll_interval_ms, seed, ..DEFAULT },
                    &[&old],
                );
                let mut discovery = FaultyDiscovery::before(proxy.discovery.clone(), case);
                let lasts = Duration::from_millis(discovery.rng.generate_range(500..7000));
                discovery.lasts_until(Instant::now() + lasts);
                let (took, mut watch) =
                    discovery.tells(&list_response(9, true, &[new.endpoint("in_service")]));
                read_request(&mut watch);
                assert!(
                    took < STALENESS_LIMIT,
                    "case {case}: {took:?} after {lasts:?} of {:?}",
                    discovery.calls
                );
                // The process applies it.
                let mut client = proxy.open_session("lift-1", ",d=3000");
                let _server = new.accept_session();
                assert_eq!(client.read_line(), "UP 0123");
            })
        })
        .collect();
    let failed = cases.into_iter().map(thread::JoinHandle::join).filter(Result::is_err).count();
    assert_eq!(failed, 0, "cases that failed");
}

/// One of three hundred processes, restarted, has its turn to poll up to four seconds later: no client is served by the
/// list known from before until then.
#[test]
fn a_late_poller_of_many_is_ready_once_it_has_the_list() {
    let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(
        Settings { proxy_count: "300", max_poll_interval_ms: 10_000, seed: "7", ..DEFAULT },
        &[&old],
    );
    let mut front_end = proxy.connect();
    front_end.send("PING\r\n");
    let mut client = proxy.open_session("lift-1", ",d=9000");
    let mut call = wait_for(TEST_TIMEOUT, || proxy.discovery.try_accept());
    assert!(front_end.is_silent() && old.try_accept().is_none(), "nobody is served by a list from before");
    read_request(&mut call);
    call.send(&list_response(9, true, &[new.endpoint("in_service")]));
    assert_eq!(front_end.read_line(), "PONG");
    let _server = new.accept_session();
    assert_eq!(client.read_line(), "UP 0123");
    assert!(old.try_accept().is_none());
}

/// Without an answer in its turn a process serves by the list that it knows.
#[test]
fn a_poller_without_an_answer_in_its_turn_becomes_ready() {
    let old = FakeServer::new("s1");
    let proxy = ProxyProcess::start(
        Settings { proxy_count: "300", max_poll_interval_ms: 10_000, seed: "7", ..DEFAULT },
        &[&old],
    );
    let mut front_end = proxy.connect();
    front_end.send("PING\r\n");
    let _hangs = wait_for(TEST_TIMEOUT, || proxy.discovery.try_accept());
    assert_eq!(front_end.read_line(), "PONG");
    let (_client, _server) = proxy.establish(&old);
}
