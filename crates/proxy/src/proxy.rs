//! The proxy: owns the decisions, hears from the sockets, and carries out what is decided.

use crate::circuit::{Circuit, Stage, TAKE_OVER_WITHIN};
use crate::client::busy;
use crate::clock::{duration, Clock};
use crate::discovery::Discovery;
use crate::line::{Open, LONGEST};
use crate::listing::Listing;
use crate::probe::Probe;
use crate::server::{Connect, Server};
use crate::socket::Socket;
use crate::start::{Limits, Start};
use crate::tally::Tally;
use anyhow::{Context, Result};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, LoopSignal, Mode, PostAction, RegistrationToken};
use shelfgrade::choice::Chooser;
use shelfgrade::host::{Arrival, CircuitId, Ending, Host, ServerId, Standing};
use shelfgrade::time::{Point, Span};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// How often what no event comes for is looked after.
const BEAT: Duration = Duration::from_millis(100);

pub struct Proxy {
    pub chooser: Chooser,
    pub hands: Hands,
    /// The offerings' names in their order.
    pub offerings: Vec<String>,
    discovery: Rc<Discovery>,
    listener: TcpListener,
    listening: RegistrationToken,
    passes_through: bool,
    stop: LoopSignal,
    pulses_taken: Point,
    /// Since when it has been told to end, and when the last circuit came.
    told_to_end: Option<Point>,
    last_arrival: Point,
}

/// What carries out the decisions.
pub struct Hands {
    pub handle: LoopHandle<'static, Proxy>,
    pub tally: Rc<Tally>,
    pub dial_time_out: Option<Span>,
    may_probe: bool,
    clock: Clock,
    servers: BTreeMap<ServerId, Rc<Server>>,
    /// The door: from the module's names to connections.
    circuits: BTreeMap<CircuitId, Rc<Circuit>>,
    last_id: u64,
    sockets: usize,
    ring: usize,
    /// What came of a call while the module was speaking, to be told when it has finished.
    untold: VecDeque<(CircuitId, Ending, bool)>,
    wants_list: Cell<bool>,
    to_probe: VecDeque<Rc<Server>>,
}

/// Serves until told to end.
pub fn serve(start: Start) -> Result<()> {
    let ring = ring_size(start.limits);
    if let Err(fault) = limit_descriptors(start.limits.sockets) {
        log::warn!("the limit on descriptors stays as it is: {fault}");
    }

    let mut events: EventLoop<'static, Proxy> = EventLoop::try_new().context("event loop")?;
    let handle = events.handle();
    let listener = listen(start.listen).with_context(|| format!("cannot listen on {}", start.listen))?;
    let listening = watch_listener(&handle, &listener)?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).context("signals")?;
    let signals = handle.insert_source(signals, |_, _, proxy| proxy.told_to_end());
    signals.map_err(|fault| fault.error).context("signals")?;
    let beat = handle.insert_source(Timer::from_duration(BEAT), |_, _, proxy| {
        proxy.beat();
        TimeoutAction::ToDuration(BEAT)
    });
    beat.map_err(|fault| fault.error).context("timer")?;

    let clock = Clock::start();
    let tally = Rc::new(Tally::default());
    let seq = Some(start.known.seq).filter(|_| !start.known.entries.is_empty());
    let mut proxy = Proxy {
        chooser: start.terms.chooser,
        hands: Hands {
            handle,
            tally: tally.clone(),
            dial_time_out: start.terms.dial_time_out,
            may_probe: start.terms.may_probe,
            clock,
            servers: BTreeMap::new(),
            circuits: BTreeMap::new(),
            last_id: 0,
            sockets: start.limits.sockets as usize,
            ring,
            untold: VecDeque::new(),
            wants_list: Cell::new(false),
            to_probe: VecDeque::new(),
        },
        offerings: start.terms.offerings,
        discovery: Discovery::new(start.discovery, seq),
        listener,
        listening,
        passes_through: start.terms.passes_through,
        stop: events.get_signal(),
        pulses_taken: clock.now(),
        told_to_end: None,
        last_arrival: clock.now(),
    };
    proxy.hands.follow(&start.known);
    proxy.chooser.start(&start.known.lines(), clock.now(), &mut proxy.hands);
    // Lines come back at once here however strained a server is.
    proxy.chooser.look_round(clock.now(), &mut proxy.hands);
    proxy.settle();
    let address = proxy.listener.local_addr().context("listener")?;
    log::info!("{} listens on {address}, {} servers known", start.name, proxy.hands.servers.len());
    events.run(None, &mut proxy, |_| {}).context("event loop")?;
    tally.log();
    Ok(())
}

