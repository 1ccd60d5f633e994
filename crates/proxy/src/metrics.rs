//! Counters on the `metrics` facade, with an exporter that writes them to the log. `docs/on-call.md` documents each of
//! them.

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use metrics_util::registry::{AtomicStorage, Registry};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};

/// Counts checks of invariants that failed.
const INVARIANT_VIOLATIONS: &str = "invariant violations";

/// Stores the counters until they are logged. If a program that embeds this crate has already installed a recorder,
/// that recorder receives all counters, and none are logged.
#[derive(Clone)]
struct Exporter(Arc<Registry<Key, AtomicStorage>>);

impl Exporter {
    fn counts(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        self.0.visit_counters(|key, counter| {
            counts.insert(key.name().to_owned(), counter.load(Ordering::Relaxed));
        });
        counts
    }

    fn count(&self, counter: &'static str) -> u64 {
        let key = Key::from_static_name(counter);
        self.0.get_or_create_counter(&key, |counter| counter.load(Ordering::Relaxed))
    }
}

impl Recorder for Exporter {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        self.0.get_or_create_counter(key, |counter| Counter::from_arc(counter.clone()))
    }

    // This crate uses only counters.
    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

/// The proxy's counters, each named by the event that it counts.
pub struct Metrics(Exporter);

impl Default for Metrics {
    /// All instances share one recorder, as a process can install only one and may retry its start.
    fn default() -> Self {
        static EXPORTER: OnceLock<Exporter> = OnceLock::new();
        let exporter = EXPORTER.get_or_init(|| {
            let exporter = Exporter(Arc::new(Registry::atomic()));
            if metrics::set_global_recorder(exporter.clone()).is_err() {
                log::info!(
                    "another metrics recorder is installed: it receives the counters, none are logged"
                );
            }
            exporter
        });
        Metrics(exporter.clone())
    }
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, counter: &'static str) {
        metrics::counter!(counter).increment(1);
    }

    /// Counts an error caused by a client or a peer. It is logged only when the count reaches a power of two, so that
    /// misbehaving clients or peers cannot flood the log.
    pub fn count_and_warn(&self, counter: &'static str) {
        self.count(counter);
        let total = self.0.count(counter);
        if total.is_power_of_two() {
            log::warn!("{counter}: {total} so far");
        }
    }

    /// Checks an invariant. A violation panics in debug builds; in release builds it is logged and counted.
    pub fn check_invariant(&self, holds: bool, invariant: &'static str) {
        debug_assert!(holds, "{invariant}");
        if !holds {
            log::error!("invariant violated: {invariant}");
            self.count(INVARIANT_VIOLATIONS);
        }
    }

    /// Logs all counters that have been incremented, and the number of invariant violations even if it is 0.
    pub fn log_counters(&self) {
        let mut counts = self.0.counts();
        let violations = counts.remove(INVARIANT_VIOLATIONS).unwrap_or(0);
        let counts: Vec<_> = counts.iter().map(|(counter, count)| format!("{counter} {count}")).collect();
        log::info!("counted: {}; {INVARIANT_VIOLATIONS} {violations}", counts.join(", "));
    }
}
