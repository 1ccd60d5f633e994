//! What a proxy keeps of servers and sessions: plain records, on which `choice` decides.

use crate::host::{
    AdmissionTurn, Arrival, AttemptOutcome, Endpoint, EndpointState, Idempotency, RequestClass, ServerId,
    SessionId,
};
use crate::time::{DurationExt, Timestamp};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A server as this proxy knows it.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) hash: u64,
    /// What it may share trouble with others by: hashes of its zone and its kind, unlike where the names are.
    pub(crate) kin: [u64; 2],
    pub(crate) cell: u64,
    pub(crate) state: Cell<EndpointState>,
    pub(crate) started: Cell<Option<Timestamp>>,
    /// The connections that this proxy placed and that stand.
    pub(crate) held: RefCell<BTreeMap<SessionId, Weak<Session>>>,
    /// When the last attempts were sent to it.
    pub(crate) sent: RefCell<VecDeque<Timestamp>>,
    /// Connects that wait for a word from the server, and since when it has sent none.
    pub(crate) waiting: Cell<u32>,
    pub(crate) silent_since: Cell<Option<Timestamp>>,
    /// The last that was heard of it is that it broke off a connection or refused one.
    pub(crate) broke: Cell<bool>,
    /// The score of distrust as it was at a moment, and how long it takes to fade by half.
    pub(crate) distrust: Cell<(f64, Timestamp)>,
    pub(crate) half_life: Cell<Duration>,
    /// Sessions that wait for its sign of life.
    pub(crate) hailed_by: RefCell<Vec<Weak<Session>>>,
    /// When it was last probed, and how long its last answers took.
    pub(crate) probed: Cell<Timestamp>,
    pub(crate) answers: RefCell<VecDeque<Duration>>,
}

/// The id-sorted list and what was seen over all its servers, shared by the stages.
pub(crate) struct Shelf {
    pub(crate) servers: RefCell<Vec<Rc<Server>>>,
    /// The last few times that an attempt took to stand, at any server: of one alone a proxy sees too few.
    pub(crate) gaps: RefCell<VecDeque<Duration>>,
    /// The keys and groups of the last clients that came, each once however often it comes.
    pub(crate) groups: RefCell<VecDeque<(u64, u64)>>,
    /// When the last sessions came; mid-flow ones too, as one that misses its server is set up anew.
    pub(crate) arrivals: RefCell<VecDeque<Timestamp>>,
    /// How many attempts might be out at some moment.
    pub(crate) window: Cell<(f64, Timestamp)>,
    /// How many attempts a session may have.
    pub(crate) max_attempts: usize,
    pub(crate) seed: u64,
    /// How many proxies there are, this one included.
    pub(crate) proxies: f64,
    /// What this proxy may do of what the fleet may, in parts of one proxy's: 1 where nobody says otherwise.
    pub(crate) parts: Cell<f64>,
    /// By client key: where its connection stands, or stood.
    pub(crate) table: RefCell<BTreeMap<u64, Known>>,
    pub(crate) chance: RefCell<WyRand>,
}

impl Shelf {
    pub(crate) fn new(max_attempts: usize, seed: u64, proxies: f64) -> Self {
        Shelf {
            servers: RefCell::default(),
            gaps: RefCell::default(),
            groups: RefCell::default(),
            arrivals: RefCell::default(),
            window: Cell::default(),
            max_attempts,
            seed,
            proxies,
            parts: Cell::new(1.0),
            table: RefCell::default(),
            chance: RefCell::new(WyRand::new_seed(seed)),
        }
    }

    // As long as it takes a crowd of clients to come back.
    pub(crate) const JUST_BEFORE: Duration = Duration::from_millis(2000);

    /// How many sessions came just now, the last one included.
    pub(crate) fn crowd(&self, now: Timestamp) -> f64 {
        let mut arrivals = self.arrivals.borrow_mut();
        let past = arrivals.partition_point(|at| now.since(*at) > Self::JUST_BEFORE);
        arrivals.drain(..past);
        arrivals.len().max(1) as f64
    }

    /// From 0 to 1, any as likely as the next.
    pub(crate) fn luck(&self) -> f64 {
        f64::from(self.chance.borrow_mut().generate::<f32>())
    }

    pub(crate) fn find(&self, id: &str) -> Option<Rc<Server>> {
        let servers = self.servers.borrow();
        servers.binary_search_by(|s| s.id.as_ref().cmp(id)).ok().map(|i| servers[i].clone())
    }