/// The size of one ring: so that two for every descriptor take half of the memory at most.
fn ring_size(limits: Limits) -> usize {
    // Room for one of the longest lines and more; over four of them buys nothing for lines this short.
    let (least, most) = (LONGEST + 512, 16 << 10);
    ((limits.memory_mb << 20) as usize / 2 / (2 * limits.sockets.max(1) as usize)).clamp(least, most)
}

/// Sets the system's limit to the one that was given, so that neither is met by surprise.
fn limit_descriptors(wanted: u64) -> rustix::io::Result<()> {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let maximum = getrlimit(Resource::Nofile).maximum;
    let reachable = maximum.map_or(wanted, |m| m.min(wanted));
    setrlimit(Resource::Nofile, Rlimit { current: Some(reachable), maximum })
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    // Room for all clients to come at once; the system caps it.
    const BACKLOG: i32 = 4096;
    let socket =
        socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM.cloexec(), None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn watch_listener(handle: &LoopHandle<'static, Proxy>, listener: &TcpListener) -> Result<RegistrationToken> {
    let source = Generic::new(listener.try_clone()?, Interest::READ, Mode::Level);
    let token = handle.insert_source(source, |_, _, proxy| {
        proxy.accept();
        Ok(PostAction::Continue)
    });
    token.map_err(|fault| fault.error).context("listener")
}

impl Proxy {
    pub fn now(&self) -> Point {
        self.hands.clock.now()
    }

    /// Whether circuits can be taken: there is a list to choose from.
    pub fn is_ready(&self) -> bool {
        !self.hands.servers.is_empty()
    }

    fn accept(&mut self) {
        // Guards against a storm of clients starving those that are there.
        const AT_ONCE: usize = 64;
        for _ in 0..AT_ONCE {
            match self.listener.accept() {
                Ok((stream, _)) => match Socket::new(stream) {
                    Ok(socket) => self.take_in(socket),
                    Err(fault) => log::warn!("a client's socket: {fault}"),
                },
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return,
                Err(fault)
                    if matches!(fault.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(fault) => {
                    // Guards against spinning where descriptors have run out: it accepts again later.
                    self.hands.tally.count("accepting put off");
                    log::warn!("accept: {fault}");
                    let _ = self.hands.handle.disable(&self.listening);
                    let later = Timer::from_duration(BEAT);
                    let again = self.hands.handle.insert_source(later, |_, _, proxy| {
                        let _ = proxy.hands.handle.enable(&proxy.listening);
                        proxy.accept();
                        TimeoutAction::Drop
                    });
                    self.hands.tally.must(again.is_ok(), "a timer can be set");
                    return;
                }
            }
        }
    }

    fn take_in(&mut self, client: Socket) {
        self.hands.tally.count("connections taken");
        let id = self.hands.next_id();
        let circuit = Circuit::new(id, client, self.hands.ring, self.now());
        let weak = circuit.me.clone();
        let watched = circuit.client.watch(&self.hands.handle, move |proxy| {
            weak.upgrade().inspect(|circuit| circuit.ready(proxy));
        });
        match watched {
            Ok(()) => drop(self.hands.circuits.insert(id, circuit)),
            Err(fault) => log::warn!("a client's socket: {fault}"),
        }
    }

    pub fn arrived(&mut self, open: &Open, circuit: CircuitId, patience_ends: Point) {
        self.hands.tally.count("circuits");
        let now = self.now();
        self.last_arrival = now;
        let arrival = self.arrival(open, circuit, patience_ends);
        self.chooser.arrived(&arrival, now, &mut self.hands);
        self.settle();
    }

    fn arrival<'a>(&self, open: &Open<'a>, circuit: CircuitId, patience_ends: Point) -> Arrival<'a> {
        Arrival {
            circuit,
            offering: open.field("c").and_then(|c| self.offerings.iter().position(|o| o == c)),
            key: Some(open.key),
            group: open.field("g"),
            patience_ends,
            mid_flow: open.is_marked("mid"),
            returned: open.is_marked("again"),
        }
    }

    /// The circuit's connection is up.
    pub fn stands(&mut self, circuit: &Circuit, server: &ServerId) {
        let now = self.now();
        let opening = circuit.opening.borrow();
        match Open::parse(&opening).filter(|_| circuit.is_taken_over()) {
            Some(open) => {
                let arrival = self.arrival(&open, circuit.id, now);
                self.chooser.open_already(&arrival, server, now);
            }
            None => {
                self.hands.tally.count("connections up");
                self.chooser.stands(circuit.id, now);
            }
        }
    }

    /// A connect, or a standing connection, has ended; `done` where the client's side has its end by that.
    pub fn ended(&mut self, circuit: CircuitId, ending: Ending, done: bool) {
        let now = self.now();
        self.chooser.ended(circuit, ending, done, now, &mut self.hands);
        self.settle();
    }

    /// The client has left before its answer; the connect that was out has ended with it.
    pub fn left(&mut self, circuit: CircuitId) {
        self.chooser.left(circuit);
        self.ended(circuit, Ending::CalledOff, true);
    }

    /// A probe has come back, or was given up, after this long.
    pub fn probed(&mut self, server: &Server, took: Span) {
        self.hands.tally.count("probes");
        log::debug!("probe of {} took {} ms", server.id, took.as_ms());
        let now = self.now();
        self.chooser.probed(&server.id, took, now, &mut self.hands);
        self.settle();
    }

    /// Carries out a move that waited for the end of a line.
    pub fn move_now(&mut self, circuit: &Circuit) {
        let now = self.now();
        if circuit.try_moving(now) {
            self.ended(circuit.id, Ending::CalledOff, true);
        }
    }

    pub fn listed(&mut self, listing: &Listing) {
        let now = self.now();
        log::debug!("list {}: {} lines, whole {}", listing.seq, listing.entries.len(), listing.whole);
        self.hands.follow(listing);
        self.chooser.listed(&listing.lines(), listing.whole, now);
        self.hands.take_over_waiting();
        self.settle();
    }

    pub fn list_failed(&mut self) {
        self.hands.tally.count("list calls failed");
        let now = self.now();
        self.chooser.list_failed(now, &mut self.hands);
        self.settle();
    }

    /// Tells the module what came of its own calls.
    fn settle(&mut self) {
        while let Some((circuit, ending, done)) = self.hands.untold.pop_front() {
            let now = self.now();
            self.chooser.ended(circuit, ending, done, now, &mut self.hands);
        }
        if self.hands.wants_list.take() {
            self.discovery.clone().call(self);
        }
        while let Some(server) = self.hands.to_probe.pop_front() {
            Probe::ask(&server, self);
        }
    }

    fn beat(&mut self) {
        let circuits: Vec<_> = self.hands.circuits.values().cloned().collect();
        circuits.iter().for_each(|circuit| circuit.beat(self));
        self.tell_pulses();
        self.end_when_done(&circuits);
    }

    /// Once a second the module hears how long messages take at each server.
    fn tell_pulses(&mut self) {
        const EVERY: Span = Span::millis(1000);
        let now = self.now();
        if now.since(self.pulses_taken) < EVERY {
            return;
        }
        self.pulses_taken = now;
        let servers: Vec<_> = self.hands.servers.values().cloned().collect();
        let circuits: Vec<_> = self.hands.circuits.values().cloned().collect();
        for circuit in circuits {
            if let Some(asked) = circuit.asked.get().filter(|_| circuit.stage.get() == Stage::Standing) {
                self.chooser.messages_take(circuit.id, now.since(asked), now, &mut self.hands);
                self.settle();
            }
        }
        for server in servers {
            if let Some((took, circuit)) = server.pulse.take() {
                log::debug!("messages at {} take {} ms", server.id, took.as_ms());
                self.chooser.messages_take(circuit.id, took, now, &mut self.hands);
                self.settle();
            }
        }
    }

    fn told_to_end(&mut self) {
        log::info!("told to end, with {} connections", self.hands.circuits.len());
        let now = self.now();
        self.told_to_end.get_or_insert(now);
    }

    /// Ends when no more circuits come and all that came are answered.
    fn end_when_done(&mut self, circuits: &[Rc<Circuit>]) {
        // Clients go on coming for a little while after the signal.
        const QUIET_FOR: Span = Span::millis(500);
        // The longest patience of a circuit is three seconds; killing comes 0.7 s after that.
        const OPEN_FOR: Span = Span::millis(3200);
        const GONE_WITHIN: Span = Span::millis(3600);
        let now = self.now();
        let Some(past) = self.told_to_end.map(|told| now.since(told)) else { return };
        if past < QUIET_FOR || now.since(self.last_arrival) < QUIET_FOR && past < OPEN_FOR {
            return;
        }
        let in_stage = |stage| circuits.iter().filter(move |c| c.stage.get() == stage);
        if !self.passes_through {
            for circuit in in_stage(Stage::Standing).filter(|c| c.leaving_line.get().is_none()) {
                self.hands.send_away(circuit.id);
            }
            self.settle();
        }
        if past >= OPEN_FOR {
            for circuit in in_stage(Stage::Asking) {
                self.hands.tally.count("forfeited at the end");
                circuit.answer("ERR", now);
            }
        }
        let standing = !self.passes_through && in_stage(Stage::Standing).next().is_some();
        let leaving = in_stage(Stage::Leaving).any(|c| !c.client.is_over());
        if past >= GONE_WITHIN || !(standing || leaving || in_stage(Stage::Asking).next().is_some()) {
            self.stop.stop();
        }
    }
}

