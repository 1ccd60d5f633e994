//! Stories of descriptors that are all but gone: idle clients, sessions or both hold them, by the limit of the settings or by
//! a lower one of the system's. Whatever must be dialled even then, still is.

use crate::ready::own_address;
use crate::stand::{list, next_call, within, Place, Program, Settings, Wire, LONG, PROGRAM, USUAL};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What a change may take to be in hand.
const COUNTS_AFTER: Duration = Duration::from_secs(6);
const ROOM: u64 = 64;
/// `MSG_PEEK` and `MSG_DONTWAIT`.
const PEEK_NOW: i32 = 0x42;

/// Far longer than a busy system delays one: signs that take several times as long as others are signs of strain.
const SIGN_TAKES: Duration = Duration::from_millis(60);

/// Which limit is the lower one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Limit {
    Settings,
    System,
}

/// What holds the descriptors.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Held {
    Callers,
    Circuits,
    Both,
}

/// Servers that take and answer whatever comes, for as long as the story lasts.
struct Servers {
    places: Vec<Place>,
    opens: AtomicUsize,
    /// Connections that began with a sign of life.
    probes: AtomicUsize,
    over: AtomicBool,
}

impl Servers {
    fn begin(number: usize) -> Arc<Self> {
        let servers = Arc::new(Servers {
            places: (0..number).map(|i| Place::new(&format!("s{i}"))).collect(),
            opens: AtomicUsize::new(0),
            probes: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        });
        let serving = servers.clone();
        thread::spawn(move || {
            while !serving.over.load(SeqCst) {
                for wire in serving.places.iter().filter_map(Place::try_accept) {
                    let servers = serving.clone();
                    thread::spawn(move || servers.serve(wire));
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
        servers
    }

    fn serve(&self, mut wire: Wire) {
        wire.stream.set_read_timeout(None).unwrap();
        let mut lines = 0;
        loop {
            match wire.line().split(' ').next().unwrap_or_default() {
                "PING" => {
                    self.probes.fetch_add(usize::from(lines == 0), SeqCst);
                    thread::sleep(SIGN_TAKES);
                    let _ = wire.stream.write_all(b"PONG\r\n");
                }
                "OPEN" => {
                    self.opens.fetch_add(1, SeqCst);
                    let _ = wire.stream.write_all(b"UP 0123\r\n");
                }
                "" | "reset" => return,
                _ => {}
            }
            lines += 1;
        }
    }
}

/// Clients that say nothing; who is put out comes again after a while.
pub struct Crowd {
    over: Arc<AtomicBool>,
    put_out: Arc<AtomicUsize>,
    comes: Option<thread::JoinHandle<()>>,
}

impl Crowd {
    pub fn begin(at: SocketAddr, size: usize) -> Self {
        const AGAIN_IN: Duration = Duration::from_millis(300);
        let over = Arc::new(AtomicBool::new(false));
        let (ends, put_out) = (over.clone(), Arc::new(AtomicUsize::new(0)));
        let out = put_out.clone();
        let comes = thread::spawn(move || {
            let mut clients: Vec<Result<TcpStream, Instant>> =
                (0..size).map(|_| Err(Instant::now())).collect();
            while !ends.load(SeqCst) {
                for client in &mut clients {
                    match client {
                        Err(due) if *due <= Instant::now() => {
                            let stream = TcpStream::connect(at);
                            *client = stream.map_err(|_| Instant::now() + AGAIN_IN);
                            let _ = client.as_ref().map(|stream| stream.set_nonblocking(true));
                        }
                        Ok(stream) if !is_open(stream) => {
                            out.fetch_add(1, SeqCst);
                            *client = Err(Instant::now() + AGAIN_IN);
                        }
                        _ => {}
                    }
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
        Crowd { over, put_out, comes: Some(comes) }
    }

    /// Returns once the first of them had to make room for the last.
    fn fills(at: SocketAddr) -> Self {
        const SIZE: usize = 150;
        let crowd = Self::begin(at, SIZE);
        within(LONG, || (crowd.put_out.load(SeqCst) > 0).then_some(()));
        crowd
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, SeqCst);
        let _ = self.comes.take().unwrap().join();
    }
}

/// Whether nothing has come on it, and no end.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).recv_with_flags(&mut byte, PEEK_NOW);
    peeked.is_err_and(|fault| fault.kind() == ErrorKind::WouldBlock)
}

/// A client that comes until it is up, as clients do that are told to come again.
fn comes_until_up(program: &Program) -> Wire {
    within(LONG, || tries(program).ok())
}

/// Clients that come until one is turned away for want of descriptors, which is told without a pause.
fn come_until_full(program: &Program) -> Vec<Wire> {
    let (mut up, mut last, began) = (Vec::new(), String::new(), Instant::now());
    loop {
        match tries(program) {
            Ok(client) => up.push(client),
            Err(answer) if answer == "BUSY" => return up,
            Err(answer) => last = answer,
        }
        // Some may have been sent to another server meanwhile.
        up.retain(|client: &Wire| is_open(&client.stream));
        assert!(began.elapsed() < LONG, "{} are up, one was told {last}", up.len());
    }
}

fn tries(program: &Program) -> Result<Wire, String> {
    static LAST: AtomicUsize = AtomicUsize::new(0);
    let id = LAST.fetch_add(1, SeqCst);
    let mut client = program.client();
    // It may be put out before it has said this.
    let line = format!("OPEN 7c1f03ab{id:08x} lift-{id} c=alarm,d=3000,g=g{id}\r\n");
    let _ = client.stream.write_all(line.as_bytes());
    let answer = client.line();
    assert!(["UP 0123", "", "reset"].contains(&&*answer) || answer.starts_with("BUSY"), "{answer}");
    if answer == "UP 0123" {
        Ok(client)
    } else {
        Err(answer)
    }
}

/// A program whose descriptors are held, with what holds them.
struct Full {
    program: Program,
    servers: Arc<Servers>,
    standing: Vec<Wire>,
    crowd: Option<Crowd>,
}

impl Full {
    fn begin(limit: Limit, held: Held, settings: Settings, fleet: Option<&std::path::Path>) -> Self {
        let servers = Servers::begin(8);
        let known: Vec<_> = servers.places.iter().collect();
        let sockets = if limit == Limit::Settings { ROOM } else { 16 * ROOM };
        let discovery = Arc::new(Place::new("discovery"));
        let mut command = Command::new(PROGRAM);
        if limit == Limit::System {
            // Both of the system's limits, the one in force and its maximum; for the program alone.
            command = Command::new("sh");
            command.args(["-c", &format!("ulimit -n {ROOM} && exec \"$0\""), PROGRAM]);
        }
        command.envs(fleet.map(|path| ("SHELFGRADE_FLEET", path)));
        let program = Program::start_by(command, discovery, Settings { sockets, ..settings }, &known);
        let mut full = Full { standing: vec![comes_until_up(&program)], program, servers, crowd: None };
        if held != Held::Callers {
            full.standing.extend(come_until_full(&full.program));
        }
        if held != Held::Circuits {
            full.crowd = Some(Crowd::fills(full.program.address));
        }
        full
    }

    /// Ends it: nothing may have been refused by the system.
    fn ends(self) {
        self.servers.over.store(true, SeqCst);
        drop(self.crowd);
        drop(self.standing);
        let log = self.program.ends();
        let refused = ["accept paused", "os error 24", "a client's socket"];
        assert!(!refused.iter().any(|word| log.contains(word)), "{log}");
    }
}

/// Plays a story for each limit and each kind of holder, side by side.
fn for_all(settings: fn() -> Settings, story: fn(&mut Full)) {
    thread::scope(|scope| {
        for limit in [Limit::Settings, Limit::System] {
            for held in [Held::Callers, Held::Circuits, Held::Both] {
                scope.spawn(move || {
                    println!("{limit:?}, {held:?}");
                    let mut full = Full::begin(limit, held, settings(), None);
                    story(&mut full);
                    full.ends();
                });
            }
        }
    });
}

/// Where the system's limit was the lower one, callers and sessions were let in up to the other, and no call could be dialled.
#[test]
fn discovery_is_asked_anew_after_a_reset_whoever_holds_the_descriptors() {
    for_all(
        || USUAL,
        |full| {
            let (call, path) = full.program.discovery.called();
            assert!(path.contains("index=7"), "{path}");
            call.reset();
            let reset = Instant::now();
            let (mut call, _) = full.program.discovery.called();
            call.say(&list(8, false, &[full.servers.places[1].entry("terminating")]));
            assert!(next_call(&mut call).contains("index=8"));
            assert!(reset.elapsed() < COUNTS_AFTER, "{:?}", reset.elapsed());
        },
    );
}

#[test]
fn a_session_that_comes_among_idle_clients_or_after_another_is_dialled_a_server() {
    for_all(
        || USUAL,
        |full| {
            // Where sessions hold all, one has to go first.
            if full.standing.len() > 1 {
                full.standing.pop();
            }
            let before = full.servers.opens.load(SeqCst);
            full.standing.push(comes_until_up(&full.program));
            assert_eq!(full.servers.opens.load(SeqCst), before + 1);
        },
    );
}

/// Where servers tell what strains them, each sign of life has a connection of its own.
#[test]
fn a_sign_of_life_is_dialled_for_who_comes_whoever_holds_the_descriptors() {
    for_all(
        || Settings { probes: true, tells_delay: true, balancers: "300", aim_ms: 5000, ..USUAL },
        |full| {
            let before = full.servers.probes.load(SeqCst);
            // Not each of them asks for one.
            within(LONG, || {
                if full.standing.len() > 1 {
                    full.standing.pop();
                }
                full.standing.push(comes_until_up(&full.program));
                (full.servers.probes.load(SeqCst) > before).then_some(())
            });
        },
    );
}

#[test]
fn fellows_are_spoken_to_whoever_holds_the_descriptors() {
    for limit in [Limit::Settings, Limit::System] {
        for held in [Held::Callers, Held::Circuits, Held::Both] {
            let fellow = UdpSocket::bind("127.0.0.1:0").unwrap();
            fellow.set_read_timeout(Some(LONG)).unwrap();
            let own = own_address();
            let file = tempfile::NamedTempFile::new().unwrap();
            let other = fellow.local_addr().unwrap();
            let text =
                format!("fleet = \"f\"\nlist_wait_ms = 100\n[fellows]\nn0 = \"{own}\"\nn1 = \"{other}\"\n");
            std::fs::write(file.path(), text).unwrap();
            let full = Full::begin(limit, held, USUAL, Some(file.path()));
            // What was sent before it was full is not what is looked for.
            fellow.set_nonblocking(true).unwrap();
            while fellow.recv(&mut [0; 2048]).is_ok() {}
            fellow.set_nonblocking(false).unwrap();
            assert!(fellow.recv(&mut [0; 2048]).unwrap() > 0);
            full.ends();
        }
    }
}

/// Connections for signs of life stay open after the sessions that they were for, and were not counted.
#[test]
fn signs_of_life_of_sessions_that_are_gone_take_no_descriptor_that_another_needs() {
    let servers = Servers::begin(60);
    let known: Vec<_> = servers.places.iter().collect();
    let settings = Settings { probes: true, balancers: "300", aim_ms: 5000, sockets: ROOM, ..USUAL };
    let program = Program::start(settings, &known);
    let probed = || servers.probes.load(SeqCst);
    let before = program.descriptors();
    let mut gone = 0;
    while probed() < 55 && gone < 200 {
        drop(comes_until_up(&program));
        gone += 1;
    }
    println!(
        "{gone} sessions, {} servers probed, {} descriptors over",
        probed(),
        program.descriptors() - before
    );
    let crowd = Crowd::fills(program.address);
    let (call, _) = program.discovery.called();
    call.reset();
    let (_call, _) = program.discovery.called();
    let mut full = Full { standing: vec![comes_until_up(&program)], program, servers, crowd: Some(crowd) };
    drop(full.crowd.take());
    for i in 0..12 {
        match tries(&full.program) {
            Ok(client) => full.standing.push(client),
            Err(answer) => assert!(i > 3 || answer != "BUSY", "there is room for a few"),
        }
    }
    full.ends();
}