    /// Takes in lines of the list; who is absent from a `whole` one is gone, and what is gone is forgotten.
    pub(crate) fn follow(&self, lines: &[Endpoint], whole: bool, now: Timestamp) {
        for line in lines {
            let server = self.find(&line.server).unwrap_or_else(|| {
                let server = Rc::new(Server::named(line));
                let mut servers = self.servers.borrow_mut();
                let place = servers.partition_point(|s| s.id < server.id);
                servers.insert(place, server.clone());
                server
            });
            if line.started > server.started.get() {
                server.started.set(line.started);
                server.distrust.set((0.0, now));
            }
            server.state.set(line.state);
        }
        let mut servers = self.servers.borrow_mut();
        if whole {
            let told: BTreeSet<_> = lines.iter().map(|l| &l.server).collect();
            servers
                .iter()
                .filter(|s| !told.contains(&s.id))
                .for_each(|s| s.state.set(EndpointState::Removed));
        }
        servers.retain(|s| s.state.get() != EndpointState::Removed);
    }

    pub(crate) fn note_arrival(&self, now: Timestamp) {
        // Far more than come just before another one where a proxy still keeps up.
        const SAMPLES: usize = 4096;
        keep_last(SAMPLES, now, &mut self.arrivals.borrow_mut());
    }

    /// Keeps how long an attempt took to stand.
    pub(crate) fn note_gap(&self, took: Duration) {
        // Enough for a mean, few enough to forget a bad minute.
        const SAMPLES: usize = 16;
        keep_last(SAMPLES, took, &mut self.gaps.borrow_mut());
    }

    /// Keeps a session's key and group, once for each key.
    pub(crate) fn note_group(&self, session: &Session) {
        // Enough to tell a tenth from a twentieth, in some seconds of one proxy's traffic.
        const SAMPLES: usize = 128;
        let mut groups = self.groups.borrow_mut();
        if let Some(group) = session.group.filter(|_| !groups.iter().any(|g| g.0 == session.key)) {
            keep_last(SAMPLES, (session.key, group), &mut groups);
        }
    }
}

impl Server {
    fn named(line: &Endpoint) -> Self {
        Server {
            id: line.server.clone(),
            hash: xxh3_64(line.server.as_bytes()),
            kin: [xxh3_64(line.zone.as_bytes()), !xxh3_64(line.kind.as_bytes())],
            cell: line.cell,
            ..Server::default()
        }
    }

    /// Connections that this proxy has here, standing or under way.
    pub(crate) fn open(&self) -> f64 {
        self.held.borrow().len() as f64 + f64::from(self.waiting.get())
    }

    /// Keeps that an attempt goes out to it.
    pub(crate) fn note_sent(&self, now: Timestamp) {
        self.waiting.set(self.waiting.get() + 1);
        // Longer than any server's warm-up is counted in, and far more than a proxy may send to a cold one in it.
        const KEPT_FOR: Duration = Duration::from_millis(10_000);
        const SAMPLES: usize = 4096;
        let mut sent = self.sent.borrow_mut();
        let past = sent.partition_point(|at| now.since(*at) > KEPT_FOR);
        sent.drain(..past);
        keep_last(SAMPLES, now, &mut sent);
    }

    /// How many attempts this proxy sent to it within such a span.
    pub(crate) fn sent_within(&self, span: Duration, now: Timestamp) -> f64 {
        let sent = self.sent.borrow();
        sent.iter().rev().take_while(|at| now.since(**at) <= span).count() as f64
    }

    /// Keeps how long a probe took; how many times as long as its quickest.
    pub(crate) fn slower(&self, took: Duration) -> f64 {
        // Longer than strain is let last; a freak answer sets the quickest no longer than that.
        const SAMPLES: usize = 32;
        let mut answers = self.answers.borrow_mut();
        keep_last(SAMPLES, took, &mut answers);
        answers.iter().min().map_or(1.0, |quickest| took.ratio_to(*quickest))
    }
}

fn keep_last<T>(most: usize, sample: T, samples: &mut VecDeque<T>) {
    samples.push_back(sample);
    samples.drain(..samples.len().saturating_sub(most));
}

/// What servers can bear, a starting one above all, and how many proxies share it.
pub struct SlowStart {
    pub initial_fraction: f64,
    pub duration: Duration,
    pub overload_factor: f64,
    /// The span in which a cold server falls when it gets more than that; the budget is kept to in it.
    pub overload_window: Duration,
    /// What all servers together can hold, in connections, where customers' bounds tell; else what each can.
    pub total_capacity: Option<f64>,
    pub server_capacity: f64,
    pub proxies: f64,
}

