//! Watches that are silent, trickle, are reset or refused, alone and in a fleet before a slow discovery.
//!
//! The staleness limits: six seconds after a watch fell silent, four seconds after the reload that names a new discovery,
//! and none for the agent of a pushed list.

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

/// Three hundred processes poll the same discovery, and this seed draws a long pause after a refusal.
const MANY: Settings = Settings { proxy_count: "300", max_poll_interval_ms: 10_000, seed: "77", ..DEFAULT };

/// The pauses after refusals fit into what the silent watch has left of the limit.
#[test]
fn refusals_after_a_silent_watch_stay_within_the_staleness_limit() {
    let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(MANY, &[&old]);
    let (_silent, path) = proxy.discovery.next_poll();
    assert!(path.contains("index=7"), "{path}");
    let fell_silent = Instant::now();
    for _ in 0..2 {
        let (mut call, _) = proxy.discovery.next_poll();
        call.send(SERVICE_UNAVAILABLE);
    }
    let (mut call, _) = proxy.discovery.next_poll();
    call.send(&list_response(8, false, &[old.endpoint("terminating"), new.endpoint("in_service")]));
    read_request(&mut call);
    assert!(fell_silent.elapsed() < STALENESS_LIMIT, "{:?}", fell_silent.elapsed());
    let mut client = proxy.open_session("lift-1", ",d=3000");
    let _server = new.accept_session();
    assert_eq!(client.read_line(), "UP 0123");
}

/// The pauses after refusals fit into the limit after a reload.
#[test]
fn refusals_by_a_changed_discovery_stay_within_the_staleness_limit() {
    let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(MANY, &[&old]);
    let _watch = proxy.discovery.next_poll();
    let next = FakeServer::new("discovery");
    proxy.reload(&proxy.startup_file_with_discovery(&next));
    let signalled = Instant::now();
    for _ in 0..3 {
        let (mut call, path) = next.next_poll();
        assert_eq!(path, "/catalog/members");
        call.send(SERVICE_UNAVAILABLE);
    }
    let (mut call, _) = next.next_poll();
    call.send(&list_response(2, true, &[new.endpoint("in_service")]));
    read_request(&mut call);
    assert!(signalled.elapsed() < Duration::from_secs(4), "{:?}", signalled.elapsed());
}

