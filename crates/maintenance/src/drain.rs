//! How a site drains: its servers stop taking sessions one after the other.

/// The time between the moment a site starts to drain and the beginning of its window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPeriod {
    /// When the site starts to drain.
    pub begins_ms: i64,
    /// When its window begins.
    pub ends_ms: i64,
}

impl DrainPeriod {
    /// Whether a server takes no new sessions any more and migrates those that it has. `index` is its place among the
    /// servers of the site in the order of ids, so that all processes decide alike without communication.
    pub fn is_server_draining(&self, index: usize, servers: usize, now_ms: i64) -> bool {
        // Of the period; the rest is left to clients of the last server that reconnect slowly.
        const LAST_SERVER_STARTS_BEFORE: f64 = 0.7;
        let duration_ms = (self.ends_ms - self.begins_ms) as f64;
        let starts_after_ms = duration_ms * LAST_SERVER_STARTS_BEFORE * index as f64 / servers.max(1) as f64;
        now_ms - self.begins_ms >= starts_after_ms as i64
    }
}

/// By how many milliseconds a lead is too short to migrate a number of sessions at a rate; none where it suffices.
pub fn lead_shortfall_ms(sessions: usize, sessions_per_s: f64, lead_ms: i64) -> Option<i64> {
    // Keeps the quotient finite.
    const MIN_RATE_PER_S: f64 = 1e-9;
    let needed_ms =
        (sessions as f64 / sessions_per_s.max(MIN_RATE_PER_S) * 1000.0).min(i64::MAX as f64) as i64;
    (needed_ms > lead_ms).then_some(needed_ms - lead_ms)
}