impl SlowStart {
    /// How many connections this proxy would hold of what so many servers can.
    pub(crate) fn part(&self, servers: usize) -> f64 {
        self.total_capacity.unwrap_or(self.server_capacity * servers as f64) / self.proxies
    }

    /// How many attempts those can take in such a span that together hold `part` and are as warm as this server.
    pub(crate) fn budget(&self, server: &Server, part: f64, span: Duration, now: Timestamp) -> f64 {
        let present = self.initial_fraction + (1.0 - self.initial_fraction) * self.warm_fraction(server, now);
        // A cold server can take what fills it over its warm-up.
        part * span.ratio_to(self.duration) * self.overload_factor * present
    }

    /// From 0, just started, to 1, warm.
    pub(crate) fn warm_fraction(&self, server: &Server, now: Timestamp) -> f64 {
        server.started.get().map_or(1.0, |at| now.since(at).ratio_to(self.duration).min(1.0))
    }
}

/// Where a client key's connection stands, or stood until a short while ago.
pub(crate) struct Known {
    server: Weak<Server>,
    /// The server's start as it was then.
    started: Option<Timestamp>,
    pub(crate) until: Timestamp,
}

impl Known {
    pub(crate) fn at(server: &Rc<Server>, until: Timestamp) -> Self {
        Known { server: Rc::downgrade(server), started: server.started.get(), until }
    }

    pub(crate) fn is_at(&self, server: &Rc<Server>) -> bool {
        std::ptr::eq(self.server.as_ptr(), Rc::as_ptr(server))
    }

    /// The server, unless it has started anew since: then it holds nothing from before.
    pub(crate) fn server(&self) -> Option<Rc<Server>> {
        self.server.upgrade().filter(|server| server.started.get() == self.started)
    }
}

/// One attempt of a session.
pub(crate) struct Attempt {
    pub(crate) server: Rc<Server>,
    pub(crate) sent: Timestamp,
    pub(crate) outcome: Option<AttemptOutcome>,
}

/// A session from its arrival to its final answer or, once it stands, to its end.
#[derive(Default)]
pub(crate) struct Session {
    pub(crate) id: SessionId,
    /// Hashes of the client key and of the group.
    pub(crate) key: u64,
    pub(crate) group: Option<u64>,
    pub(crate) idempotency: Idempotency,
    /// The time within which its connection should stand.
    pub(crate) connect_latency_objective: Option<Duration>,
    pub(crate) deadline: Timestamp,
    pub(crate) mid_flow: bool,
    pub(crate) reconnected: bool,
    pub(crate) admission_turn: Option<AdmissionTurn>,
    pub(crate) allowed_servers: Option<Rc<[ServerId]>>,
    pub(crate) stands: Cell<bool>,
    pub(crate) answered: Cell<bool>,
    /// It waits for the first sign of life from its servers, or has done so before the next attempt.
    pub(crate) hails: Cell<bool>,
    pub(crate) hailed: Cell<bool>,
    /// A server has answered it with an error.
    pub(crate) errored: Cell<bool>,
    /// Work a second that its connection asks for, once the server has told.
    pub(crate) load: Cell<f64>,
    pub(crate) attempts: RefCell<Vec<Attempt>>,
}

impl Session {
    /// As it arrives; a request class never heard of is treated as the most delicate kind.
    pub(crate) fn arriving(arrival: &Arrival, class: Option<&RequestClass>) -> Self {
        Session {
            id: arrival.session,
            key: arrival.key.map_or(arrival.session.0, |k| xxh3_64(k.as_bytes())),
            group: arrival.group.map(|g| xxh3_64(g.as_bytes())),
            idempotency: class.map(|o| o.idempotency).unwrap_or_default(),
            connect_latency_objective: class.and_then(|o| o.connect_latency_objective),
            deadline: arrival.deadline,
            mid_flow: arrival.mid_flow,
            reconnected: arrival.reconnected,
            admission_turn: arrival.admission_turn,
            allowed_servers: arrival.allowed_servers.cloned(),
            ..Session::default()
        }
    }

    /// The servers that it may go to, in the order of the list, where not all.
    pub(crate) fn left_of(&self, all: &[Rc<Server>]) -> Option<Vec<Rc<Server>>> {
        let allowed = self.allowed_servers.as_ref()?;
        Some(all.iter().filter(|server| allowed.binary_search(&server.id).is_ok()).cloned().collect())
    }
}
