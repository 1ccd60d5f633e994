//! The start-up file of the program under test, and the settings that tests change.

use crate::harness::FakeServer;
use std::net::SocketAddr;

/// The settings that tests change.
#[derive(Clone, Copy)]
pub struct Settings {
    pub effect: &'static str,
    pub probes: bool,
    pub tells_delay: bool,
    pub sockets: u64,
    pub dial_ms: u64,
    /// The message latency objective in milliseconds, and how many connections all servers can hold, or 0.
    pub aim_ms: u64,
    pub quota: &'static str,
    /// How many proxies there are.
    pub balancers: &'static str,
    /// How the endpoint list is delivered.
    pub discovery: &'static str,
    /// The longest request timeout in milliseconds, and how many attempts a request may have.
    pub request_timeout_ms: u64,
    pub attempts: u64,
    /// The longest interval between polls in milliseconds.
    pub must_ask_ms: u64,
    /// The seed of all random decisions.
    pub seed: &'static str,
    /// The slow start of a server in milliseconds, and the fraction of its capacity that it starts with.
    pub cold_ms: u64,
    pub cold_from: f64,
    /// How long servers drop repeats in milliseconds, if the effect is `by_key`.
    pub window_ms: u64,
}

pub const DEFAULT: Settings = Settings {
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
pub const PUSHED: Settings = Settings { discovery: "automatic", ..DEFAULT };

/// The start-up file for these settings, with these servers known.
pub fn start_file_text(settings: &Settings, discovery: SocketAddr, known: &[&FakeServer]) -> String {
    let entries: Vec<_> = known.iter().map(|p| p.endpoint("in_service")).collect();
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
