//! The staleness limit of the endpoint list: discovery services that reject, reset, delay, trickle, leave unanswered or
//! corrupt polls in a random order, and then recover.

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

/// A discovery service with faults.
struct FaultyDiscovery {
    service: Arc<FakeServer>,
    rng: WyRand,
    /// Polls that get no complete response, and whether single bytes of a response are sent on them repeatedly.
    unanswered: Vec<(Connection, bool)>,
    /// Polls that are rejected late, with the time of the rejection.
    delayed: Vec<(Connection, Instant)>,
    /// The faults of all polls so far.
    faults: Vec<&'static str>,
}

impl FaultyDiscovery {
    fn new(service: Arc<FakeServer>, seed: u64) -> Self {
        let rng = WyRand::new_seed(seed);
        FaultyDiscovery { service, rng, unanswered: Vec::new(), delayed: Vec::new(), faults: Vec::new() }
    }

    /// Reads a poll and applies a random fault to it.
    fn apply_fault(&mut self, mut connection: Connection) {
        read_request(&mut connection);
        let faults = ["rejected", "reset", "delayed", "unanswered", "trickled", "corrupted"];
        let fault = faults[self.rng.generate_range(0..faults.len())];
        self.faults.push(fault);
        match fault {
            "rejected" => drop(connection.send(SERVICE_UNAVAILABLE)),
            "reset" => connection.reset(),
            "delayed" => {
                let delay_ms = self.rng.generate_range(0..2000);
                self.delayed.push((connection, Instant::now() + Duration::from_millis(delay_ms)));
            }
            "unanswered" => self.unanswered.push((connection, false)),
            "trickled" => {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n");
                self.unanswered.push((connection, true));
            }
            _ => drop(connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":8,")),
        }
    }

    /// Applies faults to all polls until `end`.
    fn fail_until(&mut self, end: Instant) {
        while Instant::now() < end {
            if let Some(connection) = self.service.try_accept() {
                self.apply_fault(connection);
            }
            let now = Instant::now();
            for (mut connection, _) in self.delayed.extract_if(.., |delayed| delayed.1 <= now) {
                let _ = connection.stream.write_all(SERVICE_UNAVAILABLE.as_bytes());
            }
            for (connection, _) in self.unanswered.iter_mut().filter(|poll| poll.1) {
                let _ = connection.stream.write_all(b" ");
            }
            thread::sleep(Duration::from_millis(3));
        }
        // Polls that are still delayed at the recovery are neither rejected nor answered.
        self.unanswered.extend(self.delayed.drain(..).map(|(connection, _)| (connection, false)));
    }

    /// Recovers and responds to the next poll with the update. Returns how long that took since the recovery, and the
    /// connection of the poll.
    fn recover(&mut self, update: &str) -> (Duration, Connection) {
        let recovered_at = Instant::now();
        let mut connection = wait_for(TEST_TIMEOUT, || self.service.try_accept());
        read_request(&mut connection);
        connection.send(update);
        (recovered_at.elapsed(), connection)
    }
}

/// The limit also holds with many proxies and a long polling interval.
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
                let mut discovery = FaultyDiscovery::new(proxy.discovery.clone(), case);
                let outage = Duration::from_millis(discovery.rng.generate_range(500..7000));
                discovery.fail_until(Instant::now() + outage);
                let (took, mut watch) =
                    discovery.recover(&list_response(9, true, &[new.endpoint("in_service")]));
                read_request(&mut watch);
                assert!(
                    took < STALENESS_LIMIT,
                    "case {case}: {took:?} after an outage of {outage:?} with {:?}",
                    discovery.faults
                );
                // The proxy applies the update.
                let mut client = proxy.open_session("lift-1", ",d=3000");
                let _server = new.accept_session();
                assert_eq!(client.read_line(), "UP 0123");
            })
        })
        .collect();
    let failed = cases.into_iter().map(thread::JoinHandle::join).filter(Result::is_err).count();
    assert_eq!(failed, 0, "number of failed cases");
}

/// With three hundred proxies, a restarted one may have to wait up to four seconds for the scheduled time of its first
/// poll. Until then no client is served from the list known at startup.
#[test]
fn a_proxy_with_a_late_first_poll_is_ready_once_it_has_the_list() {
    let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(
        Settings { proxy_count: "300", max_poll_interval_ms: 10_000, seed: "7", ..DEFAULT },
        &[&old],
    );
    let mut front_end = proxy.connect();
    front_end.send("PING\r\n");
    let mut client = proxy.open_session("lift-1", ",d=9000");
    let mut call = wait_for(TEST_TIMEOUT, || proxy.discovery.try_accept());
    assert!(
        front_end.is_silent() && old.try_accept().is_none(),
        "no client is served from the list known at startup"
    );
    read_request(&mut call);
    call.send(&list_response(9, true, &[new.endpoint("in_service")]));
    assert_eq!(front_end.read_line(), "PONG");
    let _server = new.accept_session();
    assert_eq!(client.read_line(), "UP 0123");
    assert!(old.try_accept().is_none());
}

/// If its first poll gets no response in time, a proxy uses the list known at startup.
#[test]
fn a_proxy_without_a_response_to_its_first_poll_becomes_ready() {
    let old = FakeServer::new("s1");
    let proxy = ProxyProcess::start(
        Settings { proxy_count: "300", max_poll_interval_ms: 10_000, seed: "7", ..DEFAULT },
        &[&old],
    );
    let mut front_end = proxy.connect();
    front_end.send("PING\r\n");
    let _unanswered = wait_for(TEST_TIMEOUT, || proxy.discovery.try_accept());
    assert_eq!(front_end.read_line(), "PONG");
    let (_client, _server) = proxy.establish(&old);
}
