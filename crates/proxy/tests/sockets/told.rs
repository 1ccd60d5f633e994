//! The clock by which a change counts as told, on sockets: discoveries that refuse, reset, delay, trickle, lose or spoil
//! calls in drawn orders, and can then be reached.

use crate::stand::{list, next_call, within, Place, Program, Settings, Wire, LONG, USUAL};
use nanorand::{Rng, WyRand};
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const COUNTS_AFTER: Duration = Duration::from_secs(6);
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What a discovery that cannot be reached, or is not well, does with the calls that come.
struct Unwell {
    place: Arc<Place>,
    chance: WyRand,
    /// Calls that are not answered, each held open; every now and then a byte of an answer comes on some.
    held: Vec<(Wire, bool)>,
    /// Calls that are kept waiting, and when they are refused.
    kept: Vec<(Wire, Instant)>,
    calls: Vec<&'static str>,
}

impl Unwell {
    fn before(place: Arc<Place>, seed: u64) -> Self {
        let chance = WyRand::new_seed(seed);
        Unwell { place, chance, held: Vec::new(), kept: Vec::new(), calls: Vec::new() }
    }

    fn take(&mut self, mut wire: Wire) {
        next_call(&mut wire);
        let kinds = ["refused", "reset", "kept", "hung", "trickled", "spoilt"];
        let kind = kinds[self.chance.generate_range(0..kinds.len())];
        self.calls.push(kind);
        match kind {
            "refused" => drop(wire.say(REFUSAL)),
            "reset" => wire.reset(),
            "kept" => {
                let for_ms = self.chance.generate_range(0..2000);
                self.kept.push((wire, Instant::now() + Duration::from_millis(for_ms)));
            }
            "hung" => self.held.push((wire, false)),
            "trickled" => {
                wire.say("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n");
                self.held.push((wire, true));
            }
            _ => drop(wire.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":8,")),
        }
    }

    fn lasts_until(&mut self, end: Instant) {
        while Instant::now() < end {
            if let Some(wire) = self.place.try_accept() {
                self.take(wire);
            }
            let now = Instant::now();
            for (mut wire, _) in self.kept.extract_if(.., |kept| kept.1 <= now) {
                let _ = wire.stream.write_all(REFUSAL.as_bytes());
            }
            for (wire, _) in self.held.iter_mut().filter(|held| held.1) {
                let _ = wire.stream.write_all(b" ");
            }
            thread::sleep(Duration::from_millis(3));
        }
        // Who is kept until it can be reached is refused no more, but not heard either.
        self.held.extend(self.kept.drain(..).map(|(wire, _)| (wire, false)));
    }

    /// From now on it is well; how long it takes until it is asked, and has written its news.
    fn tells(&mut self, news: &str) -> (Duration, Wire) {
        let well = Instant::now();
        let mut wire = within(LONG, || self.place.try_accept());
        next_call(&mut wire);
        wire.say(news);
        (well.elapsed(), wire)
    }
}

/// In a large fleet, and where there is long to ask in, the pause after a refusal was up to eight seconds.
#[test]
fn whatever_discovery_did_before_its_news_is_had_six_seconds_after_it_can_be_reached() {
    let settings = [("300", 10_000), ("3800", 60_000), ("3", 10_000), ("300", 2_000)];
    let cases: Vec<_> = (0..24u64)
        .map(|case| {
            let (balancers, must_ask_ms) = settings[case as usize % settings.len()];
            thread::spawn(move || {
                let (old, new) = (Place::new("s1"), Place::new("s2"));
                let seed = &*format!("{case:x}").leak();
                let program = Program::start(Settings { balancers, must_ask_ms, seed, ..USUAL }, &[&old]);
                let mut unwell = Unwell::before(program.discovery.clone(), case);
                let lasts = Duration::from_millis(unwell.chance.generate_range(500..7000));
                unwell.lasts_until(Instant::now() + lasts);
                let (took, mut watch) = unwell.tells(&list(9, true, &[new.entry("in_service")]));
                next_call(&mut watch);
                assert!(took < COUNTS_AFTER, "case {case}: {took:?} after {lasts:?} of {:?}", unwell.calls);
                // And it goes by it.
                let mut client = program.opens("lift-1", ",d=3000");
                let _server = new.serve();
                assert_eq!(client.line(), "UP 0123");
            })
        })
        .collect();
    let failed = cases.into_iter().map(thread::JoinHandle::join).filter(Result::is_err).count();
    assert_eq!(failed, 0, "cases that failed");
}

/// One of three hundred was started again and took clients at once, though its turn to ask came up to four seconds later: a
/// server that had left the list while it was away was sent a request 6.6 s after that.
#[test]
fn who_asks_late_among_many_is_ready_once_it_has_the_list() {
    let (old, new) = (Place::new("s1"), Place::new("s2"));
    let program =
        Program::start(Settings { balancers: "300", must_ask_ms: 10_000, seed: "7", ..USUAL }, &[&old]);
    let mut front = program.client();
    front.say("PING\r\n");
    let mut client = program.opens("lift-1", ",d=9000");
    let mut call = within(LONG, || program.discovery.try_accept());
    assert!(front.is_quiet() && old.try_accept().is_none(), "nobody is served by a list from before");
    next_call(&mut call);
    call.say(&list(9, true, &[new.entry("in_service")]));
    assert_eq!(front.line(), "PONG");
    let _server = new.serve();
    assert_eq!(client.line(), "UP 0123");
    assert!(old.try_accept().is_none());
}

/// And one that has no answer in its turn serves by what it knew.
#[test]
fn who_has_no_answer_in_its_turn_is_ready_all_the_same() {
    let old = Place::new("s1");
    let program =
        Program::start(Settings { balancers: "300", must_ask_ms: 10_000, seed: "7", ..USUAL }, &[&old]);
    let mut front = program.client();
    front.say("PING\r\n");
    let _hangs = within(LONG, || program.discovery.try_accept());
    assert_eq!(front.line(), "PONG");
    let (_client, _server) = program.settles(&old);
}
