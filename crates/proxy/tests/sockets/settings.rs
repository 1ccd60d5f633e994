//! What the program is started with: the settings that stories change, and the start-up file that they make.

use crate::stand::Place;
use std::net::SocketAddr;

/// What the program is started with.
#[derive(Clone, Copy)]
pub struct Settings {
    pub effect: &'static str,
    pub probes: bool,
    pub tells_delay: bool,
    pub sockets: u64,
    pub dial_ms: u64,
    /// How long a message may take, and how many connections all servers can hold, if that is told.
    pub aim_ms: u64,
    pub quota: &'static str,
    /// How many proxies there are.
    pub balancers: &'static str,
    /// How the list comes.
    pub discovery: &'static str,
    /// The longest that a client waits, and how many attempts it may have.
    pub request_timeout_ms: u64,
    pub attempts: u64,
    /// How long it may go without asking for the list.
    pub must_ask_ms: u64,
    /// For all that is left to chance.
    pub seed: &'static str,
    /// How long a server is cold, and what part of its capacity it begins with.
    pub cold_ms: u64,
    pub cold_from: f64,
    /// How long servers drop repeats, where the effect is `by_key`.
    pub window_ms: u64,
}

pub const USUAL: Settings = Settings {
    effect: "repeatable",
    probes: false,
    tells_delay: false,
    sockets: 256,
    dial_ms: 0,
    aim_ms: 50,
    quota: "0",
    balancers: "null",
    discovery: "subscribe",
    request_timeout_ms: 3000,
    attempts: 3,
    must_ask_ms: 1500,
    seed: "8c1f30d27a5be964",
    cold_ms: 0,
    cold_from: 0.0,
    window_ms: 5000,
};

/// The list is pushed, by an agent that is watched.
pub const PUSHED: Settings = Settings { discovery: "automatic", ..USUAL };

/// The start-up file for these terms, with these servers known.
pub fn start_file(settings: &Settings, discovery: SocketAddr, known: &[&Place]) -> String {
    let entries: Vec<_> = known.iter().map(|p| p.entry("in_service")).collect();
    let Settings { effect, probes, tells_delay, sockets, dial_ms, aim_ms, quota, balancers, .. } = settings;
    let Settings {
        discovery: how,
        request_timeout_ms,
        attempts,
        must_ask_ms,
        seed,
        cold_ms,
        cold_from,
        window_ms,
        ..
    } = settings;
    let settings = format!(
        r#"{{"balancers":{balancers},"discovery":"{how}","offerings":[{{"name":"alarm","idempotency":"{effect}",
        "group":"all","window_ms":{window_ms},"patience_ms":{request_timeout_ms}}}],
        "bounds":{{"most_connects":{attempts},"max_retry_after_ms":500,"probes":{probes},"dial_timeout_ms":{dial_ms}}},
        "invariants":{{"overload_factor":4,"must_ask_in_ms":{must_ask_ms},"cold_ms":{cold_ms},"cold_from":{cold_from}}},
        "extra":{{"message_aim_ms":[{aim_ms}],"tells_delay":{tells_delay},"tenant_quota_connections":[{quota}]}}}}"#
    );
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{seed}",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
        "known":{{"seq":7,"whole":true,"hosts":[{}]}},"settings":{settings}}}"#,
        entries.join(",")
    )
}
