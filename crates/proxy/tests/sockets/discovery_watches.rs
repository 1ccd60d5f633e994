//! Watches that get no response, a trickling one, a reset or a rejection, for a single proxy and for many proxies with
//! a slow discovery service.
//!
//! The staleness limits: six seconds after a watch became silent, four seconds after a reload with the address of a new
//! discovery service, and no delay after the outage of the agent of a pushed list.

use crate::harness::{
    list_response, read_request, wait_for, Connection, FakeServer, ProxyProcess, Settings, DEFAULT,
    PUSHED_LIST, TEST_TIMEOUT,
};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE_UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const STALENESS_LIMIT: Duration = Duration::from_secs(6);

/// The settings of one of three hundred proxies. With this seed, the delay after a rejected poll is long.
const MANY_PROXIES: Settings =
    Settings { proxy_count: "300", max_poll_interval_ms: 10_000, seed: "77", ..DEFAULT };

/// The delays after rejected polls fit into the time that is left after the silent watch.
#[test]
fn rejected_polls_after_a_silent_watch_stay_within_the_staleness_limit() {
    let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(MANY_PROXIES, &[&old]);
    let (_silent_watch, path) = proxy.discovery.next_poll();
    assert!(path.contains("index=7"), "{path}");
    let silent_since = Instant::now();
    for _ in 0..2 {
        let (mut call, _) = proxy.discovery.next_poll();
        call.send(SERVICE_UNAVAILABLE);
    }
    let (mut call, _) = proxy.discovery.next_poll();
    call.send(&list_response(8, false, &[old.endpoint("terminating"), new.endpoint("in_service")]));
    read_request(&mut call);
    assert!(silent_since.elapsed() < STALENESS_LIMIT, "{:?}", silent_since.elapsed());
    let mut client = proxy.open_session("lift-1", ",d=3000");
    let _server = new.accept_session();
    assert_eq!(client.read_line(), "UP 0123");
}

/// The delays after rejected polls fit into the limit after a reload.
#[test]
fn rejected_polls_of_a_changed_discovery_stay_within_the_staleness_limit() {
    let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(MANY_PROXIES, &[&old]);
    let _watch = proxy.discovery.next_poll();
    let next = FakeServer::new("discovery");
    proxy.reload(&proxy.startup_file_with_discovery(&next));
    let reloaded_at = Instant::now();
    for _ in 0..3 {
        let (mut call, path) = next.next_poll();
        assert_eq!(path, "/catalog/members");
        call.send(SERVICE_UNAVAILABLE);
    }
    let (mut call, _) = next.next_poll();
    call.send(&list_response(2, true, &[new.endpoint("in_service")]));
    read_request(&mut call);
    assert!(reloaded_at.elapsed() < Duration::from_secs(4), "{:?}", reloaded_at.elapsed());
}

