//! All decisions of the balancer.
//!
//! How to call it: build a [`Chooser`] from its parts, call [`Chooser::start`] once with the list last held, then
//! one method for each thing that happens. Every method takes the present [`Point`] and the [`Host`] whose methods
//! carry out what was decided; that interface, with all types shared with the caller, is in `host.rs`.
//!
//! The design: a new circuit goes to hash(client key) modulo the id-sorted server list; a draining, gone or
//! overfull pick passes to the next in order; an aged table answers mid-flow circuits. See `docs/design.md`.
//!
//! Mechanisms beside the design, six at most:
//! 1. kept slots: a departed server keeps its place in the order for a while;
//! 2. warm-up budget: a server that just started gets only its share of what it can bear;
//! 3. distrust: a fading score from failures and late messages, with the traffic following it;
//! 4. silence: a connect is given up, and its server passed over, when the silence has become unusual.
//!
//! A circuit passes the stages `Reception`, `Recall`, `Placement`, `Dispatch`; what comes back passes them in reverse.

use crate::host::{Arrival, Circle, CircuitId, Effect, Ending, Host, Listed, Offering, ServerId, Standing};
use crate::time::{Point, Span};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use xxhash_rust::xxh3::xxh3_64;

/// A server as this proxy knows it.
struct Server {
    id: ServerId,
    zone: String,
    cell: u64,
    standing: Cell<Standing>,
    /// When this proxy was first told that it drains or is gone.
    leaving_since: Cell<Option<Point>>,
    started: Cell<Option<Point>>,
    /// Connections placed by this proxy: connecting and standing.
    open: Cell<u32>,
    distrust: Cell<f64>,
    distrust_at: Cell<Point>,
    budget: Cell<f64>,
    budget_at: Cell<Point>,
    /// The last few times that a connect took to stand.
    gaps: RefCell<VecDeque<Span>>,
    /// Connects that wait for a word from the server, and since when it has sent none.
    waiting: Cell<u32>,
    silent_since: Cell<Option<Point>>,
}

/// One connect of a circuit.
struct Connect {
    server: Rc<Server>,
    sent: Point,
    ending: Option<Ending>,
}

/// A circuit from its arrival to its final answer or, once it stands, to its end.
struct Circuit {
    id: CircuitId,
    key: u64,
    effect: Effect,
    message_limit: Option<Span>,
    patience_ends: Point,
    mid_flow: bool,
    stands: Cell<bool>,
    answered: Cell<bool>,
    /// The server that the stages have settled on for the next connect.
    pick: RefCell<Option<Rc<Server>>>,
    connects: RefCell<Vec<Connect>>,
}

impl Circuit {
    fn tried(&self, server: &Rc<Server>) -> bool {
        self.connects.borrow().iter().any(|c| Rc::ptr_eq(&c.server, server))
    }

    /// The first connect that may have run, which binds all that follows.
    fn may_have_run(&self) -> Option<(Rc<Server>, Point)> {
        let connects = self.connects.borrow();
        let first = connects.iter().find(|c| !c.ending.is_some_and(Ending::proves_unrun))?;
        Some((first.server.clone(), first.sent))
    }

    /// Guards against an effect happening twice: where the circuit may be sent now.
    fn may_go_to(&self, server: &Server, now: Point) -> bool {
        let Some((first, sent)) = self.may_have_run() else { return true };
        match self.effect {
            Effect::Replayable => true,
            Effect::SingleUse => false,
            Effect::Referenced { among, window } => {
                let known_there = match among {
                    Circle::All => true,
                    Circle::Zone => first.zone == server.zone,
                    Circle::Cell => first.zone == server.zone && first.cell == server.cell,
                };
                known_there && now.since(sent) < window
            }
        }
    }

    /// Whether a pushback's promise, that another try is harmless, would be true.
    fn may_push_back(&self) -> bool {
        match self.effect {
            Effect::Replayable | Effect::Referenced { among: Circle::All, .. } => true,
            _ => self.may_have_run().is_none(),
        }
    }
}

/// What a stage did with a circuit: passed it on, kept it for later, or ended it.
#[derive(PartialEq)]
enum Step {
    Pass,
    Keep,
    End,
}

trait Stage {
    fn forth(&mut self, circuit: &Rc<Circuit>, now: Point, host: &mut dyn Host) -> Step;
    /// The news of the circuit's last connect: none when its connection stands, else how it ended.
    fn back(&mut self, circuit: &Rc<Circuit>, ending: Option<Ending>, now: Point);
}

