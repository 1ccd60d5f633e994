//! One proxy on a fake host that notes what it is asked to do.

use shelfgrade::balancer::{LoadBalancer, SlowStart};
use shelfgrade::host::*;
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
pub struct Notes {
    /// Every connect, with the time-out it was given.
    pub attempts: Vec<(u64, String, Duration)>,
    pub rejected: Vec<(u64, Duration)>,
    pub failed: Vec<u64>,
    pub migrated: Vec<u64>,
    pub subscribed: usize,
    pub probed: Vec<String>,
    /// Probes are not allowed.
    pub mute: bool,
    pub alarms: Vec<Timestamp>,
}

impl Host for Notes {
    fn connect(&mut self, session: SessionId, server: &ServerId, time_out: Duration) {
        self.attempts.push((session.0, server.to_string(), time_out));
    }
    fn reject(&mut self, session: SessionId, retry_after: Duration) {
        self.rejected.push((session.0, retry_after));
    }
    fn fail(&mut self, session: SessionId) {
        self.failed.push(session.0);
    }
    fn migrate(&mut self, session: SessionId) {
        self.migrated.push(session.0);
    }
    fn subscribe(&mut self) {
        self.subscribed += 1;
    }
    fn check_health(&mut self, server: &ServerId) -> bool {
        if !self.mute {
            self.probed.push(server.to_string());
        }
        !self.mute
    }
    fn schedule_wakeup(&mut self, at: Timestamp) {
        self.alarms.push(at);
    }
}

pub const IDEMPOTENT: usize = 0;
pub const NON_IDEMPOTENT: usize = 1;
pub const KEYED: usize = 2;
pub const MUST_ASK_IN: Duration = Duration::from_millis(10_000);
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2000);
pub const CONNECT_LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);

pub const TWELVE: [&str; 12] = ["a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2", "b3", "b4", "b5", "b6"];

pub struct Proxy {
    pub balancer: LoadBalancer,
    pub notes: Notes,
    pub now: Timestamp,
    next: u64,
}

pub fn server(id: &str) -> Endpoint {
    let zone = id[..1].to_owned();
    Endpoint {
        server: id.into(),
        zone,
        kind: String::new(),
        cell: 0,
        started: None,
        state: EndpointState::Active,
    }
}

/// A session with its own key and no group.
pub fn plain<'a>(key: &'a str) -> Arrival<'a> {
    Arrival {
        session: SessionId(0),
        class: Some(IDEMPOTENT),
        key: Some(key),
        group: None,
        deadline: Timestamp::default(),
        mid_flow: false,
        reconnected: false,
        admission_turn: None,
        allowed_servers: None,
    }
}

impl Proxy {
    pub fn with(list: &[Endpoint]) -> Self {
        Self::seeded(7, list)
    }

    pub fn seeded(seed: u64, list: &[Endpoint]) -> Self {
        Self::among(3, None, seed, list)
    }

    /// One of so many, whose part of what the servers can hold is this, if the settings tell.
    pub fn among(proxies: usize, part: Option<f64>, seed: u64, list: &[Endpoint]) -> Self {
        let many = proxies as f64;
        let slow_start = SlowStart {
            initial_fraction: 0.3,
            duration: Duration::from_millis(8000),
            overload_factor: 3.0,
            overload_window: Duration::from_millis(2000),
            total_capacity: part.map(|p| p * many),
            server_capacity: 30.0,
            proxies: many,
        };
        Self::by(slow_start, seed, list)
    }

    /// One that goes by these terms on cold servers.
    pub fn by(slow_start: SlowStart, seed: u64, list: &[Endpoint]) -> Self {
        let keyed = Idempotency::Keyed { scope: KeyScope::Zone, window: Duration::from_millis(1500) };
        let message_latency_objective = Some(Duration::from_millis(50));
        let classes = [Idempotency::Idempotent, Idempotency::NonIdempotent, keyed];
        let classes = classes
            .map(|idempotency| RequestClass {
                idempotency,
                connect_latency_objective: Some(CONNECT_LATENCY_OBJECTIVE),
                message_latency_objective,
            })
            .to_vec();
        let pause = Duration::from_millis(1000);
        let balancer = LoadBalancer::new(seed, classes, 4, pause, Some(MUST_ASK_IN), slow_start);
        let mut proxy =
            Proxy { balancer, notes: Notes::default(), now: Timestamp::from_ms(60_000.0), next: 0 };
        proxy.balancer.start(list, proxy.now, &mut proxy.notes);
        proxy
    }

