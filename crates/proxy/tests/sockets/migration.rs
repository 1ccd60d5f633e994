//! Instances of the old shape and of the new one before the same servers, as during a move.

use crate::stand::{within, Place, Program, Settings, Wire, LONG, USUAL};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;

/// Few proxies, customers with bounds, and servers that may be asked.
const OLD: Settings = Settings { probes: true, balancers: "3", quota: "90", ..USUAL };
/// More proxies than servers, no bounds, nothing to ask, and servers that tell.
const NEW: Settings = Settings { tells_delay: true, balancers: "60", quota: "null", ..USUAL };

/// What the servers were sent: the first line of each connection, and whether it was taken up.
type Sent = Arc<Mutex<Vec<(String, String, bool)>>>;

/// Serves at this place, with room for so many at a time, for as long as the test lasts.
fn serve(place: Arc<Place>, room: usize, sent: Sent) {
    let held = Arc::new(Mutex::new(0));
    thread::spawn(move || loop {
        let mut wire = within(LONG * 10, || place.try_accept());
        let (place, sent, held) = (place.clone(), sent.clone(), held.clone());
        thread::spawn(move || {
            let mut line = wire.line();
            while line == "PING" {
                wire.say("PONG\r\n");
                line = wire.line();
            }
            if !line.starts_with("OPEN ") {
                return;
            }
            let id = line.split(' ').nth(1).unwrap_or_default().to_owned();
            let taken = {
                let mut held = held.lock().unwrap();
                let taken = *held < room;
                *held += usize::from(taken);
                taken
            };
            sent.lock().unwrap().push((place.name.clone(), id, taken));
            wire.say(if taken { "UP 0123\r\n" } else { "BUSY\r\n" });
            if taken {
                wire.lasts();
                *held.lock().unwrap() -= 1;
            }
        });
    });
}

/// Two instances of the old shape and three of the new.
fn both_kinds(places: &[Arc<Place>]) -> Vec<(&'static str, Program)> {
    let known: Vec<&Place> = places.iter().map(|place| &**place).collect();
    let kinds = [("old", OLD), ("old", OLD), ("new", NEW), ("new", NEW), ("new", NEW)];
    kinds.into_iter().map(|(kind, settings)| (kind, Program::start(settings, &known))).collect()
}

/// Has so many clients of four groups come to one proxy after the other, each again until it is up or has come ten
/// times. Gives those that are up, by the kind of their proxy.
fn come(
    programs: &[(&'static str, Program)],
    clients: usize,
    name: &str,
) -> BTreeMap<&'static str, Vec<Wire>> {
    let mut up: BTreeMap<&str, Vec<Wire>> = BTreeMap::new();
    for i in 0..clients {
        let (kind, program) = &programs[i % programs.len()];
        for again in 0..10 {
            let more = format!(",d=3000,g=g{},again={}", i % 4, u8::from(again > 0));
            let mut client = program.opens(&format!("{name}-{i}"), &more);
            let answer = client.line();
            if answer.starts_with("UP ") {
                up.entry(kind).or_default().push(client);
                break;
            }
            // Nothing but a pushback may end a try here, and nothing may come after it.
            assert!(answer.starts_with("BUSY"), "{answer}");
            assert_eq!(client.line(), "", "one final answer");
        }
    }
    up
}

#[test]
fn both_kinds_keep_the_rules_and_neither_starves_the_other() {
    let places: Vec<_> = (1..=5).map(|i| Arc::new(Place::new(&format!("s{i}")))).collect();
    let sent = Sent::default();
    // Each holds a fourth of all clients; the last one is not listed yet.
    places.iter().for_each(|place| serve(place.clone(), 20, sent.clone()));
    let programs = both_kinds(&places[..4]);
    let up = come(&programs, 60, "first");
    // Two fifths and three fifths of sixty came to either kind, and there is room for eighty.
    assert!(up["old"].len() >= 22 && up["new"].len() >= 34, "{} {}", up["old"].len(), up["new"].len());

    // One server drains, another comes; either kind hears of it, and nothing new goes to the one that drains.
    let news = [places[0].entry("terminating"), places[4].entry("in_service")];
    let _calls: Vec<_> = programs.iter().map(|(_, program)| program.hears(&news)).collect();
    let before = sent.lock().unwrap().len();
    assert!(sent.lock().unwrap().iter().any(|(place, ..)| place == "s1"), "it had its share until then");
    let more = come(&programs, 15, "second");
    let sent = sent.lock().unwrap();
    assert!(sent[before..].iter().all(|(place, ..)| place != "s1"), "{:?}", &sent[before..]);
    assert!(more["old"].len() >= 5 && more["new"].len() >= 8, "{} {}", more["old"].len(), more["new"].len());

    // No session was taken up twice, whichever kind sent it.
    let mut taken: Vec<_> = sent.iter().filter(|s| s.2).map(|s| &s.1).collect();
    let all = taken.len();
    taken.sort();
    taken.dedup();
    assert_eq!(taken.len(), all);
    drop(sent);
    drop((up, more));
    for (_, program) in programs {
        program.ends();
    }
}
