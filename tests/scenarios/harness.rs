//! A load balancer in virtual time, with a host that records its calls.

use shelfgrade::balancer::{LoadBalancer, SlowStart};
use shelfgrade::host::*;
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Indices of the request classes.
pub const IDEMPOTENT: usize = 0;
pub const NON_IDEMPOTENT: usize = 1;
pub const KEYED: usize = 2;

pub const MAX_POLL_INTERVAL: Duration = Duration::from_millis(10_000);
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2000);
pub const CONNECT_LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);

/// Multiplier for consecutive seeds, whose first random numbers would otherwise be similar.
pub const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

pub const TWELVE_SERVERS: [&str; 12] =
    ["a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2", "b3", "b4", "b5", "b6"];

pub struct RecordedAttempt {
    pub session: u64,
    pub server: String,
    pub timeout: Duration,
}

pub struct Rejection {
    pub session: u64,
    pub retry_after: Duration,
}

/// Records every call of the load balancer.
#[derive(Default)]
pub struct RecordingHost {
    pub attempts: Vec<RecordedAttempt>,
    pub rejected: Vec<Rejection>,
    pub failed: Vec<u64>,
    pub migrated: Vec<u64>,
    pub subscribed: usize,
    pub health_checked: Vec<String>,
    pub health_checks_refused: bool,
    pub wakeups: Vec<Timestamp>,
}

impl Host for RecordingHost {
    fn connect(&mut self, session: SessionId, server: &ServerId, timeout: Duration) {
        let server = server.to_string();
        self.attempts.push(RecordedAttempt { session: session.0, server, timeout });
    }
    fn reject(&mut self, session: SessionId, retry_after: Duration) {
        self.rejected.push(Rejection { session: session.0, retry_after });
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

/// Returns an active endpoint, in the zone named by the first letter of its id.
pub fn endpoint(id: &str) -> Endpoint {
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

/// Returns the arrival of an idempotent session without a group.
pub fn arrival(key: &str) -> Arrival<'_> {
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

/// A load balancer with its host, its clock and the number of its last session.
pub struct Proxy {
    pub balancer: LoadBalancer,
    pub host: RecordingHost,
    pub now: Timestamp,
    last_session: u64,
}

impl Proxy {
    pub fn with_servers(list: &[Endpoint]) -> Self {
        Self::with_seed(7, list)
    }

    pub fn with_seed(seed: u64, list: &[Endpoint]) -> Self {
        Self::in_fleet(3, None, seed, list)
    }

    /// Creates one proxy of a fleet of this many, each with this share of the total capacity if the settings define
    /// one.
    pub fn in_fleet(proxy_count: usize, proxy_capacity: Option<f64>, seed: u64, list: &[Endpoint]) -> Self {
        let proxy_count = proxy_count as f64;
        let slow_start = SlowStart {
            initial_fraction: 0.3,
            duration: Duration::from_millis(8000),
            overload_factor: 3.0,
            overload_window: Duration::from_millis(2000),
            total_capacity: proxy_capacity.map(|capacity| capacity * proxy_count),
            server_capacity: 30.0,
            proxy_count,
        };
        Self::with_slow_start(slow_start, seed, list)
    }

    pub fn with_slow_start(slow_start: SlowStart, seed: u64, list: &[Endpoint]) -> Self {
        let keyed = Idempotency::Keyed { scope: KeyScope::Zone, window: Duration::from_millis(1500) };
        let classes =
            [Idempotency::Idempotent, Idempotency::NonIdempotent, keyed].map(|idempotency| RequestClass {
                idempotency,
                connect_latency_objective: Some(CONNECT_LATENCY_OBJECTIVE),
                message_latency_objective: Some(Duration::from_millis(50)),
            });
        let max_retry_after = Duration::from_millis(1000);
        let max_poll_interval = Some(MAX_POLL_INTERVAL);
        let balancer =
            LoadBalancer::new(seed, classes.to_vec(), 4, max_retry_after, max_poll_interval, slow_start);
        let host = RecordingHost::default();
        let mut proxy = Proxy { balancer, host, now: Timestamp::from_ms(60_000.0), last_session: 0 };
        proxy.balancer.start(list, proxy.now, &mut proxy.host);
        proxy
    }

    /// Creates a proxy with four servers in two zones, all warm and active.
    pub fn with_four_servers() -> Self {
        Self::with_servers(&["a1", "a2", "b1", "b2"].map(endpoint))
    }

    /// Creates a proxy with twelve servers in two zones, all warm and active.
    pub fn with_twelve_servers() -> Self {
        Self::with_servers(&TWELVE_SERVERS.map(endpoint))
    }

    /// Adds a session at each of these servers and reports this latency for its messages.
    pub fn add_sessions_with_latency(&mut self, servers: &[&str], ms: u64) {
        for server in servers {
            self.last_session += 1;
            let open = Arrival { session: SessionId(self.last_session), ..arrival("any") };
            self.balancer.restore_session(&open, server, self.now);
            self.report_message_latency(self.last_session, ms);
        }
    }

    /// Simulates the arrival of a session and returns its number.
    pub fn arrive(&mut self, arrival: Arrival) -> u64 {
        self.last_session += 1;
        let deadline = if arrival.deadline == Timestamp::default() {
            self.now + REQUEST_TIMEOUT
        } else {
            arrival.deadline
        };
        let arrival = Arrival { session: SessionId(self.last_session), deadline, ..arrival };
        self.balancer.on_request(&arrival, self.now, &mut self.host);
        self.last_session
    }

    /// Simulates a server's answer to a health check after this latency.
    pub fn answer_health_check(&mut self, server: &str, ms: u64) {
        self.balancer.on_health_check(server, Duration::from_millis(ms), self.now, &mut self.host);
    }

    /// Simulates the arrival of a session and its establishment if it is sent to a server, which is returned. If
    /// servers are health-checked for it, the first one answers.
    pub fn establish(&mut self, arrival: Arrival) -> Option<String> {
        let checked = self.host.health_checked.len();
        let session = self.arrive(arrival);
        if let Some(first) = self.host.health_checked.get(checked).cloned() {
            self.answer_health_check(&first, 3);
        }
        let server = self.servers_tried(session).last().cloned();
        self.advance(20);
        self.balancer.on_established(SessionId(session), self.now);
        server
    }

    /// Ends a session's attempt. The attempt is final if it completed.
    pub fn end_attempt(&mut self, session: u64, outcome: AttemptOutcome) {
        let is_final = outcome == AttemptOutcome::Completed;
        self.balancer.on_attempt_ended(SessionId(session), outcome, is_final, self.now, &mut self.host);
    }

    pub fn report_message_latency(&mut self, session: u64, ms: u64) {
        let latency = Duration::from_millis(ms);
        self.balancer.on_message_latency(SessionId(session), latency, self.now, &mut self.host);
    }

    /// Advances the time without wakeups.
    pub fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
    }

    /// Advances the time and delivers each wakeup when it is due.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(i) = self.host.wakeups.iter().position(|at| *at <= end) {
            self.now = self.now.max(self.host.wakeups.remove(i));
            self.balancer.on_timer(self.now, &mut self.host);
        }
        self.now = end;
    }

