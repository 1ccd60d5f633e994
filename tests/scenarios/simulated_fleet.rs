//! A simulated fleet of proxies before restarted servers: what all proxies send together, counted at the servers.
//!
//! Assumed: 40 servers hold 30 connections each, which last as long as the warm-up (8 s) on the mean, so that a warm
//! server can bear 7.5 new ones in two seconds. Offered is what the fleet can bear, and besides, from the restart on,
//! half as much again for four seconds (`Burst`), or the clients of all restarted servers within two seconds
//! (`ZoneBack`), or nothing before the restart and all proxies just started (`ColdStart`). Traffic is uneven: one proxy
//! in eight gets four times the mean, one in four a twentieth. One attempt in three (of every other seed; else in thirty)
//! arrives late, by up to 1.5 s; one in twenty is refused and retried elsewhere; a client that is rejected or migrated
//! reconnects, mostly at another proxy; one in ten is mid-flow; one server in eight is slow. A sum is compared with the
//! bound at the strength in the middle of its window.

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
/// When the zone is lost, and when it is back after a restart.
const LOST_MS: f64 = 63_000.0;
const BACK_MS: f64 = 65_000.0;
const WARM_UP_MS: f64 = 8000.0;
/// A client that is rejected or migrated more often than this stays away.
const MAX_RETRIES: u32 = 4;
/// The usual overload window.
pub const WINDOW_MS: f64 = 2000.0;
pub const SERVER_CAPACITY: f64 = 30.0;

#[derive(Clone, Copy, Debug)]
pub enum Load {
    Burst,
    ZoneBack,
    ColdStart,
    /// All clients of the restarted servers, and a quarter of the others, within a fifth of a second.
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
    Establish { session: u64, place: String },
    Refuse { session: u64, is_rejection: bool },
    Break { session: u64 },
    End { session: u64 },
    Wakeup,
    HealthCheck { place: String },
    ZoneLost,
    ZoneBack,
}

/// Ordered by time, then in the order of scheduling.
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
    /// Where its session is established; empty before.
    server: String,
}

/// All proxies of a fleet, on one clock.
pub struct Fleet {
    scenario: Scenario,
    rng: WyRand,
    proxies: Vec<Proxy>,
    traffic_weights: Vec<f64>,
    /// By proxy and session.
    clients: BTreeMap<(usize, u64), Client>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled: u64,
    now_ms: f64,
    /// By restarted server: when its attempts arrived.
    attempts: BTreeMap<String, Vec<f64>>,
}

