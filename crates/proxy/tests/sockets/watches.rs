//! Stories of watches that are silent, trickle, are reset or refused, alone and in a fleet before a slow discovery.
//!
//! What a silent watch misses counts as told six seconds after it fell silent; what a new discovery has, four seconds
//! after SIGHUP; and what the agent of a pushed list has, at once.

use crate::stand::{list, next_call, within, Place, Program, Settings, Wire, LONG, PUSHED, USUAL};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const COUNTS_AFTER: Duration = Duration::from_secs(6);

/// Three hundred ask the same discovery, and chance would have this one pause for long after a refusal.
const MANY: Settings = Settings { balancers: "300", must_ask_ms: 10_000, seed: "77", ..USUAL };

/// The pause after a refusal was spread over up to eight seconds, where 1.7 were left.
#[test]
fn refusals_after_a_silent_watch_do_not_outlast_the_time_at_which_its_news_counts_as_told() {
    let (old, new) = (Place::new("s1"), Place::new("s2"));
    let program = Program::start(MANY, &[&old]);
    let (_silent, path) = program.discovery.called();
    assert!(path.contains("index=7"), "{path}");
    let fell_silent = Instant::now();
    for _ in 0..2 {
        let (mut call, _) = program.discovery.called();
        call.say(REFUSAL);
    }
    let (mut call, _) = program.discovery.called();
    call.say(&list(8, false, &[old.entry("terminating"), new.entry("in_service")]));
    next_call(&mut call);
    assert!(fell_silent.elapsed() < COUNTS_AFTER, "{:?}", fell_silent.elapsed());
    let mut client = program.opens("lift-1", ",d=3000");
    let _server = new.serve();
    assert_eq!(client.line(), "UP 0123");
}

/// A new discovery that refuses was asked again after up to eight seconds.
#[test]
fn refusals_by_a_new_discovery_do_not_outlast_the_time_at_which_its_list_counts_as_told() {
    let (old, new) = (Place::new("s1"), Place::new("s2"));
    let program = Program::start(MANY, &[&old]);
    let _watch = program.discovery.called();
    let next = Place::new("discovery");
    program.reads_again(&program.text_with(&next));
    let signalled = Instant::now();
    for _ in 0..3 {
        let (mut call, path) = next.called();
        assert_eq!(path, "/catalog/members");
        call.say(REFUSAL);
    }
    let (mut call, _) = next.called();
    call.say(&list(2, true, &[new.entry("in_service")]));
    next_call(&mut call);
    assert!(signalled.elapsed() < Duration::from_secs(4), "{:?}", signalled.elapsed());
}