#[test]
fn a_trickling_or_stalled_response_counts_as_silent() {
    let server = FakeServer::new("s1");
    let response =
        list_response(8, false, &[server.endpoint("terminating")]).replace("Length: ", "Length: 9");
    let (half, _) = response.split_at(response.len() / 2);
    for trickles in [false, true] {
        let proxy = ProxyProcess::start(MANY, &[&server]);
        let (mut call, _) = proxy.discovery.next_poll();
        let began = Instant::now();
        call.send(half);
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let trickle = thread::spawn(move || {
            // This does not complete the response: its length is far more.
            while trickles && !ends.load(Ordering::Relaxed) {
                if std::io::Write::write_all(&mut call.stream, b" ").is_err() {
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
            call
        });
        let (_next, path) = proxy.discovery.next_poll();
        assert!(path.contains("index=7"), "{path}");
        assert!(began.elapsed() < Duration::from_millis(3500), "{trickles}: {:?}", began.elapsed());
        over.store(true, Ordering::Relaxed);
        drop(trickle.join());
    }
}

/// What discovery has written counts as received, so that a new poll may not wait for a refusal's pause.
#[test]
fn an_unreadable_or_truncated_update_is_polled_again_at_once_with_backoff() {
    let server = FakeServer::new("s1");
    let proxy = ProxyProcess::start(MANY, &[&server]);
    let (mut call, _) = proxy.discovery.next_poll();
    let update = list_response(8, false, &[server.endpoint("terminating")]);
    let unlisted = list_response(8, false, &[r#"{"host":"s2","health":"in_service"}"#.to_owned()]);
    for (bad, ends) in [(&*unlisted, false), (&update[..update.len() - 9], true)] {
        call.send(&list_response(7, false, &[]));
        assert!(read_request(&mut call).contains("index=7"));
        call.send(bad);
        let written = Instant::now();
        if ends {
            call.shut_down_write();
        }
        call = proxy.discovery.next_poll().0;
        assert!(written.elapsed() < Duration::from_millis(150), "{:?}", written.elapsed());
    }
    let first = Instant::now();
    let mut asked = 0;
    while first.elapsed() < Duration::from_millis(2000) {
        let _ = std::io::Write::write_all(&mut call.stream, unlisted.as_bytes());
        call = proxy.discovery.next_poll().0;
        asked += 1;
    }
    assert!((3..12).contains(&asked), "{asked}");
    call.send(&update);
    assert!(read_request(&mut call).contains("index=8"));
}

/// Neither a call nor a connection attempt from the outage delays the first poll after it.
#[test]
fn a_pushed_list_arrives_at_once_after_an_agent_outage_with_hung_calls() {
    let (old, new) = (FakeServer::new("s1"), FakeServer::new("s2"));
    let proxy = ProxyProcess::start(PUSHED_LIST, &[&old]);
    let (mut call, _) = proxy.discovery.next_poll();
    call.send(&list_response(9, true, &[old.endpoint("in_service")]));
    read_request(&mut call);
    // The outage: the watch ends, and what is polled then is never answered.
    call.reset();
    let hung: Vec<_> = (0..4).map(|_| proxy.discovery.next_poll()).collect();
    assert!(hung.iter().all(|(_, path)| path.contains("index=9")));
    let back = Instant::now();
    let (mut call, _) = proxy.discovery.next_poll();
    call.send(&list_response(10, false, &[old.endpoint("terminating"), new.endpoint("in_service")]));
    read_request(&mut call);
    assert!(back.elapsed() < Duration::from_millis(600), "{:?}", back.elapsed());
}

/// A discovery that answers in turn, a tenth of a second and more for each poll, and refuses polls that would wait for over
/// a second.
struct Slow {
    silent: AtomicBool,
    waiting: AtomicUsize,
    turn: Mutex<()>,
    /// When the update was written to each process.
    updated_at: Mutex<Vec<Instant>>,
    held: AtomicUsize,
    refused: AtomicUsize,
    server: String,
}

impl Slow {
    const EACH: Duration = Duration::from_millis(120);
    const MOST: usize = 8;

    fn serve(self: &Arc<Self>, mut connection: Connection) {
        let me = self.clone();
        thread::spawn(move || {
            let mut first = true;
            loop {
                let path = read_request(&mut connection);
                if path.is_empty() {
                    return;
                }
                let wait = path.split("wait=").nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(0);
                if !first || !me.silent.load(Ordering::SeqCst) {
                    // Between updates a watch is answered when its wait is over, or never once it falls silent.
                    me.held.fetch_add(usize::from(first), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(wait));
                    if me.silent.load(Ordering::SeqCst) && path.contains("index=7") {
                        return connection.wait_for_close();
                    }
                    let seq = if path.contains("index=8") { 8 } else { 7 };
                    connection.send(&list_response(seq, false, &[]));
                } else if me.waiting.fetch_add(1, Ordering::SeqCst) >= Self::MOST {
                    me.waiting.fetch_sub(1, Ordering::SeqCst);
                    me.refused.fetch_add(1, Ordering::SeqCst);
                    connection.send(SERVICE_UNAVAILABLE);
                    return;
                } else {
                    let turn = me.turn.lock().unwrap();
                    thread::sleep(Self::EACH);
                    drop(turn);
                    me.waiting.fetch_sub(1, Ordering::SeqCst);
                    connection.send(&list_response(8, false, std::slice::from_ref(&me.server)));
                    me.updated_at.lock().unwrap().push(Instant::now());
                }
                first = false;
            }
        });
    }
}

/// Watches that were answered at the same update and fall silent together must not all be retried in one instant.
#[test]
fn many_silent_watches_all_recover_in_time_from_a_slow_discovery() {
    const PROXIES: usize = 24;
    let server = FakeServer::new("s1");
    let discovery = Arc::new(FakeServer::new("discovery"));
    let slow = Arc::new(Slow {
        silent: AtomicBool::new(false),
        waiting: AtomicUsize::new(0),
        turn: Mutex::default(),
        updated_at: Mutex::default(),
        held: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
        server: server.endpoint("terminating"),
    });
    let (taking, asked) = (slow.clone(), discovery.clone());
    let over = Arc::new(AtomicBool::new(false));
    let ends = over.clone();
    let takes = thread::spawn(move || {
        while !ends.load(Ordering::SeqCst) {
            match asked.try_accept() {
                Some(connection) => taking.serve(connection),
                None => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    let settings = || Settings { proxy_count: "24", max_poll_interval_ms: 10_000, ..DEFAULT };
    let proxies: Vec<_> = (0..PROXIES)
        .map(|_| ProxyProcess::start_with_discovery(discovery.clone(), settings(), &[&server]))
        .collect();
    wait_for(TEST_TIMEOUT, || (slow.held.load(Ordering::SeqCst) >= PROXIES).then_some(()));
    slow.silent.store(true, Ordering::SeqCst);
    let fell_silent = Instant::now();
    wait_for(TEST_TIMEOUT * 2, || (slow.updated_at.lock().unwrap().len() >= PROXIES).then_some(()));
    let last = slow.updated_at.lock().unwrap().iter().map(|at| *at - fell_silent).max().unwrap();
    assert!(last < STALENESS_LIMIT, "{last:?}, {} refused", slow.refused.load(Ordering::SeqCst));
    over.store(true, Ordering::SeqCst);
    takes.join().unwrap();
    drop(proxies);
}