/// The id-sorted list, shared by the stages.
#[derive(Default)]
struct Shelf {
    servers: RefCell<Vec<Rc<Server>>>,
}

impl Shelf {
    fn find(&self, id: &str) -> Option<Rc<Server>> {
        let servers = self.servers.borrow();
        servers.binary_search_by(|s| s.id.as_ref().cmp(id)).ok().map(|i| servers[i].clone())
    }

    fn follow(&self, lines: &[Listed], whole: bool, now: Point) {
        for line in lines {
            let known = self.find(&line.server);
            let server = known.unwrap_or_else(|| {
                let server = Rc::new(Server {
                    id: line.server.clone(),
                    zone: line.zone.clone(),
                    cell: line.cell,
                    standing: Cell::new(line.standing),
                    leaving_since: Cell::new(None),
                    started: Cell::new(None),
                    open: Cell::new(0),
                    distrust: Cell::new(0.0),
                    distrust_at: Cell::new(now),
                    budget: Cell::new(0.0),
                    budget_at: Cell::new(now),
                    gaps: RefCell::default(),
                    waiting: Cell::new(0),
                    silent_since: Cell::new(None),
                });
                let mut servers = self.servers.borrow_mut();
                let place = servers.partition_point(|s| s.id < server.id);
                servers.insert(place, server.clone());
                server
            });
            if line.started > server.started.get() {
                server.started.set(line.started);
                server.distrust.set(0.0);
                server.silent_since.set(None);
            }
            server.stand(line.standing, now);
        }
        if whole {
            let servers = self.servers.borrow();
            let absent = |s: &&Rc<Server>| !lines.iter().any(|l| l.server == s.id);
            servers.iter().filter(absent).for_each(|s| s.stand(Standing::Gone, now));
        }
        // Guards against a whole remapping at each departure: the slot stays, and its circuits pass to the next.
        // Chosen as the table's own time-out, so that table and order forget a server together.
        const SLOT_KEPT: Span = TABLE_TIME_OUT;
        self.servers.borrow_mut().retain(|s| {
            s.standing.get() != Standing::Gone
                || s.leaving_since.get().is_some_and(|left| now.since(left) < SLOT_KEPT)
        });
    }
}

impl Server {
    fn stand(&self, standing: Standing, now: Point) {
        self.standing.set(standing);
        let leaving = standing != Standing::Active;
        self.leaving_since.set(leaving.then(|| self.leaving_since.get().unwrap_or(now)));
    }

    /// The score of distrust now, from 0 to 1.
    fn distrust(&self, now: Point) -> f64 {
        // Long enough to bridge the second between two notes of late messages, short against a connection's life.
        const HALF_LIFE: Span = Span::millis(3000);
        self.distrust.get() * 0.5_f64.powf(now.since(self.distrust_at.get()).over(HALF_LIFE))
    }

    fn distrust_more(&self, by: f64, now: Point) {
        self.distrust.set(1.0 - (1.0 - self.distrust(now)) * (1.0 - by));
        self.distrust_at.set(now);
    }

    /// The wait after which a connect's silence is unusual, given the earlier gaps.
    fn unusual_after(&self) -> Option<Span> {
        // Fewer say too little of the spread.
        const FEWEST: usize = 5;
        // An exponential tail above the mean: 10^-4 of silences as long happen by chance.
        const PHI: f64 = 4.0;
        let gaps = self.gaps.borrow();
        if gaps.len() < FEWEST {
            return None;
        }
        let mean = gaps.iter().map(|g| g.as_ms()).sum::<f64>() / gaps.len() as f64;
        Some(Span::from_ms(mean * PHI * std::f64::consts::LN_10))
    }

    fn unusually_silent(&self, now: Point) -> bool {
        let Some(since) = self.silent_since.get() else { return false };
        self.unusual_after().is_some_and(|limit| now.since(since) > limit)
    }
}

/// First stage: whether the circuit may have a connect at all. On the way back it closes the books of the connect.
struct Reception {
    most_connects: usize,
}

impl Stage for Reception {
    fn forth(&mut self, circuit: &Rc<Circuit>, now: Point, _: &mut dyn Host) -> Step {
        let spent = circuit.connects.borrow().len() >= self.most_connects;
        let bound = circuit.effect == Effect::SingleUse && circuit.may_have_run().is_some();
        if spent || bound || now >= circuit.patience_ends {
            return Step::End;
        }
        Step::Pass
    }

