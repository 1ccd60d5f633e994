//! A simulated fleet of proxies in front of restarted servers. Measures what all proxies together send to each
//! server.
//!
//! Assumptions: 40 servers with a capacity of 30 connections each. Connections last as long as the warm-up (8 s) on
//! average, so that a warm server can handle 7.5 new connections in two seconds. The offered load is what the servers
//! can handle. In addition, from the restart on, there is half as much again for four seconds (`Burst`), or the
//! clients of all restarted servers within two seconds (`ZoneBack`); or there is no load before the restart, and all
//! proxies have just started (`ColdStart`). Traffic is uneven: one proxy in 8 gets four times the mean, and one in 4
//! gets 1/20 of it. One attempt in 3 (with even seeds, one in 30) arrives late, by up to 1.5 s. One in 20 is refused
//! and retried at another server. A client that is rejected or migrated reconnects, usually to another proxy. One
//! client in 10 is mid-flow, and one server in 10 is slow. The attempts in a window are compared with the bound at the
//! capacity that the server has in the middle of the window.

use crate::harness::*;
use nanorand::{Rng, WyRand};
use shelfgrade::balancer::SlowStart;
use shelfgrade::host::*;
use shelfgrade::time::{DurationExt, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

pub const SERVERS: usize = 40;
const GROUPS: u64 = 60;
const START_MS: f64 = 60_000.0;
/// When the zone fails, and when it is available again after a restart.
const ZONE_LOST_MS: f64 = 63_000.0;
const ZONE_BACK_MS: f64 = 65_000.0;
const WARM_UP_MS: f64 = 8000.0;
/// A client that is rejected or migrated more often than this does not reconnect.
const MAX_RETRIES: u32 = 4;
/// The usual overload window.
pub const WINDOW_MS: f64 = 2000.0;
pub const SERVER_CAPACITY: f64 = 30.0;

#[derive(Clone, Copy, Debug)]
pub enum Load {
    Burst,
    ZoneBack,
    ColdStart,
    /// All clients of the restarted servers, and a quarter of the others, within 200 ms.
    Rush,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub proxies: usize,
    pub warming: usize,
    pub grouped: bool,
    pub load: Load,
    pub seed: u64,
    /// In connections.
    pub server_capacity: f64,
    /// The overload window.
    pub window_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { client: u64, proxy: usize, reconnected: bool, retries: u32 },
    Establish { session: u64, server: String },
    Refuse { session: u64, is_rejection: bool },
    Break { session: u64 },
    End { session: u64 },
    Wakeup,
    HealthCheck { server: String },
    ZoneLost,
    ZoneBack,
}

/// Ordered by time, then by the order of scheduling.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at_us: u64,
    number: u64,
    proxy: usize,
    event: Event,
}

/// A client with an open session.
struct Client {
    id: u64,
    /// How often it has been rejected or migrated.
    retries: u32,
    /// The server at which its session is established, or empty before that.
    server: String,
}

/// All proxies of a fleet, with a common clock.
pub struct Fleet {
    scenario: Scenario,
    rng: WyRand,
    proxies: Vec<Proxy>,
    traffic_weights: Vec<f64>,
    /// Keyed by proxy and session.
    clients: BTreeMap<(usize, u64), Client>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled_count: u64,
    now_ms: f64,
    /// The arrival times of attempts, keyed by restarted server.
    attempts: BTreeMap<String, Vec<f64>>,
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = WyRand::new_seed(scenario.seed ^ (scenario.proxies * 100 + scenario.warming) as u64);
        let list: Vec<_> = (0..SERVERS).map(|i| endpoint(&server_name(i, scenario.warming))).collect();
        let total_capacity = scenario.server_capacity * SERVERS as f64;
        let proxies: Vec<_> = (0..scenario.proxies)
            .map(|i| {
                let slow_start = SlowStart {
                    initial_fraction: 0.3,
                    duration: Duration::from_ms(WARM_UP_MS),
                    overload_factor: 3.0,
                    overload_window: Duration::from_ms(scenario.window_ms),
                    total_capacity: (i % 2 == 0).then_some(total_capacity),
                    server_capacity: scenario.server_capacity,
                    proxy_count: scenario.proxies as f64,
                };
                let mut proxy = Proxy::with_slow_start(slow_start, rng.generate(), &list);
                proxy.host.health_checks_refused = i % 5 == 4;
                proxy
            })
            .collect();
        let traffic_weights: Vec<f64> = (0..scenario.proxies)
            .map(|_| match rng.generate_range(0..8_u32) {
                0 => 4.0,
                1 | 2 => 0.05,
                _ => 1.0,
            })
            .collect();
        Fleet {
            scenario,
            rng,
            proxies,
            traffic_weights,
            clients: BTreeMap::new(),
            queue: BinaryHeap::new(),
            scheduled_count: 0,
            now_ms: START_MS,
            attempts: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, ms: f64, proxy: usize, event: Event) {
        self.scheduled_count += 1;
        let at_us = (ms * 1000.0) as u64;
        self.queue.push(Reverse(ScheduledEvent { at_us, number: self.scheduled_count, proxy, event }));
    }

