//! Counters on the `metrics` facade, with an exporter into the log. `docs/on-call.md` explains each of them.

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use metrics_util::registry::{AtomicStorage, Registry};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};

/// The counter of invariants that did not hold.
const INVARIANT_VIOLATIONS: &str = "invariant violations";

/// Keeps counters until they are logged. A program that embeds this crate may have set a recorder of its own, which then
/// receives all counters, and the log none.
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

    fn count(&self, what: &'static str) -> u64 {
        let key = Key::from_static_name(what);
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

    // This crate uses counters only.
    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

/// The proxy's counters; each is named by what it counts.
pub struct Metrics(Exporter);

impl Default for Metrics {
    /// The process has one recorder, however often a start is retried.
    fn default() -> Self {
        static EXPORTER: OnceLock<Exporter> = OnceLock::new();
        let exporter = EXPORTER.get_or_init(|| {
            let exporter = Exporter(Arc::new(Registry::atomic()));
            if metrics::set_global_recorder(exporter.clone()).is_err() {
                log::info!("counters go to the recorder that is set already, and not to the log");
            }
            exporter
        });
        Metrics(exporter.clone())
    }
}

impl Metrics {
    /// Adds one to a counter.
    pub fn count(&self, what: &'static str) {
        metrics::counter!(what).increment(1);
    }

    /// Counts an error of the other side, and logs each doubling of the count: misbehaving clients or peers must not fill
    /// the log.
    pub fn count_and_warn(&self, what: &'static str) {
        self.count(what);
        let so_far = self.0.count(what);
        if so_far.is_power_of_two() {
            log::warn!("{what}: {so_far} so far");
        }
    }

    /// Checks an invariant: asserted in debug builds, logged and counted in release builds.
    pub fn check_invariant(&self, holds: bool, what: &'static str) {
        debug_assert!(holds, "{what}");
        if !holds {
            log::error!("does not hold: {what}");
            self.count(INVARIANT_VIOLATIONS);
        }
    }

    /// Logs all counters that have moved, and the invariant violations in any case.
    pub fn log_counters(&self) {
        let mut counts = self.0.counts();
        let violations = counts.remove(INVARIANT_VIOLATIONS).unwrap_or(0);
        let counts: Vec<_> = counts.iter().map(|(what, count)| format!("{what} {count}")).collect();
        log::info!("counted: {}; {INVARIANT_VIOLATIONS} {violations}", counts.join(", "));
    }
}