    fn back(&mut self, circuit: &Rc<Circuit>, ending: Option<Ending>, _: Point) {
        circuit.stands.set(ending.is_none());
    }
}

/// How long the table knows a connection after its end: the design page's starting value.
const TABLE_TIME_OUT: Span = Span::millis(30_000);

/// Second stage: the bounded, aged table that answers mid-flow circuits.
struct Recall {
    drain_grace: Span,
    table: BTreeMap<u64, Weak<Server>>,
    /// Ends of connections, oldest first, with their keys.
    aging: VecDeque<(Point, u64)>,
    /// How many connections of a key stand or have yet to age.
    uses: BTreeMap<u64, u32>,
}

impl Recall {
    fn new(drain_grace: Span) -> Self {
        Recall { drain_grace, table: BTreeMap::new(), aging: VecDeque::new(), uses: BTreeMap::new() }
    }

    fn forget_aged(&mut self, now: Point) {
        while let Some(&(ended, key)) = self.aging.front() {
            // Bounds the memory; far more connections than a proxy of these deployments sees in the time-out.
            const MOST_KEYS: usize = 100_000;
            if now.since(ended) < TABLE_TIME_OUT && self.table.len() <= MOST_KEYS {
                break;
            }
            self.aging.pop_front();
            let uses = self.uses.entry(key).or_insert(1);
            *uses -= 1;
            if *uses == 0 {
                self.uses.remove(&key);
                self.table.remove(&key);
            }
        }
    }

    fn remember(&mut self, key: u64, server: &Rc<Server>) {
        self.table.insert(key, Rc::downgrade(server));
        *self.uses.entry(key).or_insert(0) += 1;
    }
}

impl Stage for Recall {
    fn forth(&mut self, circuit: &Rc<Circuit>, now: Point, _: &mut dyn Host) -> Step {
        self.forget_aged(now);
        if circuit.mid_flow && circuit.connects.borrow().is_empty() {
            let server = self.table.get(&circuit.key).and_then(Weak::upgrade);
            // Guards against resetting a connection that its draining server would still serve: it goes on there
            // while the grace lasts, with half of it left for what is on the way.
            let held = server.filter(|s| match s.leaving_since.get() {
                None => true,
                Some(told) => {
                    s.standing.get() == Standing::Draining && now.since(told) < self.drain_grace.times(0.5)
                }
            });
            *circuit.pick.borrow_mut() = held;
        }
        Step::Pass
    }

    fn back(&mut self, circuit: &Rc<Circuit>, ending: Option<Ending>, now: Point) {
        match ending {
            None => {
                let connects = circuit.connects.borrow();
                self.remember(circuit.key, &connects[connects.len() - 1].server);
            }
            Some(_) if circuit.stands.get() => self.aging.push_back((now, circuit.key)),
            Some(_) => {}
        }
    }
}

/// Keeps this proxy's share of what a starting server can bear.
pub struct WarmUp {
    proxies: f64,
    cold_from: f64,
    cold_span: Span,
    fall_multiple: f64,
    fall_span: Span,
    /// When this proxy's last connects were sent.
    sent: VecDeque<Point>,
}

impl WarmUp {
    pub fn new(proxies: usize, cold_from: f64, cold_span: Span, fall_multiple: f64, fall_span: Span) -> Self {
        let proxies = proxies.max(1) as f64;
        WarmUp { proxies, cold_from, cold_span, fall_multiple, fall_span, sent: VecDeque::new() }
    }

    fn count(&mut self, server: &Server, now: Point) {
        // Enough for a steady rate, few enough to follow a busy hour.
        const SAMPLES: usize = 64;
        self.sent.push_back(now);
        if self.sent.len() > SAMPLES {
            self.sent.pop_front();
        }
        server.budget.set(server.budget.get() - 1.0);
    }

    fn is_cold(&self, server: &Server, now: Point) -> bool {
        server.started.get().is_some_and(|at| now.since(at) < self.cold_span)
    }

