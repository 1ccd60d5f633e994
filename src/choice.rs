//! All decisions of the balancer.
//!
//! How to call it: make a [`Chooser`], call [`Chooser::start`] with the list last held, then one method for each thing
//! that happens. Methods take the present [`Point`], and the [`Host`] that at once carries out what is decided; that
//! interface and the types shared with the caller are in `host.rs`.
//!
//! The design: a new circuit goes to hash(client key) modulo the id-sorted server list; a draining, gone or
//! overfull pick passes to the next in order; an aged table answers mid-flow circuits. See `docs/design.md`.
//!
//! Mechanisms beside the design, six at most:
//! 1. kept slots: a departed server keeps its place in the order for a while;
//! 2. warm-up budget: a server that just started gets only its share of what it can bear;
//! 3. distrust: a fading score from failures and late messages, with the traffic following it;
//! 4. silence: a connect is given up, and its server passed over, when the silence has become unusual;
//! 5. gathering: what comes back, or finds its pick distrusted, goes by its group's hash in place of its own;
//! 6. relief: a server whose messages are late has connections sent away that are not with their group.
//!
//! A circuit passes the stages `Reception`, `Recall`, `Placement` and `Dispatch`; news of it come back in reverse.

use crate::host::{Arrival, Circle, CircuitId, Effect, Ending, Host, Listed, Offering, ServerId, Standing};
use crate::time::{Point, Span};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use xxhash_rust::xxh3::xxh3_64;

/// A server as this proxy knows it.
#[derive(Default)]
struct Server {
    id: ServerId,
    zone: String,
    cell: u64,
    standing: Cell<Standing>,
    /// When this proxy was first told that it drains or is gone.
    leaving_since: Cell<Option<Point>>,
    started: Cell<Option<Point>>,
    /// The connections that this proxy placed and that stand.
    held: RefCell<BTreeMap<CircuitId, Weak<Circuit>>>,
    /// Connects that wait for a word from the server, and since when it has sent none.
    waiting: Cell<u32>,
    silent_since: Cell<Option<Point>>,
    /// The last few times that a connect took to stand.
    gaps: RefCell<VecDeque<Span>>,
    /// The score of distrust as it was at a moment.
    distrust: Cell<(f64, Point)>,
    /// What is left of a cold server's budget, in connects, as it was at a moment.
    budget: Cell<(f64, Point)>,
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
    /// Hashes of the client key and of the group.
    key: u64,
    group: Option<u64>,
    effect: Effect,
    message_limit: Option<Span>,
    patience_ends: Point,
    mid_flow: bool,
    returned: bool,
    stands: Cell<bool>,
    answered: Cell<bool>,
    /// Work a second that its connection asks for, once the server has told.
    load: Cell<f64>,
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

/// What a stage did with a circuit: passed it on, kept it, or ended it.
enum Step {
    Pass,
    Keep,
    End,
}

trait Stage {
    fn forth(&mut self, circuit: &Rc<Circuit>, now: Point, host: &mut dyn Host) -> Step;
    /// The news of the circuit's last connect: none when its connection stands, else how it ended.
    fn back(&mut self, circuit: &Rc<Circuit>, connect: &Connect, now: Point);
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
            let server = self.find(&line.server).unwrap_or_else(|| {
                let (id, zone) = (line.server.clone(), line.zone.clone());
                let server = Rc::new(Server { id, zone, cell: line.cell, ..Server::default() });
                let mut servers = self.servers.borrow_mut();
                let place = servers.partition_point(|s| s.id < server.id);
                servers.insert(place, server.clone());
                server
            });
            if line.started > server.started.get() {
                server.started.set(line.started);
                server.distrust.set((0.0, now));
                server.budget.set((0.0, now));
            }
            server.stand(line.standing, now);
        }
        let mut servers = self.servers.borrow_mut();
        if whole {
            let absent = |s: &&Rc<Server>| !lines.iter().any(|l| l.server == s.id);
            servers.iter().filter(absent).for_each(|s| s.stand(Standing::Gone, now));
        }
        // Guards against a whole remapping at each departure: the slot stays and its circuits pass to the next,
        // for as long as the table remembers, so that order and table forget a server together.
        servers.retain(|s| {
            let left = s.leaving_since.get().unwrap_or(now);
            s.standing.get() != Standing::Gone || now.since(left) < TABLE_TIME_OUT
        });
    }
}