    /// Four servers in two zones, warm and active.
    pub fn of_four() -> Self {
        Self::with(&["a1", "a2", "b1", "b2"].map(server))
    }

    /// Twelve of them.
    pub fn of_twelve() -> Self {
        Self::with(&TWELVE.map(server))
    }

    /// Has every server of the list hold a session whose messages take this long.
    pub fn strains(&mut self, places: &[&str], ms: u64) {
        for place in places {
            self.next += 1;
            let open = Arrival { session: SessionId(self.next), ..plain("any") };
            self.balancer.restore_session(&open, place, self.now);
            self.on_message_latency(self.next, ms);
        }
    }

    /// Lets a session arrive and gives its number.
    pub fn arrives(&mut self, arrival: Arrival) -> u64 {
        self.next += 1;
        let ends = if arrival.deadline == Timestamp::default() {
            self.now + REQUEST_TIMEOUT
        } else {
            arrival.deadline
        };
        let arrival = Arrival { session: SessionId(self.next), deadline: ends, ..arrival };
        self.balancer.on_request(&arrival, self.now, &mut self.notes);
        self.next
    }

    /// A server gives a sign of life after this long.
    pub fn answers(&mut self, place: &str, ms: u64) {
        self.balancer.on_health_check(place, Duration::from_millis(ms), self.now, &mut self.notes);
    }

    /// Lets it arrive and its connection stand, if it was sent anywhere; says where. Of servers that are asked for
    /// a sign of life the first answers.
    pub fn settles(&mut self, arrival: Arrival) -> Option<String> {
        let asked = self.notes.probed.len();
        let session = self.arrives(arrival);
        if let Some(first) = self.notes.probed.get(asked).cloned() {
            self.answers(&first, 3);
        }
        let place = self.sent_to(session).last().cloned();
        self.passes(20);
        self.balancer.on_established(SessionId(session), self.now);
        place
    }

    pub fn attempt_ends(&mut self, session: u64, outcome: AttemptOutcome) {
        self.balancer.on_attempt_ended(
            SessionId(session),
            outcome,
            outcome == AttemptOutcome::Completed,
            self.now,
            &mut self.notes,
        );
    }

    pub fn on_message_latency(&mut self, session: u64, ms: u64) {
        self.balancer.on_message_latency(
            SessionId(session),
            Duration::from_millis(ms),
            self.now,
            &mut self.notes,
        );
    }

    pub fn passes(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
    }

    /// Lets time pass, ringing each alarm when it is due.
    pub fn lives(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(i) = self.notes.alarms.iter().position(|at| *at <= end) {
            self.now = self.now.max(self.notes.alarms.remove(i));
            self.balancer.on_timer(self.now, &mut self.notes);
        }
        self.now = end;
    }

    pub fn sent_to(&self, session: u64) -> Vec<String> {
        self.notes.attempts.iter().filter(|(c, ..)| *c == session).map(|(_, s, _)| s.clone()).collect()
    }

    pub fn last_place(&self) -> &str {
        &self.notes.attempts.last().expect("an attempt").1
    }

    /// How many attempts each server got.
    pub fn shares(&self) -> BTreeMap<String, usize> {
        let mut shares = BTreeMap::new();
        self.notes.attempts.iter().for_each(|(_, s, _)| *shares.entry(s.clone()).or_default() += 1);
        shares
    }
}

/// A client key whose sessions go to `place` in an untroubled proxy of four.
pub fn key_for(place: &str) -> String {
    let lands = |key: &String| Proxy::of_four().settles(plain(key)).as_deref() == Some(place);
    (0..).map(|i| format!("key-{i}")).find(lands).expect("some key")
}

/// Where a session of the group goes that came back.
pub fn home(proxy: &mut Proxy, group: &str) -> Option<String> {
    proxy.settles(Arrival { group: Some(group), reconnected: true, ..plain("k") })
}

/// One of three hundred proxies, whose servers can hold 2,400 connections as far as the settings tell.
pub fn one_of_many(seed: u64) -> Proxy {
    let list: Vec<_> = (0..80).map(|i| server(&format!("a{i:02}"))).collect();
    Proxy::among(300, Some(8.0), seed, &list)
}
