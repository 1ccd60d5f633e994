//! Stories of processes that are started again: whatever discovery does and whoever comes, nine in ten are ready in time.

use crate::room::Crowd;
use crate::stand::{list, next_call, within, Place, Program, Settings, Wire, LONG, PROGRAM, PUSHED, USUAL};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Of ten, nine have to be ready in this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
const PROCESSES: usize = 10;
/// More than twice as many as have room at `sockets: 64`.
const CROWD: usize = 40;
/// Ten at a time: others of these stories want the machine's cores too.
static CORES: Mutex<()> = Mutex::new(());

/// An address of this story's own, with a port that the system gives nobody: nothing takes it between two lives of a process.
/// Guards against asking the system for a free one: a program that another test is starting holds that for a moment.
pub fn own_address() -> SocketAddr {
    const PORT: u16 = 7400;
    static LAST: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 1 + high % 128, low, LAST.fetch_add(1, SeqCst)), PORT).into()
}

/// Whether it answers a sign of life.
fn is_ready(at: SocketAddr) -> Option<()> {
    let mut wire = Wire::to(at);
    // It may be put out before it has asked.
    let _ = wire.stream.write_all(b"PING\r\n");
    (wire.line() == "PONG").then_some(())
}

/// Starts a process, kills it, and starts it again: how long the second start takes until it is ready.
fn starts_again(discovery: Arc<Place>, settings: Settings, crowded: bool) -> Duration {
    let server = Place::new("s1");
    let mut first = Program::start_before(discovery.clone(), settings, &[&server]);
    let at = own_address();
    let text = first.text.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{at}\""));
    first.child.kill().unwrap();
    first.child.wait().unwrap();
    // They come before there is anybody to come to.
    let _crowd = crowded.then(|| Crowd::begin(at, CROWD));
    let began = Instant::now();
    let _second = Program::begin(Command::new(PROGRAM), discovery, text);
    within(READY_WITHIN * 2, || is_ready(at));
    began.elapsed()
}

/// Ten at once before one discovery, with a list that is asked for and one that is pushed, alone and in a crowd.
fn nine_in_ten_are_ready(discovery: &Arc<Place>) {
    let _cores = CORES.lock().unwrap_or_else(PoisonError::into_inner);
    for crowded in [false, true] {
        for settings in [|| Settings { sockets: 64, ..USUAL }, || Settings { sockets: 64, ..PUSHED }] {
            let starts = (0..PROCESSES).map(|_| {
                let discovery = discovery.clone();
                thread::spawn(move || starts_again(discovery, settings(), crowded))
            });
            let starts: Vec<_> = starts.collect();
            let took: Vec<_> = starts.into_iter().map(|start| start.join().unwrap()).collect();
            let ready = took.iter().filter(|took| **took < READY_WITHIN).count();
            println!("{}, crowded {crowded}: slowest {:?}", settings().discovery, took.iter().max().unwrap());
            assert!(ready * 10 >= PROCESSES * 9, "{}, crowded {crowded}: {took:?}", settings().discovery);
        }
    }
}

#[test]
fn nine_in_ten_started_again_are_ready_where_discovery_refuses() {
    nine_in_ten_are_ready(&Arc::new(Place::closed("discovery")));
}

#[test]
fn nine_in_ten_started_again_are_ready_where_discovery_takes_calls_and_is_silent() {
    nine_in_ten_are_ready(&Arc::new(Place::new("discovery")));
}

#[test]
fn nine_in_ten_started_again_are_ready_where_no_connection_to_discovery_comes_up() {
    let (full, _first) = Place::clogged("discovery");
    nine_in_ten_are_ready(&Arc::new(full));
}

/// It works through calls in turn, two seconds for each.
#[test]
fn nine_in_ten_started_again_are_ready_where_discovery_is_slow() {
    let discovery = Arc::new(Place::new("discovery"));
    let (asked, over) = (discovery.clone(), Arc::new(AtomicBool::new(false)));
    let (ends, turn) = (over.clone(), Arc::new(Mutex::new(())));
    let takes = thread::spawn(move || {
        while !ends.load(SeqCst) {
            let Some(mut wire) = asked.try_accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (turn, ends) = (turn.clone(), ends.clone());
            thread::spawn(move || {
                wire.stream.set_read_timeout(None).unwrap();
                while !next_call(&mut wire).is_empty() && !ends.load(SeqCst) {
                    let _turn = turn.lock().unwrap();
                    thread::sleep(Duration::from_millis(2000));
                    let _ = wire.stream.write_all(list(7, false, &[]).as_bytes());
                }
            });
        }
    });
    nine_in_ten_are_ready(&discovery);
    over.store(true, SeqCst);
    takes.join().unwrap();
}

/// Who waits for the list was looked after with each tick alone: a client of 20 ms had its answer up to 100 ms later.
#[test]
fn a_client_of_little_request_timeout_does_not_wait_for_a_tick_while_the_list_is_awaited() {
    let server = Place::new("s1");
    let program = Program::start(PUSHED, &[&server]);
    let _never_answered = program.discovery.called();
    let answered_after = |i| {
        let came = Instant::now();
        let mut client = program.opens(&format!("lift-{i}"), ",d=20");
        let answer = client.line();
        assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
        came.elapsed()
    };
    let mut took: Vec<_> = (0..11).map(answered_after).collect();
    took.sort();
    assert!(took[5] < Duration::from_millis(50), "half of them: {took:?}");
}

/// Where the start-up file alone knew a server, it could be chosen and not be dialled.
#[test]
fn with_fellows_and_no_list_in_time_servers_of_the_start_up_file_are_gone_by() {
    let fellow = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = own_address();
    let file = tempfile::NamedTempFile::new().unwrap();
    let other = fellow.local_addr().unwrap();
    let text = format!("fleet = \"f\"\nlist_wait_ms = 100\n[fellows]\nn0 = \"{own}\"\nn1 = \"{other}\"\n");
    std::fs::write(file.path(), text).unwrap();
    let mut command = Command::new(PROGRAM);
    command.env("SHELFGRADE_FLEET", file.path());
    let server = Place::new("s1");
    let program = Program::start_by(command, Arc::new(Place::closed("discovery")), USUAL, &[&server]);
    within(LONG, || is_ready(program.address));
    let mut client = program.opens("lift-1", ",d=3000");
    let _server = server.serve();
    assert_eq!(client.line(), "UP 0123");
    drop(client);
    program.ends();
}