    /// Guards against pushing a cold server over. What warm servers get from this proxy stands for what they
    /// can take, so the budget errs on the safe side, and no agreement with other proxies is needed.
    fn admits(&self, server: &Server, warm: usize, now: Point) -> bool {
        if !self.is_cold(server, now) {
            return true;
        }
        // Half of the bound is left for chance, as the other proxies may all be sending now.
        const USED: f64 = 0.5;
        let Some(&first) = self.sent.front() else { return true };
        let age = now.since(server.started.get().unwrap_or(now)).over(self.cold_span);
        let present = self.cold_from + (1.0 - self.cold_from) * age;
        let second = Span::millis(1000);
        let usual = self.sent.len() as f64 / now.since(first).over(second).max(1.0) / warm.max(1) as f64;
        let rate = USED * self.fall_multiple * present * usual;
        // A proxy's whole burst may be one connect, or its part of what the window allows.
        let most = (rate * self.fall_span.over(second) / self.proxies).max(1.0);
        let gained = rate * now.since(server.budget_at.get()).over(second);
        server.budget.set((server.budget.get() + gained).clamp(-1.0, most));
        server.budget_at.set(now);
        server.budget.get() >= 1.0
    }
}

/// Third stage: the design's choice of a server, with the load skip.
struct Placement {
    shelf: Rc<Shelf>,
    warm_up: Rc<RefCell<WarmUp>>,
    chance: Rc<RefCell<WyRand>>,
}

impl Placement {
    fn choose(&self, circuit: &Circuit, now: Point) -> Option<Rc<Server>> {
        // The design page's figures: at least twice the mean, and three more than it.
        const SKIP_FACTOR: f64 = 2.0;
        const SKIP_MARGIN: f64 = 3.0;
        let servers = self.shelf.servers.borrow();
        let active = |s: &&Rc<Server>| s.standing.get() == Standing::Active;
        let (mut open, mut listed, mut warm) = (0, 0, 0);
        for server in servers.iter().filter(active) {
            open += server.open.get();
            listed += 1;
            warm += usize::from(!self.warm_up.borrow().is_cold(server, now));
        }
        let mean = f64::from(open) / f64::from(listed.max(1));
        let overfull = |s: &Server| {
            let open = f64::from(s.open.get());
            open > SKIP_FACTOR * mean && open >= mean + SKIP_MARGIN
        };
        let first = circuit.key as usize % servers.len().max(1);
        let order = || servers[first..].iter().chain(&servers[..first]).filter(active);
        let usable = |s: &&Rc<Server>| {
            circuit.may_go_to(s, now) && !circuit.tried(s) && self.warm_up.borrow().admits(s, warm, now)
        };
        let mut least: Option<&Rc<Server>> = None;
        for server in order().filter(usable) {
            let distrust = if server.unusually_silent(now) { 1.0 } else { server.distrust(now) };
            let trusted = f64::from(self.chance.borrow_mut().generate::<f32>()) >= distrust;
            if trusted && !overfull(server) {
                return Some(server.clone());
            }
            if least.is_none_or(|l| server.distrust(now) < l.distrust(now)) {
                least = Some(server);
            }
        }
        least.cloned()
    }
}

impl Stage for Placement {
    fn forth(&mut self, circuit: &Rc<Circuit>, now: Point, _: &mut dyn Host) -> Step {
        if circuit.pick.borrow().is_none() {
            *circuit.pick.borrow_mut() = self.choose(circuit, now);
        }
        if circuit.pick.borrow().is_some() {
            return Step::Pass;
        }
        Step::End
    }

    fn back(&mut self, circuit: &Rc<Circuit>, ending: Option<Ending>, now: Point) {
        let connects = circuit.connects.borrow();
        let server = &connects[connects.len() - 1].server;
        // How much one bad ending says of its server: a time-out or break nearly all, a full house less.
        let by = match ending {
            Some(Ending::TimedOut | Ending::Unreachable | Ending::Broken) => 0.5,
            Some(Ending::Errored | Ending::TurnedAway) => 0.3,
            _ => 0.0,
        };
        server.distrust_more(by, now);
    }
}

/// Last stage: sends the connect and measures what comes back.
struct Dispatch {
    warm_up: Rc<RefCell<WarmUp>>,
    most_connects: usize,
}

impl Stage for Dispatch {
    fn forth(&mut self, circuit: &Rc<Circuit>, now: Point, host: &mut dyn Host) -> Step {
        let Some(server) = circuit.pick.borrow_mut().take() else { return Step::End };
        let left = circuit.patience_ends.since(now);
        let last = circuit.connects.borrow().len() + 1 >= self.most_connects;
        // Guards against a patience spent on one silent server: half of what is left stays for another connect.
        let time_out = if last || circuit.effect == Effect::SingleUse {
            left
        } else {
            let half = left.times(0.5);
            server.unusual_after().map_or(half, |unusual| unusual.max(left.times(0.25)).min(half))
        };
        host.connect(circuit.id, &server.id, time_out);
        self.warm_up.borrow_mut().count(&server, now);
        server.open.set(server.open.get() + 1);
        server.waiting.set(server.waiting.get() + 1);
        server.silent_since.set(server.silent_since.get().or(Some(now)));
        circuit.connects.borrow_mut().push(Connect { server, sent: now, ending: None });
        Step::Keep
    }