impl Server {
    fn stand(&self, standing: Standing, now: Point) {
        self.standing.set(standing);
        let leaving = standing != Standing::Active;
        self.leaving_since.set(leaving.then(|| self.leaving_since.get().unwrap_or(now)));
    }

    /// Connections that this proxy has here, standing or under way.
    fn open(&self) -> f64 {
        self.held.borrow().len() as f64 + f64::from(self.waiting.get())
    }

    /// The score of distrust now, from 0 to 1.
    fn distrust(&self, now: Point) -> f64 {
        // Bridges the second between two notes of late messages, and is short against a connection's life.
        const HALF_LIFE: Span = Span::millis(3000);
        let (score, at) = self.distrust.get();
        score * 0.5_f64.powf(now.since(at).over(HALF_LIFE))
    }

    fn distrust_more(&self, by: f64, now: Point) {
        self.distrust.set((1.0 - (1.0 - self.distrust(now)) * (1.0 - by), now));
    }

    /// The wait after which a connect's silence is unusual, given the earlier gaps.
    fn unusual_after(&self) -> Option<Span> {
        // Fewer say too little of what is usual.
        const FEWEST: usize = 5;
        // With an exponential tail, one silence in 10^4 lasts as long by chance.
        const PHI: f64 = 4.0;
        let gaps = self.gaps.borrow();
        let mean = gaps.iter().map(|g| g.as_ms()).sum::<f64>() / gaps.len().max(1) as f64;
        (gaps.len() >= FEWEST).then(|| Span::from_ms(mean * PHI * std::f64::consts::LN_10))
    }

    fn unusually_silent(&self, now: Point) -> bool {
        let unusual = |since| self.unusual_after().is_some_and(|limit| now.since(since) > limit);
        self.silent_since.get().is_some_and(unusual)
    }
}

/// First stage: whether the circuit may have a connect at all.
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

    fn back(&mut self, circuit: &Rc<Circuit>, connect: &Connect, _: Point) {
        circuit.stands.set(connect.ending.is_none());
    }
}

/// How long the table knows a connection after its end: the design page's starting value.
const TABLE_TIME_OUT: Span = Span::millis(30_000);

/// Second stage: the bounded, aged table that answers mid-flow circuits.
struct Recall {
    drain_grace: Span,
    /// By client key: the server, and how many connections of the key stand or have yet to age.
    table: BTreeMap<u64, (Weak<Server>, u32)>,
    /// Ends of connections, oldest first, with their keys.
    aging: VecDeque<(Point, u64)>,
}

impl Recall {
    fn forget_aged(&mut self, now: Point) {
        // Bounds the memory to some megabytes.
        const MOST_KEYS: usize = 100_000;
        while let Some(&(ended, key)) = self.aging.front() {
            if now.since(ended) < TABLE_TIME_OUT && self.table.len() <= MOST_KEYS {
                break;
            }
            self.aging.pop_front();
            if let Some((_, uses)) = self.table.get_mut(&key) {
                *uses -= 1;
                if *uses == 0 {
                    self.table.remove(&key);
                }
            }
        }
    }
}

impl Stage for Recall {
    fn forth(&mut self, circuit: &Rc<Circuit>, now: Point, _: &mut dyn Host) -> Step {
        self.forget_aged(now);
        if circuit.mid_flow && circuit.connects.borrow().is_empty() {
            let server = self.table.get(&circuit.key).and_then(|(server, _)| server.upgrade());
            // Guards against resetting a connection that its draining server would still serve: it goes on there
            // in the first half of the grace, the rest being left for what is on the way.
            let held = server.filter(|s| {
                let told = s.leaving_since.get();
                s.standing.get() != Standing::Gone
                    && told.is_none_or(|told| now.since(told) < self.drain_grace.times(0.5))
            });
            *circuit.pick.borrow_mut() = held;
        }
        Step::Pass
    }

    fn back(&mut self, circuit: &Rc<Circuit>, connect: &Connect, now: Point) {
        if connect.ending.is_none() {
            let entry = self.table.entry(circuit.key).or_default();
            *entry = (Rc::downgrade(&connect.server), entry.1 + 1);
        } else if circuit.stands.get() {
            self.aging.push_back((now, circuit.key));
        }
    }
}

/// Keeps this proxy's share of what a starting server can bear.
pub struct WarmUp {
    pub cold_from: f64,
    pub cold_span: Span,
    pub fall_multiple: f64,
}

