//! Drains a site: its servers stop accepting sessions one after the other.

/// The period from when a site starts to drain until its window begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPeriod {
    /// When the site starts to drain.
    pub begins_ms: i64,
    /// When its window begins.
    pub ends_ms: i64,
}

impl DrainPeriod {
    /// Whether a server is draining: it accepts no new sessions, and its existing sessions are migrated. `index` is its
    /// position among the site's servers sorted by id, so that all processes get the same result without communication.
    pub fn is_server_draining(&self, index: usize, servers: usize, now_ms: i64) -> bool {
        // All servers start to drain within this fraction of the period. The rest is left for clients of the last
        // server that reconnect slowly.
        const START_FRACTION: f64 = 0.7;
        let duration_ms = (self.ends_ms - self.begins_ms) as f64;
        let starts_after_ms = duration_ms * START_FRACTION * index as f64 / servers.max(1) as f64;
        now_ms - self.begins_ms >= starts_after_ms as i64
    }
}

/// By how many milliseconds a lead time is too short to migrate `sessions` at the given rate; `None` if it is long
/// enough.
pub fn lead_shortfall_ms(sessions: usize, sessions_per_s: f64, lead_ms: i64) -> Option<i64> {
    // Avoids division by zero.
    const MIN_RATE_PER_S: f64 = 1e-9;
    let needed_ms =
        (sessions as f64 / sessions_per_s.max(MIN_RATE_PER_S) * 1000.0).min(i64::MAX as f64) as i64;
    (needed_ms > lead_ms).then_some(needed_ms - lead_ms)
}
