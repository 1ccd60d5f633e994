//! The ramp of cold servers, kept by a whole fleet of proxies: what all send together, counted at the servers.
//!
//! Assumed: 40 servers hold 30 connections each, which last as long as the warm-up (8 s) on the mean, so that a warm
//! server can bear 7.5 new ones in two seconds; offered is what the fleet can bear, and beside it, from the moment
//! at which the cold ones are back, half as much again for four seconds (`Burst`), or the clients of all cold
//! servers within two seconds (`ZoneBack`), or nothing before that moment and all proxies just started (`Herd`).
//! Traffic is uneven: one proxy in eight gets four times the mean, one in four a twentieth. One attempt in three
//! (of every other seed; else in thirty) comes up late, by up to 1.5 s, one in twenty is refused and tried again
//! elsewhere; a client that is pushed back or sent away comes again, mostly at another proxy; one in ten is mid-flow,
//! one server in eight is late. A sum is held against the bound at the strength in the middle of its two seconds.
//!
//! In the table: the most that any cold server got in two seconds over its bound, what 99 in 100 kept to, and in
//! brackets what they got on the mean of all that the settings allow (N). For docs:
//! `RAMP_SEEDS=60 cargo test --release --test stories ramp -- --nocapture`.

use crate::harness::*;
use nanorand::{Rng, WyRand};
use shelfgrade::balancer::SlowStart;
use shelfgrade::host::*;
use shelfgrade::time::{DurationExt, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const SERVERS: usize = 40;
const GROUPS: u64 = 60;
const BEGIN_MS: f64 = 60_000.0;
/// When the zone is lost, and when it is back.
const LOST_MS: f64 = 63_000.0;
const BACK_MS: f64 = 65_000.0;
const WARM_MS: f64 = 8000.0;
/// The usual span in which a cold server's budget is counted, and how many connections a server holds.
const SPAN_MS: f64 = 2000.0;
const HOLDS: f64 = 30.0;

#[derive(Clone, Copy, Debug)]
enum Load {
    Burst,
    ZoneBack,
    Herd,
    /// All clients of the cold servers, and a quarter of the others, within a fifth of a second.
    Rush,
}

const LOADS: [Load; 3] = [Load::Burst, Load::ZoneBack, Load::Herd];
/// Of the first twenty, those at which the bound was broken before proxies counted what they sent.
const SEEDS: [u64; 3] = [0, 10, 18];

#[derive(Clone, Copy, Debug)]
struct Day {
    proxies: usize,
    cold: usize,
    grouped: bool,
    load: Load,
    seed: u64,
    /// How many connections a server holds.
    holds: f64,
    /// The span in which its budget is counted, in milliseconds.
    span_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Comes { client: u64, proxy: usize, returned: bool, tries: u32 },
    Stands { session: u64, place: String },
    Refused { session: u64, outcome: bool },
    Breaks { session: u64 },
    Ends { session: u64 },
    Wakes,
    Answers { place: String },
    Lost,
    Back,
}

/// A whole fleet on one clock.
struct Fleet {
    day: Day,
    luck: WyRand,
    proxies: Vec<Proxy>,
    parts: Vec<f64>,
    /// By proxy and session: the client, how often it has come, and where its session stands.
    clients: BTreeMap<(usize, u64), (u64, u32, String)>,
    queue: BinaryHeap<Reverse<(u64, u64, usize, Event)>>,
    number: u64,
    now_ms: f64,
    /// By cold server, when it got what.
    got: BTreeMap<String, Vec<f64>>,
}

impl Fleet {
    fn of(day: Day) -> Self {
        let mut luck = WyRand::new_seed(day.seed ^ (day.proxies * 100 + day.cold) as u64);
        let list: Vec<_> = (0..SERVERS).map(|i| server(&name(i, day.cold))).collect();
        let total_capacity = day.holds * SERVERS as f64;
        let proxies: Vec<_> = (0..day.proxies)
            .map(|i| {
                let slow_start = SlowStart {
                    initial_fraction: 0.3,
                    duration: Duration::from_ms(WARM_MS),
                    overload_factor: 3.0,
                    overload_window: Duration::from_ms(day.span_ms),
                    total_capacity: (i % 2 == 0).then_some(total_capacity),
                    server_capacity: day.holds,
                    proxies: day.proxies as f64,
                };
                let mut proxy = Proxy::with_slow_start(slow_start, luck.generate(), &list);
                proxy.host.health_checks_refused = i % 5 == 4;
                proxy
            })
            .collect();
        let parts: Vec<f64> = (0..day.proxies)
            .map(|_| match luck.generate_range(0..8_u32) {
                0 => 4.0,
                1 | 2 => 0.05,
                _ => 1.0,
            })
            .collect();
        Fleet {
            day,
            luck,
            proxies,
            parts,
            clients: BTreeMap::new(),
            queue: BinaryHeap::new(),
            number: 0,
            now_ms: BEGIN_MS,
            got: BTreeMap::new(),
        }
    }

    fn at(&mut self, ms: f64, proxy: usize, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(((ms * 1000.0) as u64, self.number, proxy, event)));
    }

    fn below(&mut self, top: f64) -> f64 {
        top * f64::from(self.luck.generate::<f32>())
    }

    fn any_proxy(&mut self) -> usize {
        let sum: f64 = self.parts.iter().sum();
        let mut left = self.below(sum);
        self.parts.iter().position(|p| (left -= p, left < 0.0).1).unwrap_or(0)
    }

    /// So many clients come within a while, at drawn moments.
    fn crowd(&mut self, clients: f64, from_ms: f64, within_ms: f64, returned: bool) {
        for _ in 0..clients as usize {
            let at = from_ms + self.below(within_ms);
            let (client, proxy) = (self.luck.generate(), self.any_proxy());
            self.at(at, proxy, Event::Comes { client, proxy, returned, tries: 0 });
        }
    }

    fn plays(mut self) -> Self {
        let (each_s, end) = (SERVERS as f64 * self.day.holds / 8.0, BACK_MS + WARM_MS);
        let zone = self.day.cold as f64 * self.day.holds;
        let calm_from = if matches!(self.day.load, Load::Herd) { BACK_MS } else { BEGIN_MS };
        self.crowd(each_s * (end - calm_from) / 1000.0, calm_from, end - calm_from, false);
        match self.day.load {
            Load::Burst => self.crowd(each_s * 0.5 * 4.0, BACK_MS, 4000.0, false),
            Load::ZoneBack => self.crowd(zone, BACK_MS, 2000.0, true),
            Load::Herd => (),
            Load::Rush => {
                let others = 0.25 * SERVERS as f64 * self.day.holds;
                self.crowd(zone + others, BACK_MS, 200.0, true);
            }
        }
        self.at(LOST_MS, 0, Event::Lost);
        self.at(BACK_MS, 0, Event::Back);
        while let Some(Reverse((at, _, proxy, event))) = self.queue.pop() {
            self.now_ms = at as f64 / 1000.0;
            if self.now_ms > end {
                break;
            }
            self.happens(proxy, event);
        }
        self
    }

    fn happens(&mut self, at: usize, event: Event) {
        let now = Timestamp::from_ms(self.now_ms);
        self.proxies[at].now = now;
        match event {
            Event::Comes { client, proxy, returned, tries } => {
                let key = format!("key-{client}");
                // Few groups are large: the first has a tenth of the clients, half of them have under a hundredth.
                let drawn = (client >> 8) as f64 / (1_u64 << 56) as f64;
                let group = format!("g{}-{}", self.day.seed, (drawn.powf(1.6) * GROUPS as f64) as u64);
                let group = Some(group.as_str()).filter(|_| self.day.grouped);
                let arrival = Arrival {
                    group,
                    reconnected: returned,
                    mid_flow: client.is_multiple_of(10),
                    class: Some([IDEMPOTENT, IDEMPOTENT, NON_IDEMPOTENT][(client % 3) as usize]),
                    ..arrival(&key)
                };
                let session = self.proxies[proxy].arrive(arrival);
                self.clients.insert((proxy, session), (client, tries, String::new()));
            }
            Event::Stands { session, place } => {
                let late = place.ends_with('7');
                self.proxies[at].balancer.on_established(SessionId(session), now);
                if late {
                    self.proxies[at].report_message_latency(session, 45);
                }
                self.clients.entry((at, session)).and_modify(|c| c.2 = place);
            }
            Event::Refused { session, outcome } => {
                let outcome = if outcome { AttemptOutcome::Rejected } else { AttemptOutcome::Unreachable };
                self.proxies[at].end_attempt(session, outcome);
            }
            Event::Breaks { session } => {
                let Some((client, _, _)) = self.clients.remove(&(at, session)) else { return };
                self.proxies[at].end_attempt(session, AttemptOutcome::ConnectionLost);
                self.again(client, 1, at, 300.0);
            }
            Event::Ends { session } => {
                if self.clients.remove(&(at, session)).is_some() {
                    self.proxies[at].end_attempt(session, AttemptOutcome::Completed);
                }
            }
            Event::Wakes => {
                let proxy = &mut self.proxies[at];
                proxy.balancer.on_timer(now, &mut proxy.host);
            }
            Event::Answers { place } => self.proxies[at].answer_health_check(&place, 3),
            Event::Lost => self.zone(None),
            Event::Back => self.zone(Some(now)),
        }
        self.carries_out(at);
    }

    fn zone(&mut self, back: Option<Timestamp>) {
        let cold: Vec<_> = (0..self.day.cold).map(|i| name(i, self.day.cold)).collect();
        let state = if back.is_some() { EndpointState::Active } else { EndpointState::Removed };
        let lines: Vec<_> = cold.iter().map(|id| Endpoint { started: back, state, ..server(id) }).collect();
        for proxy in 0..self.proxies.len() {
            self.proxies[proxy].now = Timestamp::from_ms(self.now_ms);
            self.proxies[proxy].balancer.on_endpoints(&lines, false, Timestamp::from_ms(self.now_ms));
        }
        let held: Vec<_> = self.clients.iter().filter(|c| cold.contains(&c.1 .2)).map(|c| *c.0).collect();
        for (proxy, session) in held {
            self.at(self.now_ms + 10.0, proxy, Event::Breaks { session });
        }
    }

    /// The client comes again, one in five at the same proxy.
    fn again(&mut self, client: u64, tries: u32, at: usize, pause: f64) {
        if tries < 4 {
            let proxy = if client.is_multiple_of(5) { at } else { self.any_proxy() };
            let pause = pause * 0.5 + self.below(pause);
            let comes = Event::Comes { client, proxy, returned: true, tries };
            self.at(self.now_ms + pause, proxy, comes);
        }
    }

    /// Carries out what the proxy has asked for since it was last looked at.
    fn carries_out(&mut self, at: usize) {
        let host = std::mem::take(&mut self.proxies[at].host);
        self.proxies[at].host.health_checks_refused = host.health_checks_refused;
        for RecordedAttempt { session, server: place, .. } in host.attempts {
            let one_in = if self.day.seed.is_multiple_of(2) { 30.0 } else { 3.0 };
            let late = if self.below(one_in) < 1.0 { self.below(1500.0) } else { 5.0 };
            if place.starts_with('z') && self.now_ms >= BACK_MS {
                self.got.entry(place.clone()).or_default().push(self.now_ms + late);
            }
            let odd = self.luck.generate();
            if self.below(20.0) < 1.0 {
                self.at(self.now_ms + late, at, Event::Refused { session, outcome: odd });
            } else {
                let lasts = -8000.0 * f64::ln(1.0 - self.below(0.999));
                self.at(self.now_ms + late, at, Event::Stands { session, place });
                self.at(self.now_ms + late + lasts, at, Event::Ends { session });
            }
        }
        for place in host.health_checked {
            let answered = self.now_ms + 1.0 + self.below(4.0);
            self.at(answered, at, Event::Answers { place });
        }
        let back = host.rejected.iter().map(|rejection| (rejection.session, rejection.retry_after.as_ms()));
        let away = host.migrated.iter().map(|c| (*c, 500.0));
        for (session, pause) in back.chain(away).collect::<Vec<_>>() {
            let Some((client, tries, place)) = self.clients.remove(&(at, session)) else { continue };
            if !place.is_empty() {
                self.proxies[at].end_attempt(session, AttemptOutcome::Completed);
            }
            self.again(client, tries + 1, at, pause);
        }
        for alarm in host.wakeups {
            self.at(alarm.as_ms(), at, Event::Wakes);
        }
    }

    /// What the cold servers got on the mean of all that they are allowed over the ramp.
    fn used(&self) -> f64 {
        let got: usize = self.got.values().map(Vec::len).sum();
        got as f64 / (self.day.cold as f64 * 3.0 * self.day.holds * 0.65)
    }

    /// For each cold server the most, over all spans of that length, of what it got over what is allowed.
    fn margins(&self) -> Vec<f64> {
        let Day { span_ms, holds, .. } = self.day;
        let worst = |times: &Vec<f64>| {
            let mut times = times.clone();
            times.sort_by(f64::total_cmp);
            let over = |i: usize| {
                let from = times[i] - span_ms;
                let sum = times[..=i].iter().filter(|t| **t > from).count();
                sum as f64 / bound(span_ms, holds, (from.max(BACK_MS) + times[i]) / 2.0 - BACK_MS)
            };
            (0..times.len()).map(over).fold(0.0, f64::max)
        };
        (0..self.day.cold).map(|i| self.got.get(&name(i, self.day.cold)).map_or(0.0, worst)).collect()
    }
}

