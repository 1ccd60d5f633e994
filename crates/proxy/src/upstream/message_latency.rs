//! How long messages take at a server: what the connections that stand there have seen of late.

use crate::session::Session;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;

#[derive(Default)]
pub struct MessageLatency {
    latest: RefCell<VecDeque<(Duration, Weak<Session>)>>,
}

impl MessageLatency {
    /// A message of this session has come back.
    pub fn came_back(&self, session: &Session, took: Duration) {
        // More than come back in a second, few enough to hold.
        const SAMPLES: usize = 64;
        let mut latest = self.latest.borrow_mut();
        latest.push_back((took, session.me.clone()));
        if latest.len() > SAMPLES {
            latest.pop_front();
        }
    }

    /// The middle one of what came back since this was last asked, with a session that still is.
    pub fn take(&self) -> Option<(Duration, Rc<Session>)> {
        let latest = std::mem::take(&mut *self.latest.borrow_mut());
        let mut standing: Vec<_> =
            latest.into_iter().filter_map(|(took, session)| Some((took, session.upgrade()?))).collect();
        standing.sort_by_key(|s| s.0);
        let middle = standing.len() / 2;
        (middle < standing.len()).then(|| standing.swap_remove(middle))
    }
}
