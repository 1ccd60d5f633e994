//! What a server that just started may be sent, and how much of the fleet this proxy sees.

use crate::record::{Server, Shelf, WarmUp};
use crate::time::Point;

impl WarmUp {
    /// The share of circuits a server may have. Guards against pushing a cold one over, by what a proxy sees:
    /// the crowd that came just now is its part of all that comes, what is open its part of what fills.
    pub(super) fn share(&self, server: &Server, part: f64, crowd: f64, most: f64, now: Point) -> f64 {
        let warmth = self.warmth(server, now);
        // Half of the bound is left for chance.
        const USED: f64 = 0.5;
        let present = self.cold_from + (1.0 - self.cold_from) * warmth;
        // A cold server can take what fills it over its warm-up.
        let filling = part * Shelf::JUST_BEFORE.over(self.cold_span);
        (filling * USED * self.fall_multiple * present / crowd).min(most).max(warmth.floor())
    }

    /// Whether a key is among those, the same at every proxy, that are placed as if no server were in sight:
    /// the part that a proxy holds under two connections at. One alone tells of itself.
    pub(super) fn out_of_sight(&self, key: u64, servers: usize) -> bool {
        let each = self.part(servers) / servers as f64;
        (key >> 32) as f64 / 2_f64.powi(32) < (-each).exp() * (1.0 + each)
    }
}