impl Hands {
    fn next_id(&mut self) -> CircuitId {
        self.last_id += 1;
        CircuitId(self.last_id)
    }

    /// Whether one more circuit might find no descriptor: each needs two, each server one for its probe.
    pub fn is_full(&self) -> bool {
        // For the listener, discovery, the loop and the log.
        const SPARE: usize = 24;
        2 * self.circuits.len() + self.servers.len() + SPARE > self.sockets
    }

    pub fn forget(&mut self, circuit: CircuitId) {
        self.circuits.remove(&circuit);
    }

    /// Has a circuit go on after the others had their turn.
    pub fn call_again(&self, circuit: &Circuit) {
        let weak = circuit.me.clone();
        let again = self.handle.insert_source(Timer::immediate(), move |_, _, proxy| {
            weak.upgrade().inspect(|circuit| circuit.ready(proxy));
            TimeoutAction::Drop
        });
        self.tally.must(again.is_ok(), "a timer can be set");
    }

    fn follow(&mut self, listing: &Listing) {
        let lines = listing.lines();
        if listing.whole {
            let absent = |id: &ServerId| !lines.iter().any(|l| l.server == *id);
            self.servers
                .iter()
                .filter(|(id, _)| absent(id))
                .for_each(|(_, s)| s.standing.set(Standing::Gone));
        }
        for (line, entry) in lines.iter().zip(&listing.entries) {
            let server = self.servers.get(&line.server).cloned().or_else(|| {
                let server = Server {
                    id: line.server.clone(),
                    standing: Cell::new(line.standing),
                    dial: Cell::new(entry.dial?),
                    pulse: Default::default(),
                    probe: Default::default(),
                };
                Some(Rc::new(server))
            });
            let Some(server) = server else { continue };
            server.standing.set(line.standing);
            server.dial.set(entry.dial.unwrap_or(server.dial.get()));
            self.servers.insert(line.server.clone(), server);
        }
        self.servers.retain(|_, server| server.standing.get() != Standing::Gone);
    }

