//! Measures the balancer's decisions alone, with a host that does nothing: the time of a request, of the end of an
//! attempt, of a message latency report and of an endpoint update, for a number of established sessions and servers.

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use shelfgrade::balancer::{LoadBalancer, SlowStart};
use shelfgrade::host::*;
use shelfgrade::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use std::time::Instant;

/// The figures of the planned deployment, from which those of one proxy follow.
pub const PROXIES: usize = 3800;
pub const TOTAL_CONNECTIONS: usize = 260_000_000;
pub const LARGEST_GROUP: usize = 100_000;
/// The sessions that one proxy holds, and the groups that they belong to.
pub const SESSIONS_PER_PROXY: usize = TOTAL_CONNECTIONS / PROXIES;
pub const GROUPS_PER_PROXY: usize = 60_000;
const ZONES: usize = 16;
const KINDS: usize = 3;

/// The scale of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub sessions: usize,
    pub groups: usize,
    pub servers: usize,
}

struct NoopHost;

impl Host for NoopHost {
    fn connect(&mut self, _: SessionId, _: &ServerId, _: Duration) {}
    fn reject(&mut self, _: SessionId, _: Duration) {}
    fn fail(&mut self, _: SessionId) {}
    fn migrate(&mut self, _: SessionId) {}
    fn subscribe(&mut self) {}
    fn check_health(&mut self, _: &ServerId) -> bool {
        false
    }
    fn schedule_wakeup(&mut self, _: Timestamp) {}
}

