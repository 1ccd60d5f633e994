//! The arrival times and the groups of recent sessions.

use super::{push_bounded, Session};
use crate::time::Timestamp;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

/// Hashes of the client key and the group of an arrived client.
struct ArrivalSample {
    key: u64,
    group: u64,
}

/// The most recent arrivals at this proxy.
#[derive(Default)]
pub(crate) struct ArrivalHistory {
    /// Arrival times of recent sessions. Mid-flow sessions are included, because one that is sent to a server without
    /// its connection is established anew.
    arrived_at: RefCell<VecDeque<Timestamp>>,
    /// The most recent clients that belong to a group, each stored once however often it arrived.
    grouped_clients: RefCell<VecDeque<ArrivalSample>>,
}

impl ArrivalHistory {
    /// How long an arrival counts as recent: the time over which clients reconnect after a common failure.
    pub(crate) const RECENT_WINDOW: Duration = Duration::from_millis(2000);

    /// Records the time of an arrival.
    pub(crate) fn record_arrival(&self, now: Timestamp) {
        // Far more than the arrivals within the window at a proxy that is not overloaded.
        const MAX_SAMPLES: usize = 4096;
        push_bounded(&mut self.arrived_at.borrow_mut(), now, MAX_SAMPLES);
    }

    /// Records a session's key and group, once for each key.
    pub(crate) fn record_group(&self, session: &Session) {
        // Enough samples to distinguish a group with 1/10 of the traffic from one with 1/20; one proxy receives this
        // many within seconds.
        const MAX_SAMPLES: usize = 128;
        let mut clients = self.grouped_clients.borrow_mut();
        if let Some(group) = session.group.filter(|_| !clients.iter().any(|c| c.key == session.key)) {
            push_bounded(&mut clients, ArrivalSample { key: session.key, group }, MAX_SAMPLES);
        }
    }

    /// Returns how many sessions arrived within the recent window, but at least one.
    pub(crate) fn recent_count(&self, now: Timestamp) -> f64 {
        let mut arrived_at = self.arrived_at.borrow_mut();
        let expired = arrived_at.partition_point(|at| now.since(*at) > Self::RECENT_WINDOW);
        arrived_at.drain(..expired);
        arrived_at.len().max(1) as f64
    }

    /// Returns the number of recent clients that belong to any group.
    pub(crate) fn grouped_clients(&self) -> usize {
        self.grouped_clients.borrow().len()
    }

    /// Returns the number of recent clients that belong to this group.
    pub(crate) fn clients_of(&self, group: u64) -> usize {
        self.grouped_clients.borrow().iter().filter(|client| client.group == group).count()
    }
}