    fn back(&mut self, circuit: &Rc<Circuit>, ending: Option<Ending>, now: Point) {
        // Enough for a mean, few enough to forget a bad minute.
        const SAMPLES: usize = 16;
        let mut connects = circuit.connects.borrow_mut();
        let Some(connect) = connects.last_mut() else { return };
        let server = &connect.server;
        if ending.is_some() {
            connect.ending = ending;
            server.open.set(server.open.get().saturating_sub(1));
        } else {
            let mut gaps = server.gaps.borrow_mut();
            gaps.push_back(now.since(connect.sent));
            if gaps.len() > SAMPLES {
                gaps.pop_front();
            }
        }
        if !circuit.stands.get() {
            server.waiting.set(server.waiting.get().saturating_sub(1));
        }
        if ending != Some(Ending::TimedOut) || server.waiting.get() == 0 {
            server.silent_since.set((server.waiting.get() > 0).then_some(now));
        }
    }
}

/// How the server list reaches this proxy.
struct Following {
    /// Where the list must be asked for: how long a proxy may go without asking.
    must_ask_in: Option<Span>,
    chance: Rc<RefCell<WyRand>>,
    failures: u32,
}

impl Following {
    /// Guards against all proxies asking in step, after a start or a failed call.
    fn ask_later(&mut self, now: Point, host: &mut dyn Host) {
        // The first call waits under half a second; each failure doubles that.
        const FIRST: Span = Span::millis(400);
        let Some(must_ask_in) = self.must_ask_in else { return };
        let jitter = f64::from(self.chance.borrow_mut().generate::<f32>());
        let pause = FIRST.times(f64::from(1u32 << self.failures.min(8)) * (0.5 + 0.5 * jitter));
        host.wake(now + pause.min(must_ask_in.times(0.4)), 0);
    }
}

/// The decisions of one proxy.
pub struct Chooser {
    offerings: Vec<Offering>,
    most_pause: Span,
    shelf: Rc<Shelf>,
    following: Following,
    chance: Rc<RefCell<WyRand>>,
    stages: [Box<dyn Stage>; 4],
    /// The door: every circuit unanswered, standing or with a connect still out.
    circuits: BTreeMap<CircuitId, Rc<Circuit>>,
}

impl Chooser {
    /// `most_pause` is the longest wait that a client keeps to when asked; `must_ask_in` is none where the list
    /// comes unasked.
    pub fn new(
        seed: u64,
        offerings: Vec<Offering>,
        most_connects: usize,
        most_pause: Span,
        drain_grace: Span,
        must_ask_in: Option<Span>,
        warm_up: WarmUp,
    ) -> Self {
        let chance = Rc::new(RefCell::new(WyRand::new_seed(seed)));
        let shelf = Rc::new(Shelf::default());
        let warm_up = Rc::new(RefCell::new(warm_up));
        Chooser {
            offerings,
            most_pause,
            following: Following { must_ask_in, chance: chance.clone(), failures: 0 },
            stages: [
                Box::new(Reception { most_connects }),
                Box::new(Recall::new(drain_grace)),
                Box::new(Placement {
                    shelf: shelf.clone(),
                    warm_up: warm_up.clone(),
                    chance: chance.clone(),
                }),
                Box::new(Dispatch { warm_up, most_connects }),
            ],
            shelf,
            chance,
            circuits: BTreeMap::new(),
        }
    }

    pub fn start(&mut self, last_held: &[Listed], now: Point, host: &mut dyn Host) {
        self.shelf.follow(last_held, true, now);
        self.following.ask_later(now, host);
    }

    /// Lines of the server list; a server absent from a `whole` list is gone.
    pub fn listed(&mut self, lines: &[Listed], whole: bool, now: Point) {
        self.following.failures = 0;
        self.shelf.follow(lines, whole, now);
    }

    /// A call for the list has failed, or the subscription has broken.
    pub fn list_failed(&mut self, now: Point, host: &mut dyn Host) {
        self.following.failures += 1;
        self.following.ask_later(now, host);
    }