    /// Connects a circuit to the server that its line names, or leaves it for when the list names that one.
    pub fn take_over(&mut self, circuit: &Circuit) {
        let server = Open::parse(&circuit.opening.borrow())
            .and_then(|open| self.servers.get(open.field("at")?).cloned());
        let (Some(server), Some(circuit)) = (server, circuit.me.upgrade()) else { return };
        match Connect::begin(&circuit, server, TAKE_OVER_WITHIN, self.clock.now(), self) {
            Ok(connect) => drop(circuit.connect.replace(Some(connect))),
            Err(fault) => {
                log::warn!("circuit {}: {fault}", circuit.id.0);
                circuit.answer("ERR", self.clock.now());
            }
        }
    }

    fn take_over_waiting(&mut self) {
        let waits = |c: &&Rc<Circuit>| {
            c.stage.get() == Stage::Asking && c.connect.borrow().is_none() && c.is_taken_over()
        };
        let waiting: Vec<_> = self.circuits.values().filter(waits).cloned().collect();
        waiting.iter().for_each(|circuit| self.take_over(circuit));
    }
}

impl Host for Hands {
    fn connect(&mut self, circuit: CircuitId, server: &ServerId, time_out: Span) {
        let (found, server) = (self.circuits.get(&circuit).cloned(), self.servers.get(server).cloned());
        self.tally
            .must(found.is_some() && server.is_some(), "a connect is for a circuit and a server that are");
        let begun = match (&found, server) {
            (Some(found), Some(server)) => {
                self.tally.must(found.connect.borrow().is_none(), "one connect at a time");
                Connect::begin(found, server, time_out, self.clock.now(), self)
            }
            _ => return self.untold.push_back((circuit, Ending::Moot, false)),
        };
        match (begun, found) {
            (Ok(connect), Some(found)) => drop(found.connect.replace(Some(connect))),
            (Err(fault), _) => {
                // Out of descriptors, or refused at once: nothing was sent.
                log::warn!("circuit {}: {fault}", circuit.0);
                let refused = fault.kind() == ErrorKind::ConnectionRefused;
                let ending = if refused { Ending::Unreachable } else { Ending::Moot };
                self.untold.push_back((circuit, ending, false));
            }
            _ => {}
        }
    }

