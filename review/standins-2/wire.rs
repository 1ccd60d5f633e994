//! The simulator's side of the wire: one instance, requests that carry a mark (`by_key`) whose repeats are dropped
//! within one zone, probes that take some milliseconds, and servers that fail by turns with errors.

use crate::common::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::Duration;

const ZONES: [&str; 3] = ["kariakoo", "mikocheni", "ubungo"];
const SERVERS: usize = 12;
const REQUESTS_UNTIL_MS: f64 = 30_000.0;
const ENDS_AT_MS: f64 = 34_000.0;
const PATIENCE_MS: f64 = 3000.0;
const WINDOW_MS: f64 = 5000.0;
/// The share of the servers that fail by turns, the length of a turn, and the share of it that is bad.
const FAILING_SERVERS: usize = SERVERS / 2;
const TURN_MS: f64 = 4000.0;
const BAD_SHARE: f64 = 0.5;

/// The settings of `dar-telemetry`, but for the number of proxies and the effect of one class.
const SETTINGS: &str = r#"{"az":"kariakoo","azs":["kariakoo","mikocheni","ubungo"],"balancers":24,"benefit_basis":"request","bounds":{"cancel":true,"conn_idle_ms":5000.0,"cpu_us_per_request":10.0,"cpu_us_per_s":15000,"dial_timeout_ms":250.0,"max_retry_after_ms":2000.0,"max_streams":1048576,"most_connects":5,"open_cap":1000000,"parallel_tries":false,"peers":false,"probes":true,"retry_after":true},"callers":{"marks_retry":true},"customers":[{"name":"msasani-towers","quota_per_s":3.0,"share":0.31},{"name":"posta-house","quota_per_s":3.0,"share":0.32},{"name":"bandari-plaza","quota_per_s":3.0,"share":0.27},{"name":"upanga-flats","quota_per_s":1.0,"share":0.1}],"discovery":"subscribe","domain_type":"conn","excess_benefit":0.1,"extra":{"groups":true,"message_aim_ms":[50.0,250.0,250.0,60.0],"mode":"pass","park_ms":4026.2,"tells_delay":true,"tells_load":true,"tenant_quota_connections":[90.0,93.0,79.0,29.0]},"invariants":{"cold_from":0.3,"cold_ms":8600.0,"grace_to_answer_ms":16.0,"must_ask_in_ms":10000.0,"overload_factor":4.0,"overload_for_ms":1000.0,"stop_sending_within_ms":400.0},"kinds":["fast-pair","slow-pair","old-triple"],"me":0,"offerings":[{"benefit":3.0,"group":"all","idempotency":"repeatable","late_benefit":0.0,"name":"status","patience_ms":4800.0,"soft_limit_ms":800.0,"streamed":true,"window_ms":5000.0},{"benefit":3.0,"group":"all","idempotency":"repeatable","late_benefit":0.0,"name":"alarm","patience_ms":1800.0,"soft_limit_ms":300.0,"streamed":true,"window_ms":5000.0},{"benefit":5.0,"group":"zone","idempotency":"by_key","late_benefit":0.0,"name":"fault","patience_ms":3000.0,"soft_limit_ms":500.0,"streamed":true,"window_ms":5000.0},{"benefit":3.0,"group":"all","idempotency":"repeatable","late_benefit":0.0,"name":"settings","patience_ms":3000.0,"soft_limit_ms":500.0,"streamed":true,"window_ms":5000.0}],"report":{"fields":[],"how":"silent"},"resolution_ms":4.0,"tier":0,"tiers":["link-servers"],"weight_kind":"nominal"}"#;

/// A small generator of random numbers, so that each run is the same but for the clock.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What reaches the instance, in the order of time.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request(u64),
    ProbeBack { server: usize, asked_us: u64 },
    Ended { request: u64, trial: usize, server: usize, sent_us: u64, result: u32 },
    Flowing { request: u64, trial: usize, server: usize, sent_us: u64 },
    Fired,
    Failed,
}

struct Attempt {
    server: usize,
    sent_ms: f64,
    result: Option<u32>,
}

