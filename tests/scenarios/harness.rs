//! One proxy on a fake host that notes what it is asked to do.

use shelfgrade::balancer::{LoadBalancer, SlowStart};
use shelfgrade::host::*;
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
pub struct RecordingHost {
    /// Every connect, with the time-out it was given.
    pub attempts: Vec<(u64, String, Duration)>,
    pub rejected: Vec<(u64, Duration)>,
    pub failed: Vec<u64>,
    pub migrated: Vec<u64>,
    pub subscribed: usize,
    pub health_checked: Vec<String>,
    /// Probes are not allowed.
    pub health_checks_refused: bool,
    pub wakeups: Vec<Timestamp>,
}

impl Host for RecordingHost {
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
        if !self.health_checks_refused {
            self.health_checked.push(server.to_string());
        }
        !self.health_checks_refused
    }
    fn schedule_wakeup(&mut self, at: Timestamp) {
        self.wakeups.push(at);
    }
}

pub const IDEMPOTENT: usize = 0;
pub const NON_IDEMPOTENT: usize = 1;
pub const KEYED: usize = 2;
pub const MAX_POLL_INTERVAL: Duration = Duration::from_millis(10_000);
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2000);
pub const CONNECT_LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);

pub const TWELVE: [&str; 12] = ["a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2", "b3", "b4", "b5", "b6"];

pub struct Proxy {
    pub balancer: LoadBalancer,
    pub host: RecordingHost,
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
pub fn arrival<'a>(key: &'a str) -> Arrival<'a> {
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
        Self::one_of(3, None, seed, list)
    }

    /// One of so many, whose part of what the servers can hold is this, if the settings tell.
    pub fn one_of(proxies: usize, part: Option<f64>, seed: u64, list: &[Endpoint]) -> Self {
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
        let balancer = LoadBalancer::new(seed, classes, 4, pause, Some(MAX_POLL_INTERVAL), slow_start);
        let mut proxy =
            Proxy { balancer, host: RecordingHost::default(), now: Timestamp::from_ms(60_000.0), next: 0 };
        proxy.balancer.start(list, proxy.now, &mut proxy.host);
        proxy
    }

    /// Four servers in two zones, warm and active.
    pub fn with_four_servers() -> Self {
        Self::with(&["a1", "a2", "b1", "b2"].map(server))
    }

    /// Twelve of them.
    pub fn with_twelve_servers() -> Self {
        Self::with(&TWELVE.map(server))
    }

    /// Has every server of the list hold a session whose messages take this long.
    pub fn overload(&mut self, places: &[&str], ms: u64) {
        for place in places {
            self.next += 1;
            let open = Arrival { session: SessionId(self.next), ..arrival("any") };
            self.balancer.restore_session(&open, place, self.now);
            self.report_message_latency(self.next, ms);
        }
    }

    /// Lets a session arrive and gives its number.
    pub fn arrive(&mut self, arrival: Arrival) -> u64 {
        self.next += 1;
        let ends = if arrival.deadline == Timestamp::default() {
            self.now + REQUEST_TIMEOUT
        } else {
            arrival.deadline
        };
        let arrival = Arrival { session: SessionId(self.next), deadline: ends, ..arrival };
        self.balancer.on_request(&arrival, self.now, &mut self.host);
        self.next
    }

    /// A server gives a sign of life after this long.
    pub fn answer_health_check(&mut self, place: &str, ms: u64) {
        self.balancer.on_health_check(place, Duration::from_millis(ms), self.now, &mut self.host);
    }

    /// Lets it arrive and its connection stand, if it was sent anywhere; says where. Of servers that are asked for
    /// a sign of life the first answers.
    pub fn establish(&mut self, arrival: Arrival) -> Option<String> {
        let asked = self.host.health_checked.len();
        let session = self.arrive(arrival);
        if let Some(first) = self.host.health_checked.get(asked).cloned() {
            self.answer_health_check(&first, 3);
        }
        let place = self.servers_tried(session).last().cloned();
        self.advance(20);
        self.balancer.on_established(SessionId(session), self.now);
        place
    }

    pub fn end_attempt(&mut self, session: u64, outcome: AttemptOutcome) {
        self.balancer.on_attempt_ended(
            SessionId(session),
            outcome,
            outcome == AttemptOutcome::Completed,
            self.now,
            &mut self.host,
        );
    }

    pub fn report_message_latency(&mut self, session: u64, ms: u64) {
        self.balancer.on_message_latency(
            SessionId(session),
            Duration::from_millis(ms),
            self.now,
            &mut self.host,
        );
    }

    pub fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
    }

    /// Lets time pass, ringing each alarm when it is due.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(i) = self.host.wakeups.iter().position(|at| *at <= end) {
            self.now = self.now.max(self.host.wakeups.remove(i));
            self.balancer.on_timer(self.now, &mut self.host);
        }
        self.now = end;
    }

    pub fn servers_tried(&self, session: u64) -> Vec<String> {
        self.host.attempts.iter().filter(|(c, ..)| *c == session).map(|(_, s, _)| s.clone()).collect()
    }

    pub fn last_server(&self) -> &str {
        &self.host.attempts.last().expect("an attempt").1
    }

    /// How many attempts each server got.
    pub fn attempts_by_server(&self) -> BTreeMap<String, usize> {
        let mut attempts_by_server = BTreeMap::new();
        self.host
            .attempts
            .iter()
            .for_each(|(_, s, _)| *attempts_by_server.entry(s.clone()).or_default() += 1);
        attempts_by_server
    }
}

/// A client key whose sessions go to `place` in an untroubled proxy of four.
pub fn key_for(place: &str) -> String {
    let lands = |key: &String| Proxy::with_four_servers().establish(arrival(key)).as_deref() == Some(place);
    (0..).map(|i| format!("key-{i}")).find(lands).expect("some key")
}

/// Where a session of the group goes that came back.
pub fn home(proxy: &mut Proxy, group: &str) -> Option<String> {
    proxy.establish(Arrival { group: Some(group), reconnected: true, ..arrival("k") })
}

/// One of three hundred proxies, whose servers can hold 2,400 connections as far as the settings tell.
pub fn one_of_many(seed: u64) -> Proxy {
    let list: Vec<_> = (0..80).map(|i| server(&format!("a{i:02}"))).collect();
    Proxy::one_of(300, Some(8.0), seed, &list)
}