#[test]
fn an_answer_that_trickles_or_stops_in_the_middle_is_silence_too() {
    let server = Place::new("s1");
    let answer = list(8, false, &[server.entry("terminating")]).replace("Length: ", "Length: 9");
    let (half, _) = answer.split_at(answer.len() / 2);
    for trickles in [false, true] {
        let program = Program::start(MANY, &[&server]);
        let (mut call, _) = program.discovery.called();
        let began = Instant::now();
        call.say(half);
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let trickle = thread::spawn(move || {
            // Not the answer's end: its length is far more.
            while trickles && !ends.load(Ordering::Relaxed) {
                if std::io::Write::write_all(&mut call.stream, b" ").is_err() {
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
            call
        });
        let (_next, path) = program.discovery.called();
        assert!(path.contains("index=7"), "{path}");
        assert!(began.elapsed() < Duration::from_millis(3500), "{trickles}: {:?}", began.elapsed());
        over.store(true, Ordering::Relaxed);
        drop(trickle.join());
    }
}

/// It was asked for again after a refusal's pause, eight seconds in a large fleet, though what is written counts as told.
#[test]
fn news_that_cannot_be_read_or_breaks_off_is_asked_for_anew_at_once_but_not_without_end() {
    let server = Place::new("s1");
    let program = Program::start(MANY, &[&server]);
    let (mut call, _) = program.discovery.called();
    let news = list(8, false, &[server.entry("terminating")]);
    let unlisted = list(8, false, &[r#"{"host":"s2","health":"in_service"}"#.to_owned()]);
    for (bad, ends) in [(&*unlisted, false), (&news[..news.len() - 9], true)] {
        call.say(&list(7, false, &[]));
        assert!(next_call(&mut call).contains("index=7"));
        call.say(bad);
        let written = Instant::now();
        if ends {
            call.finish();
        }
        call = program.discovery.called().0;
        assert!(written.elapsed() < Duration::from_millis(150), "{:?}", written.elapsed());
    }
    let first = Instant::now();
    let mut asked = 0;
    while first.elapsed() < Duration::from_millis(2000) {
        let _ = std::io::Write::write_all(&mut call.stream, unlisted.as_bytes());
        call = program.discovery.called().0;
        asked += 1;
    }
    assert!((3..12).contains(&asked), "{asked}");
    call.say(&news);
    assert!(next_call(&mut call).contains("index=8"));
}

/// A call from the outage was given up after three or 4.3 seconds, a dial after one.
#[test]
fn a_pushed_list_is_had_at_once_when_its_agent_is_back_though_calls_hung_in_the_outage() {
    let (old, new) = (Place::new("s1"), Place::new("s2"));
    let program = Program::start(PUSHED, &[&old]);
    let (mut call, _) = program.discovery.called();
    call.say(&list(9, true, &[old.entry("in_service")]));
    next_call(&mut call);
    // The outage: its watch ends, and what is asked then hangs, for good.
    call.reset();
    let hung: Vec<_> = (0..4).map(|_| program.discovery.called()).collect();
    assert!(hung.iter().all(|(_, path)| path.contains("index=9")));
    let back = Instant::now();
    let (mut call, _) = program.discovery.called();
    call.say(&list(10, false, &[old.entry("terminating"), new.entry("in_service")]));
    next_call(&mut call);
    assert!(back.elapsed() < Duration::from_millis(600), "{:?}", back.elapsed());
}

/// A discovery that works through calls in turn, a tenth of a second and more for each, and turns away whom it would
/// keep waiting for over a second.
struct Slow {
    silent: AtomicBool,
    waiting: AtomicUsize,
    turn: Mutex<()>,
    /// When the news was written to each that asked.
    told: Mutex<Vec<Instant>>,
    held: AtomicUsize,
    refused: AtomicUsize,
    server: String,
}

impl Slow {
    const EACH: Duration = Duration::from_millis(120);
    const MOST: usize = 8;

    fn serve(self: &Arc<Self>, mut wire: Wire) {
        let me = self.clone();
        thread::spawn(move || {
            let mut first = true;
            loop {
                let path = next_call(&mut wire);
                if path.is_empty() {
                    return;
                }
                let wait = path.split("wait=").nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(0);
                if !first || !me.silent.load(Ordering::SeqCst) {
                    // Between changes a watch is answered when its wait is over, or never, where it falls silent.
                    me.held.fetch_add(usize::from(first), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(wait));
                    if me.silent.load(Ordering::SeqCst) && path.contains("index=7") {
                        return wire.lasts();
                    }
                    let seq = if path.contains("index=8") { 8 } else { 7 };
                    wire.say(&list(seq, false, &[]));
                } else if me.waiting.fetch_add(1, Ordering::SeqCst) >= Self::MOST {
                    me.waiting.fetch_sub(1, Ordering::SeqCst);
                    me.refused.fetch_add(1, Ordering::SeqCst);
                    wire.say(REFUSAL);
                    return;
                } else {
                    let turn = me.turn.lock().unwrap();
                    thread::sleep(Self::EACH);
                    drop(turn);
                    me.waiting.fetch_sub(1, Ordering::SeqCst);
                    wire.say(&list(8, false, std::slice::from_ref(&me.server)));
                    me.told.lock().unwrap().push(Instant::now());
                }
                first = false;
            }
        });
    }
}

/// All watches were answered at the same change, so that their waits ran in phase: silent together, all were asked anew
/// in one instant, most were refused, and the next try came seconds too late.
#[test]
fn dozens_whose_watches_fall_silent_together_all_have_the_news_in_time_from_a_slow_discovery() {
    const PROXIES: usize = 24;
    let server = Place::new("s1");
    let discovery = Arc::new(Place::new("discovery"));
    let slow = Arc::new(Slow {
        silent: AtomicBool::new(false),
        waiting: AtomicUsize::new(0),
        turn: Mutex::default(),
        told: Mutex::default(),
        held: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
        server: server.entry("terminating"),
    });
    let (taking, asked) = (slow.clone(), discovery.clone());
    let over = Arc::new(AtomicBool::new(false));
    let ends = over.clone();
    let takes = thread::spawn(move || {
        while !ends.load(Ordering::SeqCst) {
            match asked.try_accept() {
                Some(wire) => taking.serve(wire),
                None => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    let settings = || Settings { balancers: "24", must_ask_ms: 10_000, ..USUAL };
    let programs: Vec<_> =
        (0..PROXIES).map(|_| Program::start_before(discovery.clone(), settings(), &[&server])).collect();
    within(LONG, || (slow.held.load(Ordering::SeqCst) >= PROXIES).then_some(()));
    slow.silent.store(true, Ordering::SeqCst);
    let fell_silent = Instant::now();
    within(LONG * 2, || (slow.told.lock().unwrap().len() >= PROXIES).then_some(()));
    let last = slow.told.lock().unwrap().iter().map(|at| *at - fell_silent).max().unwrap();
    assert!(last < COUNTS_AFTER, "{last:?}, {} refused", slow.refused.load(Ordering::SeqCst));
    over.store(true, Ordering::SeqCst);
    takes.join().unwrap();
    drop(programs);
}