    fn push_back(&mut self, circuit: CircuitId, pause: Span) {
        self.tally.count("pushed back");
        if let Some(circuit) = self.circuits.get(&circuit) {
            circuit.answer(&busy(pause), self.clock.now());
        }
    }

    fn forfeit(&mut self, circuit: CircuitId) {
        self.tally.count("forfeited");
        if let Some(circuit) = self.circuits.get(&circuit) {
            circuit.answer("ERR", self.clock.now());
        }
    }

    fn send_away(&mut self, circuit: CircuitId) {
        self.tally.count("sent away");
        let now = self.clock.now();
        let Some(circuit) = self.circuits.get(&circuit).filter(|c| c.stage.get() == Stage::Standing) else {
            return;
        };
        circuit.leaving_line.set(Some(now));
        if circuit.try_moving(now) {
            self.untold.push_back((circuit.id, Ending::CalledOff, true));
        }
    }

    fn probe(&mut self, server: &ServerId) {
        let server = self.servers.get(server).filter(|_| self.may_probe);
        self.to_probe.extend(server.cloned());
    }

    fn subscribe(&mut self) {
        self.wants_list.set(true);
    }

    fn wake(&mut self, at: Point) {
        let timer = Timer::from_duration(duration(at.since(self.clock.now())));
        let set = self.handle.insert_source(timer, |_, _, proxy| {
            let now = proxy.now();
            proxy.chooser.woke(now, &mut proxy.hands);
            proxy.settle();
            TimeoutAction::Drop
        });
        self.tally.must(set.is_ok(), "a timer can be set");
    }
}
