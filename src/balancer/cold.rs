//! What a server that just started may be sent, and how much of the fleet this proxy sees.

use crate::record::{Server, Shelf, SlowStart};
use crate::time::Timestamp;

impl SlowStart {
    /// The share of sessions that one of so `many` may have. Guards against pushing a cold one over: the
    /// crowd that came just now is this proxy's part of all that comes, what is open its part of what fills.
    pub(super) fn share(&self, server: &Server, [part, crowd, most, many]: [f64; 4], now: Timestamp) -> f64 {
        // Half of the budget is left for chance, beside 2 x its root + 2.
        const USED: f64 = 0.5;
        let budget = |span| self.budget(server, part, span, now);
        // Guards against a rush, a run of chance or of one group: past this proxy's part of the budget none follows.
        let sent = server.sent_within(self.overload_window, now);
        let left =
            if sent == 0.0 { 1.0 } else { (budget(self.overload_window) / many - sent).clamp(0.0, 1.0) };
        (budget(Shelf::JUST_BEFORE) * USED * left / crowd)
            .min(most)
            .max(self.warm_fraction(server, now).floor())
    }

    /// Whether a key is among those, the same at every proxy, that are placed as if no server were in sight:
    /// the part that a proxy holds under two connections at. One alone tells of itself.
    pub(super) fn out_of_sight(&self, key: u64, servers: usize) -> bool {
        let each = self.part(servers) / servers as f64;
        (key >> 32) as f64 / 2_f64.powi(32) < (-each).exp() * (1.0 + each)
    }
}