#[test]
fn a_trickling_or_stalled_response_counts_as_silent() {
    let server = FakeServer::new("s1");
    let response =
        list_response(8, false, &[server.endpoint("terminating")]).replace("Length: ", "Length: 9");
    let (first_half, _) = response.split_at(response.len() / 2);
    for trickles in [false, true] {
        let proxy = ProxyProcess::start(MANY_PROXIES, &[&server]);
        let (mut call, _) = proxy.discovery.next_poll();
        let started_at = Instant::now();
        call.send(first_half);
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = is_stopped.clone();
        let trickle_thread = thread::spawn(move || {
            // These bytes never complete the response, as its declared length is much larger.
            while trickles && !stop_flag.load(Ordering::Relaxed) {
                if std::io::Write::write_all(&mut call.stream, b" ").is_err() {
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
            call
        });
        let (_next, path) = proxy.discovery.next_poll();
        assert!(path.contains("index=7"), "{path}");
        assert!(
            started_at.elapsed() < Duration::from_millis(3500),
            "trickles: {trickles}, {:?}",
            started_at.elapsed()
        );
        is_stopped.store(true, Ordering::Relaxed);
        drop(trickle_thread.join());
    }
}

/// An update that discovery has written counts as received, so the next poll must not be delayed as after a rejection.
#[test]
fn an_unreadable_or_truncated_update_is_polled_again_at_once_with_backoff() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(MANY_PROXIES, &[&server]);
    let (mut call, _) = proxy.discovery.next_poll();
    let update = list_response(8, false, &[server.endpoint("terminating")]);
    let without_address = list_response(8, false, &[r#"{"host":"s2","health":"in_service"}"#.to_owned()]);
    for (invalid_update, closes) in [(&*without_address, false), (&update[..update.len() - 9], true)] {
        call.send(&list_response(7, false, &[]));
        assert!(read_request(&mut call).contains("index=7"));
        call.send(invalid_update);
        let written_at = Instant::now();
        if closes {
            call.shut_down_write();
        }
        call = proxy.discovery.next_poll().0;
        assert!(written_at.elapsed() < Duration::from_millis(150), "{:?}", written_at.elapsed());
    }
    let started_at = Instant::now();
    let mut polls = 0;
    while started_at.elapsed() < Duration::from_millis(2000) {
        let _ = std::io::Write::write_all(&mut call.stream, without_address.as_bytes());
        call = proxy.discovery.next_poll().0;
        polls += 1;
    }
    assert!((3..12).contains(&polls), "{polls}");
    call.send(&update);
    assert!(read_request(&mut call).contains("index=8"));
}

/// Neither a call nor a connection attempt during the outage delays the first poll after it.
#[test]
fn a_pushed_list_arrives_at_once_after_an_agent_outage_with_unanswered_calls() {
    let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(PUSHED_LIST, &[&old]);
    let (mut call, _) = proxy.discovery.next_poll();
    call.send(&list_response(9, true, &[old.endpoint("in_service")]));
    read_request(&mut call);
    // The outage: the watch is reset, and the following polls get no response.
    call.reset();
    let unanswered: Vec<_> = (0..4).map(|_| proxy.discovery.next_poll()).collect();
    assert!(unanswered.iter().all(|(_, path)| path.contains("index=9")));
    let recovered_at = Instant::now();
    let (mut call, _) = proxy.discovery.next_poll();
    call.send(&list_response(10, false, &[old.endpoint("terminating"), new.endpoint("in_service")]));
    read_request(&mut call);
    assert!(recovered_at.elapsed() < Duration::from_millis(600), "{:?}", recovered_at.elapsed());
}

/// A poll that reached a slow discovery service, with the times of its stages.
#[derive(Debug)]
enum HandledPoll {
    Rejected { at: Instant },
    Answered { queued_at: Instant, taken_at: Instant, answered_at: Instant },
}

impl HandledPoll {
    /// The stages in milliseconds since `start`.
    fn describe(&self, start: Instant) -> String {
        let ms = |at: &Instant| at.saturating_duration_since(start).as_millis();
        match self {
            HandledPoll::Rejected { at } => format!("{} rejected", ms(at)),
            HandledPoll::Answered { queued_at, taken_at, answered_at } => {
                format!("{} queued, taken {}, answered {}", ms(queued_at), ms(taken_at), ms(answered_at))
            }
        }
    }
}

/// A discovery service that responds to one poll at a time, and rejects polls that would wait for about a second.
struct SlowDiscovery {
    /// Whether the watches get no more responses.
    is_silent: AtomicBool,
    queued_polls: AtomicUsize,
    /// Held while a response is prepared.
    response_lock: Mutex<()>,
    /// The polls after the service has become silent, in the order in which it was done with them.
    handled_polls: Mutex<Vec<HandledPoll>>,
    /// The number of connections whose first request has been held as a watch.
    watches: AtomicUsize,
    /// The entry of the update.
    updated_endpoint: String,
}

impl SlowDiscovery {
    const RESPONSE_TIME: Duration = Duration::from_millis(120);
    const MAX_QUEUED_POLLS: usize = 8;

    fn serve(self: &Arc<Self>, mut connection: Connection) {
        let discovery = self.clone();
        thread::spawn(move || {
            let mut is_first_request = true;
            loop {
                let path = read_request(&mut connection);
                if path.is_empty() {
                    return;
                }
                let wait = path.split("wait=").nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(0);
                if !is_first_request || !discovery.is_silent.load(Ordering::SeqCst) {
                    // A watch without an update gets a response at the end of its wait, or none once the service is
                    // silent.
                    discovery.watches.fetch_add(usize::from(is_first_request), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(wait));
                    if discovery.is_silent.load(Ordering::SeqCst) && path.contains("index=7") {
                        return connection.wait_for_close();
                    }
                    let seq = if path.contains("index=8") { 8 } else { 7 };
                    connection.send(&list_response(seq, false, &[]));
                } else if discovery.queued_polls.fetch_add(1, Ordering::SeqCst) >= Self::MAX_QUEUED_POLLS {
                    discovery.queued_polls.fetch_sub(1, Ordering::SeqCst);
                    let rejected = HandledPoll::Rejected { at: Instant::now() };
                    discovery.handled_polls.lock().unwrap().push(rejected);
                    connection.send(SERVICE_UNAVAILABLE);
                    return;
                } else {
                    let queued_at = Instant::now();
                    let responding = discovery.response_lock.lock().unwrap();
                    let taken_at = Instant::now();
                    thread::sleep(Self::RESPONSE_TIME);
                    drop(responding);
                    discovery.queued_polls.fetch_sub(1, Ordering::SeqCst);
                    connection.send(&list_response(
                        8,
                        false,
                        std::slice::from_ref(&discovery.updated_endpoint),
                    ));
                    let answered = HandledPoll::Answered { queued_at, taken_at, answered_at: Instant::now() };
                    discovery.handled_polls.lock().unwrap().push(answered);
                }
                is_first_request = false;
            }
        });
    }
}

/// Watches that got the same update and become silent together must not all be retried at the same moment.
#[test]
fn many_silent_watches_all_recover_in_time_from_a_slow_discovery() {
    const PROXIES: usize = 24;
    /// Multiplier for consecutive seeds, whose first random numbers would otherwise be similar.
    const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let server = FakeServer::new("s1");
    let listener = Arc::new(FakeServer::new("discovery"));
    let discovery = Arc::new(SlowDiscovery {
        is_silent: AtomicBool::new(false),
        queued_polls: AtomicUsize::new(0),
        response_lock: Mutex::default(),
        handled_polls: Mutex::default(),
        watches: AtomicUsize::new(0),
        updated_endpoint: server.endpoint("terminating"),
    });
    let (serving, accepting) = (discovery.clone(), listener.clone());
    let is_stopped = Arc::new(AtomicBool::new(false));
    let stop_flag = is_stopped.clone();
    let accept_thread = thread::spawn(move || {
        while !stop_flag.load(Ordering::SeqCst) {
            match accepting.try_accept() {
                Some(connection) => serving.serve(connection),
                None => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    let proxies: Vec<_> = (0..PROXIES)
        .map(|i| {
            let seed = format!("{:016x}", SEED_MULTIPLIER.wrapping_mul(i as u64 + 1)).leak();
            let settings = Settings { proxy_count: "24", max_poll_interval_ms: 10_000, seed, ..DEFAULT };
            ProxyProcess::start_with_discovery(listener.clone(), settings, &[&server])
        })
        .collect();
    wait_for(TEST_TIMEOUT, || (discovery.watches.load(Ordering::SeqCst) >= PROXIES).then_some(()));
    discovery.is_silent.store(true, Ordering::SeqCst);
    let silent_since = Instant::now();
    let updated_at = || -> Vec<Instant> {
        let answer_time = |poll: &HandledPoll| match poll {
            HandledPoll::Answered { answered_at, .. } => Some(*answered_at),
            HandledPoll::Rejected { .. } => None,
        };
        discovery.handled_polls.lock().unwrap().iter().filter_map(answer_time).collect()
    };
    wait_for(TEST_TIMEOUT * 2, || (updated_at().len() >= PROXIES).then_some(()));
    let last = updated_at().iter().map(|at| *at - silent_since).max().unwrap();
    let polls: Vec<_> =
        discovery.handled_polls.lock().unwrap().iter().map(|poll| poll.describe(silent_since)).collect();
    assert!(last < STALENESS_LIMIT, "{last:?}; polls in ms since the watches are silent: {polls:#?}");
    let rejected = polls.len() - updated_at().len();
    assert!(rejected < PROXIES, "{rejected} rejected: retried at the same moments; {polls:#?}");
    is_stopped.store(true, Ordering::SeqCst);
    accept_thread.join().unwrap();
    drop(proxies);
}
