//! Group affinity: sessions of one group meet on few servers, chosen by rendezvous (highest random weight) hashing.

use crate::state::{ArrivalHistory, Server};

impl ArrivalHistory {
    /// How many of `servers` a group needs, by its share of the recent clients.
    pub(super) fn servers_for_group(&self, group: u64, servers: usize) -> usize {
        // Fewer samples say little about a share.
        const MIN_SAMPLES: usize = 16;
        let others = self.clients_of(group).saturating_sub(1);
        (1 + others * servers / self.grouped_clients().max(MIN_SAMPLES)).min(servers)
    }
}

impl Server {
    /// Its rendezvous rank for a group or a key, lowest first: the same at every proxy, whatever else is listed.
    pub(super) fn rendezvous_rank(&self, hash: u64) -> u64 {
        /// 2^64 divided by the golden ratio.
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        let mix = |bits: u64| bits.wrapping_mul(MULTIPLIER);
        mix(mix(self.hash ^ hash).rotate_left(32))
    }
}