    pub fn woke(&mut self, _label: u64, _now: Point, host: &mut dyn Host) {
        host.subscribe();
    }

    pub fn arrived(&mut self, arrival: &Arrival, now: Point, host: &mut dyn Host) {
        let circuit = self.enter(arrival);
        self.offer(&circuit, now, host);
    }

    /// A connection that was already open when this proxy started; connect 0 counts as made.
    pub fn open_already(&mut self, arrival: &Arrival, server: &str, now: Point) {
        let circuit = self.enter(arrival);
        let Some(server) = self.shelf.find(server) else { return };
        server.open.set(server.open.get() + 1);
        server.waiting.set(server.waiting.get() + 1);
        circuit.connects.borrow_mut().push(Connect { server, sent: now, ending: None });
        self.bring_back(&circuit, None, now);
    }

    /// The circuit's connection is established.
    pub fn stands(&mut self, circuit: CircuitId, now: Point) {
        if let Some(circuit) = self.circuits.get(&circuit).cloned() {
            self.bring_back(&circuit, None, now);
        }
    }

    /// A connect has ended; `answered` where the client has its final answer by now.
    pub fn ended(
        &mut self,
        circuit: CircuitId,
        ending: Ending,
        answered: bool,
        now: Point,
        host: &mut dyn Host,
    ) {
        let Some(circuit) = self.circuits.get(&circuit).cloned() else { return };
        let stood = circuit.stands.get();
        self.bring_back(&circuit, Some(ending), now);
        if answered || stood || circuit.answered.get() {
            self.circuits.remove(&circuit.id);
        } else {
            self.offer(&circuit, now, host);
        }
    }

    /// Messages of a standing connection take this long at its server.
    pub fn messages_take(&mut self, circuit: CircuitId, delay: Span, now: Point) {
        let Some(circuit) = self.circuits.get(&circuit) else { return };
        let connects = circuit.connects.borrow();
        let (Some(connect), Some(limit)) = (connects.last(), circuit.message_limit) else { return };
        // Half the limit is no cause for distrust; at the limit nothing more should come.
        let late = (delay.over(limit) * 2.0 - 1.0).clamp(0.0, 1.0);
        let more = (late - connect.server.distrust(now)).max(0.0);
        connect.server.distrust_more(more, now);
    }

    /// The client has left; nothing more may be sent for the circuit.
    pub fn left(&mut self, circuit: CircuitId) {
        let Some(found) = self.circuits.get(&circuit) else { return };
        found.answered.set(true);
        if found.connects.borrow().last().is_none_or(|c| c.ending.is_some()) {
            self.circuits.remove(&circuit);
        }
    }

    fn enter(&mut self, arrival: &Arrival) -> Rc<Circuit> {
        // An offering never heard of is treated as the most delicate kind.
        let offering = arrival.offering.and_then(|o| self.offerings.get(o));
        let circuit = Rc::new(Circuit {
            id: arrival.circuit,
            key: arrival.key.map_or(arrival.circuit.0, |k| xxh3_64(k.as_bytes())),
            effect: offering.map_or(Effect::SingleUse, |o| o.effect),
            message_limit: offering.and_then(|o| o.message_limit),
            patience_ends: arrival.patience_ends,
            mid_flow: arrival.mid_flow,
            stands: Cell::new(false),
            answered: Cell::new(false),
            pick: RefCell::default(),
            connects: RefCell::default(),
        });
        self.circuits.insert(arrival.circuit, circuit.clone());
        circuit
    }

    /// Runs a circuit through the chain; what the chain does not keep gets its final answer at once.
    fn offer(&mut self, circuit: &Rc<Circuit>, now: Point, host: &mut dyn Host) {
        for stage in &mut self.stages {
            match stage.forth(circuit, now, host) {
                Step::Pass => {}
                Step::Keep => return,
                Step::End => break,
            }
        }
        self.circuits.remove(&circuit.id);
        if circuit.may_push_back() {
            let jitter = f64::from(self.chance.borrow_mut().generate::<f32>());
            host.push_back(circuit.id, self.most_pause.times(0.25 + 0.25 * jitter));
        } else {
            host.forfeit(circuit.id);
        }
    }

    fn bring_back(&mut self, circuit: &Rc<Circuit>, ending: Option<Ending>, now: Point) {
        for stage in self.stages.iter_mut().rev() {
            stage.back(circuit, ending, now);
        }
    }
}