impl WarmUp {
    fn is_cold(&self, server: &Server, now: Point) -> bool {
        server.started.get().is_some_and(|at| now.since(at) < self.cold_span)
    }

    /// Guards against pushing a cold server over. What a warm server holds of this proxy's connections stands for
    /// this proxy's share of what it can hold, so no agreement with the others is needed.
    fn admits(&self, server: &Server, warm_holds: f64, now: Point) -> bool {
        if !self.is_cold(server, now) {
            return true;
        }
        // The rate that upkeep of that many connections needs, if they lived as long as the table remembers.
        let usual = warm_holds / TABLE_TIME_OUT.as_ms();
        // Half of the bound is left for chance.
        const USED: f64 = 0.5;
        let age = now.since(server.started.get().unwrap_or(now)).over(self.cold_span);
        let present = self.cold_from + (1.0 - self.cold_from) * age;
        let (left, at) = server.budget.get();
        let gained = now.since(at).as_ms() * usual * USED * self.fall_multiple * present;
        // Never saves up for more than one connect.
        let left = (left + gained).min(1.0);
        server.budget.set((left, now));
        left >= 1.0
    }
}

/// Third stage: the design's choice of a server, with the load skip.
struct Placement {
    shelf: Rc<Shelf>,
    warm_up: WarmUp,
    chance: Rc<RefCell<WyRand>>,
}

impl Placement {
    fn choose(&self, circuit: &Circuit, now: Point) -> Option<Rc<Server>> {
        // The design page's figures: over twice the mean, and at least three more than it.
        const SKIP_FACTOR: f64 = 2.0;
        const SKIP_MARGIN: f64 = 3.0;
        let servers = self.shelf.servers.borrow();
        let active = |s: &&Rc<Server>| s.standing.get() == Standing::Active;
        let (mut open, mut listed) = (0.0, 0.0);
        for server in servers.iter().filter(active) {
            open += server.open();
            listed += 1.0;
        }
        let mean = open / f64::max(listed, 1.0);
        let overfull = |s: &Server| s.open() > SKIP_FACTOR * mean && s.open() >= mean + SKIP_MARGIN;
        let from = |hash: u64| {
            let first = hash as usize % servers.len().max(1);
            servers[first..].iter().chain(&servers[..first]).filter(active)
        };
        let usable = |s: &&Rc<Server>| {
            circuit.may_go_to(s, now) && !circuit.tried(s) && self.warm_up.admits(s, mean, now)
        };
        let doubt = |s: &Server| if s.unusually_silent(now) { 1.0 } else { s.distrust(now) };
        let trusted = |s: &&Rc<Server>| f64::from(self.chance.borrow_mut().generate::<f32>()) >= doubt(s);
        let fits = |s: &&Rc<Server>| usable(s) && !overfull(s) && trusted(s);

        // The ordinary path: the client key's hash, and the next in order past what drains, is gone or is overfull.
        let own = || from(circuit.key).filter(usable).find(|s| !overfull(s));
        let by_group = circuit.group.filter(|_| !circuit.mid_flow);
        let ordinary = if circuit.returned && by_group.is_some() { None } else { own() };
        if let Some(pick) = ordinary.filter(trusted) {
            return Some(pick.clone());
        }
        // Guards against members of a group straining every server at once: what came back, or found its pick
        // distrusted, meets its group at the server that the group's hash names at every proxy.
        let order = || from(by_group.unwrap_or(circuit.key));
        if let Some(pick) = order().find(fits) {
            return Some(pick.clone());
        }
        let least = order().filter(usable).min_by(|a, b| doubt(a).total_cmp(&doubt(b)))?;
        Some(least.clone())
    }
}

impl Stage for Placement {
    fn forth(&mut self, circuit: &Rc<Circuit>, now: Point, _: &mut dyn Host) -> Step {
        if circuit.pick.borrow().is_none() {
            let pick = self.choose(circuit, now);
            *circuit.pick.borrow_mut() = pick;
        }
        if circuit.pick.borrow().is_some() {
            return Step::Pass;
        }
        Step::End
    }

    fn back(&mut self, _: &Rc<Circuit>, connect: &Connect, now: Point) {
        // One bad ending takes half of the trust that is left, one that the server itself gave rather less.
        let by = match connect.ending {
            Some(Ending::TimedOut | Ending::Unreachable | Ending::Broken) => 0.5,
            Some(Ending::Errored | Ending::TurnedAway) => 0.3,
            _ => 0.0,
        };
        connect.server.distrust_more(by, now);
    }
}