    fn random_below(&mut self, max: f64) -> f64 {
        max * f64::from(self.rng.generate::<f32>())
    }

    fn random_proxy(&mut self) -> usize {
        let total_weight: f64 = self.traffic_weights.iter().sum();
        let mut remaining = self.random_below(total_weight);
        self.traffic_weights.iter().position(|weight| (remaining -= weight, remaining < 0.0).1).unwrap_or(0)
    }

    /// Schedules the arrivals of this many clients at random times within a time span.
    fn schedule_arrivals(&mut self, clients: f64, from_ms: f64, within_ms: f64, reconnected: bool) {
        for _ in 0..clients as usize {
            let at = from_ms + self.random_below(within_ms);
            let (client, proxy) = (self.rng.generate(), self.random_proxy());
            self.schedule(at, proxy, Event::Arrive { client, proxy, reconnected, retries: 0 });
        }
    }

    pub fn run(mut self) -> Self {
        let (arrivals_per_s, end_ms) =
            (SERVERS as f64 * self.scenario.server_capacity / 8.0, ZONE_BACK_MS + WARM_UP_MS);
        let zone_capacity = self.scenario.warming as f64 * self.scenario.server_capacity;
        let baseline_from_ms =
            if matches!(self.scenario.load, Load::ColdStart) { ZONE_BACK_MS } else { START_MS };
        self.schedule_arrivals(
            arrivals_per_s * (end_ms - baseline_from_ms) / 1000.0,
            baseline_from_ms,
            end_ms - baseline_from_ms,
            false,
        );
        match self.scenario.load {
            Load::Burst => self.schedule_arrivals(arrivals_per_s * 0.5 * 4.0, ZONE_BACK_MS, 4000.0, false),
            Load::ZoneBack => self.schedule_arrivals(zone_capacity, ZONE_BACK_MS, 2000.0, true),
            Load::ColdStart => (),
            Load::Rush => {
                let others = 0.25 * SERVERS as f64 * self.scenario.server_capacity;
                self.schedule_arrivals(zone_capacity + others, ZONE_BACK_MS, 200.0, true);
            }
        }
        self.schedule(ZONE_LOST_MS, 0, Event::ZoneLost);
        self.schedule(ZONE_BACK_MS, 0, Event::ZoneBack);
        while let Some(Reverse(ScheduledEvent { at_us, proxy, event, .. })) = self.queue.pop() {
            self.now_ms = at_us as f64 / 1000.0;
            if self.now_ms > end_ms {
                break;
            }
            self.on_event(proxy, event);
        }
        self
    }