fn name(i: usize, cold: usize) -> String {
    format!("{}{i:02}", if i < cold { "z" } else { "a" })
}

/// N + 2 x root of N + 2, and N + 3 x root of N + 3 where N is under 30, at the strength that the server has so long after
/// its start; of a span, at its middle.
fn bound(span_ms: f64, holds: f64, since_ms: f64) -> f64 {
    let present = 0.3 + 0.7 * (since_ms / WARM_MS).min(1.0);
    let n = 3.0 * holds * span_ms / WARM_MS * present;
    let few = n < 30.0;
    let slack = if few { 3.0 } else { 2.0 };
    n + slack * n.sqrt() + slack
}

/// A cold server may be first for many groups, and no proxy sees it: with shares alone the sum was over the bound with
/// 3, 24, 30 and 300 proxies, by half at most.
#[test]
fn any_number_of_proxies_keep_warming_servers_within_the_bound_together() {
    let many = std::env::var("RAMP_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: Vec<u64> = many.map_or(SEEDS.to_vec(), |many| (0..many).collect());
    let mut over = Vec::new();
    for (load, grouped) in LOADS.into_iter().flat_map(|load| [(load, false), (load, true)]) {
        println!(
            "| {load:?}, {}groups | 1 cold | 4 cold | 8 cold | 12 cold |",
            if grouped { "" } else { "no " }
        );
        println!("| --- | --- | --- | --- | --- |");
        for proxies in [3, 12, 24, 30, 300] {
            let mut row = format!("| {proxies} proxies ");
            for cold in [1, 4, 8, 12] {
                let (mut margins, mut used) = (Vec::new(), 0.0);
                for seed in &seeds {
                    let day =
                        Day { proxies, cold, grouped, load, seed: *seed, holds: HOLDS, span_ms: SPAN_MS };
                    let fleet = Fleet::of(day).plays();
                    let beyond = fleet.margins().into_iter().filter(|m| *m > 1.0);
                    over.extend(beyond.map(|m| format!("{day:?}: {m:.2}")));
                    margins.extend(fleet.margins());
                    used += fleet.used() / seeds.len() as f64;
                }
                margins.sort_by(f64::total_cmp);
                let nearly = margins[(margins.len() * 99).div_ceil(100) - 1];
                row += &format!("| {:.2}, {nearly:.2} ({used:.2}) ", margins[margins.len() - 1]);
            }
            println!("{row}|");
        }
    }
    assert!(over.is_empty(), "{over:#?}");
}

/// The budget was counted in two seconds, whatever the settings say: a proxy that stands alone before large servers sent one
/// 1.69 times what it can bear in half a second, and 1.05 times in a second.
#[test]
fn a_burst_keeps_to_the_budget_in_the_configured_overload_window() {
    let mut over = Vec::new();
    for (span_ms, proxies) in [500.0, 1000.0, 3000.0].into_iter().flat_map(|span| [(span, 1), (span, 30)]) {
        for (cold, seed) in [(4, 6), (12, 2), (12, 6)] {
            for grouped in [false, true] {
                let holds = if proxies == 1 { 300.0 } else { HOLDS };
                let day = Day { proxies, cold, grouped, load: Load::Rush, seed, holds, span_ms };
                let beyond = Fleet::of(day).plays().margins().into_iter().filter(|m| *m > 1.0);
                over.extend(beyond.map(|m| format!("{day:?}: {m:.2}")));
            }
        }
    }
    assert!(over.is_empty(), "{over:#?}");
}