/// Last stage: sends the connect and measures what comes back.
struct Dispatch {
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
        let (budget, at) = server.budget.get();
        server.budget.set((budget - 1.0, at));
        server.waiting.set(server.waiting.get() + 1);
        server.silent_since.set(server.silent_since.get().or(Some(now)));
        circuit.connects.borrow_mut().push(Connect { server, sent: now, ending: None });
        Step::Keep
    }

    fn back(&mut self, circuit: &Rc<Circuit>, connect: &Connect, now: Point) {
        // Enough for a mean, few enough to forget a bad minute.
        const SAMPLES: usize = 16;
        let server = &connect.server;
        if circuit.stands.get() {
            server.held.borrow_mut().remove(&circuit.id);
            return;
        }
        server.waiting.set(server.waiting.get().saturating_sub(1));
        let word = connect.ending != Some(Ending::TimedOut);
        if word || server.waiting.get() == 0 {
            server.silent_since.set((server.waiting.get() > 0).then_some(now));
        }
        if connect.ending.is_none() {
            server.held.borrow_mut().insert(circuit.id, Rc::downgrade(circuit));
            let mut gaps = server.gaps.borrow_mut();
            // A connection that was open before this proxy started says nothing of the time it took.
            gaps.extend(Some(now.since(connect.sent)).filter(|g| *g > Span::default()));
            if gaps.len() > SAMPLES {
                gaps.pop_front();
            }
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
        Chooser {
            offerings,
            most_pause,
            following: Following { must_ask_in, chance: chance.clone(), failures: 0 },
            stages: [
                Box::new(Reception { most_connects }),
                Box::new(Recall { drain_grace, table: BTreeMap::new(), aging: VecDeque::new() }),
                Box::new(Placement { shelf: shelf.clone(), warm_up, chance: chance.clone() }),
                Box::new(Dispatch { most_connects }),
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
        let Some(server) = self.shelf.find(server) else { return };
        let circuit = self.enter(arrival);
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

    /// The load of a standing connection, in work a second.
    pub fn load_is(&mut self, circuit: CircuitId, load: f64) {
        if let Some(circuit) = self.circuits.get(&circuit) {
            circuit.load.set(load);
        }
    }

    /// Messages of a standing connection take this long at its server.
    pub fn messages_take(&mut self, circuit: CircuitId, delay: Span, now: Point, host: &mut dyn Host) {
        let Some(circuit) = self.circuits.get(&circuit) else { return };
        let connects = circuit.connects.borrow();
        let (Some(connect), Some(limit)) = (connects.last(), circuit.message_limit) else { return };
        // Up to a quarter of the limit is no cause for distrust; from the limit on nothing more should come.
        let late = ((delay.over(limit) - 0.25) / 0.75).clamp(0.0, 1.0);
        let server = &connect.server;
        let score = late.max(server.distrust(now));
        server.distrust.set((score, now));
        if late > 0.5 {
            self.relieve(server, host);
        }
    }

    /// Guards against a strained server keeping its share: sends away the heaviest connection that is not where
    /// its group's hash would have it.
    fn relieve(&self, server: &Rc<Server>, host: &mut dyn Host) {
        let servers = self.shelf.servers.borrow();
        let held = server.held.borrow();
        let away = |c: &Rc<Circuit>| {
            c.group.is_some_and(|g| !Rc::ptr_eq(&servers[g as usize % servers.len()], server))
                && !c.answered.get()
        };
        let guests = held.values().filter_map(Weak::upgrade).filter(away);
        if let Some(heaviest) = guests.max_by(|a, b| a.load.get().total_cmp(&b.load.get())) {
            heaviest.answered.set(true);
            host.send_away(heaviest.id);
        }
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
            group: arrival.group.map(|g| xxh3_64(g.as_bytes())),
            effect: offering.map_or(Effect::SingleUse, |o| o.effect),
            message_limit: offering.and_then(|o| o.message_limit),
            patience_ends: arrival.patience_ends,
            mid_flow: arrival.mid_flow,
            returned: arrival.returned,
            stands: Cell::new(false),
            answered: Cell::new(false),
            load: Cell::new(0.0),
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
        let mut connects = circuit.connects.borrow_mut();
        let Some(connect) = connects.last_mut() else { return };
        connect.ending = ending;
        for stage in self.stages.iter_mut().rev() {
            stage.back(circuit, connect, now);
        }
    }
}