    fn on_event(&mut self, proxy_index: usize, event: Event) {
        let now = Timestamp::from_ms(self.now_ms);
        self.proxies[proxy_index].now = now;
        match event {
            Event::Arrive { client, proxy, reconnected, retries } => {
                let key = format!("key-{client}");
                // Few groups are large: the first one has about 10 % of the clients, and half of the groups have less
                // than 1 % each.
                let drawn = (client >> 8) as f64 / (1_u64 << 56) as f64;
                let group = format!("g{}-{}", self.scenario.seed, (drawn.powf(1.6) * GROUPS as f64) as u64);
                let group = Some(group.as_str()).filter(|_| self.scenario.grouped);
                let arrival = Arrival {
                    group,
                    reconnected,
                    mid_flow: client.is_multiple_of(10),
                    class: Some([IDEMPOTENT, IDEMPOTENT, NON_IDEMPOTENT][(client % 3) as usize]),
                    ..arrival(&key)
                };
                let session = self.proxies[proxy].arrive(arrival);
                self.clients.insert((proxy, session), Client { id: client, retries, server: String::new() });
            }
            Event::Establish { session, server } => {
                let is_slow = server.ends_with('7');
                self.proxies[proxy_index].balancer.on_established(SessionId(session), now);
                if is_slow {
                    self.proxies[proxy_index].report_message_latency(session, 45);
                }
                self.clients.entry((proxy_index, session)).and_modify(|client| client.server = server);
            }
            Event::Refuse { session, is_rejection } => {
                let outcome =
                    if is_rejection { AttemptOutcome::Rejected } else { AttemptOutcome::Unreachable };
                self.proxies[proxy_index].end_attempt(session, outcome);
            }
            Event::Break { session } => {
                let Some(client) = self.clients.remove(&(proxy_index, session)) else { return };
                self.proxies[proxy_index].end_attempt(session, AttemptOutcome::ConnectionLost);
                self.schedule_retry(client.id, 1, proxy_index, 300.0);
            }
            Event::End { session } => {
                if self.clients.remove(&(proxy_index, session)).is_some() {
                    self.proxies[proxy_index].end_attempt(session, AttemptOutcome::Completed);
                }
            }
            Event::Wakeup => {
                let proxy = &mut self.proxies[proxy_index];
                proxy.balancer.on_timer(now, &mut proxy.host);
            }
            Event::HealthCheck { server } => self.proxies[proxy_index].answer_health_check(&server, 3),
            Event::ZoneLost => self.on_zone_change(None),
            Event::ZoneBack => self.on_zone_change(Some(now)),
        }
        self.perform_host_actions(proxy_index);
    }