impl Fleet {
    pub fn of(scenario: Scenario) -> Self {
        let mut rng = WyRand::new_seed(scenario.seed ^ (scenario.proxies * 100 + scenario.warming) as u64);
        let list: Vec<_> = (0..SERVERS).map(|i| server(&name(i, scenario.warming))).collect();
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
                    proxies: scenario.proxies as f64,
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
            scheduled: 0,
            now_ms: START_MS,
            attempts: BTreeMap::new(),
        }
    }

    fn at(&mut self, ms: f64, proxy: usize, event: Event) {
        self.scheduled += 1;
        let at_us = (ms * 1000.0) as u64;
        self.queue.push(Reverse(ScheduledEvent { at_us, number: self.scheduled, proxy, event }));
    }

    fn random_below(&mut self, top: f64) -> f64 {
        top * f64::from(self.rng.generate::<f32>())
    }

    fn random_proxy(&mut self) -> usize {
        let sum: f64 = self.traffic_weights.iter().sum();
        let mut left = self.random_below(sum);
        self.traffic_weights.iter().position(|p| (left -= p, left < 0.0).1).unwrap_or(0)
    }

    /// Lets so many clients arrive at random times within a span.
    fn schedule_arrivals(&mut self, clients: f64, from_ms: f64, within_ms: f64, reconnected: bool) {
        for _ in 0..clients as usize {
            let at = from_ms + self.random_below(within_ms);
            let (client, proxy) = (self.rng.generate(), self.random_proxy());
            self.at(at, proxy, Event::Arrive { client, proxy, reconnected, retries: 0 });
        }
    }

    pub fn run(mut self) -> Self {
        let (each_s, end) = (SERVERS as f64 * self.scenario.server_capacity / 8.0, BACK_MS + WARM_UP_MS);
        let zone_capacity = self.scenario.warming as f64 * self.scenario.server_capacity;
        let calm_from = if matches!(self.scenario.load, Load::ColdStart) { BACK_MS } else { START_MS };
        self.schedule_arrivals(each_s * (end - calm_from) / 1000.0, calm_from, end - calm_from, false);
        match self.scenario.load {
            Load::Burst => self.schedule_arrivals(each_s * 0.5 * 4.0, BACK_MS, 4000.0, false),
            Load::ZoneBack => self.schedule_arrivals(zone_capacity, BACK_MS, 2000.0, true),
            Load::ColdStart => (),
            Load::Rush => {
                let others = 0.25 * SERVERS as f64 * self.scenario.server_capacity;
                self.schedule_arrivals(zone_capacity + others, BACK_MS, 200.0, true);
            }
        }
        self.at(LOST_MS, 0, Event::ZoneLost);
        self.at(BACK_MS, 0, Event::ZoneBack);
        while let Some(Reverse(ScheduledEvent { at_us, proxy, event, .. })) = self.queue.pop() {
            self.now_ms = at_us as f64 / 1000.0;
            if self.now_ms > end {
                break;
            }
            self.on_event(proxy, event);
        }
        self
    }

    fn on_event(&mut self, at: usize, event: Event) {
        let now = Timestamp::from_ms(self.now_ms);
        self.proxies[at].now = now;
        match event {
            Event::Arrive { client, proxy, reconnected, retries } => {
                let key = format!("key-{client}");
                // Few groups are large: the first has a tenth of the clients, half of them have under a hundredth.
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
            Event::Establish { session, place } => {
                let is_slow = place.ends_with('7');
                self.proxies[at].balancer.on_established(SessionId(session), now);
                if is_slow {
                    self.proxies[at].report_message_latency(session, 45);
                }
                self.clients.entry((at, session)).and_modify(|client| client.server = place);
            }
            Event::Refuse { session, is_rejection } => {
                let outcome =
                    if is_rejection { AttemptOutcome::Rejected } else { AttemptOutcome::Unreachable };
                self.proxies[at].end_attempt(session, outcome);
            }
            Event::Break { session } => {
                let Some(client) = self.clients.remove(&(at, session)) else { return };
                self.proxies[at].end_attempt(session, AttemptOutcome::ConnectionLost);
                self.schedule_retry(client.id, 1, at, 300.0);
            }
            Event::End { session } => {
                if self.clients.remove(&(at, session)).is_some() {
                    self.proxies[at].end_attempt(session, AttemptOutcome::Completed);
                }
            }
            Event::Wakeup => {
                let proxy = &mut self.proxies[at];
                proxy.balancer.on_timer(now, &mut proxy.host);
            }
            Event::HealthCheck { place } => self.proxies[at].answer_health_check(&place, 3),
            Event::ZoneLost => self.on_zone_change(None),
            Event::ZoneBack => self.on_zone_change(Some(now)),
        }
        self.carry_out(at);
    }

    fn on_zone_change(&mut self, back: Option<Timestamp>) {
        let warming: Vec<_> = (0..self.scenario.warming).map(|i| name(i, self.scenario.warming)).collect();
        let state = if back.is_some() { EndpointState::Active } else { EndpointState::Removed };
        let endpoints: Vec<_> =
            warming.iter().map(|id| Endpoint { started: back, state, ..server(id) }).collect();
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
            self.at(self.now_ms + 10.0, proxy, Event::Break { session });
        }
    }

    /// Lets the client reconnect, one in five at the same proxy.
    fn schedule_retry(&mut self, client: u64, retries: u32, at: usize, pause: f64) {
        if retries < MAX_RETRIES {
            let proxy = if client.is_multiple_of(5) { at } else { self.random_proxy() };
            let pause = pause * 0.5 + self.random_below(pause);
            let arrive = Event::Arrive { client, proxy, reconnected: true, retries };
            self.at(self.now_ms + pause, proxy, arrive);
        }
    }

    /// Carries out what the proxy has asked of its host since the last time.
    fn carry_out(&mut self, at: usize) {
        let host = std::mem::take(&mut self.proxies[at].host);
        self.proxies[at].host.health_checks_refused = host.health_checks_refused;
        for RecordedAttempt { session, server: place, .. } in host.attempts {
            let one_in = if self.scenario.seed.is_multiple_of(2) { 30.0 } else { 3.0 };
            let delay_ms = if self.random_below(one_in) < 1.0 { self.random_below(1500.0) } else { 5.0 };
            if place.starts_with('z') && self.now_ms >= BACK_MS {
                self.attempts.entry(place.clone()).or_default().push(self.now_ms + delay_ms);
            }
            let is_rejection = self.rng.generate();
            if self.random_below(20.0) < 1.0 {
                self.at(self.now_ms + delay_ms, at, Event::Refuse { session, is_rejection });
            } else {
                let lifetime_ms = -8000.0 * f64::ln(1.0 - self.random_below(0.999));
                self.at(self.now_ms + delay_ms, at, Event::Establish { session, place });
                self.at(self.now_ms + delay_ms + lifetime_ms, at, Event::End { session });
            }
        }
        for place in host.health_checked {
            let answered = self.now_ms + 1.0 + self.random_below(4.0);
            self.at(answered, at, Event::HealthCheck { place });
        }
        let back = host.rejected.iter().map(|rejection| (rejection.session, rejection.retry_after.as_ms()));
        let away = host.migrated.iter().map(|c| (*c, 500.0));
        for (session, pause) in back.chain(away).collect::<Vec<_>>() {
            let Some(client) = self.clients.remove(&(at, session)) else { continue };
            if !client.server.is_empty() {
                self.proxies[at].end_attempt(session, AttemptOutcome::Completed);
            }
            self.schedule_retry(client.id, client.retries + 1, at, pause);
        }
        for alarm in host.wakeups {
            self.at(alarm.as_ms(), at, Event::Wakeup);
        }
    }

    /// What the restarted servers were sent on the mean, as a fraction of all that is allowed over the warm-up.
    pub fn mean_utilization(&self) -> f64 {
        let attempts: usize = self.attempts.values().map(Vec::len).sum();
        attempts as f64 / (self.scenario.warming as f64 * 3.0 * self.scenario.server_capacity * 0.65)
    }

    /// For each restarted server, the most that it was sent in any window as a fraction of the bound.
    pub fn worst_utilization(&self) -> Vec<f64> {
        let Scenario { window_ms, server_capacity, .. } = self.scenario;
        let worst = |times: &Vec<f64>| {
            let mut times = times.clone();
            times.sort_by(f64::total_cmp);
            let violations = |i: usize| {
                let from = times[i] - window_ms;
                let sum = times[..=i].iter().filter(|t| **t > from).count();
                sum as f64 / bound(window_ms, server_capacity, (from.max(BACK_MS) + times[i]) / 2.0 - BACK_MS)
            };
            (0..times.len()).map(violations).fold(0.0, f64::max)
        };
        (0..self.scenario.warming)
            .map(|i| self.attempts.get(&name(i, self.scenario.warming)).map_or(0.0, worst))
            .collect()
    }
}

fn name(i: usize, warming: usize) -> String {
    format!("{}{i:02}", if i < warming { "z" } else { "a" })
}

/// The bound on attempts in a window: N + 2 x root of N + 2, or N + 3 x root of N + 3 where N is under 30, at the
/// strength of the server so long after its start.
fn bound(window_ms: f64, server_capacity: f64, since_ms: f64) -> f64 {
    let present = 0.3 + 0.7 * (since_ms / WARM_UP_MS).min(1.0);
    let n = 3.0 * server_capacity * window_ms / WARM_UP_MS * present;
    let few = n < 30.0;
    let slack = if few { 3.0 } else { 2.0 };
    n + slack * n.sqrt() + slack
}
