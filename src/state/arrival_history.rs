//! When sessions arrived, and of which groups.

use super::{push_bounded, Session};
use crate::time::Timestamp;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

/// Hashes of the key and the group of a client that arrived.
struct ArrivalSample {
    key: u64,
    group: u64,
}

/// The last arrivals at this proxy.
#[derive(Default)]
pub(crate) struct ArrivalHistory {
    /// When the last sessions arrived. Mid-flow ones count too, as one that misses its server is set up anew.
    arrived_at: RefCell<VecDeque<Timestamp>>,
    /// The last clients that belong to a group, each once however often it arrived.
    grouped_clients: RefCell<VecDeque<ArrivalSample>>,
}

impl ArrivalHistory {
    /// An arrival counts as recent for as long as clients take to reconnect together.
    pub(crate) const RECENT_WINDOW: Duration = Duration::from_millis(2000);

    /// Records the time of an arrival.
    pub(crate) fn record_arrival(&self, now: Timestamp) {
        // Far more than arrive within the window at a proxy that keeps up.
        const MAX_SAMPLES: usize = 4096;
        push_bounded(&mut self.arrived_at.borrow_mut(), now, MAX_SAMPLES);
    }

    /// Records a session's key and group, once for each key.
    pub(crate) fn record_group(&self, session: &Session) {
        // Tells a tenth of the traffic from a twentieth, within seconds of one proxy's traffic.
        const MAX_SAMPLES: usize = 128;
        let mut clients = self.grouped_clients.borrow_mut();
        if let Some(group) = session.group.filter(|_| !clients.iter().any(|c| c.key == session.key)) {
            push_bounded(&mut clients, ArrivalSample { key: session.key, group }, MAX_SAMPLES);
        }
    }

    /// How many sessions arrived within the recent window, at least one.
    pub(crate) fn recent_count(&self, now: Timestamp) -> f64 {
        let mut arrived_at = self.arrived_at.borrow_mut();
        let expired = arrived_at.partition_point(|at| now.since(*at) > Self::RECENT_WINDOW);
        arrived_at.drain(..expired);
        arrived_at.len().max(1) as f64
    }

    /// How many recent clients with a group there are.
    pub(crate) fn grouped_clients(&self) -> usize {
        self.grouped_clients.borrow().len()
    }

    /// How many recent clients belong to this group.
    pub(crate) fn clients_of(&self, group: u64) -> usize {
        self.grouped_clients.borrow().iter().filter(|client| client.group == group).count()
    }
}