    fn on_zone_change(&mut self, started: Option<Timestamp>) {
        let warming: Vec<_> =
            (0..self.scenario.warming).map(|i| server_name(i, self.scenario.warming)).collect();
        let state = if started.is_some() { EndpointState::Active } else { EndpointState::Removed };
        let endpoints: Vec<_> =
            warming.iter().map(|id| Endpoint { started, state, ..endpoint(id) }).collect();
        for proxy in 0..self.proxies.len() {
            self.proxies[proxy].now = Timestamp::from_ms(self.now_ms);
            self.proxies[proxy].balancer.on_endpoints(&endpoints, false, Timestamp::from_ms(self.now_ms));
        }
        let lost: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| warming.contains(&client.server))
            .map(|(session, _)| *session)
            .collect();
        for (proxy, session) in lost {
            self.schedule(self.now_ms + 10.0, proxy, Event::Break { session });
        }
    }

    /// Schedules the reconnection of a client, in one case of five to the same proxy.
    fn schedule_retry(&mut self, client: u64, retries: u32, proxy_index: usize, pause_ms: f64) {
        if retries < MAX_RETRIES {
            let proxy = if client.is_multiple_of(5) { proxy_index } else { self.random_proxy() };
            let pause_ms = pause_ms * 0.5 + self.random_below(pause_ms);
            let arrive = Event::Arrive { client, proxy, reconnected: true, retries };
            self.schedule(self.now_ms + pause_ms, proxy, arrive);
        }
    }

    /// Performs the actions that the proxy has requested of its host since the last call.
    fn perform_host_actions(&mut self, proxy_index: usize) {
        let host = std::mem::take(&mut self.proxies[proxy_index].host);
        self.proxies[proxy_index].host.health_checks_refused = host.health_checks_refused;
        for RecordedAttempt { session, server, .. } in host.attempts {
            let late_one_in = if self.scenario.seed.is_multiple_of(2) { 30.0 } else { 3.0 };
            let delay_ms = if self.random_below(late_one_in) < 1.0 { self.random_below(1500.0) } else { 5.0 };
            if server.starts_with('z') && self.now_ms >= ZONE_BACK_MS {
                self.attempts.entry(server.clone()).or_default().push(self.now_ms + delay_ms);
            }
            let is_rejection = self.rng.generate();
            if self.random_below(20.0) < 1.0 {
                self.schedule(self.now_ms + delay_ms, proxy_index, Event::Refuse { session, is_rejection });
            } else {
                let lifetime_ms = -8000.0 * f64::ln(1.0 - self.random_below(0.999));
                self.schedule(self.now_ms + delay_ms, proxy_index, Event::Establish { session, server });
                self.schedule(self.now_ms + delay_ms + lifetime_ms, proxy_index, Event::End { session });
            }
        }
        for server in host.health_checked {
            let answered_at_ms = self.now_ms + 1.0 + self.random_below(4.0);
            self.schedule(answered_at_ms, proxy_index, Event::HealthCheck { server });
        }
        let rejected =
            host.rejected.iter().map(|rejection| (rejection.session, rejection.retry_after.as_ms()));
        let migrated = host.migrated.iter().map(|session| (*session, 500.0));
        for (session, pause_ms) in rejected.chain(migrated).collect::<Vec<_>>() {
            let Some(client) = self.clients.remove(&(proxy_index, session)) else { continue };
            if !client.server.is_empty() {
                self.proxies[proxy_index].end_attempt(session, AttemptOutcome::Completed);
            }
            self.schedule_retry(client.id, client.retries + 1, proxy_index, pause_ms);
        }
        for wakeup_at in host.wakeups {
            self.schedule(wakeup_at.as_ms(), proxy_index, Event::Wakeup);
        }
    }

    /// Returns the attempts sent to the restarted servers as a fraction of all attempts that are allowed over the
    /// warm-up.
    pub fn mean_utilization(&self) -> f64 {
        let attempts: usize = self.attempts.values().map(Vec::len).sum();
        attempts as f64 / (self.scenario.warming as f64 * 3.0 * self.scenario.server_capacity * 0.65)
    }

    /// Returns, for each restarted server, the largest number of attempts in any window as a fraction of the bound.
    pub fn worst_utilization(&self) -> Vec<f64> {
        let Scenario { window_ms, server_capacity, .. } = self.scenario;
        let worst = |times: &Vec<f64>| {
            let mut times = times.clone();
            times.sort_by(f64::total_cmp);
            let utilization = |i: usize| {
                let from_ms = times[i] - window_ms;
                let count = times[..=i].iter().filter(|at| **at > from_ms).count();
                count as f64
                    / bound(
                        window_ms,
                        server_capacity,
                        (from_ms.max(ZONE_BACK_MS) + times[i]) / 2.0 - ZONE_BACK_MS,
                    )
            };
            (0..times.len()).map(utilization).fold(0.0, f64::max)
        };
        (0..self.scenario.warming)
            .map(|i| self.attempts.get(&server_name(i, self.scenario.warming)).map_or(0.0, worst))
            .collect()
    }
}

fn server_name(i: usize, warming: usize) -> String {
    format!("{}{i:02}", if i < warming { "z" } else { "a" })
}

/// Returns the bound on attempts in a window, N + 2 * sqrt(N) + 2, or N + 3 * sqrt(N) + 3 if N is below 30, at the
/// capacity of a server `since_ms` after its start.
fn bound(window_ms: f64, server_capacity: f64, since_ms: f64) -> f64 {
    let capacity_fraction = 0.3 + 0.7 * (since_ms / WARM_UP_MS).min(1.0);
    let n = 3.0 * server_capacity * window_ms / WARM_UP_MS * capacity_fraction;
    let is_small = n < 30.0;
    let slack = if is_small { 3.0 } else { 2.0 };
    n + slack * n.sqrt() + slack
}