/// The time that each kind of event takes, in nanoseconds.
#[derive(Default)]
pub struct Timings(BTreeMap<&'static str, Option<Histogram<u64>>>);

impl Timings {
    fn time<T>(&mut self, kind: &'static str, event: impl FnOnce() -> T) -> T {
        const MINUTE_NS: u64 = 60_000_000_000;
        let began = Instant::now();
        let result = event();
        let ns = began.elapsed().as_nanos() as u64;
        let histogram = self.0.entry(kind).or_default();
        let histogram = histogram.get_or_insert_with(|| {
            Histogram::new_with_bounds(1, MINUTE_NS, 3).expect("histogram bounds are valid")
        });
        histogram.saturating_record(ns);
        result
    }

    /// The median time of an event of this kind; unlike the mean, it hardly depends on what else the machine does.
    pub fn median_ns(&self, kind: &str) -> u64 {
        self.0.get(kind).and_then(Option::as_ref).map_or(0, |histogram| histogram.value_at_quantile(0.5))
    }

    fn to_json(&self) -> Value {
        let recorded = self.0.iter().filter_map(|(kind, histogram)| Some((*kind, histogram.as_ref()?)));
        let figures = recorded.map(|(kind, histogram)| {
            let figures = json!({
                "p50": histogram.value_at_quantile(0.5),
                "p99": histogram.value_at_quantile(0.99),
                "most": histogram.max(),
                "events": histogram.len(),
            });
            (kind.to_owned(), figures)
        });
        Value::Object(figures.collect())
    }
}

/// The balancer of one proxy with all its sessions established.
pub struct Decisions {
    size: Size,
    endpoints: Vec<Endpoint>,
    balancer: LoadBalancer,
    now: Timestamp,
    last_id: u64,
    established: VecDeque<u64>,
    pub timings: Timings,
    /// Bytes allocated per server and per session.
    pub bytes: (f64, f64),
}

impl Decisions {
    /// `allocated` returns the number of bytes in use.
    pub fn new(size: Size, allocated: impl Fn() -> usize) -> Self {
        let endpoints: Vec<_> = (0..size.servers).map(endpoint).collect();
        let slow_start = SlowStart {
            initial_fraction: 0.3,
            duration: Duration::from_millis(8600),
            overload_factor: 4.0,
            overload_window: Duration::from_millis(2000),
            total_capacity: Some(TOTAL_CONNECTIONS as f64),
            server_capacity: 0.0,
            proxy_count: PROXIES as f64,
        };
        let class = RequestClass {
            idempotency: Idempotency::Idempotent,
            connect_latency_objective: Some(Duration::from_millis(800)),
            message_latency_objective: Some(Duration::from_millis(250)),
        };
        let must_ask_in = Some(Duration::from_millis(10_000));
        let balancer =
            LoadBalancer::new(7, vec![class], 4, Duration::from_millis(2000), must_ask_in, slow_start);
        let mut decisions = Decisions {
            size,
            endpoints,
            balancer,
            now: Timestamp::from_ms(60_000.0),
            last_id: 0,
            established: VecDeque::with_capacity(size.sessions),
            timings: Timings::default(),
            bytes: (0.0, 0.0),
        };
        let bytes_before = allocated();
        decisions.balancer.start(&decisions.endpoints, decisions.now, &mut NoopHost);
        let bytes_with_list = allocated();
        for _ in 0..size.sessions {
            decisions.last_id += 1;
            let id = decisions.last_id;
            decisions.established.push_back(id);
            decisions.with_request(id, false, |decisions, arrival| {
                // Spreads the sessions over the servers as a hash would.
                let hash = arrival.session.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
                let server = decisions.endpoints[hash as usize % decisions.size.servers].server.clone();
                decisions.balancer.restore_session(arrival, &server, decisions.now);
            });
        }
        let bytes_with_sessions = allocated();
        let per = |bytes: usize, count: usize| bytes as f64 / count.max(1) as f64;
        decisions.bytes = (
            per(bytes_with_list.saturating_sub(bytes_before), size.servers),
            per(bytes_with_sessions.saturating_sub(bytes_with_list), size.sessions),
        );
        decisions
    }

    /// Calls `operation` with the request of session `id`. The largest group has this proxy's proportion of its
    /// sessions, and the other groups share the rest evenly.
    fn with_request<T>(
        &mut self,
        id: u64,
        reconnected: bool,
        operation: impl FnOnce(&mut Self, &Arrival) -> T,
    ) -> T {
        let in_largest = LARGEST_GROUP * self.size.sessions / TOTAL_CONNECTIONS.max(1);
        let index = id as usize % self.size.sessions.max(1);
        let group = if index < in_largest { 0 } else { 1 + index % (self.size.groups - 1).max(1) };
        let (key, group) = (format!("lift-{id}"), format!("g{group}"));
        let arrival = Arrival {
            session: SessionId(id),
            class: Some(0),
            key: Some(&key),
            group: Some(&group),
            deadline: self.now + Duration::from_millis(4800),
            mid_flow: false,
            reconnected,
            admission_turn: None,
            allowed_servers: None,
        };
        operation(self, &arrival)
    }

    /// Ends `count` sessions, one after the other, and establishes a new one for each; every second one is a
    /// reconnection.
    pub fn replace_sessions(&mut self, count: usize) {
        for i in 0..count {
            self.now = self.now + Duration::from_millis(1);
            let Some(ended) = self.established.pop_front() else { return };
            let (balancer, now) = (&mut self.balancer, self.now);
            self.timings.time("attempt ended", || {
                balancer.on_attempt_ended(
                    SessionId(ended),
                    AttemptOutcome::Completed,
                    true,
                    now,
                    &mut NoopHost,
                );
            });
            self.last_id += 1;
            let (id, reconnected) = (self.last_id, i % 2 == 1);
            self.with_request(id, reconnected, |decisions, arrival| {
                let Decisions { balancer, timings, now, .. } = decisions;
                let kind = if reconnected { "request of a reconnecting client" } else { "request" };
                timings.time(kind, || balancer.on_request(arrival, *now, &mut NoopHost));
            });
            self.now = self.now + Duration::from_millis(1);
            let (balancer, now) = (&mut self.balancer, self.now);
            self.timings.time("session established", || balancer.on_established(SessionId(id), now));
            self.established.push_back(id);
        }
    }

    /// Reports `count` message latencies within the objective, and as many above it.
    pub fn report_message_latencies(&mut self, count: usize) {
        const LATENCIES: [(&str, Duration); 2] = [
            ("message latency within the objective", Duration::from_millis(5)),
            ("message latency above the objective", Duration::from_millis(800)),
        ];
        for (kind, latency) in LATENCIES {
            for i in 0..count {
                self.now = self.now + Duration::from_millis(1000);
                let id = self.established[i * self.established.len() / count];
                let (balancer, now) = (&mut self.balancer, self.now);
                self.timings
                    .time(kind, || balancer.on_message_latency(SessionId(id), latency, now, &mut NoopHost));
            }
        }
    }

    /// Applies `count` updates of one endpoint each, with a full endpoint list after each, and then runs the periodic
    /// checks `count` times.
    pub fn update_endpoints(&mut self, count: usize) {
        for i in 0..count {
            self.now = self.now + Duration::from_millis(100);
            let (balancer, now) = (&mut self.balancer, self.now);
            let index = i / 2 * 7919 % self.endpoints.len();
            let endpoint = &mut self.endpoints[index];
            endpoint.state = if i % 2 == 0 { EndpointState::Draining } else { EndpointState::Active };
            let update = std::slice::from_ref(endpoint);
            self.timings.time("endpoint update", || balancer.on_endpoints(update, false, now));
            self.timings.time("full endpoint list", || balancer.on_endpoints(&self.endpoints, true, now));
        }
        let (balancer, now) = (&mut self.balancer, self.now);
        (0..count).for_each(|_| {
            self.timings.time("periodic checks", || balancer.start_periodic_checks(true, now, &mut NoopHost))
        });
    }

    pub fn summary(&self) -> Value {
        json!({
            "trial": "decisions",
            "sessions": self.size.sessions,
            "groups": self.size.groups,
            "servers": self.size.servers,
            "bytes_a_server": self.bytes.0.round(),
            "bytes_a_session": self.bytes.1.round(),
            "ns": self.timings.to_json(),
        })
    }
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        server: format!("s-{index:05}").into(),
        zone: format!("z{:02}", index % ZONES),
        kind: format!("m{}", index % KINDS),
        cell: 0,
        started: None,
        state: EndpointState::Active,
    }
}
