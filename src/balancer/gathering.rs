//! Which servers a group meets at: how many it needs, and in which order.

use crate::host::Host;
use crate::record::{Server, Session, Shelf};
use std::rc::Rc;

impl Shelf {
    /// How many of so many servers a group needs by its share of the traffic.
    pub(super) fn width(&self, group: u64, servers: usize) -> usize {
        // Fewer samples than this say little about a share.
        const FEWEST: usize = 16;
        let groups = self.groups.borrow();
        let more = groups.iter().filter(|g| g.1 == group).count().saturating_sub(1);
        (1 + more * servers / groups.len().max(FEWEST)).min(servers)
    }
}

impl Server {
    /// The server's place in the order of a group or key: the same at every proxy, whatever else is listed.
    pub(super) fn rank(&self, by: u64) -> u64 {
        let mix = |bits: u64| bits.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mix(mix(self.hash ^ by).rotate_left(32))
    }

    /// Has the session wait for a sign of life, which others may wait for too, where asking is allowed.
    pub(super) fn hail(&self, session: &Rc<Session>, host: &mut dyn Host) {
        let mut hailed_by = self.hailed_by.borrow_mut();
        hailed_by.retain(|c| c.upgrade().is_some_and(|c| c.hails.get()));
        if !hailed_by.is_empty() || host.check_health(&self.id) {
            hailed_by.push(Rc::downgrade(session));
            session.hails.set(true);
        }
    }
}