    /// Returns the servers of a session's attempts.
    pub fn servers_tried(&self, session: u64) -> Vec<String> {
        let attempts = self.host.attempts.iter().filter(|attempt| attempt.session == session);
        attempts.map(|attempt| attempt.server.clone()).collect()
    }

    /// Returns the server of the last attempt.
    pub fn last_server(&self) -> &str {
        &self.host.attempts.last().expect("an attempt").server
    }

    /// Returns how many attempts each server was sent.
    pub fn attempts_by_server(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for attempt in &self.host.attempts {
            *counts.entry(attempt.server.clone()).or_default() += 1;
        }
        counts
    }
}

/// Returns a client key that is hashed to `server` among four servers that are not overloaded.
pub fn key_hashed_to(server: &str) -> String {
    let is_sent_there =
        |key: &String| Proxy::with_four_servers().establish(arrival(key)).as_deref() == Some(server);
    (0..).map(|i| format!("key-{i}")).find(is_sent_there).expect("some key")
}

/// Returns the server to which a reconnecting session of the group is sent.
pub fn group_server(proxy: &mut Proxy, group: &str) -> Option<String> {
    proxy.establish(Arrival { group: Some(group), reconnected: true, ..arrival("k") })
}

/// Returns one of 300 proxies, whose 80 servers have a total capacity of 2,400 connections in the settings: too few
/// for each proxy to observe the servers' load.
pub fn proxy_in_large_fleet(seed: u64) -> Proxy {
    let list: Vec<_> = (0..80).map(|i| endpoint(&format!("a{i:02}"))).collect();
    Proxy::in_fleet(300, Some(8.0), seed, &list)
}

/// Returns the processor time that this thread has used.
pub fn thread_cpu_time() -> Duration {
    let statistics = std::fs::read_to_string("/proc/thread-self/schedstat").expect("scheduler statistics");
    let nanoseconds = statistics.split(' ').next().and_then(|first| first.parse().ok());
    Duration::from_nanos(nanoseconds.expect("a number of nanoseconds"))
}