#[derive(Default)]
struct Request {
    attempts: Vec<Attempt>,
    is_over: bool,
}

fn zone(server: usize) -> &'static str {
    ZONES[server % ZONES.len()]
}

fn address(server: usize) -> String {
    format!("127.0.0.1:{}", 9000 + server)
}

/// Whether a server fails at this time: half of them do, each in turns of its own.
fn is_failing(server: usize, now_ms: f64) -> bool {
    server < FAILING_SERVERS && ((now_ms + 700.0 * server as f64) % TURN_MS) < TURN_MS * BAD_SHARE
}

pub fn run() -> i32 {
    let setting = Setting::from_environment();
    let record = Record::create(&Setting::record_path());
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &setting.command]).current_dir(&setting.root);
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    let (mut input, output) = (child.stdin.take().expect("a pipe"), child.stdout.take().expect("a pipe"));
    let mut output = BufReader::new(output);
    let mut children = Children::default();
    children.add("adapter", child);

    let mut random = Random(0x9e37_79b9_7f4a_7c15);
    let mut due: BinaryHeap<Reverse<(u64, Due)>> = BinaryHeap::new();
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let us = |ms: f64| (ms * 1000.0) as u64;
    let mut arrives = 3000.0;
    let mut number = 0;
    while arrives < REQUESTS_UNTIL_MS {
        number += 1;
        due.push(Reverse((us(arrives), Due::Request(number))));
        arrives += random.between(20.0, 180.0);
    }
    let (mut batch, mut broken, mut retried, mut answered) = (0u64, 0usize, 0usize, 0usize);
    let mut lines: Vec<String> = Vec::new();
    lines.push("ABOUT who=0".into());
    lines.push(format!("BORN salt=11 env={SETTINGS}"));
    lines.push(format!("TARGETS form=restored revision=41 lines={SERVERS}"));
    for server in 0..SERVERS {
        lines.push(format!(
            "ENTRY type=fast-pair site={} pod={} server={} capacity_hint=1 status=active",
            zone(server),
            server % ZONES.len(),
            address(server)
        ));
    }
    loop {
        let now_ms = record.ms() as f64;
        if now_ms > ENDS_AT_MS {
            break;
        }
        while due.peek().is_some_and(|Reverse((at, _))| *at <= us(now_ms)) {
            let Some(Reverse((_, event))) = due.pop() else { break };
            if lines.is_empty() {
                lines.push("ABOUT who=0".into());
            }
            match event {
                Due::Request(request) => {
                    requests.insert(request, Request::default());
                    lines.push(format!(
                        "REQUEST ref={request:016x} priority=fault object=k:{request} group=c:{} due_ms={}",
                        request % 40,
                        now_ms + PATIENCE_MS
                    ));
                }
                Due::ProbeBack { server, asked_us } => lines.push(format!(
                    "STATUS_BACK server={} result=1 cost_time_ms={}",
                    address(server),
                    now_ms - asked_us as f64 / 1000.0
                )),
                Due::Flowing { request, trial, server, sent_us } => {
                    if let Some(request) = requests.get_mut(&request) {
                        request.is_over = true;
                    }
                    lines.push(format!(
                        "FLOWING ref={request:016x} cost_time_ms={} server={} trial={trial}",
                        now_ms - sent_us as f64 / 1000.0,
                        address(server)
                    ));
                }
                Due::Ended { request, trial, server, sent_us, result } => {
                    let known = requests.entry(request).or_default();
                    let last = u8::from(known.is_over);
                    if let Some(attempt) = known.attempts.get_mut(trial) {
                        attempt.result = Some(result);
                    }
                    lines.push(format!(
                        "FINISHED ref={request:016x} result={result} trial={trial} server={} cost_time_ms={} last={last}",
                        address(server), now_ms - sent_us as f64 / 1000.0
                    ));
                }
                Due::Fired => lines.push("FIRED label=0".into()),
                Due::Failed => lines.push("TARGETS form=update revision=41 lines=0".into()),
            }
        }
        if lines.is_empty() {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        }
        batch += 1;
        for line in lines.iter().filter(|line| !line.starts_with("ENTRY") && !line.starts_with("BORN")) {
            record.note(format!("> {line}"));
        }
        let text = format!("SYNC now_ms={now_ms} seq={batch}\n{}\nEOF_BATCH\n", lines.join("\n"));
        lines.clear();
        if input.write_all(text.as_bytes()).and_then(|()| input.flush()).is_err() {
            record.say(format!("the adapter has ended: {:?}", children.ended()));
            return CANNOT_RUN;
        }
        loop {
            let mut reply = String::new();
            if output.read_line(&mut reply).unwrap_or(0) == 0 {
                record.say(format!("the adapter has ended: {:?}", children.ended()));
                return CANNOT_RUN;
            }
            let reply = reply.trim_end();
            if reply.starts_with("READY") {
                break;
            }
            record.note(format!("< {reply}"));
            let field = |name: &str| {
                let rest = reply.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
                rest.unwrap_or_default().to_owned()
            };
            let server = || {
                field("server")
                    .rsplit(':')
                    .next()
                    .and_then(|port| port.parse::<usize>().ok())
                    .map_or(0, |port| port - 9000)
            };
            let reference = || u64::from_str_radix(&field("ref"), 16).unwrap_or(0);
            match reply.split(' ').next().unwrap_or_default() {
                "ASK_LOAD" => {
                    let server = server();
                    // Servers are at different distances.
                    let back = now_ms + 4.0 + 2.0 * (server % 5) as f64 + random.between(0.0, 1.0);
                    due.push(Reverse((us(back), Due::ProbeBack { server, asked_us: us(now_ms) })));
                }
                "SET_TIMER" => {
                    let at = field("instant_ms").parse().unwrap_or(now_ms);
                    due.push(Reverse((us(at), Due::Fired)));
                }
                "LISTEN" => due.push(Reverse((us(now_ms + 5.0), Due::Failed))),
                "SUBMIT_TO" => {
                    let (server, reference) = (server(), reference());
                    let request = requests.entry(reference).or_default();
                    retried += usize::from(!request.attempts.is_empty());
                    // The rule: once a connect may have run, further ones go only to servers that share its group, here
                    // its zone, and within the window.
                    let may_have_run = |attempt: &&Attempt| !matches!(attempt.result, Some(3 | 5 | 8));
                    if let Some(first) = request.attempts.iter().find(may_have_run) {
                        let is_elsewhere = zone(first.server) != zone(server);
                        if is_elsewhere || now_ms - first.sent_ms > WINDOW_MS {
                            broken += 1;
                            record.note(format!(
                                "BROKEN: {reference:016x} may have run at {} ({}), and is sent to {} ({})",
                                address(first.server),
                                zone(first.server),
                                address(server),
                                zone(server)
                            ));
                        }
                    }
                    let trial = request.attempts.len();
                    request.attempts.push(Attempt { server, sent_ms: now_ms, result: None });
                    let answer = now_ms + random.between(2.0, 5.0);
                    let sent_us = us(now_ms);
                    if setting.trouble && is_failing(server, now_ms) {
                        let ended = Due::Ended { request: reference, trial, server, sent_us, result: 2 };
                        due.push(Reverse((us(answer), ended)));
                    } else {
                        due.push(Reverse((
                            us(answer),
                            Due::Flowing { request: reference, trial, server, sent_us },
                        )));
                        let life = random.between(1000.0, 4000.0);
                        let ended = Due::Ended { request: reference, trial, server, sent_us, result: 1 };
                        due.push(Reverse((us(answer + life), ended)));
                    }
                }
                "SHED" | "RESPOND_ERROR" => {
                    answered += 1;
                    requests.entry(reference()).or_default().is_over = true;
                }
                _ => {}
            }
        }
    }
    record.say(format!(
        "{} requests, {retried} further connects, {answered} pushed back or forfeited",
        requests.len()
    ));
    record.say(format!("sent to another zone after it may have run: {broken}"));
    if requests.values().filter(|request| !request.attempts.is_empty()).count() < 50 {
        record.say("too few requests were placed to judge");
        return CANNOT_RUN;
    }
    if broken == 0 {
        HELD
    } else {
        BROKEN
    }
}
