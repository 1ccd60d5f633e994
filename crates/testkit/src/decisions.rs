//! The decisions alone, before a host that does nothing: what an arrival, an end, a message and a change of the list take
//! with so many sessions standing at so many servers.

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use shelfgrade::balancer::{LoadBalancer, SlowStart};
use shelfgrade::host::*;
use shelfgrade::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use std::time::Instant;

/// The plan's, whose parts at one proxy are worked out here.
pub const PROXIES: usize = 3800;
pub const CONNECTIONS: usize = 260_000_000;
pub const LARGEST_GROUP: usize = 100_000;
/// What one proxy holds of the connections, and how many groups it sees.
pub const CIRCUITS: usize = CONNECTIONS / PROXIES;
pub const GROUPS: usize = 60_000;
const ZONES: usize = 16;
const KINDS: usize = 3;

#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub sessions: usize,
    pub groups: usize,
    pub servers: usize,
}

struct Idle;

impl Host for Idle {
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

/// Nanoseconds of each kind of event.
#[derive(Default)]
pub struct Timings(BTreeMap<&'static str, Option<Histogram<u64>>>);

impl Timings {
    fn takes<T>(&mut self, what: &'static str, event: impl FnOnce() -> T) -> T {
        const MINUTE_NS: u64 = 60_000_000_000;
        let began = Instant::now();
        let result = event();
        let ns = began.elapsed().as_nanos() as u64;
        let kept = self.0.entry(what).or_default();
        let kept = kept.get_or_insert_with(|| Histogram::new_with_bounds(1, MINUTE_NS, 3).expect("in order"));
        kept.saturating_record(ns);
        result
    }

    /// What most events of this kind took, whatever else the machine did meanwhile.
    pub fn middle(&self, what: &str) -> u64 {
        self.0.get(what).and_then(Option::as_ref).map_or(0, |kept| kept.value_at_quantile(0.5))
    }

    fn shown(&self) -> Value {
        let kept = self.0.iter().filter_map(|(what, kept)| Some((*what, kept.as_ref()?)));
        let shown = kept.map(|(what, kept)| {
            let figures = json!({
                "p50": kept.value_at_quantile(0.5),
                "p99": kept.value_at_quantile(0.99),
                "most": kept.max(),
                "events": kept.len(),
            });
            (what.to_owned(), figures)
        });
        Value::Object(shown.collect())
    }
}

/// One proxy's decisions with all its sessions standing.
pub struct Decisions {
    size: Size,
    list: Vec<Endpoint>,
    balancer: LoadBalancer,
    now: Timestamp,
    last_id: u64,
    standing: VecDeque<u64>,
    pub took: Timings,
    /// Bytes that each server and each session has added.
    pub bytes: (f64, f64),
}

impl Decisions {
    /// `allocated`: how many bytes are in use now.
    pub fn begin(size: Size, allocated: impl Fn() -> usize) -> Self {
        let list: Vec<_> = (0..size.servers).map(endpoint).collect();
        let slow_start = SlowStart {
            initial_fraction: 0.3,
            duration: Duration::from_millis(8600),
            overload_factor: 4.0,
            overload_window: Duration::from_millis(2000),
            total_capacity: Some(CONNECTIONS as f64),
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
            list,
            balancer,
            now: Timestamp::from_ms(60_000.0),
            last_id: 0,
            standing: VecDeque::with_capacity(size.sessions),
            took: Timings::default(),
            bytes: (0.0, 0.0),
        };
        let empty = allocated();
        decisions.balancer.start(&decisions.list, decisions.now, &mut Idle);
        let listed = allocated();
        for _ in 0..size.sessions {
            decisions.last_id += 1;
            let id = decisions.last_id;
            decisions.standing.push_back(id);
            decisions.with_arrival(id, false, |decisions, arrival| {
                // As a hash spreads them.
                let mix = arrival.session.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
                let at = decisions.list[mix as usize % decisions.size.servers].server.clone();
                decisions.balancer.restore_session(arrival, &at, decisions.now);
            });
        }
        let held = allocated();
        let part = |bytes: usize, of: usize| bytes as f64 / of.max(1) as f64;
        decisions.bytes = (
            part(listed.saturating_sub(empty), size.servers),
            part(held.saturating_sub(listed), size.sessions),
        );
        decisions
    }

    /// The largest group has its part here, and the others share the rest.
    fn with_arrival<T>(&mut self, id: u64, returned: bool, with: impl FnOnce(&mut Self, &Arrival) -> T) -> T {
        let of_the_largest = LARGEST_GROUP * self.size.sessions / CONNECTIONS.max(1);
        let place = id as usize % self.size.sessions.max(1);
        let group = if place < of_the_largest { 0 } else { 1 + place % (self.size.groups - 1).max(1) };
        let (key, group) = (format!("lift-{id}"), format!("g{group}"));
        let arrival = Arrival {
            session: SessionId(id),
            class: Some(0),
            key: Some(&key),
            group: Some(&group),
            deadline: self.now + Duration::from_millis(4800),
            mid_flow: false,
            reconnected: returned,
            admission_turn: None,
            allowed_servers: None,
        };
        with(self, &arrival)
    }

    /// So many sessions end, and as many come: every other one for the first time, and else back after a break.
    pub fn turns_over(&mut self, sessions: usize) {
        for turn in 0..sessions {
            self.now = self.now + Duration::from_millis(1);
            let Some(over) = self.standing.pop_front() else { return };
            let (balancer, now) = (&mut self.balancer, self.now);
            self.took.takes("end", || {
                balancer.on_attempt_ended(SessionId(over), AttemptOutcome::Completed, true, now, &mut Idle);
            });
            self.last_id += 1;
            let (id, returned) = (self.last_id, turn % 2 == 1);
            self.with_arrival(id, returned, |decisions, arrival| {
                let Decisions { balancer, took, now, .. } = decisions;
                let what = if returned { "arrival back" } else { "arrival" };
                took.takes(what, || balancer.on_request(arrival, *now, &mut Idle));
            });
            self.now = self.now + Duration::from_millis(1);
            let (balancer, now) = (&mut self.balancer, self.now);
            self.took.takes("stands", || balancer.on_established(SessionId(id), now));
            self.standing.push_back(id);
        }
    }

    /// So many notes of messages in time, and of messages that are late.
    pub fn messages(&mut self, notes: usize) {
        const LATE: [(&str, Duration); 2] =
            [("message", Duration::from_millis(5)), ("message late", Duration::from_millis(800))];
        for (what, delay) in LATE {
            for note in 0..notes {
                self.now = self.now + Duration::from_millis(1000);
                let id = self.standing[note * self.standing.len() / notes];
                let (balancer, now) = (&mut self.balancer, self.now);
                self.took.takes(what, || balancer.on_message_latency(SessionId(id), delay, now, &mut Idle));
            }
        }
    }

    /// So many changes of the list: of one line, and the whole list told again.
    pub fn lists(&mut self, changes: usize) {
        for change in 0..changes {
            self.now = self.now + Duration::from_millis(100);
            let (balancer, now) = (&mut self.balancer, self.now);
            let at = change / 2 * 7919 % self.list.len();
            let line = &mut self.list[at];
            line.state = if change % 2 == 0 { EndpointState::Draining } else { EndpointState::Active };
            let line = std::slice::from_ref(line);
            self.took.takes("line", || balancer.on_endpoints(line, false, now));
            self.took.takes("whole list", || balancer.on_endpoints(&self.list, true, now));
        }
        let (balancer, now) = (&mut self.balancer, self.now);
        (0..changes)
            .for_each(|_| self.took.takes("round", || balancer.start_periodic_checks(true, now, &mut Idle)));
    }

    pub fn point(&self) -> Value {
        json!({
            "trial": "decisions",
            "sessions": self.size.sessions,
            "groups": self.size.groups,
            "servers": self.size.servers,
            "bytes_a_server": self.bytes.0.round(),
            "bytes_a_session": self.bytes.1.round(),
            "ns": self.took.shown(),
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
