//! A sliding window of recent requests, used to rank new ones.

use crate::admission::Requester;
use shelfgrade::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// How long an arrival is kept; the same as in the load balancer's own arrival history.
pub(crate) const ARRIVAL_WINDOW: Duration = Duration::from_millis(2000);
/// Maximum number of arrivals that are kept. Bounds memory and the work per request.
const MAX_ARRIVALS: usize = 4096;

struct Arrival {
    at: Timestamp,
    requester: Requester,
    is_admitted: bool,
}

/// The arrivals within the window, oldest first.
#[derive(Default)]
pub(crate) struct RecentArrivals(VecDeque<Arrival>);

/// The numbers of admitted requests within the window.
pub(crate) struct AdmittedCount {
    pub(crate) of_all: f64,
    pub(crate) of_customer: f64,
}

impl RecentArrivals {
    /// Removes the arrivals that have left the window.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let is_expired = |arrival: &&Arrival| now.since(arrival.at) > ARRIVAL_WINDOW;
        let expired = self.0.iter().take_while(is_expired).count();
        self.0.drain(..expired);
    }

    pub(crate) fn push(&mut self, requester: Requester, now: Timestamp) {
        self.0.push_back(Arrival { at: now, requester, is_admitted: false });
        self.0.drain(..self.0.len().saturating_sub(MAX_ARRIVALS));
    }

    /// Marks the last arrival as admitted.
    pub(crate) fn mark_last_admitted(&mut self) {
        if let Some(last) = self.0.back_mut() {
            last.is_admitted = true;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn requesters(&self) -> impl Iterator<Item = Requester> + '_ {
        self.0.iter().map(|arrival| arrival.requester)
    }

    pub(crate) fn admitted(&self, customer: usize) -> AdmittedCount {
        let admitted = || self.0.iter().filter(|arrival| arrival.is_admitted);
        let of_customer = admitted().filter(|arrival| arrival.requester.customer == Some(customer)).count();
        AdmittedCount { of_all: admitted().count() as f64, of_customer: of_customer as f64 }
    }
}
