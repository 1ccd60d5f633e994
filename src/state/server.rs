//! A server and what this proxy has observed of it.

use super::{push_bounded, HealthCheckWaiter, Session};
use crate::host::{Endpoint, EndpointState, ServerId, SessionId};
use crate::time::{DurationExt, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Weak;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// An outlier score at its last update, from which on it decays.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutlierScore {
    /// From 0 (fully trusted) to 1 (not trusted at all).
    pub(crate) value: f64,
    pub(crate) updated_at: Timestamp,
}

/// A search for a session to migrate away from a server that found none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedMigrationSearch {
    /// Whether the search was not limited to sessions outside their group's servers.
    pub(crate) any_session: bool,
    /// Until when the result is taken to hold.
    pub(crate) expires_at: Timestamp,
}

/// A server of the endpoint list, and what this proxy has observed of it.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    /// Hash of the id, for rendezvous hashing.
    pub(crate) hash: u64,
    /// Hashes of its failure domains. They differ even if a zone and a kind have the same name.
    pub(crate) zone: u64,
    pub(crate) kind: u64,
    pub(crate) cell: u64,
    pub(crate) state: Cell<EndpointState>,
    pub(crate) started: Cell<Option<Timestamp>>,
    /// Established sessions that this proxy sent to this server.
    pub(crate) sessions: RefCell<BTreeMap<SessionId, Weak<Session>>>,
    /// When the most recent attempts were sent.
    pub(crate) recent_attempts: RefCell<VecDeque<Timestamp>>,
    /// Attempts that are neither established nor ended.
    pub(crate) pending_attempts: Cell<u32>,
    /// Since when attempts have been pending without any response from the server.
    pub(crate) silent_since: Cell<Option<Timestamp>>,
    /// Whether the last attempt was refused a connection or lost it.
    pub(crate) last_connection_failed: Cell<bool>,
    pub(crate) outlier_score: Cell<OutlierScore>,
    pub(crate) outlier_half_life: Cell<Duration>,
    /// The last search for a session to migrate that found none.
    pub(crate) failed_migration_search: Cell<Option<FailedMigrationSearch>>,
    /// Sessions that wait for this server's answer to a health check.
    pub(crate) health_check_waiters: RefCell<Vec<HealthCheckWaiter>>,
    /// When the last periodic health check was sent.
    pub(crate) last_health_check: Cell<Timestamp>,
    health_check_latencies: RefCell<VecDeque<Duration>>,
}

impl Server {
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Server {
            id: endpoint.server.clone(),
            hash: xxh3_64(endpoint.server.as_bytes()),
            zone: xxh3_64(endpoint.zone.as_bytes()),
            kind: !xxh3_64(endpoint.kind.as_bytes()),
            cell: endpoint.cell,
            ..Server::default()
        }
    }

    /// Whether the server may be sent sessions.
    pub(crate) fn is_active(&self) -> bool {
        self.state.get() == EndpointState::Active
    }

    /// Returns hashes of the server's failure domains, the sets of servers that tend to fail together.
    pub(crate) fn failure_domains(&self) -> [u64; 2] {
        [self.zone, self.kind]
    }

    /// Returns the number of this proxy's connections to the server, established or pending.
    pub(crate) fn open_connections(&self) -> f64 {
        self.sessions.borrow().len() as f64 + f64::from(self.pending_attempts.get())
    }

    /// Records that an attempt is being sent.
    pub(crate) fn record_attempt(&self, now: Timestamp) {
        // Longer than any supported overload window.
        const RETENTION: Duration = Duration::from_millis(10_000);
        const MAX_SAMPLES: usize = 4096;
        self.pending_attempts.set(self.pending_attempts.get() + 1);
        let mut attempts = self.recent_attempts.borrow_mut();
        let expired = attempts.partition_point(|at| now.since(*at) > RETENTION);
        attempts.drain(..expired);
        push_bounded(&mut attempts, now, MAX_SAMPLES);
    }

    /// Returns how many attempts this proxy sent to the server within the last `window`.
    pub(crate) fn attempts_within(&self, window: Duration, now: Timestamp) -> f64 {
        let attempts = self.recent_attempts.borrow();
        attempts.iter().rev().take_while(|at| now.since(**at) <= window).count() as f64
    }

    /// Records the latency of a health check and returns it as a multiple of the shortest recent latency.
    pub(crate) fn record_health_check(&self, latency: Duration) -> f64 {
        // An unusually short latency remains the reference for this many health checks.
        const MAX_SAMPLES: usize = 32;
        let mut latencies = self.health_check_latencies.borrow_mut();
        push_bounded(&mut latencies, latency, MAX_SAMPLES);
        latencies.iter().min().map_or(1.0, |shortest| latency.ratio_to(*shortest))
    }
}
